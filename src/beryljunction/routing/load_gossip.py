"""Load reports of endpoints that entries share with each other."""

import heapq
from collections.abc import Iterable, Sequence

import attrs

from beryljunction.routing.known_endpoint import KnownEndpoint

__all__ = ["LoadSample", "loads_to_gossip", "merge_loads"]

# Older loads are not shared: most of those requests would have ended on arrival.
_MAX_AGE_S = 2.0
# Rows per message, 8 bytes each; more than these bring a receiver little that it doesn't have.
_MAX_ROWS = 10
# A load takes part in the order by its age divided by its requests plus this many.
_LOAD_OFFSET = 4
# Factor on the age of a load without a queue. A queue is worth knowing for half a second only, and
# has to reach every entry within that time.
_NO_QUEUE_FACTOR = 4.0


@attrs.frozen
class LoadSample:
    """Load that an endpoint reported: its requests from all entries.

    Attributes:
        incarnation_id: Id and start time of the endpoint.
        requests: Requests that it had, including the waiting ones, and those that entries are known
            to have sent since.
        age_s: Time since the endpoint reported it.
        waiting: Requests that were waiting there.
    """

    incarnation_id: tuple[str, int]
    requests: int
    age_s: float
    waiting: int = 0


def loads_to_gossip(rows: Iterable[KnownEndpoint], now_s: float) -> tuple[LoadSample, ...]:
    """Return the latest loads, both own and received ones: fresh ones first, high ones longest.

    Without sharing, an entry learns the load of an endpoint only from that endpoint's answers, once
    in 20 s with 86 endpoints, so sessions with the same home endpoint overload it unnoticed. Low
    loads are shared too: an endpoint that was low half a second ago may be full now, and an entry
    without its last load knows nothing of it.
    """
    fresh = [row for row in rows if row.report_age_s(now_s) < _MAX_AGE_S]
    first = heapq.nsmallest(_MAX_ROWS, fresh, key=lambda row: _rank(row, now_s))
    return tuple(
        LoadSample(
            row.incarnation_id, row.load_since_report, row.report_age_s(now_s), row.reported_waiting
        )
        for row in first
    )


def _rank(row: KnownEndpoint, now_s: float) -> float:
    age_s = row.report_age_s(now_s) * (1.0 if row.has_queue(now_s) else _NO_QUEUE_FACTOR)
    return age_s / (row.reported_load + _LOAD_OFFSET)


def merge_loads(rows: Sequence[KnownEndpoint], loads: Iterable[LoadSample], now_s: float) -> None:
    """Apply loads that another entry shared; later reports that are known here stay."""
    known = {row.incarnation_id: row for row in rows}
    for load in loads:
        row = known.get(load.incarnation_id)
        if row is not None:
            row.merge_load(load.requests, now_s - load.age_s, load.waiting)
