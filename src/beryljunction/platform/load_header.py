"""Parses the load that endpoints report in a header of their responses."""

import math
from collections.abc import Sequence

import attrs

from beryljunction.platform.headers import LOAD

__all__ = ["ReportedLoad", "parse_load"]

# No endpoint holds this many requests; a larger number would only distort the mean.
_MAX_REQUESTS = 100_000
# Usual pace of a machine in the header, in percent.
_USUAL_PERCENT = 100.0
# A machine that is slower by more than this factor serves nothing; the value is an error.
_MAX_SLOWDOWN = 100.0


@attrs.frozen
class ReportedLoad:
    """Load in the response of an endpoint, as far as it can be read.

    Attributes:
        running: Requests that it runs; None if the number can't be read.
        waiting: Requests in its queue; 0 if the number is missing or can't be read.
        slowdown: How long work takes on its machine at this moment, relative to the usual time;
            None if the endpoint doesn't report it or the number can't be read.
        problem: The first field that can't be read, with the expected and actual value; empty if
            all can.
    """

    running: int | None
    waiting: int = 0
    slowdown: float | None = None
    problem: str = ""


def parse_load(lines: Sequence[tuple[bytes, bytes]]) -> ReportedLoad | None:
    """Parse the load header; return None if the response has none.

    Each field is read on its own. Later versions of an endpoint may add fields or change the type
    of one, and a report that is rejected as a whole leaves entries without any load.
    """
    value = next((value for name, value in lines if name == LOAD), None)
    if value is None:
        return None
    fields = [field.strip() for field in value.split(b",")]
    running = _read_requests(fields[0])
    waiting = _read_requests(fields[1]) if len(fields) > 1 else None
    slowdown = _read_slowdown(fields[3]) if len(fields) > 3 else None
    problem = ""
    if running is None:
        problem = f"running: expected a number of requests, got {fields[0]!r}"
    elif waiting is None:
        got = repr(fields[1]) if len(fields) > 1 else "no field"
        problem = f"waiting: expected a number of requests, got {got}"
    elif len(fields) > 3 and slowdown is None:
        problem = f"pace: expected a percentage, got {fields[3]!r}"
    return ReportedLoad(running, waiting or 0, slowdown, problem)


def _read_requests(field: bytes) -> int | None:
    number = _read_number(field)
    return int(number) if number is not None and 0 <= number <= _MAX_REQUESTS else None


def _read_slowdown(field: bytes) -> float | None:
    number = _read_number(field)
    if number is None or number <= 0:
        return None
    slowdown = number / _USUAL_PERCENT
    return slowdown if slowdown <= _MAX_SLOWDOWN else None


def _read_number(field: bytes) -> float | None:
    try:
        number = float(field)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
