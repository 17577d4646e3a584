"""Client accounts with waiting work at one sidecar."""

from collections import deque

import attrs

__all__ = ["AccountQueue", "AccountTable"]


@attrs.define
class AccountQueue:
    """Requests of one client account that wait, oldest first, and its round-robin deficit."""

    account: str
    weight: float = 1.0
    deficit_tokens: float = 0.0
    waiting: deque[str] = attrs.field(factory=deque)


class AccountTable:
    """Queues of the accounts that have waiting work, in round-robin order."""

    def __init__(self) -> None:
        self._rows: dict[str, AccountQueue] = {}
        self.ring: deque[str] = deque()

    def get(self, account: str) -> AccountQueue | None:
        """Return the account's queue, or None when nothing of it waits."""
        return self._rows.get(account)

    def open(self, account: str, weight: float) -> AccountQueue:
        """Return the account's queue, made if need be, with its present weight."""
        row = self._rows.get(account)
        if row is None:
            row = self._rows[account] = AccountQueue(account)
            self.ring.append(account)
        row.weight = weight
        return row

    def close(self, account: str) -> None:
        """Forget an account that has nothing waiting."""
        if self._rows.pop(account, None) is not None:
            self.ring.remove(account)
