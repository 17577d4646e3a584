"""Whether a sidecar takes a request, lets it wait or refuses it.

The sidecar knows what its endpoint runs, so the load bound, the fair queue and the refusals are
decided here, without sockets and with the time handed in.
"""

import heapq
import math
import random
from typing import Self

import attrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.settings.schema import ServiceSettings
from beryljunction.systems.requests.load import LoadBound, LoadLimits, LoadSystem
from beryljunction.systems.requests.queueing import FairQueue
from beryljunction.systems.requests.rates import DrainMeter
from beryljunction.systems.state.pointers import PointerSystem
from beryljunction.tables import AccountQueue, RequestTable, Work

__all__ = ["Admission", "AdmissionLimits", "AdmissionSystem", "Refuse", "Start", "Wait"]

_PAUSED_RETRY_S = 1.0
_SPILL_RETRY_S = 0.2
_LEAST_RETRY_S = 0.2
_MOST_RETRY_S = 30.0
_WAIT_SHARE = 0.6
# A request that finds room starts in the tick after its offer, which a busy loop delays.
_START_GRACE_S = 0.1
_LATE_SHARE = 0.1


@attrs.frozen
class AdmissionLimits:
    """Limits of one endpoint, from the settings.

    Attributes:
        load_multiple: Running work allowed here as a multiple of the service's mean.
        cold_multiple: The same for requests that find nothing cached here.
        floor_running: Requests that always may run, so that a small mean can't shut the endpoint.
        max_running: Requests that the engine batches at the most.
        max_waiting: Requests that wait here at the most, all accounts together.
        max_waiting_per_account: The same for one client account.
        quantum_tokens: Tokens that an account of weight one gains in each round.
        peer_stale_s: Age from which a peer's load no longer counts.
        reserve_share: Share of the bound kept for accounts below their fair share.
        prefill_tokens_per_s: Speed of a cold prefill, which says what a warm endpoint saves.
    """

    load_multiple: float = 1.25
    cold_multiple: float = 0.9
    floor_running: int = 4
    max_running: int = 32
    max_waiting: int = 256
    max_waiting_per_account: int = 64
    quantum_tokens: int = 512
    peer_stale_s: float = 10.0
    reserve_share: float = 0.02
    prefill_tokens_per_s: float = 20_000.0

    @classmethod
    def from_service(cls, service: ServiceSettings) -> Self:
        """Return the limits of an endpoint of this service."""
        return cls(
            load_multiple=service.load_multiple,
            floor_running=service.floor_running,
            max_running=service.max_running,
            max_waiting=service.max_waiting,
            max_waiting_per_account=service.max_waiting_per_account,
            quantum_tokens=service.quantum_tokens,
        )


@attrs.frozen
class Start:
    """The request goes to the engine now."""

    request_id: str


@attrs.frozen
class Wait:
    """The request waits here; a later tick starts or refuses it."""

    request_id: str


@attrs.frozen
class Refuse:
    """The request will not run here."""

    request_id: str
    refusal: Refusal


Admission = Start | Wait | Refuse


class AdmissionSystem:
    """Admits, queues, starts and refuses the work of one endpoint.

    Attributes:
        weights: Weight of each client account; one for those not named.
        account_waiting: Requests that an account may have waiting, where it differs from the limit.
        leaving: Set when the endpoint is to get no new work.
        paused: Why no new work is taken for a while; empty when it is taken. Other than a leaving
            endpoint, one that loads a model will be back, so entries may ask again soon.
    """

    def __init__(
        self,
        limits: AdmissionLimits,
        load: LoadSystem | None = None,
        pointers: PointerSystem | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.requests = RequestTable()
        self.queue = FairQueue(self.requests, limits.quantum_tokens)
        self.load = load if load is not None else LoadSystem()
        self.pointers = pointers if pointers is not None else PointerSystem()
        self.weights: dict[str, float] = {}
        self.account_waiting: dict[str, int] = {}
        self.leaving = False
        self.paused = ""
        self._rng = rng if rng is not None else random.Random()
        self._drain = DrainMeter()
        self._expiry: list[tuple[float, str]] = []
        self.limits = limits

    @property
    def limits(self) -> AdmissionLimits:
        """Limits in force; setting them passes them on to the queue and the load bound."""
        return self._limits

    @limits.setter
    def limits(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self.queue.quantum_tokens = limits.quantum_tokens
        self.load.limits = LoadLimits(
            load_multiple=limits.load_multiple,
            cold_multiple=limits.cold_multiple,
            floor_running=limits.floor_running,
            max_running=limits.max_running,
            peer_stale_s=limits.peer_stale_s,
        )

    def offer(self, work: Work, now_s: float) -> Admission:
        """Decide on a request that has just arrived."""
        if self.leaving:
            return self._refuse(work, RefusalCode.LEAVING, "the endpoint is leaving", None)
        if self.paused:
            # Without its load, or it would look like the least loaded and be the last resort.
            refusal = Refusal(RefusalCode.OVERLOADED, self.paused, Ran.NO, _PAUSED_RETRY_S)
            return Refuse(work.request_id, refusal)
        moved = self._moved(work, now_s)
        if moved is not None:
            return moved
        self._note_load(now_s)
        bound = self.load.bound(now_s)
        is_final = work.last_resort or bound.full
        wait_s = self._wait_s(work, is_final)
        if self._waits_in_vain(work, wait_s, now_s):
            return self._refuse_full(work, now_s) if is_final else self._spill(work)
        if wait_s <= 0.0 and self._has_no_room(work, bound):
            return self._spill(work)
        work.give_up_s = min(self._last_start_s(work), now_s + max(wait_s, _START_GRACE_S))
        self.requests.add(work)
        self.queue.add(work, self._weight(work.account))
        heapq.heappush(self._expiry, (work.give_up_s, work.request_id))
        return Wait(work.request_id)

    def tick(self, now_s: float) -> list[Start | Refuse]:
        """Refuse what waited too long, then start what may start, fairly over accounts."""
        decisions: list[Start | Refuse] = list(self._expire(now_s))
        self._note_load(now_s)
        bound = self.load.bound(now_s)
        while self.requests.waiting_count and not self._over(bound):
            work = self.queue.take(held_back=self._in_reserve(bound))
            if work is None:
                break
            self._start(work, now_s)
            decisions.append(Start(work.request_id))
        return decisions

    def finish(self, request_id: str) -> Work | None:
        """Forget a request that ended or was cancelled, waiting or running."""
        work = self.requests.remove(request_id)
        if work is None:
            return None
        if work.started_s is None:
            self.queue.drop(work)
        else:
            self.queue.ended(work)
        return work

    def _moved(self, work: Work, now_s: float) -> Refuse | None:
        """Point to where the chat's prefix lies; note what of it is cached here."""
        row = self.pointers.look_up(work.chat_key, now_s)
        if row is not None and row.endpoint_id == self.pointers.endpoint_id:
            work.cached_tokens = min(row.tokens, work.prompt_tokens)
            work.warm = True
            return None
        if row is None or work.ignore_pointer:
            message = "the chat is not cached here"
            only = work.only_if_warm
            return self._refuse(work, RefusalCode.NOT_WARM, message, None) if only else None
        refusal = Refusal(
            RefusalCode.CHAT_MOVED, "the chat is cached elsewhere", Ran.NO, pointer=row.endpoint_id
        )
        return Refuse(work.request_id, refusal)

    def _waits_in_vain(self, work: Work, wait_s: float, now_s: float) -> bool:
        """Tell whether the queue is full or too long for the time that the request may wait.

        Load: saturation. Harm: a request that waits as long as it may and is refused then has cost
        its caller that time, and the queue that it stood in made others late too. The bounds keep
        memory bounded; the estimate refuses what the queue ahead would make late.
        """
        row = self.queue.accounts.get(work.account)
        waiting = row.waiting_count if row is not None else 0
        if self.requests.waiting_count >= self.limits.max_waiting:
            return True
        if waiting >= self.account_waiting.get(work.account, self.limits.max_waiting_per_account):
            return True
        return self._expected_wait_s(row, now_s) > _WAIT_SHARE * wait_s

    def _expected_wait_s(self, row: AccountQueue | None, now_s: float) -> float:
        """Return the wait that the account's own queue means; other accounts have their share."""
        if row is None or row.waiting_count == 0:
            return 0.0
        return self._drain.wait_s(row.waiting_tokens, self.queue.share(row.weight), now_s)

    def _wait_s(self, work: Work, is_final: bool) -> float:
        """Return how long the request may wait here before another endpoint is better.

        Waiting where the prefix is cached pays off no longer than the prefill that it saves. With
        nowhere else to go, or the whole fleet at its limits, it may wait until its deadline.
        """
        if is_final:
            return self._last_start_s(work) - work.arrived_s
        return work.cached_tokens / self.limits.prefill_tokens_per_s

    def _last_start_s(self, work: Work) -> float:
        """Return the time after which a start would bring no first token by the deadline.

        Load: saturation, where much of the work starts late. Harm: an answer that begins after its
        deadline has taken a place in the batch from one that would have begun in time. A tenth of
        the wait is left for other prefills under way, besides the request's own.
        """
        cold_s = (work.prompt_tokens - work.cached_tokens) / self.limits.prefill_tokens_per_s
        return work.deadline_s - cold_s - _LATE_SHARE * (work.deadline_s - work.arrived_s)

    def _over(self, bound: LoadBound) -> bool:
        requests = self.requests
        if requests.running_count >= bound.running:
            return True
        floor = min(self.limits.floor_running, bound.running)
        return requests.running_count >= floor and requests.running_tokens >= bound.work_tokens

    def _has_no_room(self, work: Work, bound: LoadBound) -> bool:
        """Tell whether the request could not start in the next tick."""
        if self._over(bound) or self._better_elsewhere(work, bound):
            return True
        row = self.queue.accounts.get(work.account)
        return row is not None and self._in_reserve(bound) and self.queue.over_share(row)

    def _better_elsewhere(self, work: Work, bound: LoadBound) -> bool:
        """Tell whether a request with nothing cached here should even out the load elsewhere.

        Load: chats that return at different rates, so that equal shares of chats are unequal shares
        of work. Harm: endpoints reach the bound with returning chats, which then lose their
        prefix. New chats lose nothing by another endpoint, and come back to it later. They go on
        from a tenth below the mean: at the mean itself half of the endpoints would take the first
        one offered, and load would even out only after it had become uneven. Lower still, nearly
        every new chat would walk past four endpoints.
        """
        return work.cached_tokens == 0 and self.requests.running_count >= bound.cold_running

    def _in_reserve(self, bound: LoadBound) -> bool:
        """Tell whether what is left of the bound is kept for accounts below their fair share.

        Load: the surge of one account. Harm: it takes every slot, and then each small account's
        request waits for one to fall free, however short its queue. A fiftieth is enough, since
        the reserve is filled up first by each request that ends, and costs little, since a batch
        that is a little smaller is also faster.
        """
        reserve = math.ceil(self.limits.reserve_share * bound.running)
        only_one = len(self.queue.accounts) < 2
        return not only_one and self.requests.running_count >= bound.running - reserve

    def _start(self, work: Work, now_s: float) -> None:
        self.requests.start(work, now_s)
        self._drain.note(work.cost_tokens, now_s)
        tokens = work.prompt_tokens + work.output_tokens
        self.pointers.placed(work.chat_key, self.pointers.endpoint_id, tokens, now_s)

    def _expire(self, now_s: float) -> list[Refuse]:
        """Refuse what has waited as long as it may; a heap, so that no tick scans the queue."""
        refused = []
        while self._expiry and self._expiry[0][0] <= now_s:
            _, request_id = heapq.heappop(self._expiry)
            work = self.requests.get(request_id)
            # A request that was cancelled and offered here again has an older row in the heap too.
            if work is None or work.started_s is not None or work.give_up_s > now_s:
                continue
            self.finish(request_id)
            if self._last_start_s(work) <= now_s:
                refused.append(
                    self._refuse(work, RefusalCode.DEADLINE, "waited until its deadline", None)
                )
            else:
                message = "waited as long as its cached prefix is worth"
                refused.append(self._refuse(work, RefusalCode.OVERLOADED, message, _SPILL_RETRY_S))
        return refused

    def _note_load(self, now_s: float) -> None:
        requests = self.requests
        self.load.note_own(
            requests.running_count, requests.waiting_count, requests.running_tokens, now_s
        )

    def _weight(self, account: str) -> float:
        return self.weights.get(account, 1.0)

    def _spill(self, work: Work) -> Refuse:
        message = "above the load bound; another endpoint may have room"
        return self._refuse(work, RefusalCode.OVERLOADED, message, _SPILL_RETRY_S)

    def _refuse_full(self, work: Work, now_s: float) -> Refuse:
        """Refuse with the time that the queue takes to drain, spread so that no two return at once.

        Load: full saturation. Harm: callers that all come back at the same moment make the next
        peak of their own.
        """
        drain_s = self._expected_wait_s(self.queue.accounts.get(work.account), now_s)
        retry_s = min(_MOST_RETRY_S, max(1.0, drain_s)) * self._rng.uniform(0.5, 1.5)
        message = "the account's queue is full or too long for the deadline"
        return self._refuse(work, RefusalCode.QUEUE_FULL, message, max(_LEAST_RETRY_S, retry_s))

    def _refuse(self, work: Work, code: RefusalCode, message: str, retry_s: float | None) -> Refuse:
        load = self.load.own_row() if code is RefusalCode.OVERLOADED else None
        return Refuse(work.request_id, Refusal(code, message, Ran.NO, retry_s, load=load))
