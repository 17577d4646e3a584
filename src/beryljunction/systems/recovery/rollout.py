"""Whether an endpoint may load by asking the others, where the log gives no turns.

All endpoints of a service sort themselves by the same hash, tell each other how far they are, and
each leaves room for everyone before it who might start at the same moment. This is for engines
that serve nothing while the log is down, and for fleets without a log: two endpoints that miss
each other for longer than the settling time load together, which turns rule out
(:mod:`beryljunction.systems.recovery.turns`).
"""

from collections.abc import Iterable

import attrs
import xxhash

from beryljunction.tables.orders import OrderRow, Phase

__all__ = ["Go", "RolloutLimits", "RolloutSystem", "Stay"]

# Time between announcing and starting, in which every other endpoint has asked this one or been
# asked. Host lists differ for seconds; an endpoint that only one of two lists is still met when
# the other asks it. Two that miss each other for longer than this can load together.
_SETTLE_S = 5.0


@attrs.frozen
class RolloutLimits:
    """Limits of one service in one region.

    Attributes:
        min_serving: Endpoints that keep serving while others load.
        parallel_loads: Loads that the service may have under way.
    """

    min_serving: int
    parallel_loads: int

    @staticmethod
    def share(min_serving: int, store_loads: int, engine_services: int) -> "RolloutLimits":
        """Return the limits of one of several services that share the store's limit.

        Nobody counts loads over services, so each gets an equal part; when there are more
        services than the store takes loads, the store's own refusal paces the rest.
        """
        return RolloutLimits(min_serving, max(1, store_loads // max(1, engine_services)))


@attrs.frozen
class Go:
    """Load now."""


@attrs.frozen
class Stay:
    """Do not load yet."""

    reason: str


class RolloutSystem:
    """Decides for one endpoint from what the others said when they were last asked."""

    def __init__(self, endpoint_id: str) -> None:
        self._endpoint_id = endpoint_id
        self._intends_since_s: float | None = None

    @property
    def intends(self) -> bool:
        """Whether this endpoint has announced that it wants to load."""
        return self._intends_since_s is not None

    def withdraw(self) -> None:
        """Take the announcement back: nothing is to be loaded any more."""
        self._intends_since_s = None

    def decide(
        self,
        listed: Iterable[str],
        rows: Iterable[OrderRow],
        limits: RolloutLimits,
        interrupts: bool,
        now_s: float,
    ) -> Go | Stay:
        """Return whether to start.

        Load: a new version for 41 engines of a service at once, engines that start empty, hosts
        that are replaced meanwhile. Harm: callers of the service find nobody, or the weight store
        is overrun and every load takes ever longer.

        Args:
            listed: Other endpoints of the service by the host list.
            rows: What others said of late; also of endpoints that the list lacks.
            limits: The service's limits.
            interrupts: Whether this endpoint serves now and won't while it loads.
            now_s: Monotonic time.
        """
        if self._intends_since_s is None:
            self._intends_since_s = now_s
        heard = {row.endpoint_id: row for row in rows if row.endpoint_id != self._endpoint_id}
        # An endpoint that does not answer may be loading; it counts until the list drops it.
        silent = sorted(set(listed) - heard.keys() - {self._endpoint_id})
        busy = [i for i, r in heard.items() if r.phase in (Phase.LOADING, Phase.DRAINING)] + silent
        before = [row for row in heard.values() if self._goes_before(row, interrupts)]
        if len(busy) + len(before) >= limits.parallel_loads:
            ahead = sorted(busy + [row.endpoint_id for row in before])
            return Stay(f"{limits.parallel_loads} may load at once; ahead: {', '.join(ahead)}")
        serving = [row for row in heard.values() if row.serves and row.phase in _SERVES]
        kept = len(serving) - sum(row.serves for row in before)
        if interrupts and kept < limits.min_serving:
            return Stay(f"{kept} others would serve; min_serving is {limits.min_serving}")
        if interrupts and now_s - self._intends_since_s < _SETTLE_S:
            return Stay("announced; others are being heard")
        return Go()

    def _goes_before(self, row: OrderRow, interrupts: bool) -> bool:
        """Whether the other may start at this moment by the same rule."""
        if row.done or row.phase not in _SERVES:
            return False
        # An endpoint that serves nothing goes first: its load takes nothing away from callers.
        return (row.serves, _rank(row.endpoint_id)) < (interrupts, _rank(self._endpoint_id))


_SERVES = (Phase.SERVING, Phase.INTENDS)


def _rank(endpoint_id: str) -> int:
    return xxhash.xxh3_64_intdigest(endpoint_id.encode())
