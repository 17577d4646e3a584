"""Client accounts with waiting or running requests at one sidecar."""

import heapq
from collections import deque

import attrs

__all__ = ["AccountQueue", "AccountTable"]


@attrs.define(eq=False)
class AccountQueue:
    """One client account's waiting requests, round-robin deficit and number of running requests.

    Attributes:
        waiting: Heap of (negated priority, order of arrival, request id); items of requests that
            have ended stay until they reach the top.
        waiting_count: Waiting requests, without such items.
        waiting_tokens: Estimated work of the waiting requests.
    """

    account: str
    weight: float = 1.0
    deficit_tokens: float = 0.0
    waiting: list[tuple[int, int, str]] = attrs.field(factory=list)
    waiting_count: int = 0
    waiting_tokens: int = 0
    running_count: int = 0

    def push(self, request_id: str, priority: int, order: int) -> None:
        """Queue a request behind those of the same account and at least the same priority."""
        heapq.heappush(self.waiting, (-priority, order, request_id))

    def pop(self) -> None:
        """Take the first request off the queue."""
        heapq.heappop(self.waiting)


class AccountTable:
    """Active accounts; those with waiting requests are also in the round-robin ring."""

    def __init__(self) -> None:
        self._rows: dict[str, AccountQueue] = {}
        self.ring: deque[AccountQueue] = deque()
        self.active_weight = 0.0

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, account: str) -> AccountQueue | None:
        """Return the account's row, or None if it has no requests here."""
        return self._rows.get(account)

    def open(self, account: str, weight: float) -> AccountQueue:
        """Return the account's row with its weight updated; create the row if it is missing."""
        row = self._rows.get(account)
        if row is None:
            row = self._rows[account] = AccountQueue(account, 0.0)
        self.active_weight += weight - row.weight
        row.weight = weight
        return row

    def release(self, row: AccountQueue) -> None:
        """Remove the account if it has neither waiting nor running requests."""
        if row.waiting_count == 0 and row.running_count == 0:
            del self._rows[row.account]
            self.active_weight = self.active_weight - row.weight if self._rows else 0.0
