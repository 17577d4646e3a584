"""Session with the settings log that the settings commands run in."""

import pathlib
from collections.abc import Awaitable, Callable

import anyio
import attrs

from beryljunction.cli.asking import operator_client
from beryljunction.cli.settings_output import EXIT_OK, print_log_down, print_problems
from beryljunction.errors import PlatformUnavailableError, SettingsError
from beryljunction.node import OperatorClient
from beryljunction.servers import client_pool
from beryljunction.settings.files import load_file
from beryljunction.settings.operator_session import OperatorSession
from beryljunction.settings.peers import HttpPeers
from beryljunction.settings.schema import OperatorFile
from beryljunction.stores import HttpLogClient

__all__ = ["Desk", "with_session"]


@attrs.frozen
class Desk:
    """The operator's file and the clients that a settings command uses.

    Attributes:
        fleet: Client of the processes on the host list; None if the file names no host list.
    """

    file: OperatorFile
    session: OperatorSession
    nodes: HttpPeers
    fleet: OperatorClient | None

    async def versions(self) -> dict[str, int | None]:
        """Return the version in force at each process on the host list or named in the file."""
        versions = await self.nodes.versions()
        if self.fleet is None:
            return versions
        try:
            rows = await self.fleet.list_hosts()
        except PlatformUnavailableError:
            return versions
        # A node that is both in the file and on the host list counts once.
        listed = {row.address for row in rows}
        versions = {node: version for node, version in versions.items() if node not in listed}
        answers = await self.fleet.status(rows)
        found = {host: status.settings_version for host, status in answers.values.items()}
        return {**versions, **dict.fromkeys(answers.failures), **found}


def with_session(
    config: pathlib.Path,
    command: Callable[[Desk], Awaitable[int]],
    json: bool,
    look: bool = True,
) -> int:
    """Run a command over the settings log; with `look`, the settings in force are read first."""

    async def run() -> int:
        file = load_file(config, OperatorFile)
        async with client_pool() as pool, operator_client(file) as client:
            log = HttpLogClient(file.log_address, pool)
            session = OperatorSession(log, file.operator, file.key)
            nodes = HttpPeers(lambda: file.nodes, session.state, pool, file.fleet_key)
            fleet = client if file.hosts_address else None
            if look and not await session.sync():
                return print_log_down(json)
            return await command(Desk(file, session, nodes, fleet))

    try:
        return anyio.run(run)
    except SettingsError as error:
        return print_problems(error.problems, json)
    except KeyboardInterrupt:
        return EXIT_OK
