"""Whether a sidecar takes a request, lets it wait or refuses it.

The sidecar knows what its endpoint runs, so the load bound, the fair queue and the refusals are
decided here, without sockets and with the time handed in.
"""

import attrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.tables import AccountQueue, AccountTable, PeerTable, RequestTable, Work

__all__ = ["Admission", "AdmissionLimits", "AdmissionSystem", "Refuse", "Start", "Wait"]


@attrs.frozen
class AdmissionLimits:
    """Limits of one endpoint, from the settings.

    Attributes:
        load_multiple: Running work allowed here as a multiple of the service's mean.
        floor_running: Requests that always may run, so that a small mean can't shut the endpoint.
        max_running: Requests that the engine batches at the most.
        max_waiting: Requests that wait here at the most, all accounts together.
        max_waiting_per_account: The same for one client account.
        quantum_tokens: Tokens that an account of weight one gains in each round.
        peer_stale_s: Age from which a peer's load no longer counts.
    """

    load_multiple: float = 1.25
    floor_running: int = 4
    max_running: int = 32
    max_waiting: int = 256
    max_waiting_per_account: int = 64
    quantum_tokens: int = 512
    peer_stale_s: float = 10.0


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
    """Admits, queues, starts and refuses the work of one endpoint."""

    def __init__(self, limits: AdmissionLimits, peers: PeerTable | None = None) -> None:
        self.limits = limits
        self.requests = RequestTable()
        self.accounts = AccountTable()
        self.peers = peers if peers is not None else PeerTable()
        self.weights: dict[str, float] = {}
        self.leaving = False

    def offer(self, work: Work, now_s: float) -> Admission:
        """Decide on a request that has just arrived."""
        if self.leaving:
            return self._refuse(work, RefusalCode.LEAVING, "the endpoint is leaving", None)
        if self.requests.waiting_count >= self.limits.max_waiting:
            return self._refuse(work, RefusalCode.QUEUE_FULL, "the endpoint's queue is full", 1.0)
        queue = self.accounts.open(work.account, self.weights.get(work.account, 1.0))
        if len(queue.waiting) >= self.limits.max_waiting_per_account:
            return self._refuse(work, RefusalCode.QUEUE_FULL, "the account's queue is full", 1.0)
        over_bound = self.requests.running_count >= self._bound(now_s)
        if over_bound and not (work.warm or work.last_resort):
            return self._refuse(work, RefusalCode.OVERLOADED, "above the load bound", 0.2)
        self.requests.add(work)
        queue.waiting.append(work.request_id)
        return Wait(work.request_id)

    def tick(self, now_s: float) -> list[Start | Refuse]:
        """Expire what waited too long, then start what may start, fairly over accounts."""
        decisions: list[Start | Refuse] = [
            self._drop(work, RefusalCode.DEADLINE, "waited until its deadline")
            for work in self.requests
            if work.started_s is None and work.deadline_s <= now_s
        ]
        while self.requests.running_count < self._bound(now_s):
            work = self._next()
            if work is None:
                break
            self.requests.start(work, now_s)
            decisions.append(Start(work.request_id))
        return decisions

    def finish(self, request_id: str) -> Work | None:
        """Forget a request that ended or was cancelled, waiting or running."""
        work = self.requests.remove(request_id)
        if work is not None and work.started_s is None:
            self._unqueue(work)
        return work

    def _bound(self, now_s: float) -> int:
        loads = [
            peer.running for peer in self.peers if now_s - peer.heard_s <= self.limits.peer_stale_s
        ]
        if not loads:
            return self.limits.max_running
        mean = (sum(loads) + self.requests.running_count) / (len(loads) + 1)
        allowed = max(self.limits.floor_running, int(self.limits.load_multiple * mean))
        return min(self.limits.max_running, allowed)

    def _next(self) -> Work | None:
        """Deficit round robin in estimated tokens over the accounts that wait."""
        ring = self.accounts.ring
        while ring:
            queue = self.accounts.get(ring[0])
            if queue is None or not queue.waiting:
                self.accounts.close(ring[0])
                continue
            work = self.requests.get(queue.waiting[0])
            if work is None:
                queue.waiting.popleft()
                continue
            if queue.deficit_tokens >= work.cost_tokens:
                return self._take(queue, work)
            queue.deficit_tokens += self.limits.quantum_tokens * queue.weight
            ring.rotate(-1)
        return None

    def _take(self, queue: AccountQueue, work: Work) -> Work:
        queue.deficit_tokens -= work.cost_tokens
        queue.waiting.popleft()
        if not queue.waiting:
            self.accounts.close(queue.account)
        return work

    def _unqueue(self, work: Work) -> None:
        queue = self.accounts.get(work.account)
        if queue is not None and work.request_id in queue.waiting:
            queue.waiting.remove(work.request_id)

    def _drop(self, work: Work, code: RefusalCode, message: str) -> Refuse:
        self.finish(work.request_id)
        return self._refuse(work, code, message, None)

    @staticmethod
    def _refuse(work: Work, code: RefusalCode, message: str, retry_s: float | None) -> Refuse:
        return Refuse(work.request_id, Refusal(code, message, Ran.NO, retry_s))
