"""beryl-local: runs a whole fleet on one host, with stand-ins for everything around it."""

import itertools
import pathlib
import sys

import anyio
import defopt

from beryljunction.cli.daemons import run_file
from beryljunction.local import (
    DEMO_API_KEY,
    LocalFleetSize,
    StandInsFile,
    print_demo,
    run_demo,
    run_interactive_fleet,
    run_interactive_platform,
    run_standins,
    write_process_files,
)

__all__ = ["main"]


def demo() -> int:
    """Send chats and non-idempotent calls through a fleet; exit 1 if one was cut or run twice."""
    result = anyio.run(run_demo)
    print_demo(result)
    return 0 if result.kept_promises else 1


def serve(*, endpoints: int = 2) -> int:
    """Run a fleet to try out with curl, until interrupted.

    :param endpoints: Endpoints of each service.
    """
    try:
        anyio.run(run_interactive_fleet, endpoints)
    except KeyboardInterrupt:
        return 0
    return 0


def platform() -> int:
    """Run an entry of the users' platform to try out with curl, until interrupted.

    A stand-in of the store, two endpoints of each of two services and the entry run in one process.
    The log goes to standard output, the example commands go to standard error.
    """
    try:
        anyio.run(run_interactive_platform)
    except KeyboardInterrupt:
        return 0
    return 0


def files(directory: pathlib.Path, *, first_port: int = 7400) -> int:
    """Write the process files of a small fleet that runs as separate processes.

    :param directory: Directory for the files; it is created if it does not exist.
    :param first_port: First of the consecutive loopback ports that the processes listen on.
    """
    directory.mkdir(parents=True, exist_ok=True)
    entries = write_process_files(directory, itertools.count(first_port), LocalFleetSize())
    print(f"beryl-local standins {directory}/standins.toml")
    for path in sorted(directory.glob("*.toml")):
        if path.stem.startswith("entry-"):
            print(f"beryl-entry {path}")
        elif path.stem not in ("standins", "operator"):
            print(f"beryl-sidecar {path}")
    print(f"beryl status --config {directory}/operator.toml")
    print(f"# entries: {' '.join(entries)}  API key: {DEMO_API_KEY}")
    return 0


def standins(settings: pathlib.Path) -> int:
    """Run the stand-ins of a fleet whose entries and sidecars run as separate processes.

    :param settings: TOML file that ``beryl-local files`` wrote.
    """
    return run_file(settings, StandInsFile, run_standins)


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run([demo, serve, platform, files, standins]))
