"""Fair queueing of waiting requests: deficit round robin over client accounts."""

import math

from beryljunction.tables import AccountQueue, AccountTable, RequestTable, SidecarRequest

__all__ = ["FairQueue"]


# An account of weight zero would gain no tokens in any round and wait forever.
_MIN_WEIGHT = 0.001


class FairQueue:
    """Waiting requests of one endpoint, fair over client accounts in estimated tokens.

    In a single queue, all accounts would wait behind one that sends many times more than the
    others. So each account has its own queue and gains a quantum of tokens in each round (Shreedhar
    and Varghese, 1995), and an account waits for its own requests only.
    """

    def __init__(self, requests: RequestTable, quantum_tokens: int) -> None:
        self.quantum_tokens = quantum_tokens
        self.accounts = AccountTable()
        self._requests = requests
        self._arrivals = 0

    def add(self, request: SidecarRequest, weight: float) -> None:
        """Queue a request."""
        row = self.accounts.open(request.account, max(_MIN_WEIGHT, weight))
        self._arrivals += 1
        row.push(request.request_id, request.priority, self._arrivals)
        row.waiting_count += 1
        row.waiting_tokens += request.cost_tokens
        if row.waiting_count == 1 and row not in self.accounts.ring:
            self.accounts.ring.append(row)

    def take(self, below_share_only: bool) -> SidecarRequest | None:
        """Remove and return the request to start next, or None, and count it as running.

        Args:
            below_share_only: Whether only accounts below their fair share of running requests may
                start.
        """
        request = self._scan_ring(below_share_only)
        if request is None and self._skip_rounds(below_share_only):
            request = self._scan_ring(below_share_only)
        return request

    def drop(self, request: SidecarRequest) -> None:
        """Remove a waiting request; its heap item is removed when it reaches the top."""
        row = self.accounts.get(request.account)
        if row is not None:
            row.waiting_count -= 1
            row.waiting_tokens -= request.cost_tokens
            self._remove_if_idle(row)

    def ended(self, request: SidecarRequest) -> None:
        """Count a running request as ended."""
        row = self.accounts.get(request.account)
        if row is not None:
            row.running_count -= 1
            self._remove_if_idle(row)

    def share(self, weight: float) -> float:
        """Return the fair share of an account of this weight among the active accounts."""
        return weight / max(weight, self.accounts.active_weight)

    def over_share(self, row: AccountQueue) -> bool:
        """Return whether the account already runs its fair share."""
        return row.running_count >= self.share(row.weight) * self._requests.running_count

    def _scan_ring(self, below_share_only: bool) -> SidecarRequest | None:
        """Visit each account in the ring once; skip those whose deficit is below the cost."""
        ring = self.accounts.ring
        for _ in range(len(ring)):
            row = ring[0]
            request = self._head(row)
            if request is None:
                ring.popleft()
                row.deficit_tokens = 0.0
                continue
            if row.deficit_tokens >= request.cost_tokens and not (
                below_share_only and self.over_share(row)
            ):
                self._charge(row, request)
                return request
            ring.rotate(-1)
        return None

    def _skip_rounds(self, below_share_only: bool) -> bool:
        """Add the quanta of all rounds until the first account can pay for its next request.

        Single rounds would give the same deficits, but each one scans all accounts, and a long
        request needs many rounds.
        """
        rounds = math.inf
        waiting: list[tuple[AccountQueue, float]] = []
        for row in self.accounts.ring:
            request = self._head(row)
            if request is None or (below_share_only and self.over_share(row)):
                continue
            quantum_tokens = self.quantum_tokens * row.weight
            waiting.append((row, quantum_tokens))
            rounds = min(rounds, (request.cost_tokens - row.deficit_tokens) / quantum_tokens)
        for row, quantum_tokens in waiting:
            row.deficit_tokens += max(1, math.ceil(rounds)) * quantum_tokens
        return bool(waiting)

    def _head(self, row: AccountQueue) -> SidecarRequest | None:
        while row.waiting:
            request = self._requests.get(row.waiting[0][2])
            if request is not None and request.started_s is None:
                return request
            row.pop()
        return None

    def _charge(self, row: AccountQueue, request: SidecarRequest) -> None:
        row.deficit_tokens -= request.cost_tokens
        row.pop()
        row.waiting_count -= 1
        row.waiting_tokens -= request.cost_tokens
        row.running_count += 1

    def _remove_if_idle(self, row: AccountQueue) -> None:
        """Remove an account without waiting requests from the ring and reset its deficit."""
        if row.waiting_count == 0 and row in self.accounts.ring:
            self.accounts.ring.remove(row)
            row.waiting.clear()
            row.deficit_tokens = 0.0
        self.accounts.release(row)
