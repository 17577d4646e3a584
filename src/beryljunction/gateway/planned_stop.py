"""How long a stopping entry goes on, and when callers no longer reach it."""

import math

import attrs

__all__ = ["PlannedStop"]

# The load balancer probes once a second and removes an entry after two failures; until then new
# connections arrive.
_PROBE_FAILURE_DELAY_S = 2.6
# Time reserved for the process to exit before the platform kills it, and that of a short grace
# period.
_EXIT_MARGIN_S = 0.35
_EXIT_MARGIN_RATIO = 0.2
# Part of that time in which the entry may take its address from the store.
_DEREGISTER_RATIO = 0.6
# A stale address costs each peer one failed request.
_MAX_DEREGISTER_S = 0.5


@attrs.define
class PlannedStop:
    """The times of a stop, as boot times; infinite while none is planned.

    Attributes:
        ends_s: When the last answers have to be whole.
        unreachable_s: When new connections of callers go to other entries.
    """

    ends_s: float = math.inf
    unreachable_s: float = math.inf
    _margin_s: float = _EXIT_MARGIN_S

    def update(self, signalled_s: float, grace_s: float, now_s: float) -> None:
        """Plan a stop, or change the time that it has.

        Args:
            signalled_s: When the grace period began.
            grace_s: Its length, as it is now.
            now_s: The time; new connections arrive for a while after the first call.
        """
        self._margin_s = min(_EXIT_MARGIN_S, _EXIT_MARGIN_RATIO * grace_s)
        self.ends_s = signalled_s + grace_s - self._margin_s
        self.unreachable_s = min(self.unreachable_s, now_s + _PROBE_FAILURE_DELAY_S)

    def left_s(self, now_s: float) -> float:
        """Return the time in which answers can still be given."""
        return self.ends_s - now_s

    def deregister_limit_s(self, now_s: float) -> float:
        """Return how long the entry may wait for the store after its last answer."""
        left_s = max(0.0, self.left_s(now_s)) + _DEREGISTER_RATIO * self._margin_s
        return min(_MAX_DEREGISTER_S, left_s)

    def reachable_for_s(self, now_s: float) -> float:
        """Return for how long new connections may still arrive; 0 if no stop is planned."""
        return max(0.0, self.unreachable_s - now_s) if math.isfinite(self.ends_s) else 0.0
