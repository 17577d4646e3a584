"""beryl drain: have an endpoint take no new work."""

import pathlib
import sys

import anyio

from beryljunction.cli.asking import CONFIG, EXIT_INVALID, EXIT_OK, ask_fleet, print_failures
from beryljunction.node import OperatorClient
from beryljunction.operators import NodeStatus
from beryljunction.stores import HostRow

__all__ = ["drain"]

_ASK_S = 0.5


def drain(
    endpoint: str,
    *,
    config: pathlib.Path = CONFIG,
    hosts: str = "",
    undo: bool = False,
    wait: bool = False,
) -> int:
    """Have an endpoint take no new work; what is in flight there ends as it would have.

    Exit codes: 0 done, 1 the process did not answer, 2 no such endpoint, 4 the host list did not
    answer. A drained sidecar that is started anew takes work again.

    :param endpoint: Endpoint id, or the name of a host.
    :param config: The operator's file.
    :param hosts: Base URL of the platform's host list, instead of the one in the file.
    :param undo: Take work again.
    :param wait: Return only when nothing is in flight any more.
    """

    async def run(client: OperatorClient) -> int:
        rows = [row for row in await client.rows() if endpoint in (row.endpoint_id, row.host)]
        if not rows:
            print(f"{endpoint}: expected an endpoint on the host list", file=sys.stderr)
            return EXIT_INVALID
        answers = await client.drain(rows[0], leaving=not undo)
        for node in answers.values.values():
            print(_line_of(node))
        if wait and not undo and not answers.failures:
            return await _wait(client, rows[0])
        return print_failures(answers.failures)

    return ask_fleet(config, hosts, run)


async def _wait(client: OperatorClient, row: HostRow) -> int:
    while True:
        answers = await client.status([row])
        if answers.failures:
            return print_failures(answers.failures)
        node = answers.values[row.host]
        if node.running + node.waiting == 0:
            print(_line_of(node))
            return EXIT_OK
        await anyio.sleep(_ASK_S)


def _line_of(node: NodeStatus) -> str:
    name = node.endpoint_id or node.host
    state = node.not_ready or "ready"
    return f"{name}: {state}, {node.running} running, {node.waiting} waiting"
