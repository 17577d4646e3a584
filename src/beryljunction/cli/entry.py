"""beryl-entry: runs an entry, which accepts requests from callers."""

import pathlib

from beryljunction.cli.daemons import run_daemon, serve
from beryljunction.fleet_process import FleetProcess
from beryljunction.settings import EntryFile

__all__ = ["main"]


def entry(settings: pathlib.Path) -> int:
    """Accept requests from callers and relay them to the endpoints of the fleet.

    SIGTERM or SIGINT stops it once no request is in flight. Exit codes: 0 after such a stop,
    2 if the settings are not valid or an address is in use.

    :param settings: TOML process file with a [process] table.
    """
    return serve(settings, EntryFile, FleetProcess.entry)


def main() -> None:
    """Run the command line."""
    run_daemon(entry)
