"""When a refused caller is to come back."""

import math
import random
from collections.abc import Sequence

from beryljunction.routing.knownendpoint import KnownEndpoint

__all__ = ["retry_after_s"]

# Callers who can be served elsewhere come back soon, while they can still be in time (aims are
# 200 ms and up); the spread keeps those refused together from returning together.
_ROOM_PAUSE_S = 0.03
_ROOM_SPREAD_S = 0.12
# Where nobody has room, or this entry knows of nobody, a short pause would only be refused again.
_FULL_PAUSE_S = 0.25
_FULL_SPREAD_S = 0.5
# Callers honour a pause of up to a third of the time that they have left.
_LEFT_SHARE = 1 / 3
_LEAST_S = 0.01
# A pause is told in hundredths of a second, rounded down: up, it could pass the caller's third.
_STEPS_PER_S = 100
# An endpoint under this share of its slots has room for one that comes back.
_ROOM_SHARE = 0.8


def retry_after_s(
    rows: Sequence[KnownEndpoint],
    left_s: float | None,
    draw: random.Random,
    now_s: float,
    opens_in_s: float = 0.0,
) -> float:
    """Return the pause that a refused caller is told.

    Load: one endpoint declines what others could take, or all of them are full. Harm: told to wait
    as if all were full, callers come back late for nothing; told to hurry when all are, they are
    refused twice.

    Args:
        rows: Sound endpoints that have not declined the request.
        left_s: Time that the caller still has; None where it has not said.
        draw: Source of the spread.
        now_s: Time on the clock of the endpoints' loads.
        opens_in_s: Time until an endpoint takes requests at all.
    """
    has_room = any(row.load(now_s) < row.record.slots * _ROOM_SHARE for row in rows)
    pause_s, spread_s = (
        (_ROOM_PAUSE_S, _ROOM_SPREAD_S) if has_room else (_FULL_PAUSE_S, _FULL_SPREAD_S)
    )
    pause_s = max(pause_s, opens_in_s) + draw.random() * spread_s
    if left_s is not None:
        pause_s = min(pause_s, left_s * _LEFT_SHARE)
    return max(_LEAST_S, math.floor(pause_s * _STEPS_PER_S) / _STEPS_PER_S)
