"""Shared start-up of the programs that run until they get a signal."""

import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import NoReturn, TypeVar

import anyio

from beryljunction.errors import BerylError
from beryljunction.fleet_process import FleetProcess
from beryljunction.logging_setup import configure_logging
from beryljunction.settings import EntryFile, ResolvedSettings, SidecarFile, load_file

__all__ = ["run_daemon", "run_file", "serve"]

_EXIT_SETTINGS = 2

T = TypeVar("T")
F = TypeVar("F", EntryFile, SidecarFile)


def run_file(settings: pathlib.Path, kind: type[T], run: Callable[[T], Awaitable[object]]) -> int:
    """Load a settings file, call `run` with it and return the exit code."""
    try:
        anyio.run(run, load_file(settings, kind))
    except BerylError as error:
        print(error, file=sys.stderr)
        return _EXIT_SETTINGS
    return 0


def serve(
    settings: pathlib.Path, kind: type[F], make: Callable[[F, ResolvedSettings], FleetProcess]
) -> int:
    """Run a process until it gets a signal and return its exit code.

    Args:
        settings: TOML process file.
        kind: Class that the file is loaded into.
        make: Creates the process from the file and its initial settings.
    """

    async def run(file: F) -> None:
        await make(file, file.fleet or ResolvedSettings()).run_until_signal()

    configure_logging()
    return run_file(settings, kind, run)


def run_daemon(command: Callable[[pathlib.Path], int]) -> NoReturn:
    """Run the command line of a program that takes one path.

    defopt parses docstrings with a full text processor, which takes 5 MB of memory that a
    long-running process would never free. It is therefore imported only for ``--help`` and for
    command lines that are not a single path.
    """
    match sys.argv[1:]:
        case [path] if not path.startswith("-"):
            sys.exit(command(pathlib.Path(path)))
    import defopt

    sys.exit(defopt.run(command))
