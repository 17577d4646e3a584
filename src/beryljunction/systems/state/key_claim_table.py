"""Claims on idempotency keys that one process has read from one stream of the log."""

import attrs

from beryljunction.systems.state.key_claims import KeyClaim

__all__ = ["KeyClaimTable", "StoredClaim"]


@attrs.define
class StoredClaim:
    """A claim that was read; kept small, since a stream has about 22,500 at the target load."""

    body: str
    ticket: str
    until_s: float
    sure_s: float
    next_claim: "StoredClaim | None" = None

    def queue(self, other: "StoredClaim") -> None:
        """Append a later claim to this key's list; a second copy of a claim is ignored."""
        row = self
        while row.ticket != other.ticket:
            if row.next_claim is None:
                row.next_claim = other
                return
            row = row.next_claim


class KeyClaimTable:
    """Bounded table of the first claim on each key, with later claims linked to it.

    Attributes:
        incomplete_until_s: Time until which a key that is not in the table may have been claimed.
    """

    def __init__(self, max_keys: int) -> None:
        self.incomplete_until_s = 0.0
        self._max_keys = max_keys
        self._rows: dict[str, StoredClaim] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def hold(self, claim: KeyClaim, until_s: float) -> None:
        """Store a claim after the earlier ones on its key.

        A reader that started later keeps the first claim longer. When a claim expires the next one
        must be known, or two readers would take different tickets for the key's.
        """
        first = self._rows.get(claim.key)
        if first is not None:
            first.queue(StoredClaim(claim.body, claim.ticket, until_s, 0.0))
            return
        if len(self._rows) >= self._max_keys:
            # A key that was not stored would look new, so no key counts as new until this claim
            # has expired.
            self.incomplete_until_s = until_s
            return
        self._rows[claim.key] = StoredClaim(
            claim.body, claim.ticket, until_s, self.incomplete_until_s
        )

    def winner(self, key: str, now_s: float) -> StoredClaim | None:
        """Return the first claim on a key, or None if none is known for certain."""
        row = self._rows.get(key)
        return row if row is not None and now_s >= row.sure_s else None

    def expire(self, now_s: float) -> None:
        """Drop expired claims, oldest key first.

        A claim that follows an expired one moves to the end of the table, so it may be kept a
        little longer than its life, which is safe.
        """
        while self._rows:
            key, row = next(iter(self._rows.items()))
            if row.until_s > now_s:
                return
            del self._rows[key]
            if row.next_claim is not None:
                self._rows[key] = row.next_claim
