"""What the commands that ask the fleet's processes have in common."""

import os
import pathlib
import sys
from collections.abc import Awaitable, Callable, Mapping

import anyio

from beryljunction.errors import PlatformUnavailableError, SettingsError
from beryljunction.node import OperatorClient
from beryljunction.servers import client_pool
from beryljunction.settings import load_file
from beryljunction.settings.schema import OperatorFile

__all__ = [
    "CONFIG",
    "EXIT_DOWN",
    "EXIT_INVALID",
    "EXIT_OK",
    "EXIT_PARTIAL",
    "ask_fleet",
    "print_failures",
]

CONFIG = pathlib.Path(os.environ.get("BERYL_CONFIG", "beryl.toml"))
EXIT_OK = 0
EXIT_PARTIAL = 1
EXIT_INVALID = 2
EXIT_DOWN = 4


def ask_fleet(
    config: pathlib.Path, hosts: str, command: Callable[[OperatorClient], Awaitable[int]]
) -> int:
    """Run a command against the processes on the host list and return its exit code.

    Args:
        config: The operator's file.
        hosts: Base URL of the list; empty for the one in the file.
        command: What to ask; returns the exit code.
    """

    async def run() -> int:
        async with client_pool() as pool:
            return await command(OperatorClient(pool, hosts_address))

    try:
        hosts_address = hosts or load_file(config, OperatorFile).hosts_address
        return anyio.run(run)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    except PlatformUnavailableError as error:
        print(f"the host list did not answer: {error}", file=sys.stderr)
        return EXIT_DOWN


def print_failures(failures: Mapping[str, str]) -> int:
    """Name the processes that did not answer; return the exit code."""
    for host, reason in sorted(failures.items()):
        print(f"{host}: {reason}", file=sys.stderr)
    return EXIT_PARTIAL if failures else EXIT_OK
