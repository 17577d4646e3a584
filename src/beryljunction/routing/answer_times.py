"""How long answers take, and how much time a retry is handed."""

import collections
import math
from collections.abc import Collection

__all__ = ["AnswerTimes"]

# Answers of a route whose times are kept.
_SAMPLES = 32
# Where endpoints stall again and again, most answers are held up, and show not what work takes but
# how long a stall does.
_USUAL_QUANTILE = 0.25
# Answers of one route differ in length, and endpoints in speed and load.
_RETRY_FACTOR = 8.0
# An endpoint may pause for this long at any time.
_MIN_RETRY_TIME_S = 0.5
# The next answer may take a little longer than the longest of the kept ones.
_END_FACTOR = 1.05
_END_MARGIN_S = 0.05


class AnswerTimes:
    """Times that whole answers of each route have taken lately.

    A time that is handed over begins when the endpoint reads the request. A retry that waits
    unread, at an endpoint that stands still or on its way, ends late by as long as it waited, if it
    was handed all that is left. Handed only what an answer needs, it ends in time whenever its
    answer can still be of use.
    """

    def __init__(self) -> None:
        self._took_s: dict[str, collections.deque[float]] = {}

    def note(self, route: str, took_s: float) -> None:
        """Record that a whole answer of a route arrived this long after its request was sent."""
        self._took_s.setdefault(route, collections.deque(maxlen=_SAMPLES)).append(took_s)

    def keep(self, routes: Collection[str]) -> None:
        """Forget all other routes."""
        self._took_s = {name: row for name, row in self._took_s.items() if name in routes}

    def usual_s(self, route: str) -> float | None:
        """Return the time that undisturbed answers of a route take; None before the first."""
        took_s = self._took_s.get(route)
        if not took_s:
            return None
        return sorted(took_s)[int(_USUAL_QUANTILE * (len(took_s) - 1))]

    def can_end_within(self, route: str, time_s: float) -> bool:
        """Return whether an answer is expected to be whole in time; False if none is known."""
        longest_s = max(self._took_s.get(route, ()), default=math.inf)
        return _END_FACTOR * longest_s + _END_MARGIN_S <= time_s

    def retry_time_s(self, route: str, left_s: float) -> float:
        """Return the time to hand over with a retry, of what is left until its deadline."""
        usual_s = self.usual_s(route)
        if usual_s is None:
            return left_s
        return min(left_s, max(_MIN_RETRY_TIME_S, _RETRY_FACTOR * usual_s))
