"""beryl-local: the whole path on one machine."""

import itertools
import pathlib
import sys

import anyio
import defopt

from beryljunction.cli.daemons import run_file
from beryljunction.local import (
    DEMO_KEY,
    FleetPlan,
    StandInsFile,
    print_demo,
    run_demo,
    run_standins,
    serve_fleet,
    serve_platform,
    write_files,
)

__all__ = ["main"]


def demo() -> int:
    """Send returning chats and non-idempotent calls through a fleet; exit 1 on a broken promise."""
    result = anyio.run(run_demo)
    print_demo(result)
    return 0 if result.kept_promises else 1


def serve(*, endpoints: int = 2) -> int:
    """Keep a fleet up for trying with curl, until interrupted.

    :param endpoints: Endpoints of each service.
    """
    try:
        anyio.run(serve_fleet, endpoints)
    except KeyboardInterrupt:
        return 0
    return 0


def platform() -> int:
    """Keep the path on the users' platform up for trying with curl, until interrupted.

    The store's stand-in, two endpoints of each of two services and an entry, in one process. The
    log goes to standard output, what to try to standard error.
    """
    try:
        anyio.run(serve_platform)
    except KeyboardInterrupt:
        return 0
    return 0


def files(directory: pathlib.Path, *, first_port: int = 7400) -> int:
    """Write the process files of a small fleet, for running it as separate processes.

    :param directory: Where the files go; it is made if need be.
    :param first_port: First of the loopback ports that the processes get.
    """
    directory.mkdir(parents=True, exist_ok=True)
    entries = write_files(directory, itertools.count(first_port), FleetPlan())
    print(f"beryl-local standins {directory}/standins.toml")
    for path in sorted(directory.glob("*.toml")):
        if path.stem.startswith("entry-"):
            print(f"beryl-entry {path}")
        elif path.stem not in ("standins", "operator"):
            print(f"beryl-sidecar {path}")
    print(f"beryl status --config {directory}/operator.toml")
    print(f"# entries: {' '.join(entries)}  API key: {DEMO_KEY}")
    return 0


def standins(settings: pathlib.Path) -> int:
    """Run the host list and the endpoints of a fleet whose own processes run apart.

    :param settings: TOML file that ``beryl-local files`` wrote.
    """
    return run_file(settings, StandInsFile, run_standins)


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run([demo, serve, platform, files, standins]))
