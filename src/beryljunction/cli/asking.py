"""What the commands that ask the fleet's processes have in common."""

import sys
from collections.abc import Awaitable, Callable, Mapping

import anyio

from beryljunction.errors import BerylError
from beryljunction.node import OperatorClient
from beryljunction.servers import client_pool

__all__ = ["EXIT_DOWN", "EXIT_INVALID", "EXIT_OK", "EXIT_PARTIAL", "ask_fleet", "print_failures"]

EXIT_OK = 0
EXIT_PARTIAL = 1
EXIT_INVALID = 2
EXIT_DOWN = 4


def ask_fleet(hosts: str, command: Callable[[OperatorClient], Awaitable[int]]) -> int:
    """Run a command against the processes on a host list and return its exit code."""

    async def run() -> int:
        async with client_pool() as pool:
            return await command(OperatorClient(pool, hosts))

    try:
        return anyio.run(run)
    except BerylError as error:
        print(f"the host list did not answer: {error}", file=sys.stderr)
        return EXIT_DOWN


def print_failures(failures: Mapping[str, str]) -> int:
    """Name the processes that did not answer; return the exit code."""
    for host, reason in sorted(failures.items()):
        print(f"{host}: {reason}", file=sys.stderr)
    return EXIT_PARTIAL if failures else EXIT_OK
