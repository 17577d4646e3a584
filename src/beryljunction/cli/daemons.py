"""What the programs that run until a signal share."""

import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import NoReturn, TypeVar

import anyio

from beryljunction.errors import BerylError
from beryljunction.logs import configure_logs
from beryljunction.node import Node
from beryljunction.settings import EntryFile, FleetView, SidecarFile, load_file

__all__ = ["run_daemon", "run_file", "serve"]

_EXIT_SETTINGS = 2

T = TypeVar("T")
F = TypeVar("F", EntryFile, SidecarFile)


def run_file(settings: pathlib.Path, kind: type[T], run: Callable[[T], Awaitable[object]]) -> int:
    """Run what a settings file describes, until it ends, and return the exit code."""
    try:
        anyio.run(run, load_file(settings, kind))
    except BerylError as error:
        print(error, file=sys.stderr)
        return _EXIT_SETTINGS
    return 0


def serve(settings: pathlib.Path, kind: type[F], make: Callable[[F, FleetView], Node]) -> int:
    """Run a process until a signal and return its exit code.

    Args:
        settings: TOML process file.
        kind: What the file holds.
        make: Makes the process out of the file and the settings that it starts with.
    """

    async def run(file: F) -> None:
        await make(file, file.fleet or FleetView()).run_until_signal()

    configure_logs()
    return run_file(settings, kind, run)


def run_daemon(command: Callable[[pathlib.Path], int]) -> NoReturn:
    """Run the command line of a program that takes one path.

    The command line library reads docstrings by way of a whole text processor: 5 MB that a process
    of months would hold for its first millisecond. So it is loaded only where it has something to
    say, for ``--help`` and for a command line that is not one path.
    """
    match sys.argv[1:]:
        case [path] if not path.startswith("-"):
            sys.exit(command(pathlib.Path(path)))
    import defopt

    sys.exit(defopt.run(command))
