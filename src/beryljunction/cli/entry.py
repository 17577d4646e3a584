"""beryl-entry: takes callers."""

import pathlib

from beryljunction.cli.daemons import run_daemon, serve
from beryljunction.node import Node
from beryljunction.settings import EntryFile

__all__ = ["main"]


def entry(settings: pathlib.Path) -> int:
    """Take callers and relay them to the endpoints of the fleet.

    SIGTERM or SIGINT stops it once everything in flight has ended. Exit codes: 0 after a stop,
    2 when the settings can't be used or an address is taken.

    :param settings: TOML process file with a [process] table.
    """
    return serve(settings, EntryFile, Node.entry)


def main() -> None:
    """Run the command line."""
    run_daemon(entry)
