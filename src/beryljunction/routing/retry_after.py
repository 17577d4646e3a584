"""How long a refused caller should wait before a retry."""

import math
import random
from collections.abc import Sequence

from beryljunction.routing.known_endpoint import KnownEndpoint

__all__ = ["retry_after_s"]

# Callers that can be served elsewhere retry soon enough to meet their latency target (200 ms and
# up); the random spread keeps those refused together from returning together.
_ROOM_PAUSE_S = 0.03
_ROOM_SPREAD_S = 0.12
# If no endpoint has room or none is known, an early retry would only be refused again.
_FULL_PAUSE_S = 0.25
_FULL_SPREAD_S = 0.5
# Callers honour a pause of up to a third of their remaining time.
_MAX_PAUSE_SHARE = 1 / 3
_MIN_PAUSE_S = 0.01
# Pauses are sent in hundredths of a second, rounded down: rounded up, one could exceed that third.
_STEPS_PER_S = 100
# An endpoint with a load below this share of its slots has room for a retry.
_ROOM_SHARE = 0.8


def retry_after_s(
    rows: Sequence[KnownEndpoint],
    left_s: float | None,
    draw: random.Random,
    now_s: float,
    available_in_s: float = 0.0,
) -> float:
    """Return the pause that a refused caller is told.

    If one endpoint declined a request that others could take, a long pause delays the caller for
    nothing; if all endpoints are full, a short one leads to a second refusal.

    Args:
        rows: Healthy endpoints that have not declined the request.
        left_s: Remaining time of the caller; None if it stated none.
        draw: Random source of the spread.
        now_s: Time on the clock of the endpoints' loads.
        available_in_s: Time until an endpoint takes requests at all.
    """
    has_room = any(row.load(now_s) < row.record.slots * _ROOM_SHARE for row in rows)
    pause_s, spread_s = (
        (_ROOM_PAUSE_S, _ROOM_SPREAD_S) if has_room else (_FULL_PAUSE_S, _FULL_SPREAD_S)
    )
    pause_s = max(pause_s, available_in_s) + draw.random() * spread_s
    if left_s is not None:
        pause_s = min(pause_s, left_s * _MAX_PAUSE_SHARE)
    return max(_MIN_PAUSE_S, math.floor(pause_s * _STEPS_PER_S) / _STEPS_PER_S)
