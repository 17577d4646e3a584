"""Decides whether an endpoint may stop serving and load, by turns in the order of the log.

No further agreement between nodes is needed. The offset of its record gives each turn the same
position for every reader. The holder of a turn counts all holders of earlier turns as not serving,
and may load if both conditions hold:

* Fewer than ``parallel_loads`` turns precede its own. So no more endpoints load at a time,
  whichever hosts the nodes know.
* At least ``min_serving`` endpoints that say now that they serve hold no earlier turn. Holders of
  later turns count this endpoint as not serving in the same way. So the last one to stop has itself
  heard from ``min_serving`` others that serve and hold no earlier turn.

While the log is down, no load starts that takes an endpoint out of service.
"""

import math
import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from beryljunction.systems.recovery.rollout import LoadAllowed, LoadDelayed, RolloutLimits
from beryljunction.tables.orders import OrderRow
from beryljunction.tables.turns import Turn, TurnQueue

__all__ = ["EndTurn", "RenewTurn", "TakeTurn", "TurnRolloutPolicy", "TurnStep"]

# A new version for all 700 endpoints causes at least three appends for each, and the log accepts
# several hundred per second, including operators' changes and key claims. So takes are spread over
# this time, which makes 70 per second; the other appends are as slow as the loads.
_SPREAD_S = 10.0
# A take that is not seen on the log is repeated after this time; a second copy has no effect.
_TAKE_RETRY_S = 5.0
# The turn of a dead endpoint would block all later ones forever. Others end it once the endpoint is
# missing from their list and the turn was not renewed for this time; a live endpoint may be missing
# from the list for minutes. The end record names the last known renewal, so it can't end a turn
# that was renewed since.
_ABANDONED_AFTER_S = 90.0
_RENEW_S = 30.0
# An endpoint uses its turn only within this time after its last renewal, well before others may end
# it, in case the process was paused. A pause between this check and the order remains possible. It
# causes one load too many at the store, but min_serving still holds, since an endpoint whose turn
# was ended counts only if it says that it serves.
_HOLD_S = 60.0
# If the first turn would take the service below min_serving, an engine that starts empty and would
# add capacity may wait behind it. After this time the first endpoint moves to the end of the queue.
_YIELD_S = 10.0


@attrs.frozen
class TakeTurn:
    """Append a record that takes a turn."""


@attrs.frozen
class RenewTurn:
    """Renew this endpoint's turn."""


@attrs.frozen
class EndTurn:
    """End this endpoint's turn when it is done or yields, or the turn of a dead endpoint."""

    endpoint_id: str
    renewed_at: int


TurnStep = LoadAllowed | LoadDelayed | TakeTurn | RenewTurn | EndTurn


@attrs.frozen
class _Renewal:
    """A renewal and the time at which this process first saw it."""

    offset: int
    seen_s: float


class TurnRolloutPolicy:
    """Decides for one endpoint from the turn queue and the answers of the others."""

    def __init__(self, endpoint_id: str, rng: random.Random) -> None:
        self._endpoint_id = endpoint_id
        self._rng = rng
        self._take_at_s: float | None = None
        self._held_back_since_s: float | None = None
        self._seen_renewals: dict[str, _Renewal] = {}
        self._own_renewal: _Renewal | None = None
        self._first_own_offset: int | None = None

    def turn_is_due(self, queue: TurnQueue, limits: RolloutLimits) -> bool:
        """Whether this endpoint's turn has come, so that the others must be asked."""
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
            queue: Current turns on the log.
            listed: Other endpoints of the service in the host list.
            answers: Answers of others, given after this endpoint's turn was seen on the log.
            limits: The service's limits.
            interrupts: Whether this endpoint serves now and can't while it loads.
            now_s: Monotonic time.
        """
        before = queue.before(self._endpoint_id)
        gone = self._abandoned_turn(before, listed, now_s)
        if gone is not None:
            return EndTurn(gone, before[gone].renewed_at)
        own = queue.turn(self._endpoint_id)
        if own is None:
            return self._take_turn(now_s)
        self._take_at_s = None
        if len(before) >= limits.parallel_loads:
            return LoadDelayed(f"{limits.parallel_loads} may load at once; ahead: {_names(before)}")
        if not self.holds(queue, now_s):
            return RenewTurn()
        kept = sum(row.serves and row.endpoint_id not in before for row in answers)
        if not interrupts or kept >= limits.min_serving:
            self._held_back_since_s = None
            return LoadAllowed()
        return self._stay_or_yield(own, kept, limits, now_s)

    def holds(self, queue: TurnQueue, now_s: float) -> bool:
        """Whether this process renewed its turn recently, so that no other may end it."""
        return self._renewed_age_s(queue, now_s) < _HOLD_S

    def renews(self, queue: TurnQueue, now_s: float) -> bool:
        """Whether this endpoint's turn must be renewed now."""
        taken = queue.turn(self._endpoint_id) is not None
        return taken and self._renewed_age_s(queue, now_s) >= _RENEW_S

    def _renewed_age_s(self, queue: TurnQueue, now_s: float) -> float:
        """Return the time since this process saw its own last renewal of the turn.

        The renewal that was there at the first call may come from an earlier process.
        """
        turn = queue.turn(self._endpoint_id)
        if turn is None:
            self._own_renewal, self._first_own_offset = None, None
            return math.inf
        if self._first_own_offset is None:
            self._first_own_offset = turn.renewed_at
        if turn.renewed_at == self._first_own_offset:
            return math.inf
        if self._own_renewal is None or self._own_renewal.offset != turn.renewed_at:
            self._own_renewal = _Renewal(turn.renewed_at, now_s)
        return now_s - self._own_renewal.seen_s

    def _take_turn(self, now_s: float) -> TurnStep:
        if self._take_at_s is None:
            self._take_at_s = now_s + self._rng.uniform(0.0, _SPREAD_S)
        if now_s < self._take_at_s:
            return LoadDelayed("waiting to take a turn on the log")
        self._take_at_s = now_s + _TAKE_RETRY_S
        return TakeTurn()

    def _stay_or_yield(
        self, own: Turn, kept: int, limits: RolloutLimits, now_s: float
    ) -> LoadDelayed | EndTurn:
        if self._held_back_since_s is None:
            self._held_back_since_s = now_s
        if now_s - self._held_back_since_s >= _YIELD_S:
            self._held_back_since_s = None
            return EndTurn(self._endpoint_id, own.renewed_at)
        return LoadDelayed(f"{kept} others would serve; min_serving is {limits.min_serving}")

    def _abandoned_turn(
        self, before: Mapping[str, Turn], listed: Collection[str], now_s: float
    ) -> str | None:
        """Return an endpoint that is dead but holds an earlier turn, or None."""
        missing = {name: turn for name, turn in before.items() if name not in listed}
        seen = {name: self._seen_renewals.get(name) for name in missing}
        self._seen_renewals = {
            name: (
                known
                if known is not None and known.offset == missing[name].renewed_at
                else _Renewal(missing[name].renewed_at, now_s)
            )
            for name, known in seen.items()
        }
        for name, renewal in self._seen_renewals.items():
            if now_s - renewal.seen_s >= _ABANDONED_AFTER_S:
                return name
        return None


def _names(before: Collection[str]) -> str:
    return ", ".join(sorted(before))
