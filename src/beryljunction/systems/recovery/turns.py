"""Whether an endpoint may stop serving and load, by turns that the log puts in order.

The rule holds without agreement between nodes. A turn counts from its record's place in the log,
which is the same for every reader, and whoever has one takes everybody before it as not serving:

* fewer than ``parallel_loads`` turns stand before one's own, so no more load at a time, whatever
  hosts the nodes know of;
* of those that say now that they serve, at least ``min_serving`` have no turn before one's own. Who
  has a turn behind takes this endpoint as not serving in its turn. So when the last of them stops,
  it has itself heard ``min_serving`` others that serve and hold no earlier turn.

While the log is down no load starts that takes an endpoint out of service.
"""

import math
import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from beryljunction.systems.recovery.rollout import Go, RolloutLimits, Stay
from beryljunction.tables.orders import OrderRow
from beryljunction.tables.turns import Turn, TurnQueue

__all__ = ["EndTurn", "RenewTurn", "TakeTurn", "TurnStep", "TurnSystem"]

# Load: a version for all 700 endpoints at once, three appends and more for each. Harm: the log
# takes several hundred a second, for operators' changes and key claims too. Takes are spread over
# this time, 70 a second; the rest comes as slowly as the loads.
_SPREAD_S = 10.0
# A take without an answer is repeated after this; a second copy changes nothing.
_TAKE_AGAIN_S = 5.0
# Load: an endpoint died with a turn. Harm: all behind it wait for good. Its turn is ended by others
# once their lists lack it and nothing renewed the turn for this long; a list alone may lack a live
# one for minutes. An end names the renewal that it knew, so it can't end a turn renewed meanwhile.
_SILENT_S = 90.0
_RENEW_S = 30.0
# Who was paused acts on its turn only within this time of its last renewal, well before others may
# end it. A pause between this check and the order is left: one load too many at the store, and the
# floor holds all the same, since who was passed over counts only if it says that it serves.
_HOLDS_S = 60.0
# Load: the first in turn would take the service below its floor, and an engine that starts empty,
# which would raise it, waits behind. After this the first queues up again at the end.
_YIELD_S = 10.0


@attrs.frozen
class TakeTurn:
    """Queue up."""


@attrs.frozen
class RenewTurn:
    """Show that the own turn is still used."""


@attrs.frozen
class EndTurn:
    """End the turn of an endpoint: the own one that is done or yields, or that of one gone."""

    endpoint_id: str
    renewed_at: int


TurnStep = Go | Stay | TakeTurn | RenewTurn | EndTurn


@attrs.frozen
class _Renewal:
    """A renewal and when it was first seen here."""

    offset: int
    seen_s: float


class TurnSystem:
    """Decides for one endpoint from the queue and what the others say of themselves."""

    def __init__(self, endpoint_id: str, rng: random.Random) -> None:
        self._endpoint_id = endpoint_id
        self._rng = rng
        self._take_s: float | None = None
        self._held_back_since_s: float | None = None
        self._seen: dict[str, _Renewal] = {}
        self._own: _Renewal | None = None
        self._own_first: int | None = None

    def is_near(self, queue: TurnQueue, limits: RolloutLimits) -> bool:
        """Whether this endpoint's turn has come, so that the others are to be asked."""
        taken = queue.turn(self._endpoint_id) is not None
        return taken and len(queue.before(self._endpoint_id)) < limits.parallel_loads

    def decide(
        self,
        queue: TurnQueue,
        listed: Collection[str],
        answers: Iterable[OrderRow],
        limits: RolloutLimits,
        interrupts: bool,
        now_s: float,
    ) -> TurnStep:
        """Return the next step of an endpoint that has to load.

        Args:
            queue: Turns as the log has them now.
            listed: Other endpoints of the service by the host list.
            answers: What others said just now, after the own turn was seen on the log.
            limits: The service's limits.
            interrupts: Whether this endpoint serves now and won't while it loads.
            now_s: Monotonic time.
        """
        before = queue.before(self._endpoint_id)
        gone = self._gone(before, listed, now_s)
        if gone is not None:
            return EndTurn(gone, before[gone].renewed_at)
        own = queue.turn(self._endpoint_id)
        if own is None:
            return self._take(now_s)
        self._take_s = None
        if len(before) >= limits.parallel_loads:
            return Stay(f"{limits.parallel_loads} may load at once; ahead: {_names(before)}")
        if not self.holds(queue, now_s):
            return RenewTurn()
        kept = sum(row.serves and row.endpoint_id not in before for row in answers)
        if not interrupts or kept >= limits.min_serving:
            self._held_back_since_s = None
            return Go()
        return self._hold_back(own, kept, limits, now_s)

    def holds(self, queue: TurnQueue, now_s: float) -> bool:
        """Whether this process has renewed its turn of late, so that nobody else may end it."""
        return self._renewed_age_s(queue, now_s) < _HOLDS_S

    def renews(self, queue: TurnQueue, now_s: float) -> bool:
        """Whether the own turn is to be renewed."""
        taken = queue.turn(self._endpoint_id) is not None
        return taken and self._renewed_age_s(queue, now_s) >= _RENEW_S

    def _renewed_age_s(self, queue: TurnQueue, now_s: float) -> float:
        """Return the time since a renewal of the own turn by this process was seen.

        The record that was there when this process first looked may be a predecessor's.
        """
        turn = queue.turn(self._endpoint_id)
        if turn is None:
            self._own, self._own_first = None, None
            return math.inf
        if self._own_first is None:
            self._own_first = turn.renewed_at
        if turn.renewed_at == self._own_first:
            return math.inf
        if self._own is None or self._own.offset != turn.renewed_at:
            self._own = _Renewal(turn.renewed_at, now_s)
        return now_s - self._own.seen_s

    def _take(self, now_s: float) -> TurnStep:
        if self._take_s is None:
            self._take_s = now_s + self._rng.uniform(0.0, _SPREAD_S)
        if now_s < self._take_s:
            return Stay("about to queue up on the log")
        self._take_s = now_s + _TAKE_AGAIN_S
        return TakeTurn()

    def _hold_back(
        self, own: Turn, kept: int, limits: RolloutLimits, now_s: float
    ) -> Stay | EndTurn:
        if self._held_back_since_s is None:
            self._held_back_since_s = now_s
        if now_s - self._held_back_since_s >= _YIELD_S:
            self._held_back_since_s = None
            return EndTurn(self._endpoint_id, own.renewed_at)
        return Stay(f"{kept} others would serve; min_serving is {limits.min_serving}")

    def _gone(
        self, before: Mapping[str, Turn], listed: Collection[str], now_s: float
    ) -> str | None:
        """Return an endpoint whose turn nobody uses any more."""
        missing = {name: turn for name, turn in before.items() if name not in listed}
        seen = {name: self._seen.get(name) for name in missing}
        self._seen = {
            name: (
                known
                if known is not None and known.offset == missing[name].renewed_at
                else _Renewal(missing[name].renewed_at, now_s)
            )
            for name, known in seen.items()
        }
        for name, renewal in self._seen.items():
            if now_s - renewal.seen_s >= _SILENT_S:
                return name
        return None


def _names(before: Collection[str]) -> str:
    return ", ".join(sorted(before))
