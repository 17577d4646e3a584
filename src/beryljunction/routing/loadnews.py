"""What entries tell each other of the load of endpoints."""

from collections.abc import Iterable, Sequence

import attrs

from beryljunction.routing.knownendpoint import KnownEndpoint

__all__ = ["LoadNews", "hear_loads", "loads_to_tell"]

# An older load is not told: by the time it arrives most of those requests have ended.
_MOST_AGE_S = 2.0
# Rows of one message, 30 bytes each: with its frame and a moved session it has 490 bytes, and 8
# messages a second stay under the 4 KB/s of control.
_MOST_ROWS = 10


@attrs.frozen
class LoadNews:
    """Requests that an endpoint had by its own word, whoever sent them.

    Attributes:
        start: Id and birth of the endpoint.
        age_s: Time since the endpoint stated it.
    """

    start: tuple[str, int]
    requests: int
    age_s: float


def loads_to_tell(rows: Iterable[KnownEndpoint], now_s: float) -> tuple[LoadNews, ...]:
    """Return the latest loads above the mean of their service, own ones and heard ones.

    Load: many entries that each send an endpoint a request now and then. Harm: an entry learns an
    endpoint's load from that endpoint's answers only, once in 20 s before 86 endpoints, so sessions
    that share a home pile up there unseen; of 230 requests a second that 68 entries place, 1.75 in
    100 went to endpoints above the fleet's bound. Told of the full ones, and telling them on, 0.77
    do (testing/imbalance_world.py, means of 8 seeds). Emptier ones are left out: sending there does
    no harm.
    """
    fresh = [row for row in rows if row.report and now_s - row.report.at_s < _MOST_AGE_S]
    means = _means(fresh)
    full = [row for row in fresh if row.stated_load > means[row.record.service]]
    full.sort(key=lambda row: _age_s(row, now_s))
    return tuple(
        LoadNews(row.start, row.stated_load, _age_s(row, now_s)) for row in full[:_MOST_ROWS]
    )


def hear_loads(rows: Sequence[KnownEndpoint], loads: Iterable[LoadNews], now_s: float) -> None:
    """Take in what another entry tells; what is known here from later on stays."""
    known = {row.start: row for row in rows}
    for load in loads:
        row = known.get(load.start)
        if row is not None:
            row.hear_load(load.requests, now_s - load.age_s)


def _means(rows: Iterable[KnownEndpoint]) -> dict[str, float]:
    """Return the mean of the stated loads of each service."""
    loads: dict[str, list[int]] = {}
    for row in rows:
        loads.setdefault(row.record.service, []).append(row.stated_load)
    return {service: sum(values) / len(values) for service, values in loads.items()}


def _age_s(row: KnownEndpoint, now_s: float) -> float:
    return now_s - row.report.at_s if row.report is not None else float("inf")
