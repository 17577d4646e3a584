"""Which endpoints are worth sending to, and how full a slow one counts."""

from collections.abc import Sequence

from beryljunction.routing.knownendpoint import KnownEndpoint
from beryljunction.routing.mechanisms import ALL_ON, Mechanisms

__all__ = ["sound_rows", "weighted_loads"]

# Endpoints with a measured pace that make a median worth comparing with.
_LEAST_PACES = 3
# Workers of one service differ by up to 1.3 when sound; from here on one is slow. The most keeps
# an endpoint with one stalled stream from being shut out for good.
_LEAST_SLOWNESS = 1.6
_MOST_SLOWNESS = 6.0
# Share of bad outcomes from which an endpoint is passed over: two of about four. Sound plain
# endpoints answer up to one request in seven with an error of the application's own.
_LEAST_FAULT_SHARE = 0.4
_FAULT_SHARE_FACTOR = 2.5


def weighted_loads(
    rows: Sequence[KnownEndpoint], now_s: float, mechanisms: Mechanisms = ALL_ON
) -> dict[tuple[str, int], float]:
    """Return the load of each endpoint, a slow one's counted as much higher as it is slower.

    Load: an endpoint runs several times slower than its peers while it answers and looks healthy.
    Harm: by the number of its requests it is as free as the others, and each that goes there is
    late. Measured against the median of its peers, it is as full as its work takes longer.
    """
    if not mechanisms.slowness:
        return {row.start: row.load(now_s) for row in rows}
    paces = [row.pace.mean_ms for row in rows if row.pace.is_fresh(now_s)]
    median_ms = sorted(paces)[len(paces) // 2] if len(paces) >= _LEAST_PACES else 0.0
    return {row.start: row.load(now_s) * _slowness(row, median_ms, now_s) for row in rows}


def _slowness(row: KnownEndpoint, median_ms: float, now_s: float) -> float:
    if median_ms <= 0.0 or not row.pace.is_fresh(now_s):
        return 1.0
    ratio = row.pace.mean_ms / median_ms
    return min(_MOST_SLOWNESS, ratio) if ratio >= _LEAST_SLOWNESS else 1.0


def sound_rows(
    rows: Sequence[KnownEndpoint], now_s: float, mechanisms: Mechanisms = ALL_ON
) -> list[KnownEndpoint]:
    """Return the endpoints that are worth sending to; all of them when none is.

    Load: an endpoint fails part of its requests, refuses them, or keeps them waiting, while its
    record and its health look good. Harm: it is often the emptiest, so it attracts more and more
    requests, of which those that may run once are lost. It is passed over when its share of bad
    outcomes is several times that of its peers; where all fail alike, none is.
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
    return max(_LEAST_FAULT_SHARE, _FAULT_SHARE_FACTOR * median)
