"""beryl-entry: takes callers."""

import pathlib
import sys

import anyio
import defopt

from beryljunction.errors import BerylError
from beryljunction.logs import configure_logs
from beryljunction.node import Node
from beryljunction.settings import EntryFile, FleetView, load_file

__all__ = ["main"]

_EXIT_SETTINGS = 2


async def _run(file: EntryFile) -> None:
    await Node.entry(file, file.fleet or FleetView()).run_until_signal()


def entry(settings: pathlib.Path) -> int:
    """Take callers and relay them to the endpoints of the fleet.

    SIGTERM or SIGINT stops it once everything in flight has ended. Exit codes: 0 after a stop,
    2 when the settings can't be used or an address is taken.

    :param settings: TOML process file with a [process] table.
    """
    configure_logs()
    try:
        anyio.run(_run, load_file(settings, EntryFile))
    except BerylError as error:
        print(error, file=sys.stderr)
        return _EXIT_SETTINGS
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(entry))
