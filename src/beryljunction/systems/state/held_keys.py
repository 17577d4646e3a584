"""Claims on idempotency keys that one process has read from one stream of the log."""

import attrs

from beryljunction.systems.state.key_claims import KeyClaim

__all__ = ["HeldClaim", "HeldKeys"]


@attrs.define
class HeldClaim:
    """A claim that was read; kept small, since a stream at the target has some 22,500."""

    body: str
    ticket: str
    until_s: float
    sure_s: float
    behind: "HeldClaim | None" = None

    def queue(self, other: "HeldClaim") -> None:
        """Put a later claim behind this one; another copy of a claim changes nothing."""
        row = self
        while row.ticket != other.ticket:
            if row.behind is None:
                row.behind = other
                return
            row = row.behind


class HeldKeys:
    """The first claim on each key, with later ones behind it; bounded.

    Attributes:
        blind_until_s: Until then a key that is not held may still have been claimed.
    """

    def __init__(self, max_keys: int) -> None:
        self.blind_until_s = 0.0
        self._max_keys = max_keys
        self._rows: dict[str, HeldClaim] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def hold(self, claim: KeyClaim, until_s: float) -> None:
        """Remember a claim behind the earlier ones on its key.

        A reader that started later holds the first claim for longer. So when it ends there, the
        next one has to be known, or two readers would see two different tickets as the key's.
        """
        first = self._rows.get(claim.key)
        if first is not None:
            first.queue(HeldClaim(claim.body, claim.ticket, until_s, 0.0))
            return
        if len(self._rows) >= self._max_keys:
            # A key that was not remembered would look new. So none counts as new until the
            # forgotten one is past its life.
            self.blind_until_s = until_s
            return
        self._rows[claim.key] = HeldClaim(claim.body, claim.ticket, until_s, self.blind_until_s)

    def winner(self, key: str, now_s: float) -> HeldClaim | None:
        """Return the first claim on a key, or None when none is known for sure."""
        row = self._rows.get(key)
        return row if row is not None and now_s >= row.sure_s else None

    def expire(self, now_s: float) -> None:
        """Drop claims past their life, oldest key first.

        A claim that waited behind another goes to the end of the table, and so may be held a
        little longer than its life; that is on the safe side.
        """
        while self._rows:
            key, row = next(iter(self._rows.items()))
            if row.until_s > now_s:
                return
            del self._rows[key]
            if row.behind is not None:
                self._rows[key] = row.behind
