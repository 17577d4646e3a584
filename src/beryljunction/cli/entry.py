"""beryl-entry: takes callers."""

import pathlib
import signal
import sys

import anyio
import defopt

from beryljunction.entry import EntryApp
from beryljunction.errors import BerylError
from beryljunction.logs import configure_logs
from beryljunction.servers import Server, bind
from beryljunction.settings import EntryFile, FleetView, load_file
from beryljunction.tables import EndpointTable

__all__ = ["main", "run_until_signal"]

_EXIT_SETTINGS = 2


async def run_until_signal(server: Server) -> None:
    """Serve until SIGTERM or SIGINT, then finish what is in flight."""
    async with anyio.create_task_group() as group:
        await group.start(server.run_until_stopped)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                server.stop()
                break


def entry(settings: pathlib.Path) -> int:
    """Take callers and relay them to the endpoints of the fleet.

    :param settings: TOML process file with a [process] table.
    """
    configure_logs()
    try:
        file = load_file(settings, EntryFile)
        server = Server(EntryApp(file, FleetView(), EndpointTable()), bind(file.process.listen))
    except BerylError as error:
        print(error, file=sys.stderr)
        return _EXIT_SETTINGS
    anyio.run(run_until_signal, server)
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(entry))
