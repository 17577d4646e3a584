"""beryl status: shows the state of each process of the fleet."""

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
from beryljunction.operator_api import ProcessStatus

__all__ = ["status"]

_COLUMNS = (
    "host",
    "zone",
    "role",
    "endpoint",
    "state",
    "settings",
    "age",
    "endpoints' age",
    "list",
    "running",
    "waiting",
    "reads from",
    "evacuated",
    "cold",
    "without load report",
    "refused records",
)


def status(
    *,
    config: pathlib.Path = DEFAULT_OPERATOR_FILE,
    hosts: str = "",
    at: str = "",
    json: bool = False,
) -> int:
    """Show the state, the data versions and the load of each process.

    Exit codes: 0 all processes answered, 1 some did not (named on standard error), 4 the host
    list did not answer.

    :param config: The operator's file.
    :param hosts: Base URL of the platform's host list, instead of the one in the file.
    :param at: Comma-separated addresses of processes, IP:PORT, instead of a host list.
    :param json: Print one JSON object a line.
    """

    async def run(client: OperatorClient) -> int:
        answers = await client.status(await rows_of(client, at))
        nodes = sorted(answers.values.values(), key=lambda node: (node.role, node.host))
        if json:
            for node in nodes:
                print(json_module.dumps(attrs.asdict(node)))
        else:
            print_table([_COLUMNS, *(_table_row(node) for node in nodes)])
        return print_failures(answers.failures)

    return ask_fleet(config, hosts, run, at)


def print_table(rows: list[tuple[str, ...]]) -> None:
    """Print rows as a table whose columns are as wide as their widest value."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        line = "  ".join(value.ljust(width) for value, width in zip(row, widths, strict=True))
        print(line.rstrip())


def _table_row(node: ProcessStatus) -> tuple[str, ...]:
    return (
        node.host,
        node.availability_zone,
        node.role,
        node.endpoint_id or "-",
        node.not_ready or "ready",
        str(node.settings_version),
        _age_text(node.settings_age_s),
        _age_text(node.endpoints_age_s),
        str(node.hosts_version),
        str(node.running if node.role == "sidecar" else node.in_flight),
        str(node.waiting),
        node.reads_from or "-",
        node.evacuated or "-",
        str(node.cold_endpoints),
        node.choices_without_report or "-",
        str(node.refused_records),
    )


def _age_text(age_s: float | None) -> str:
    return "-" if age_s is None else f"{age_s:.1f} s"
