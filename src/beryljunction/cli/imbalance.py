"""beryl imbalance: counts requests over the load bound of the fleet, from log files."""

import datetime
import pathlib
import sys

from beryljunction.cli.log_files import UnreadableLogError, read_log_lines
from beryljunction.load_imbalance import ServiceImbalance, count_imbalance

__all__ = ["imbalance"]

_MAX_ENDPOINTS = 5


def imbalance(*logs: pathlib.Path) -> int:
    """Count the requests that reached an endpoint over the load bound of the fleet.

    Exit codes: 0 the limit of 3 in 100 in five seconds holds, 1 it is broken, 2 a file can't be
    read or contains no request.

    :param logs: Logs of all entries, in any order; lines that are not events are ignored.
    """
    try:
        lines = read_log_lines(logs)
    except UnreadableLogError as error:
        print(error, file=sys.stderr)
        return 2
    services = [row for row in count_imbalance(lines) if row.requests]
    if not services:
        message = f"expected lines of sent requests, got none in {len(lines)} events"
        print(f"{message}; pass the logs of all entries", file=sys.stderr)
        return 2
    for service in services:
        print(_format(service))
    return int(any(service.worst.breaks_limit for service in services))


def _format(service: ServiceImbalance) -> str:
    worst = service.worst
    start = datetime.datetime.fromtimestamp(worst.start_s, datetime.UTC).time()
    verdict = "limit broken" if worst.breaks_limit else "within the limit"
    most = ", ".join(f"{name} {over}" for name, over in service.over_by_endpoint[:_MAX_ENDPOINTS])
    return (
        f"{service.service}: {service.endpoints} endpoints, {service.over} of {service.requests} "
        f"requests over the bound; worst 5 s from {start:%H:%M:%S}.{start.microsecond // 1000:03}: "
        f"{worst.over} of {worst.requests} ({worst.share:.1%}), {verdict}"
        + (f"; most at {most}" if most else "")
    )
