"""What the entry does next with a request after each try."""

import math

import attrs

from beryljunction.loads import LoadRow
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.systems.requests.retries import RetryBudget
from beryljunction.tables import Endpoint, EndpointState

__all__ = ["AttemptSystem", "GiveUp", "Step", "Try"]

_MOST_SPILLS = 3
_MOST_FAILOVERS = 3
_PREVIOUS_HOME_CODES = frozenset((RefusalCode.NOT_WARM, RefusalCode.CHAT_MOVED))
_FINAL_CODES = frozenset((RefusalCode.DEADLINE, RefusalCode.BAD_REQUEST, RefusalCode.CANCELLED))


@attrs.frozen
class Try:
    """Offer the request to this endpoint.

    Attributes:
        warm: Whether the chat's prefix is expected there.
        last_resort: No other candidate is left; the endpoint may let the request wait.
        only_if_warm: The endpoint is to refuse unless the chat's prefix is cached there.
        ignore_pointer: The endpoint is not to point elsewhere again.
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
    """Tell the caller, at once."""

    refusal: Refusal


Step = Try | GiveUp


class AttemptSystem:
    """Walks one request through its candidates.

    Attributes:
        home: First in rendezvous order, which keeps the chat's pointer.
        tries: Tries so far.
        retries: Tries that were paid out of the retry budget.
        failovers: Tries that ended at an endpoint which proved not to have run the request.
    """

    def __init__(
        self,
        candidates: list[Endpoint],
        budget: RetryBudget,
        idempotent: bool,
        previous_home: Endpoint | None = None,
        home: Endpoint | None = None,
    ) -> None:
        self._left = list(candidates)
        self._budget = budget
        self._idempotent = idempotent
        self._previous_home = previous_home
        self._loads: dict[str, LoadRow] = {}
        self._spilled: list[Endpoint] = []
        self._followed = False
        self._maybe_ran = False
        self._resorted = False
        self._sent_again = False
        self._pointer: str | None = None
        self._backup = candidates[1] if len(candidates) > 1 else None
        first = candidates[0] if candidates else None
        self.home = home if home is not None else first
        self.tries = 0
        self.retries = 0
        self.failovers = 0

    def first(self) -> Step:
        """Return the first step."""
        if not self._left:
            message = "expected a live endpoint of the service, found none; retry later"
            return GiveUp(Refusal(RefusalCode.NO_ENDPOINT, message, Ran.NO, 1.0))
        if self._previous_home is not None:
            self.tries += 1
            return Try(self._previous_home, warm=True, only_if_warm=True)
        return self._next(warm=True)

    def after(self, refusal: Refusal, endpoint: Endpoint | None = None) -> Step:
        """Return the step after a try that ended in a refusal or failure.

        A try whose outcome is unknown is repeated only when the request is idempotent.

        Args:
            refusal: What the try ended in.
            endpoint: Where the refused try went.
        """
        self._maybe_ran = self._maybe_ran or refusal.ran is not Ran.NO
        may_repeat = refusal.ran is Ran.NO or (self._idempotent and refusal.ran is Ran.UNKNOWN)
        if not may_repeat or refusal.code in _FINAL_CODES:
            return self._give_up(refusal)
        if refusal.code is RefusalCode.CHAT_MOVED and not self._followed:
            return self._follow(refusal, endpoint)
        if refusal.code in _PREVIOUS_HOME_CODES and self._left:
            return self._next(warm=True)
        if refusal.code is RefusalCode.LEAVING and self._left:
            return self._next()
        if refusal.code is RefusalCode.STALE_STAMP and endpoint is not None:
            return self._send_again(refusal, endpoint)
        if refusal.code is RefusalCode.OVERLOADED:
            return self._spill(refusal, endpoint)
        if refusal.code is RefusalCode.ENDPOINT_FAILED and refusal.ran is Ran.NO:
            step = self._fail_over()
            if step is not None:
                return step
        return self._retry(refusal)

    def keepers(self, taker: Endpoint) -> list[Endpoint]:
        """Return the endpoints to tell that a later candidate has taken the chat.

        Load: a chat's home is lost. Harm: with it goes the pointer to a prefix that another
        endpoint still has. The next in order, which becomes the home then, is told too. Both know
        already when the request was led to the taker by a pointer.
        """
        if self.home is None or taker.endpoint_id in (self.home.endpoint_id, self._pointer):
            return []
        rows = {row.endpoint_id: row for row in (self.home, self._backup) if row is not None}
        rows.pop(taker.endpoint_id, None)
        return list(rows.values())

    def _follow(self, refusal: Refusal, home: Endpoint | None) -> Step:
        """Go where the home says that the chat's prefix lies; come back if that is gone."""
        self._followed = True
        self._pointer = refusal.pointer
        target = next((row for row in self._left if row.endpoint_id == refusal.pointer), None)
        if target is None and home is not None:
            self.tries += 1
            return Try(home, ignore_pointer=True)
        if target is None:
            return self._next() if self._left else self._give_up(refusal)
        self._left.remove(target)
        if home is not None and home not in self._left:
            self._left.insert(0, home)
        return self._try(target, warm=True)

    def _send_again(self, refusal: Refusal, endpoint: Endpoint) -> Step:
        """Send once more to a sidecar that has started anew, under the stamp that it answered with.

        Load: the first request of each entry after a sidecar's restart. Harm: paid out of the retry
        budget, or given up where there is one endpoint only, each restart would cost callers. Once
        a request is enough, since the answer brought the stamp of the present start.
        """
        if endpoint is self._previous_home and self._left:
            return self._next(warm=True)
        if self._sent_again:
            return self._retry(refusal)
        self._sent_again = True
        return self._try(endpoint, warm=False)

    def _retry(self, refusal: Refusal) -> Step:
        if not self._left or not self._budget.spend():
            return self._give_up(refusal)
        self.retries += 1
        return self._next()

    def _spill(self, refusal: Refusal, endpoint: Endpoint | None) -> Step:
        """Go on to the next candidate; after a few, back to the least loaded of them to wait.

        Load: a burst that puts the first candidates above their bound. Harm: walking through every
        endpoint multiplies the requests just when all are busy, and one that is suspect may cost a
        connection's timeout beside live ones with a queue. Three more tries find room whenever
        a fair share of the endpoints has any; else the request waits at the best place seen. Each
        try carries the loads of those before, so that the next endpoint's mean is fresh when it
        matters; a mean from exchanges alone would be a second old in a burst.
        """
        if endpoint is not None:
            self._spilled.append(endpoint)
        if refusal.load is not None:
            self._loads[refusal.load.endpoint_id] = refusal.load
        if self._live_is_left and len(self._spilled) <= _MOST_SPILLS:
            return self._next()
        if not self._spilled or self._resorted:
            return self._give_up(refusal)
        return self._resort()

    @property
    def _live_is_left(self) -> bool:
        """Whether the next candidate is live; suspects stand at the end of the order."""
        return bool(self._left) and self._left[0].state is EndpointState.LIVE

    def _fail_over(self) -> Try | None:
        """Go on from an endpoint that proved not to have run the request; None when it is enough.

        Load: an availability zone or an engine is lost. Harm: a fifth or more of the requests have
        their home there, the retry budget is a tenth, and callers are refused while live endpoints
        have room. No work was done, so none is multiplied. After three failures the budget pays:
        more at once means that most of the service is down, where each further try is a storm.
        """
        self.failovers += 1
        if self._live_is_left:
            return self._next() if self.failovers <= _MOST_FAILOVERS else None
        return self._resort() if self._spilled and not self._resorted else None

    def _resort(self) -> Try:
        """Go back to the least loaded endpoint that refused, where the request may wait.

        Load: an availability zone is lost and the rest of the fleet is at its bound. Harm: the walk
        ends at an endpoint that is gone, and a caller is told so while live ones had a place in
        their queue. It happens once a request, so the queues there, not the retry budget, limit it.
        """
        self._resorted = True
        best = min(self._spilled, key=self._load_of)
        self._spilled.clear()
        self._left.clear()
        self.tries += 1
        return Try(best, last_resort=True, ignore_pointer=True, loads=tuple(self._loads.values()))

    def _load_of(self, row: Endpoint) -> float:
        """Return how long the endpoint has work for; a slow one is not the least loaded."""
        load = self._loads.get(row.endpoint_id)
        if load is None:
            return math.inf
        return (load.running + load.waiting) / (load.speed_tokens_per_s or 1.0)

    def _next(self, warm: bool = False) -> Try:
        return self._try(self._left.pop(0), warm)

    def _try(self, endpoint: Endpoint, warm: bool) -> Try:
        self.tries += 1
        return Try(
            endpoint,
            warm=warm,
            last_resort=not self._left and not self._spilled,
            ignore_pointer=self._followed,
            loads=tuple(self._loads.values()),
        )

    def _give_up(self, refusal: Refusal) -> GiveUp:
        """End with the last refusal; loads are no business of callers.

        The last endpoint's "not run" is true of itself only: after a try whose outcome is unknown
        the caller would take the request for not run while an earlier endpoint has run it.
        """
        ran = Ran.UNKNOWN if self._maybe_ran and refusal.ran is Ran.NO else refusal.ran
        return GiveUp(attrs.evolve(refusal, ran=ran, load=None))
