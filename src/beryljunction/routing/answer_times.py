"""How long answers take, and how much time a retry is handed."""

import collections
import math
from collections.abc import Collection

import attrs

__all__ = ["AnswerTimes"]

# Answers of a route whose times are kept.
_SAMPLES = 32
# Where endpoints stall again and again, most answers begin late, and show not what work takes but
# how long a stall does.
_USUAL_BEGIN_QUANTILE = 0.25
_USUAL_REST_QUANTILE = 0.75
# The begin differs by load and, at an engine, by how much of the prompt is cached; the rest by the
# lengths of answers. Both differ by endpoint.
_BEGIN_FACTOR = 8.0
_REST_FACTOR = 2.0
# An endpoint may pause for this long at any time.
_MIN_TIME_S = 0.5
# An engine that gets a retry may have to prefill a prompt that the first one had cached.
_MIN_STREAM_TIME_S = 1.0
# The next answer may take a little longer than the longest of the kept ones.
_END_FACTOR = 1.05
_END_MARGIN_S = 0.05


@attrs.frozen
class _Times:
    """Time from a request to the head of its answer, and from there to the end."""

    begin_s: float
    rest_s: float


class AnswerTimes:
    """Times that whole answers of each route have taken lately.

    A time that is handed over begins when the endpoint reads the request. A retry that waits
    unread, at an endpoint that stands still or on its way, ends late by as long as it waited, if it
    was handed all that is left. Handed about what an answer needs, it ends in time unless it is
    read shortly before its deadline, or after it.
    """

    def __init__(self) -> None:
        self._times: dict[str, collections.deque[_Times]] = {}

    def note(self, route: str, begin_s: float, rest_s: float) -> None:
        """Record how long a whole answer of a route took, to its head and from there on."""
        rows = self._times.setdefault(route, collections.deque(maxlen=_SAMPLES))
        rows.append(_Times(begin_s, rest_s))

    def keep(self, routes: Collection[str]) -> None:
        """Forget all other routes."""
        self._times = {name: rows for name, rows in self._times.items() if name in routes}

    def can_end_within(self, route: str, time_s: float) -> bool:
        """Return whether an answer is expected to be whole in time; False if none is known."""
        rows = self._times.get(route, ())
        longest_s = max((row.begin_s + row.rest_s for row in rows), default=math.inf)
        return _END_FACTOR * longest_s + _END_MARGIN_S <= time_s

    def retry_time_s(self, route: str, is_streamed: bool, left_s: float) -> float:
        """Return the time to hand over with a retry.

        Args:
            route: Name of its route.
            is_streamed: Whether its answer is a stream.
            left_s: Time until its deadline; all of it while no answer of the route is known.
        """
        rows = self._times.get(route)
        if not rows:
            return left_s
        usual_begin_s = _quantile([row.begin_s for row in rows], _USUAL_BEGIN_QUANTILE)
        usual_rest_s = _quantile([row.rest_s for row in rows], _USUAL_REST_QUANTILE)
        least_s = _MIN_STREAM_TIME_S if is_streamed else _MIN_TIME_S
        begin_s = max(least_s, _BEGIN_FACTOR * usual_begin_s)
        return min(left_s, begin_s + _REST_FACTOR * usual_rest_s)


def _quantile(values: list[float], quantile: float) -> float:
    return sorted(values)[int(quantile * (len(values) - 1))]
