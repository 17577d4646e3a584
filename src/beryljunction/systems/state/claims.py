"""Callers that send only an ``Idempotency-Key``: the first claim in log order gets the key.

A key is free text that a caller may send through any entry, so no process knows by itself whether
it is new. The one order that all share is that of the platform's log. A claim names the ticket
that the request runs under; whoever reads the log finds the same first claim and so the same
ticket, and the ticket's sidecar sees to at most once (docs/design/at-most-once.md).

Claims go to one of a few streams by their key. The sidecar that is the key's rendezvous home makes
them, so that few processes read each stream and many claims share an append. Homes may disagree:
that costs an append and never a second run, since the order of the log decides.
"""

from collections import deque
from typing import Any

import attrs

from beryljunction.systems.state.held_keys import HeldClaim, HeldKeys
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

__all__ = ["ClaimLimits", "ClaimSystem"]

_LIFE_SHARE = 0.5


@attrs.frozen
class ClaimLimits:
    """Bounds of one stream's claims at one process.

    Attributes:
        life_s: Time for which a key belongs to its first request; see :meth:`within`.
            Shorter than a ticket's, so that the ticket is still known when its key is used again.
        max_keys: Keys remembered. At the target's 64 streams, 800 claims a second fleet-wide and
            half an hour of life a stream has 22,500.
        batch_claims: Claims in one append.
        append_gap_s: Time between appends, so that 64 streams stay within 320 appends a second of
            the several hundred that the log takes.
        wait_s: Longest wait for a verdict.
        down_s: After a failed append or read, claims are refused at once for this long.
    """

    life_s: float = 1800.0
    max_keys: int = 32_768
    batch_claims: int = 64
    append_gap_s: float = 0.2
    wait_s: float = 2.0
    down_s: float = 1.0

    @classmethod
    def within(cls, retention_s: float) -> "ClaimLimits":
        """Return the limits for a log that keeps records for so long.

        A home that starts anew knows the keys whose claims the log still keeps. A key that
        outlived its claim would be new there and known elsewhere, and its request would run twice.
        Half of the retention leaves room for a log that drops a little early, in whole segments,
        and for claims that were read late.
        """
        limits = cls()
        life_s = min(limits.life_s, _LIFE_SHARE * retention_s)
        return attrs.evolve(limits, life_s=life_s)


@attrs.define
class _Pending:
    request_id: str
    claim: KeyClaim
    give_up_s: float


class ClaimSystem:
    """Claims on one stream of the log: batches out, records in, verdicts out.

    A verdict comes from reading alone. An append's answer says nothing that the log doesn't, so a
    lost answer needs no case of its own: claims that still wait are appended again in a later
    batch, and of two copies of a claim the second claims nothing.
    """

    def __init__(self, name: str, limits: ClaimLimits | None = None) -> None:
        self.limits = limits if limits is not None else ClaimLimits()
        self.next_offset = 0
        self._name = name
        self._batches = 0
        self._held = HeldKeys(self.limits.max_keys)
        self._pending: dict[str, _Pending] = {}
        self._queue: deque[str] = deque()
        self._in_flight: ClaimBatch | None = None
        self._next_append_s = 0.0
        self._down_until_s = 0.0
        self._now_s = 0.0

    def __len__(self) -> int:
        return len(self._held)

    def submit(self, request_id: str, claim: KeyClaim, now_s: float) -> KeyVerdict | None:
        """Take a claim; None when its verdict has to come from the log.

        A key that is known here is settled at once, also while the log is down: the first claim
        of a key never changes. An unknown key is refused at once while the log is down; holding
        the caller until its deadline would gain it nothing.
        """
        now_s = self._forward(now_s)
        winner = self._held.winner(claim.key, now_s)
        if winner is not None:
            return self._verdict(claim, winner)
        down_s = max(self._down_until_s, self._held.blind_until_s) - now_s
        if down_s > 0.0:
            return KeyUnavailable(down_s)
        self._pending[request_id] = _Pending(request_id, claim, now_s + self.limits.wait_s)
        self._queue.append(request_id)
        return None

    def next_batch(self, now_s: float) -> ClaimBatch | None:
        """Return the batch to append now, if one is due; one append is under way at a time."""
        now_s = self._forward(now_s)
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
        """Note how an append ended; ``is_sure`` when the log said that it took the batch.

        After a failure or a lost answer the claims that still wait are queued again.
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
        """Note that the log could not be read or appended to."""
        self._down_until_s = self._forward(now_s) + self.limits.down_s

    def apply(self, offset: int, record: Any, now_s: float) -> None:
        """Take in the next record; records before the last one applied are ignored.

        A jump ahead means that the log has dropped records past its retention, whose keys are
        past their life too.
        """
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        until_s = self._forward(now_s) + self.limits.life_s
        for claim in claims_of(record):
            self._held.hold(claim, until_s)

    def tick(self, now_s: float) -> list[tuple[str, KeyVerdict]]:
        """Return the verdicts that are due, by request id."""
        now_s = self._forward(now_s)
        self._held.expire(now_s)
        verdicts: list[tuple[str, KeyVerdict]] = []
        for pending in self._pending.values():
            winner = self._held.winner(pending.claim.key, now_s)
            if winner is not None:
                verdicts.append((pending.request_id, self._verdict(pending.claim, winner)))
            elif now_s >= pending.give_up_s:
                verdicts.append((pending.request_id, KeyUnavailable(self.limits.down_s)))
        for request_id, _ in verdicts:
            del self._pending[request_id]
        return verdicts

    @staticmethod
    def _verdict(claim: KeyClaim, winner: HeldClaim) -> KeyVerdict:
        if winner.ticket == claim.ticket:
            return KeyWon(winner.ticket)
        if winner.body != claim.body:
            return KeyMismatch()
        return KeyLost(winner.ticket)

    def _forward(self, now_s: float) -> float:
        self._now_s = max(self._now_s, now_s)
        return self._now_s
