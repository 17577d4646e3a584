"""Decides an entry's next step for a request after each try."""

import math

import attrs

from beryljunction.loads import LoadRow
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.systems.requests.retries import RetryBudget
from beryljunction.tables import Endpoint, EndpointState

__all__ = ["GiveUp", "RequestAttempts", "Step", "Try"]

_MAX_SPILLS = 3
_MAX_FAILOVERS = 3
_PREVIOUS_HOME_CODES = frozenset((RefusalCode.NOT_WARM, RefusalCode.CHAT_MOVED))
_FINAL_CODES = frozenset((RefusalCode.DEADLINE, RefusalCode.BAD_REQUEST, RefusalCode.CANCELLED))


@attrs.frozen
class Try:
    """Offer the request to this endpoint.

    Attributes:
        warm: Whether the chat's prefix is expected there.
        last_resort: Whether no other candidate is left, so that the endpoint may queue the request.
        only_if_warm: Whether the endpoint must refuse unless the chat's prefix is cached there.
        ignore_pointer: Whether the endpoint must not refer the request to another one again.
        loads: Fresh loads of the endpoints that refused this request.
    """

    endpoint: Endpoint
    warm: bool = False
    last_resort: bool = False
    only_if_warm: bool = False
    ignore_pointer: bool = False
    loads: tuple[LoadRow, ...] = ()


@attrs.frozen
class GiveUp:
    """Return this refusal to the caller at once."""

    refusal: Refusal


Step = Try | GiveUp


class RequestAttempts:
    """Chooses the candidate for each try of one request.

    Attributes:
        home: First endpoint in rendezvous order, which stores the chat's pointer.
        tries: Tries so far.
        retries: Tries that were charged to the retry budget.
        failovers: Tries that failed at an endpoint which is known not to have run the request.
    """

    def __init__(
        self,
        candidates: list[Endpoint],
        budget: RetryBudget,
        idempotent: bool,
        previous_home: Endpoint | None = None,
        home: Endpoint | None = None,
    ) -> None:
        self._remaining = list(candidates)
        self._budget = budget
        self._idempotent = idempotent
        self._previous_home = previous_home
        self._loads: dict[str, LoadRow] = {}
        self._overloaded: list[Endpoint] = []
        self._pointer_followed = False
        self._maybe_ran = False
        self._returned = False
        self._resent = False
        self._pointer: str | None = None
        self._backup = candidates[1] if len(candidates) > 1 else None
        first = candidates[0] if candidates else None
        self.home = home if home is not None else first
        self.tries = 0
        self.retries = 0
        self.failovers = 0

    def first(self) -> Step:
        """Return the first step."""
        if not self._remaining:
            message = "expected a live endpoint of the service, found none; retry later"
            return GiveUp(Refusal(RefusalCode.NO_ENDPOINT, message, ExecutionStatus.NO, 1.0))
        if self._previous_home is not None:
            self.tries += 1
            return Try(self._previous_home, warm=True, only_if_warm=True)
        return self._next(warm=True)

    def after(self, refusal: Refusal, endpoint: Endpoint | None = None) -> Step:
        """Return the step after a try that ended in a refusal or failure.

        A try whose outcome is unknown is repeated only when the request is idempotent.

        Args:
            refusal: Result of the try.
            endpoint: Endpoint that the try was sent to.
        """
        self._maybe_ran = self._maybe_ran or refusal.ran is not ExecutionStatus.NO
        may_repeat = refusal.ran is ExecutionStatus.NO or (
            self._idempotent and refusal.ran is ExecutionStatus.UNKNOWN
        )
        if not may_repeat or refusal.code in _FINAL_CODES:
            return self._give_up(refusal)
        if refusal.code is RefusalCode.CHAT_MOVED and not self._pointer_followed:
            return self._follow_pointer(refusal, endpoint)
        if refusal.code in _PREVIOUS_HOME_CODES and self._remaining:
            return self._next(warm=True)
        if refusal.code is RefusalCode.LEAVING and self._remaining:
            return self._next()
        if refusal.code is RefusalCode.STALE_STAMP and endpoint is not None:
            return self._resend(refusal, endpoint)
        if refusal.code is RefusalCode.OVERLOADED:
            return self._spill(refusal, endpoint)
        if refusal.code is RefusalCode.ENDPOINT_FAILED and refusal.ran is ExecutionStatus.NO:
            step = self._fail_over()
            if step is not None:
                return step
        return self._retry(refusal)

    def pointer_holders(self, taker: Endpoint) -> list[Endpoint]:
        """Return the endpoints to notify that another candidate has taken the chat.

        Besides the home, the next endpoint in order is notified: it becomes the home if the home is
        lost, and the pointer to the cached prefix would be lost with it. Both already know the
        taker if a pointer led the request there.
        """
        if self.home is None or taker.endpoint_id in (self.home.endpoint_id, self._pointer):
            return []
        rows = {row.endpoint_id: row for row in (self.home, self._backup) if row is not None}
        rows.pop(taker.endpoint_id, None)
        return list(rows.values())

    def _follow_pointer(self, refusal: Refusal, home: Endpoint | None) -> Step:
        """Try the endpoint that the home's pointer names; try the home again if it is gone."""
        self._pointer_followed = True
        self._pointer = refusal.pointer
        target = next((row for row in self._remaining if row.endpoint_id == refusal.pointer), None)
        if target is None and home is not None:
            self.tries += 1
            return Try(home, ignore_pointer=True)
        if target is None:
            return self._next() if self._remaining else self._give_up(refusal)
        self._remaining.remove(target)
        if home is not None and home not in self._remaining:
            self._remaining.insert(0, home)
        return self._try(target, warm=True)

    def _resend(self, refusal: Refusal, endpoint: Endpoint) -> Step:
        """Resend once to a restarted sidecar, with the stamp from its refusal.

        After a restart, the first request of each entry is refused this way. If the resend were
        charged to the retry budget, or given up with a single endpoint, each restart would fail
        callers. One resend is enough, because the refusal carried the current stamp.
        """
        if endpoint is self._previous_home and self._remaining:
            return self._next(warm=True)
        if self._resent:
            return self._retry(refusal)
        self._resent = True
        return self._try(endpoint, warm=False)

    def _retry(self, refusal: Refusal) -> Step:
        if not self._remaining or not self._budget.spend():
            return self._give_up(refusal)
        self.retries += 1
        return self._next()

    def _spill(self, refusal: Refusal, endpoint: Endpoint | None) -> Step:
        """Try the next candidate; after a few, queue at the least loaded one that refused.

        In a burst, trying every endpoint multiplies the requests while all are busy, and a suspect
        endpoint may cost a connect timeout while live ones could queue the request. Three more
        tries find room if a fair share of the endpoints has any. Each try carries the loads of the
        endpoints that refused, because the next endpoint's mean from exchanges alone would be a
        second old in a burst.
        """
        if endpoint is not None:
            self._overloaded.append(endpoint)
        if refusal.load is not None:
            self._loads[refusal.load.endpoint_id] = refusal.load
        if self._next_is_live and len(self._overloaded) <= _MAX_SPILLS:
            return self._next()
        if not self._overloaded or self._returned:
            return self._give_up(refusal)
        return self._return_to_least_loaded()

    @property
    def _next_is_live(self) -> bool:
        """Whether the next candidate is live; suspects are last in the order."""
        return bool(self._remaining) and self._remaining[0].state is EndpointState.LIVE

    def _fail_over(self) -> Try | None:
        """Return a try after an endpoint that did not run the request, or None after too many.

        Failovers are not charged to the retry budget: a lost availability zone is home to a fifth
        or more of the requests, the budget allows a tenth, and callers would be refused while live
        endpoints have room. Nothing ran, so no work is multiplied. After three failures most of the
        service is probably down, and further tries are charged to avoid a retry storm.
        """
        self.failovers += 1
        if self._next_is_live:
            return self._next() if self.failovers <= _MAX_FAILOVERS else None
        return self._return_to_least_loaded() if self._overloaded and not self._returned else None

    def _return_to_least_loaded(self) -> Try:
        """Return to the least loaded endpoint that refused, where the request may be queued.

        When an availability zone is lost and the rest of the fleet is at its bound, the candidates
        may end with an endpoint that is gone, although live ones have queue space. This happens
        once per request, so the queues limit it and the retry budget is not charged.
        """
        self._returned = True
        best = min(self._overloaded, key=self._relative_load)
        self._overloaded.clear()
        self._remaining.clear()
        self.tries += 1
        return Try(best, last_resort=True, ignore_pointer=True, loads=tuple(self._loads.values()))

    def _relative_load(self, row: Endpoint) -> float:
        """Return requests divided by speed, so that a slow endpoint is not the least loaded."""
        load = self._loads.get(row.endpoint_id)
        if load is None:
            return math.inf
        return (load.running + load.waiting) / (load.speed_tokens_per_s or 1.0)

    def _next(self, warm: bool = False) -> Try:
        return self._try(self._remaining.pop(0), warm)

    def _try(self, endpoint: Endpoint, warm: bool) -> Try:
        self.tries += 1
        return Try(
            endpoint,
            warm=warm,
            last_resort=not self._remaining and not self._overloaded,
            ignore_pointer=self._pointer_followed,
            loads=tuple(self._loads.values()),
        )

    def _give_up(self, refusal: Refusal) -> GiveUp:
        """Return the last refusal without the load, which callers must not see.

        The last endpoint's "not run" holds for that endpoint only. If an earlier try may have run
        the request, the caller is told that the outcome is unknown.
        """
        ran = (
            ExecutionStatus.UNKNOWN
            if self._maybe_ran and refusal.ran is ExecutionStatus.NO
            else refusal.ran
        )
        return GiveUp(attrs.evolve(refusal, ran=ran, load=None))
