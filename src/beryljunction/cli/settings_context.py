"""Session with the settings log that the settings commands run in."""

import pathlib
from collections.abc import Awaitable, Callable

import anyio
import attrs

from beryljunction.cli.fleet_commands import operator_client
from beryljunction.cli.settings_output import EXIT_OK, print_log_down, print_problems
from beryljunction.errors import PlatformUnavailableError, SettingsError
from beryljunction.fleet_process import OperatorClient
from beryljunction.servers import create_client_pool
from beryljunction.settings.files import load_file
from beryljunction.settings.operator_session import OperatorSession
from beryljunction.settings.peers import HttpPeers
from beryljunction.settings.schema import OperatorFile
from beryljunction.stores import HttpLogClient

__all__ = ["SettingsContext", "with_session"]


@attrs.frozen
class SettingsContext:
    """The operator's file and the clients that a settings command uses.

    Attributes:
        fleet_client: Client of the processes on the host list; None if the file names no host list.
    """

    operator_file: OperatorFile
    session: OperatorSession
    node_peers: HttpPeers
    fleet_client: OperatorClient | None

    async def versions(self) -> dict[str, int | None]:
        """Return the version in force at each process on the host list or named in the file."""
        versions = await self.node_peers.versions()
        if self.fleet_client is None:
            return versions
        try:
            rows = await self.fleet_client.list_hosts()
        except PlatformUnavailableError:
            return versions
        # A node that is both in the file and on the host list counts once.
        listed = {row.address for row in rows}
        versions = {node: version for node, version in versions.items() if node not in listed}
        answers = await self.fleet_client.status(rows)
        found = {host: status.settings_version for host, status in answers.values.items()}
        return {**versions, **dict.fromkeys(answers.failures), **found}


def with_session(
    config: pathlib.Path,
    command: Callable[[SettingsContext], Awaitable[int]],
    json: bool,
    look: bool = True,
) -> int:
    """Run a command over the settings log; with `look`, the settings in force are read first."""

    async def run() -> int:
        file = load_file(config, OperatorFile)
        async with create_client_pool() as pool, operator_client(file) as client:
            log = HttpLogClient(file.log_address, pool)
            session = OperatorSession(log, file.operator, file.key)
            node_peers = HttpPeers(lambda: file.nodes, session.state, pool, file.fleet_key)
            fleet_client = client if file.hosts_address else None
            if look and not await session.sync():
                return print_log_down(json)
            return await command(SettingsContext(file, session, node_peers, fleet_client))

    try:
        return anyio.run(run)
    except SettingsError as error:
        return print_problems(error.problems, json)
    except KeyboardInterrupt:
        return EXIT_OK
