"""Which waiting request starts next: deficit round robin over client accounts."""

import math

from beryljunction.tables import AccountQueue, AccountTable, RequestTable, Work

__all__ = ["FairQueue"]


# An account of no weight would gain nothing in any round and wait for ever.
_LEAST_WEIGHT = 0.001


class FairQueue:
    """Waiting requests of one endpoint, fair over client accounts in estimated tokens.

    Load: one client account that sends many times what the others do. Harm: in one queue everybody
    would wait behind it. Each account has a queue of its own and gains a quantum of tokens in each
    round (Shreedhar and Varghese, 1995), so that an account waits for its own work only.
    """

    def __init__(self, requests: RequestTable, quantum_tokens: int) -> None:
        self.quantum_tokens = quantum_tokens
        self.accounts = AccountTable()
        self._requests = requests
        self._order = 0

    def add(self, work: Work, weight: float) -> None:
        """Queue a request."""
        row = self.accounts.open(work.account, max(_LEAST_WEIGHT, weight))
        self._order += 1
        row.push(work.request_id, work.priority, self._order)
        row.waiting_count += 1
        row.waiting_tokens += work.cost_tokens
        if row.waiting_count == 1 and row not in self.accounts.ring:
            self.accounts.ring.append(row)

    def take(self, held_back: bool) -> Work | None:
        """Return the request to start next, counted as running, or None.

        Args:
            held_back: Only accounts below their fair share of what runs may start.
        """
        work = self._pass(held_back)
        if work is None and self._skip_rounds(held_back):
            work = self._pass(held_back)
        return work

    def drop(self, work: Work) -> None:
        """Forget a request that waited and won't start; its row in the heap goes when on top."""
        row = self.accounts.get(work.account)
        if row is not None:
            row.waiting_count -= 1
            row.waiting_tokens -= work.cost_tokens
            self._settle(row)

    def ended(self, work: Work) -> None:
        """Count a running request as ended."""
        row = self.accounts.get(work.account)
        if row is not None:
            row.running_count -= 1
            self._settle(row)

    def share(self, weight: float) -> float:
        """Return the fair share of an account of this weight among those with work here."""
        return weight / max(weight, self.accounts.active_weight)

    def over_share(self, row: AccountQueue) -> bool:
        """Tell whether the account runs its fair share already."""
        return row.running_count >= self.share(row.weight) * self._requests.running_count

    def _pass(self, held_back: bool) -> Work | None:
        """Go once around the ring; an account that can't pay passes its turn on."""
        ring = self.accounts.ring
        for _ in range(len(ring)):
            row = ring[0]
            work = self._head(row)
            if work is None:
                ring.popleft()
                row.deficit_tokens = 0.0
                continue
            if row.deficit_tokens >= work.cost_tokens and not (held_back and self.over_share(row)):
                self._charge(row, work)
                return work
            ring.rotate(-1)
        return None

    def _skip_rounds(self, held_back: bool) -> bool:
        """Give each account the quanta of the rounds until one of them can pay.

        Going through the rounds one by one costs a pass over all accounts each, and a long request
        needs many; the accounts end with the same deficits this way.
        """
        rounds = math.inf
        waiting: list[tuple[AccountQueue, float]] = []
        for row in self.accounts.ring:
            work = self._head(row)
            if work is None or (held_back and self.over_share(row)):
                continue
            quantum_tokens = self.quantum_tokens * row.weight
            waiting.append((row, quantum_tokens))
            rounds = min(rounds, (work.cost_tokens - row.deficit_tokens) / quantum_tokens)
        for row, quantum_tokens in waiting:
            row.deficit_tokens += max(1, math.ceil(rounds)) * quantum_tokens
        return bool(waiting)

    def _head(self, row: AccountQueue) -> Work | None:
        while row.waiting:
            work = self._requests.get(row.waiting[0][2])
            if work is not None and work.started_s is None:
                return work
            row.pop()
        return None

    def _charge(self, row: AccountQueue, work: Work) -> None:
        row.deficit_tokens -= work.cost_tokens
        row.pop()
        row.waiting_count -= 1
        row.waiting_tokens -= work.cost_tokens
        row.running_count += 1

    def _settle(self, row: AccountQueue) -> None:
        """Forget an account without any work, and with it its deficit."""
        if row.waiting_count == 0 and row in self.accounts.ring:
            self.accounts.ring.remove(row)
            row.waiting.clear()
            row.deficit_tokens = 0.0
        self.accounts.release(row)
