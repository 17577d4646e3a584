"""Helpers of the commands that query the processes of the fleet."""

import contextlib
import os
import pathlib
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

import anyio
import attrs

from beryljunction.errors import PlatformUnavailableError, SettingsError
from beryljunction.fleet_process import OperatorClient
from beryljunction.servers import create_client_pool
from beryljunction.settings import load_file
from beryljunction.settings.schema import OperatorFile
from beryljunction.stores import HostRow
from beryljunction.tls import client_context

__all__ = [
    "DEFAULT_OPERATOR_FILE",
    "EXIT_HOST_LIST_DOWN",
    "EXIT_INVALID",
    "EXIT_OK",
    "EXIT_PARTIAL",
    "ask_fleet",
    "operator_client",
    "print_failures",
    "rows_of",
]

DEFAULT_OPERATOR_FILE = pathlib.Path(os.environ.get("BERYL_CONFIG", "beryl.toml"))
EXIT_OK = 0
EXIT_PARTIAL = 1
EXIT_INVALID = 2
EXIT_HOST_LIST_DOWN = 4


def ask_fleet(
    config: pathlib.Path,
    hosts: str,
    command: Callable[[OperatorClient], Awaitable[int]],
    at: str = "",
) -> int:
    """Run a command with a client for the fleet's processes and return its exit code.

    Args:
        config: The operator's file.
        hosts: Base URL of the host list; empty for the one in the operator's file.
        command: Queries the processes and returns the exit code.
        at: Addresses of processes; with these, no host list and no operator's file is needed.
    """

    async def run(file: OperatorFile) -> int:
        async with operator_client(file) as client:
            return await command(client)

    try:
        return anyio.run(run, _operator_file(config, hosts, at))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    except PlatformUnavailableError as error:
        print(f"the host list did not answer: {error}", file=sys.stderr)
        return EXIT_HOST_LIST_DOWN


@contextlib.asynccontextmanager
async def operator_client(file: OperatorFile) -> AsyncIterator[OperatorClient]:
    """Open a client that sends the operator key, over TLS if the file names a CA certificate.

    Raises:
        SettingsError: If the CA certificate can't be read.
    """
    try:
        tls = client_context(file.authority_path) if file.authority_path else None
    except OSError as error:
        problem = f"authority_path: expected a readable PEM file, got {error}"
        raise SettingsError([problem]) from error
    async with create_client_pool() as pool, create_client_pool(tls) as process_pool:
        yield OperatorClient(pool, file.hosts_address, process_pool, file.operator_key)


async def rows_of(client: OperatorClient, at: str) -> list[HostRow]:
    """Return rows for these comma-separated addresses, or the whole host list if there are none."""
    if not at:
        return await client.list_hosts()
    addresses = [text.strip() for text in at.split(",")]
    return [HostRow(text, "", "", "", "", text, operator_address=text) for text in addresses]


def _operator_file(config: pathlib.Path, hosts: str, at: str) -> OperatorFile:
    """Return the operator's file; it may be missing if addresses or a host list are given."""
    if (hosts or at) and not config.exists():
        return OperatorFile("", "", hosts_address=hosts)
    file = load_file(config, OperatorFile)
    return attrs.evolve(file, hosts_address=hosts or file.hosts_address)


def print_failures(failures: Mapping[str, str]) -> int:
    """Print the processes that did not answer and return the exit code."""
    for host, reason in sorted(failures.items()):
        print(f"{host}: {reason}", file=sys.stderr)
    return EXIT_PARTIAL if failures else EXIT_OK
