"""beryl timeline: shows the events of all processes in causal order."""

import datetime
import json as json_module
import pathlib

import attrs

from beryljunction.cli.fleet_commands import (
    DEFAULT_OPERATOR_FILE,
    ask_fleet,
    print_failures,
    rows_of,
)
from beryljunction.fleet_process import OperatorClient
from beryljunction.timeline import Event, merge_events

__all__ = ["timeline"]


def timeline(
    *,
    config: pathlib.Path = DEFAULT_OPERATOR_FILE,
    hosts: str = "",
    at: str = "",
    request: str | None = None,
    last: int = 200,
    json: bool = False,
) -> int:
    """Show the events of all processes in causal order.

    Exit codes: 0 all processes answered, 1 some did not (named on standard error), 4 the host
    list did not answer.

    :param config: The operator's file.
    :param hosts: Base URL of the platform's host list, instead of the one in the file.
    :param at: Comma-separated addresses of processes, IP:PORT, instead of a host list.
    :param request: Show only this request; its id is in the beryl-request-id response header.
    :param last: Number of newest events to show.
    :param json: Print one JSON object a line.
    """

    async def run(client: OperatorClient) -> int:
        answers = await client.events(await rows_of(client, at), request, last)
        for event in merge_events(*answers.values.values())[-last:]:
            print(json_module.dumps(attrs.asdict(event)) if json else line_of(event))
        return print_failures(answers.failures)

    return ask_fleet(config, hosts, run, at)


def line_of(event: Event) -> str:
    """Return an event as a line of text."""
    moment = datetime.datetime.fromtimestamp(event.wall_ms / 1000, datetime.UTC)
    time = f"{moment:%Y-%m-%dT%H:%M:%S}.{event.wall_ms % 1000:03}.{event.logical:<3}"
    where = f"{event.host} ({event.availability_zone})"
    return f"{time} {where:28} {event.kind:16} {event.request_id:32} {event.detail}".rstrip()
