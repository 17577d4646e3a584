"""Claims of an ``Idempotency-Key`` sent without a ticket: the first claim in log order wins.

A key is free text that a caller may send through any entry, so no process can tell alone whether it
is new. The order of the platform's log decides, which is the same for all. A claim names the ticket
that the request runs under. Every reader of the log finds the same first claim and thus the same
ticket, whose sidecar ensures at-most-once execution (docs/design/at-most-once.md).

A hash of the key selects one of a few log streams. The sidecar that is the key's rendezvous home
appends the claim, so that few processes read each stream and many claims share an append. If two
processes disagree on the home, that costs an append but never a second run.
"""

from collections import deque
from typing import Any

import attrs

from beryljunction.systems.state.key_claim_table import KeyClaimTable, StoredClaim
from beryljunction.systems.state.key_claims import (
    ClaimBatch,
    KeyClaim,
    KeyLost,
    KeyMismatch,
    KeyUnavailable,
    KeyVerdict,
    KeyWon,
    claims_of,
)

__all__ = ["ClaimLimits", "KeyClaimResolver"]

_LIFE_RETENTION_RATIO = 0.5


@attrs.frozen
class ClaimLimits:
    """Limits of one stream's claims in one process.

    Attributes:
        life_s: Time for which a key belongs to its first request; see :meth:`within`.
            Shorter than a ticket's, so that the ticket is still known when its key is used again.
        max_keys: Most keys stored. At the target of 64 streams, 800 claims per second in the fleet
            and a key life of half an hour, a stream has 22,500.
        batch_claims: Most claims in one append.
        append_gap_s: Least time between appends, so that 64 streams make at most 320 appends per
            second of the several hundred that the log accepts.
        wait_s: Longest wait for a verdict.
        down_s: Time after a failed append or read for which claims are refused at once.
    """

    life_s: float = 1800.0
    max_keys: int = 32_768
    batch_claims: int = 64
    append_gap_s: float = 0.2
    wait_s: float = 2.0
    down_s: float = 1.0

    @classmethod
    def within(cls, retention_s: float) -> "ClaimLimits":
        """Return the limits for a log with this retention.

        A home that restarts knows only the keys whose claims are still in the log. A key that
        outlived its claim would be new there but known elsewhere, and its request would run twice.
        Half of the retention allows for a log that drops whole segments a little early, and for
        claims that were read late.
        """
        limits = cls()
        life_s = min(limits.life_s, _LIFE_RETENTION_RATIO * retention_s)
        return attrs.evolve(limits, life_s=life_s)


@attrs.define
class _PendingClaim:
    request_id: str
    claim: KeyClaim
    give_up_s: float


class KeyClaimResolver:
    """Appends claims to one stream of the log in batches and derives verdicts from its records.

    Verdicts come only from records that were read. So a lost answer to an append needs no special
    case: pending claims are appended again in a later batch, and a second copy of a claim has no
    effect.
    """

    def __init__(self, name: str, limits: ClaimLimits | None = None) -> None:
        self.limits = limits if limits is not None else ClaimLimits()
        self.next_offset = 0
        self._name = name
        self._batches = 0
        self._claim_table = KeyClaimTable(self.limits.max_keys)
        self._pending: dict[str, _PendingClaim] = {}
        self._queue: deque[str] = deque()
        self._in_flight: ClaimBatch | None = None
        self._next_append_s = 0.0
        self._down_until_s = 0.0
        self._now_s = 0.0

    def __len__(self) -> int:
        return len(self._claim_table)

    def submit(self, request_id: str, claim: KeyClaim, now_s: float) -> KeyVerdict | None:
        """Submit a claim; return its verdict, or None if it has to come from the log.

        A key that is known here gets its verdict at once, even while the log is down, because the
        first claim of a key never changes. While the log is down an unknown key is refused at once,
        because waiting until the deadline would not help the caller.
        """
        now_s = self._advance_clock(now_s)
        winner = self._claim_table.winner(claim.key, now_s)
        if winner is not None:
            return self._verdict(claim, winner)
        down_s = max(self._down_until_s, self._claim_table.incomplete_until_s) - now_s
        if down_s > 0.0:
            return KeyUnavailable(down_s)
        self._pending[request_id] = _PendingClaim(request_id, claim, now_s + self.limits.wait_s)
        self._queue.append(request_id)
        return None

    def next_batch(self, now_s: float) -> ClaimBatch | None:
        """Return the batch to append now, or None; only one append is in progress at a time."""
        now_s = self._advance_clock(now_s)
        if self._in_flight is not None or now_s < max(self._next_append_s, self._down_until_s):
            return None
        claims: list[KeyClaim] = []
        while self._queue and len(claims) < self.limits.batch_claims:
            pending = self._pending.get(self._queue.popleft())
            if pending is not None:
                claims.append(pending.claim)
        if not claims:
            return None
        self._batches += 1
        self._in_flight = ClaimBatch(f"{self._name}.{self._batches}", tuple(claims))
        self._next_append_s = now_s + self.limits.append_gap_s
        return self._in_flight

    def append_ended(self, batch: ClaimBatch, is_sure: bool, now_s: float) -> None:
        """Record the result of an append; ``is_sure`` means that the log confirmed the batch.

        After a failure or a lost answer the claims that are still pending are queued again.
        """
        if self._in_flight is None or self._in_flight.batch_id != batch.batch_id:
            return
        self._in_flight = None
        if is_sure:
            return
        self.log_failed(now_s)
        tickets = {claim.ticket for claim in batch.claims}
        again = [row.request_id for row in self._pending.values() if row.claim.ticket in tickets]
        self._queue.extendleft(reversed(again))

    def log_failed(self, now_s: float) -> None:
        """Record that a read from or an append to the log failed."""
        self._down_until_s = self._advance_clock(now_s) + self.limits.down_s

    def apply(self, offset: int, record: Any, now_s: float) -> None:
        """Apply the next record; records that were already applied are ignored.

        A gap in the offsets means that the log dropped records past its retention, whose keys have
        expired too.
        """
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        until_s = self._advance_clock(now_s) + self.limits.life_s
        for claim in claims_of(record):
            self._claim_table.hold(claim, until_s)

    def tick(self, now_s: float) -> list[tuple[str, KeyVerdict]]:
        """Return pairs of request id and verdict for the claims that are decided or timed out."""
        now_s = self._advance_clock(now_s)
        self._claim_table.expire(now_s)
        verdicts: list[tuple[str, KeyVerdict]] = []
        for pending in self._pending.values():
            winner = self._claim_table.winner(pending.claim.key, now_s)
            if winner is not None:
                verdicts.append((pending.request_id, self._verdict(pending.claim, winner)))
            elif now_s >= pending.give_up_s:
                verdicts.append((pending.request_id, KeyUnavailable(self.limits.down_s)))
        for request_id, _ in verdicts:
            del self._pending[request_id]
        return verdicts

    @staticmethod
    def _verdict(claim: KeyClaim, winner: StoredClaim) -> KeyVerdict:
        if winner.ticket == claim.ticket:
            return KeyWon(winner.ticket)
        if winner.body != claim.body:
            return KeyMismatch()
        return KeyLost(winner.ticket)

    def _advance_clock(self, now_s: float) -> float:
        self._now_s = max(self._now_s, now_s)
        return self._now_s
