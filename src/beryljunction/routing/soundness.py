"""Which endpoints are healthy enough for requests, and how the load of a slow one counts."""

from collections.abc import Sequence

from beryljunction.routing.knownendpoint import KnownEndpoint
from beryljunction.routing.mechanisms import ALL_ON, Mechanisms

__all__ = ["sound_rows", "weighted_loads"]

# Endpoints with a measured pace that are needed for a meaningful median.
_MIN_PACES = 3
# Healthy workers of one service differ by a factor of up to 1.3; from the lower factor on, one
# counts as slow. The upper one keeps an endpoint with one stalled stream from being excluded for
# good.
_MIN_SLOWNESS = 1.6
_MAX_SLOWNESS = 6.0
# Share of bad outcomes from which an endpoint is skipped: two of about four. Healthy plain
# endpoints answer up to one request in seven with an error of the application.
_MIN_FAULT_SHARE = 0.4
_FAULT_SHARE_FACTOR = 2.5


def weighted_loads(
    rows: Sequence[KnownEndpoint], now_s: float, mechanisms: Mechanisms = ALL_ON
) -> dict[tuple[str, int], float]:
    """Return the load of each endpoint; that of a slow one is multiplied by its slowness.

    An endpoint can run several times slower than its peers while it answers and looks healthy. By
    its number of requests it is as free as the others, but every request that goes there is late.
    Slowness is the ratio of its pace to the median of its peers.
    """
    if not mechanisms.slowness:
        return {row.incarnation_id: row.load(now_s) for row in rows}
    paces = [row.pace.mean_ms for row in rows if row.pace.is_fresh(now_s)]
    median_ms = sorted(paces)[len(paces) // 2] if len(paces) >= _MIN_PACES else 0.0
    return {row.incarnation_id: row.load(now_s) * _slowness(row, median_ms, now_s) for row in rows}


def _slowness(row: KnownEndpoint, median_ms: float, now_s: float) -> float:
    if median_ms <= 0.0 or not row.pace.is_fresh(now_s):
        return 1.0
    ratio = row.pace.mean_ms / median_ms
    return min(_MAX_SLOWNESS, ratio) if ratio >= _MIN_SLOWNESS else 1.0


def sound_rows(
    rows: Sequence[KnownEndpoint], now_s: float, mechanisms: Mechanisms = ALL_ON
) -> list[KnownEndpoint]:
    """Return the endpoints that look healthy; all of them if none does.

    An endpoint can fail, refuse or delay part of its requests while its record and its health check
    look good. It is often the least loaded one, so it attracts more and more requests, and those
    that may run only once are lost. It is skipped when its share of bad outcomes is several times
    that of its peers; if all fail alike, none is skipped.
    """
    sound = list(rows)
    if mechanisms.suspects:
        sound = [row for row in sound if not row.is_suspect(now_s)]
    if mechanisms.stall:
        sound = [row for row in sound if not row.is_stalled(now_s)]
    if mechanisms.fault_shares:
        limit = _fault_limit(rows, now_s)
        sound = [row for row in sound if row.faults.at(now_s) < limit]
    return sound or list(rows)


def _fault_limit(rows: Sequence[KnownEndpoint], now_s: float) -> float:
    shares = sorted(row.faults.at(now_s) for row in rows)
    median = shares[len(shares) // 2] if shares else 0.0
    return max(_MIN_FAULT_SHARE, _FAULT_SHARE_FACTOR * median)
