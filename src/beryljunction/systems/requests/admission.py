"""Admission control of a sidecar: start, queue or refuse a request.

The sidecar knows what its endpoint runs, so the load bound, the fair queue and refusals are decided
here. The code uses no sockets, and callers pass in the time.
"""

import heapq
import math
import random
from typing import Self

import attrs

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.settings.schema import ServiceSettings
from beryljunction.systems.requests.load import LoadBound, LoadLimits, LoadTracker
from beryljunction.systems.requests.queueing import FairQueue
from beryljunction.systems.requests.rates import DrainMeter
from beryljunction.systems.state.pointers import ChatDirectory
from beryljunction.tables import AccountQueue, RequestTable, SidecarRequest

__all__ = [
    "Admission",
    "AdmissionController",
    "AdmissionLimits",
    "AdmissionQueued",
    "AdmissionRefused",
    "AdmissionStarted",
]

_PAUSED_RETRY_S = 1.0
_SPILL_RETRY_S = 0.2
_MIN_RETRY_S = 0.2
_MAX_RETRY_S = 30.0
_MAX_QUEUE_RATIO = 0.6
# An admitted request starts in the tick after its offer, and a busy event loop delays that tick.
_MIN_WAIT_S = 0.1
_DEADLINE_MARGIN_RATIO = 0.1


@attrs.frozen
class AdmissionLimits:
    """Limits of one endpoint, from the settings.

    Attributes:
        load_multiple: Most running requests here, as a multiple of the service's mean.
        cold_multiple: The same for requests without a cached prefix here.
        floor_running: Requests that may always run, so that a small mean can't block the endpoint.
        max_running: Largest batch of the engine, in requests.
        max_waiting: Most waiting requests of all client accounts together.
        max_waiting_per_account: Most waiting requests of one client account.
        quantum_tokens: Tokens that an account of weight one gains in each round.
        peer_stale_s: Age from which a peer's load is ignored.
        reserve_share: Share of the bound that is reserved for accounts below their fair share.
        prefill_tokens_per_s: Prefill speed without a cached prefix, from which the time that a
            cached prefix saves is computed.
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
class AdmissionStarted:
    """The request is sent to the engine now."""

    request_id: str


@attrs.frozen
class AdmissionQueued:
    """The request is queued here; a later tick starts or refuses it."""

    request_id: str


@attrs.frozen
class AdmissionRefused:
    """The request will not run here."""

    request_id: str
    refusal: Refusal


Admission = AdmissionStarted | AdmissionQueued | AdmissionRefused


class AdmissionController:
    """Admits, queues, starts and refuses the requests of one endpoint.

    Attributes:
        weights: Weight of each client account; accounts that are not listed have weight one.
        max_waiting_by_account: Most waiting requests per account, where it differs from the limit.
        leaving: Whether the endpoint gets no new requests because it leaves.
        paused: Why new requests are refused for a while, such as a model load; empty when they are
            accepted. Unlike a leaving endpoint, a paused one may be asked again soon.
    """

    def __init__(
        self,
        limits: AdmissionLimits,
        load: LoadTracker | None = None,
        pointers: ChatDirectory | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.requests = RequestTable()
        self.queue = FairQueue(self.requests, limits.quantum_tokens)
        self.load = load if load is not None else LoadTracker()
        self.pointers = pointers if pointers is not None else ChatDirectory()
        self.weights: dict[str, float] = {}
        self.max_waiting_by_account: dict[str, int] = {}
        self.leaving = False
        self.paused = ""
        self._rng = rng if rng is not None else random.Random()
        self._drain = DrainMeter()
        self._expiry: list[tuple[float, str]] = []
        self.limits = limits

    @property
    def limits(self) -> AdmissionLimits:
        """Current limits; setting them also updates the queue and the load bound."""
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

    def offer(self, request: SidecarRequest, now_s: float) -> Admission:
        """Decide on a request that has just arrived."""
        if self.leaving:
            return self._refuse(request, RefusalCode.LEAVING, "the endpoint is leaving", None)
        if self.paused:
            # Sent without the load: a paused endpoint would look like the least loaded one.
            refusal = Refusal(
                RefusalCode.OVERLOADED, self.paused, ExecutionStatus.NO, _PAUSED_RETRY_S
            )
            return AdmissionRefused(request.request_id, refusal)
        moved = self._moved(request, now_s)
        if moved is not None:
            return moved
        self._note_load(now_s)
        bound = self.load.bound(now_s)
        is_final = request.last_resort or bound.fleet_full
        wait_s = self._wait_s(request, is_final)
        if self._queue_is_too_long(request, wait_s, now_s):
            return (
                self._refuse_full(request, now_s) if is_final else self._refuse_overloaded(request)
            )
        if wait_s <= 0.0 and self._has_no_room(request, bound):
            return self._refuse_overloaded(request)
        request.wait_until_s = min(self._last_start_s(request), now_s + max(wait_s, _MIN_WAIT_S))
        self.requests.add(request)
        self.queue.add(request, self._weight(request.account))
        heapq.heappush(self._expiry, (request.wait_until_s, request.request_id))
        return AdmissionQueued(request.request_id)

    def tick(self, now_s: float) -> list[AdmissionStarted | AdmissionRefused]:
        """Refuse requests that waited too long, then start others, fairly over accounts."""
        decisions: list[AdmissionStarted | AdmissionRefused] = list(self._expire(now_s))
        self._note_load(now_s)
        bound = self.load.bound(now_s)
        while self.requests.waiting_count and not self._is_over_bound(bound):
            request = self.queue.take(below_share_only=self._only_reserve_left(bound))
            if request is None:
                break
            self._start(request, now_s)
            decisions.append(AdmissionStarted(request.request_id))
        return decisions

    def finish(self, request_id: str) -> SidecarRequest | None:
        """Remove a request that ended or was cancelled, whether it was waiting or running."""
        request = self.requests.remove(request_id)
        if request is None:
            return None
        if request.started_s is None:
            self.queue.drop(request)
        else:
            self.queue.ended(request)
        return request

    def _moved(self, request: SidecarRequest, now_s: float) -> AdmissionRefused | None:
        """Refer the chat to the endpoint that has its prefix; if that is this one, mark it warm."""
        row = self.pointers.look_up(request.chat_key, now_s)
        if row is not None and row.endpoint_id == self.pointers.endpoint_id:
            request.cached_tokens = min(row.tokens, request.prompt_tokens)
            request.warm = True
            return None
        if row is None or request.ignore_pointer:
            message = "the chat is not cached here"
            only = request.only_if_warm
            return self._refuse(request, RefusalCode.NOT_WARM, message, None) if only else None
        refusal = Refusal(
            RefusalCode.CHAT_MOVED,
            "the chat is cached elsewhere",
            ExecutionStatus.NO,
            pointer=row.endpoint_id,
        )
        return AdmissionRefused(request.request_id, refusal)

    def _queue_is_too_long(self, request: SidecarRequest, wait_s: float, now_s: float) -> bool:
        """Return whether the queue is full or too long for the time that the request may wait.

        The queue limits bound memory. The estimated wait refuses requests early under saturation:
        one that waits its full time and is refused then wastes its caller's time and delays others.
        """
        row = self.queue.accounts.get(request.account)
        waiting = row.waiting_count if row is not None else 0
        if self.requests.waiting_count >= self.limits.max_waiting:
            return True
        if waiting >= self.max_waiting_by_account.get(
            request.account, self.limits.max_waiting_per_account
        ):
            return True
        return self._expected_wait_s(row, now_s) > _MAX_QUEUE_RATIO * wait_s

    def _expected_wait_s(self, row: AccountQueue | None, now_s: float) -> float:
        """Return the estimated wait in the account's own queue, given its fair share."""
        if row is None or row.waiting_count == 0:
            return 0.0
        return self._drain.wait_s(row.waiting_tokens, self.queue.share(row.weight), now_s)

    def _wait_s(self, request: SidecarRequest, is_final: bool) -> float:
        """Return how long the request may wait here before another endpoint is better.

        Waiting for a cached prefix pays off only as long as the prefill that it saves. If no other
        candidate is left or the whole fleet is at its limits, the request may wait until its
        deadline.
        """
        if is_final:
            return self._last_start_s(request) - request.arrived_s
        return request.cached_tokens / self.limits.prefill_tokens_per_s

    def _last_start_s(self, request: SidecarRequest) -> float:
        """Return the latest start that still gives a first token by the deadline.

        Under saturation, a request that starts too late takes a batch slot from one that would be
        in time. Besides the request's own prefill, a tenth of the wait is kept free for other
        prefills in progress.
        """
        cold_s = (request.prompt_tokens - request.cached_tokens) / self.limits.prefill_tokens_per_s
        return (
            request.deadline_s
            - cold_s
            - _DEADLINE_MARGIN_RATIO * (request.deadline_s - request.arrived_s)
        )

    def _is_over_bound(self, bound: LoadBound) -> bool:
        requests = self.requests
        if requests.running_count >= bound.running:
            return True
        floor = min(self.limits.floor_running, bound.running)
        return requests.running_count >= floor and requests.running_tokens >= bound.work_tokens

    def _has_no_room(self, request: SidecarRequest, bound: LoadBound) -> bool:
        """Return whether the request can't start in the next tick."""
        if self._is_over_bound(bound) or self._better_elsewhere(request, bound):
            return True
        row = self.queue.accounts.get(request.account)
        return row is not None and self._only_reserve_left(bound) and self.queue.over_share(row)

    def _better_elsewhere(self, request: SidecarRequest, bound: LoadBound) -> bool:
        """Return whether a request without a cached prefix should go to another endpoint.

        Chats return at different rates, so equal shares of chats are unequal shares of load, and an
        endpoint at its bound would turn away returning chats, which lose their cached prefix. New
        chats lose nothing elsewhere and return there later. They are sent on from a tenth below the
        mean: at the mean, half of the endpoints would accept the first new chat, and load would be
        balanced only after it became uneven. At a lower threshold, nearly every new chat would try
        four endpoints.
        """
        return request.cached_tokens == 0 and self.requests.running_count >= bound.cold_running

    def _only_reserve_left(self, bound: LoadBound) -> bool:
        """Return whether the free slots are reserved for accounts below their fair share.

        Without the reserve, a surge of one account takes every slot and each request of a small
        account waits for a free one, however short its queue. A reserve of 2% is enough, because
        each request that ends refills it first. It costs little, because a slightly smaller batch
        is also faster.
        """
        reserve = math.ceil(self.limits.reserve_share * bound.running)
        only_one = len(self.queue.accounts) < 2
        return not only_one and self.requests.running_count >= bound.running - reserve

    def _start(self, request: SidecarRequest, now_s: float) -> None:
        self.requests.start(request, now_s)
        self._drain.note(request.cost_tokens, now_s)
        tokens = request.prompt_tokens + request.output_tokens
        self.pointers.record_location(request.chat_key, self.pointers.endpoint_id, tokens, now_s)

    def _expire(self, now_s: float) -> list[AdmissionRefused]:
        """Refuse requests whose wait is over; a heap avoids a scan of the queue in each tick."""
        refused = []
        while self._expiry and self._expiry[0][0] <= now_s:
            _, request_id = heapq.heappop(self._expiry)
            request = self.requests.get(request_id)
            # A request that was cancelled and offered again also has an older row in the heap.
            if request is None or request.started_s is not None or request.wait_until_s > now_s:
                continue
            self.finish(request_id)
            if self._last_start_s(request) <= now_s:
                refused.append(
                    self._refuse(request, RefusalCode.DEADLINE, "waited until its deadline", None)
                )
            else:
                message = "waited as long as its cached prefix is worth"
                refused.append(
                    self._refuse(request, RefusalCode.OVERLOADED, message, _SPILL_RETRY_S)
                )
        return refused

    def _note_load(self, now_s: float) -> None:
        requests = self.requests
        self.load.note_own(
            requests.running_count, requests.waiting_count, requests.running_tokens, now_s
        )

    def _weight(self, account: str) -> float:
        return self.weights.get(account, 1.0)

    def _refuse_overloaded(self, request: SidecarRequest) -> AdmissionRefused:
        message = "above the load bound; another endpoint may have room"
        return self._refuse(request, RefusalCode.OVERLOADED, message, _SPILL_RETRY_S)

    def _refuse_full(self, request: SidecarRequest, now_s: float) -> AdmissionRefused:
        """Refuse with the queue's drain time as retry delay, with random jitter.

        Without jitter, callers refused under saturation would all retry at the same moment and
        cause the next peak.
        """
        drain_s = self._expected_wait_s(self.queue.accounts.get(request.account), now_s)
        retry_s = min(_MAX_RETRY_S, max(1.0, drain_s)) * self._rng.uniform(0.5, 1.5)
        message = "the account's queue is full or too long for the deadline"
        return self._refuse(request, RefusalCode.QUEUE_FULL, message, max(_MIN_RETRY_S, retry_s))

    def _refuse(
        self, request: SidecarRequest, code: RefusalCode, message: str, retry_s: float | None
    ) -> AdmissionRefused:
        load = self.load.own_row() if code is RefusalCode.OVERLOADED else None
        return AdmissionRefused(
            request.request_id, Refusal(code, message, ExecutionStatus.NO, retry_s, load=load)
        )
