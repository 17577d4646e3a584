"""Which endpoints are healthy enough for requests, and how the load of a slow one counts."""

from collections.abc import Callable, Sequence

from beryljunction.routing.known_endpoint import KnownEndpoint
from beryljunction.routing.mechanisms import ALL_ON, Mechanisms

__all__ = ["healthy_endpoints", "weighted_loads"]

# Endpoints with a measured latency that are needed for a meaningful median.
_MIN_LATENCIES = 3
# Healthy workers of one service differ by a factor of up to 1.3; from the lower factor on, one
# counts as slow. The upper one keeps an endpoint with one stalled stream from being excluded for
# good.
_MIN_SLOWNESS = 1.6
_MAX_SLOWNESS = 6.0
# Rate of bad outcomes from which an endpoint is skipped: two of about four. Healthy plain
# endpoints answer up to one request in seven with an error of the application.
_MIN_ERROR_RATE = 0.4
_ERROR_RATE_FACTOR = 2.5


def weighted_loads(
    rows: Sequence[KnownEndpoint],
    now_s: float,
    mechanisms: Mechanisms = ALL_ON,
    load: Callable[[KnownEndpoint, float], float] = KnownEndpoint.load,
) -> dict[tuple[str, int], float]:
    """Return the load of each endpoint; that of a slow one is multiplied by its slowness.

    An endpoint can run several times slower than its peers while it answers and looks healthy. By
    its number of requests it is as free as the others, but every request that goes there is late.
    Slowness is the ratio of its latency to the median of its peers.

    Args:
        rows: The endpoints.
        now_s: Time on the clock of their loads.
        mechanisms: Which optional mechanisms are enabled.
        load: Returns the load of an endpoint at a time.
    """
    if not mechanisms.slowness:
        return {row.incarnation_id: load(row, now_s) for row in rows}
    latencies_ms = [row.latency.mean_ms for row in rows if row.latency.is_fresh(now_s)]
    median_ms = (
        sorted(latencies_ms)[len(latencies_ms) // 2] if len(latencies_ms) >= _MIN_LATENCIES else 0.0
    )
    return {row.incarnation_id: load(row, now_s) * _slowness(row, median_ms, now_s) for row in rows}


def _slowness(row: KnownEndpoint, median_ms: float, now_s: float) -> float:
    if median_ms <= 0.0 or not row.latency.is_fresh(now_s):
        return 1.0
    ratio = row.latency.mean_ms / median_ms
    return min(_MAX_SLOWNESS, ratio) if ratio >= _MIN_SLOWNESS else 1.0


def healthy_endpoints(
    rows: Sequence[KnownEndpoint], now_s: float, mechanisms: Mechanisms = ALL_ON
) -> list[KnownEndpoint]:
    """Return the endpoints that look healthy; all of them if none does.

    An endpoint can fail, refuse or delay part of its requests while its record and its health check
    look good. It is often the least loaded one, so it attracts more and more requests, and those
    that may run only once are lost. It is skipped when its rate of bad outcomes is several times
    that of its peers; if all fail alike, none is skipped.
    """
    healthy = list(rows)
    if mechanisms.suspects:
        healthy = [row for row in healthy if not row.is_suspect(now_s)]
    if mechanisms.stall:
        healthy = [row for row in healthy if not row.is_stalled(now_s)]
    if mechanisms.fault_shares:
        limit = _max_error_rate(rows, now_s)
        healthy = [row for row in healthy if row.error_rate.at(now_s) < limit]
    return healthy or list(rows)


def _max_error_rate(rows: Sequence[KnownEndpoint], now_s: float) -> float:
    rates = sorted(row.error_rate.at(now_s) for row in rows)
    median = rates[len(rates) // 2] if rates else 0.0
    return max(_MIN_ERROR_RATE, _ERROR_RATE_FACTOR * median)
