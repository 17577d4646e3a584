"""beryl drain: stops an endpoint from accepting new requests."""

import pathlib
import sys

import anyio

from beryljunction.cli.fleet_commands import (
    DEFAULT_OPERATOR_FILE,
    EXIT_INVALID,
    EXIT_OK,
    ask_fleet,
    print_failures,
)
from beryljunction.fleet_process import OperatorClient
from beryljunction.operator_api import ProcessStatus
from beryljunction.stores import HostRow

__all__ = ["drain"]

_POLL_INTERVAL_S = 0.5


def drain(
    endpoint: str,
    *,
    config: pathlib.Path = DEFAULT_OPERATOR_FILE,
    hosts: str = "",
    undo: bool = False,
    wait: bool = False,
) -> int:
    """Stop an endpoint from accepting new requests; requests in flight there finish normally.

    Exit codes: 0 done, 1 the process did not answer, 2 no such endpoint, 4 the host list did not
    answer. A drained sidecar accepts requests again after a restart.

    :param endpoint: Endpoint id, or the name of a host.
    :param config: The operator's file.
    :param hosts: Base URL of the platform's host list, instead of the one in the file.
    :param undo: Accept requests again.
    :param wait: Return only when no request is in flight there.
    """

    async def run(client: OperatorClient) -> int:
        rows = [row for row in await client.list_hosts() if endpoint in (row.endpoint_id, row.host)]
        if not rows:
            print(f"{endpoint}: expected an endpoint id or host on the host list", file=sys.stderr)
            return EXIT_INVALID
        answers = await client.drain(rows[0], leaving=not undo)
        for node in answers.values.values():
            print(_status_line(node))
        if wait and not undo and not answers.failures:
            return await _wait_until_idle(client, rows[0])
        return print_failures(answers.failures)

    return ask_fleet(config, hosts, run)


async def _wait_until_idle(client: OperatorClient, row: HostRow) -> int:
    while True:
        answers = await client.status([row])
        if answers.failures:
            return print_failures(answers.failures)
        node = answers.values[row.host]
        if node.running + node.waiting == 0:
            print(_status_line(node))
            return EXIT_OK
        await anyio.sleep(_POLL_INTERVAL_S)


def _status_line(node: ProcessStatus) -> str:
    name = node.endpoint_id or node.host
    state = node.not_ready or "ready"
    return f"{name}: {state}, {node.running} running, {node.waiting} waiting"
