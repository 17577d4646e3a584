"""Callers that send only an ``Idempotency-Key``: the first claim in log order gets the key.

A key is free text that a caller may send through any entry, so no process knows by itself whether
it is new. The one order that all share is that of the platform's log. A claim names the ticket
that the request runs under; whoever reads the log finds the same first claim and so the same
ticket, and the ticket's sidecar sees to at most once (docs/design/at-most-once.md).

Claims go to one of a few streams by their key. The sidecar that is the key's rendezvous home makes
them, so that few processes read each stream and many claims share an append. Homes may disagree:
that costs an append and never a second run, since the order of the log decides.
"""

import hashlib
import json
from collections import deque
from typing import Any

import attrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode

__all__ = [
    "ClaimBatch",
    "ClaimLimits",
    "ClaimSystem",
    "KeyClaim",
    "KeyLost",
    "KeyMismatch",
    "KeyUnavailable",
    "KeyVerdict",
    "KeyWon",
    "claim_shard",
    "key_digest",
    "key_refusal",
]

_DIGEST_HEX = 24
_LIFE_SHARE = 0.5


def key_digest(account: str, service: str, key: str) -> str:
    """Return the digest that stands for a key; accounts and services never share one."""
    text = json.dumps([account, service, key]).encode()
    return hashlib.sha256(text).hexdigest()[:_DIGEST_HEX]


def claim_shard(digest: str, shards: int) -> int:
    """Return the number of the log stream that a key's claims go to.

    It depends on the key alone, not on the body: the same key with another body must meet the
    first claim, or it would run instead of being refused.
    """
    return int(digest[:8], 16) % shards


@attrs.frozen
class KeyClaim:
    """One request's claim on its key: the ticket that it runs under if the claim is the first."""

    key: str
    body: str
    ticket: str


@attrs.frozen
class ClaimBatch:
    """Claims that share one append.

    Attributes:
        batch_id: Unique over all processes and their starts.
    """

    batch_id: str
    claims: tuple[KeyClaim, ...]

    def to_record(self) -> dict[str, Any]:
        """Return the record for the log."""
        return {"id": self.batch_id, "claims": [attrs.astuple(claim) for claim in self.claims]}


def _claims_of(record: Any) -> list[KeyClaim]:
    """Return the claims in a record; one that can't be read claims nothing, for every reader."""
    try:
        rows = [KeyClaim(*row) for row in record["claims"]]
    except (KeyError, TypeError):
        return []
    return [row for row in rows if all(isinstance(v, str) for v in attrs.astuple(row))]


@attrs.frozen
class KeyWon:
    """The claim is the first: claim the ticket and run."""

    ticket: str


@attrs.frozen
class KeyLost:
    """The key belongs to an earlier request with the same body; go on with its ticket."""

    ticket: str


@attrs.frozen
class KeyMismatch:
    """The key belongs to an earlier request with a different body."""


@attrs.frozen
class KeyUnavailable:
    """The log could not settle the claim in time; this try will not run."""

    retry_after_s: float


KeyVerdict = KeyWon | KeyLost | KeyMismatch | KeyUnavailable


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
class _Held:
    """A claim that was read; kept small, since a stream at the target has some 22,500."""

    body: str
    ticket: str
    until_s: float
    sure_s: float
    behind: "_Held | None" = None

    def queue(self, other: "_Held") -> None:
        """Put a later claim behind this one; another copy of a claim changes nothing."""
        row = self
        while row.ticket != other.ticket:
            if row.behind is None:
                row.behind = other
                return
            row = row.behind


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
        self._held: dict[str, _Held] = {}
        self._pending: dict[str, _Pending] = {}
        self._queue: deque[str] = deque()
        self._in_flight: ClaimBatch | None = None
        self._next_append_s = 0.0
        self._down_until_s = 0.0
        self._blind_until_s = 0.0
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
        winner = self._winner(claim.key, now_s)
        if winner is not None:
            return self._verdict(claim, winner)
        down_s = max(self._down_until_s, self._blind_until_s) - now_s
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
        for claim in _claims_of(record):
            self._hold(claim, until_s)

    def tick(self, now_s: float) -> list[tuple[str, KeyVerdict]]:
        """Return the verdicts that are due, by request id."""
        now_s = self._forward(now_s)
        self._expire(now_s)
        verdicts: list[tuple[str, KeyVerdict]] = []
        for pending in self._pending.values():
            winner = self._winner(pending.claim.key, now_s)
            if winner is not None:
                verdicts.append((pending.request_id, self._verdict(pending.claim, winner)))
            elif now_s >= pending.give_up_s:
                verdicts.append((pending.request_id, KeyUnavailable(self.limits.down_s)))
        for request_id, _ in verdicts:
            del self._pending[request_id]
        return verdicts

    def _hold(self, claim: KeyClaim, until_s: float) -> None:
        """Remember a claim behind the earlier ones on its key.

        A reader that started later holds the first claim for longer. So when it ends there, the
        next one has to be known, or two readers would see two different tickets as the key's.
        """
        first = self._held.get(claim.key)
        if first is not None:
            first.queue(_Held(claim.body, claim.ticket, until_s, 0.0))
            return
        if len(self._held) >= self.limits.max_keys:
            # A key that was not remembered would look new. So none counts as new until the
            # forgotten one is past its life.
            self._blind_until_s = until_s
            return
        self._held[claim.key] = _Held(claim.body, claim.ticket, until_s, self._blind_until_s)

    def _winner(self, key: str, now_s: float) -> _Held | None:
        row = self._held.get(key)
        return row if row is not None and now_s >= row.sure_s else None

    @staticmethod
    def _verdict(claim: KeyClaim, winner: _Held) -> KeyVerdict:
        if winner.ticket == claim.ticket:
            return KeyWon(winner.ticket)
        if winner.body != claim.body:
            return KeyMismatch()
        return KeyLost(winner.ticket)

    def _expire(self, now_s: float) -> None:
        """Drop claims past their life, oldest key first.

        A claim that waited behind another goes to the end of the table, and so may be held a
        little longer than its life; that is on the safe side.
        """
        while self._held:
            key, row = next(iter(self._held.items()))
            if row.until_s > now_s:
                return
            del self._held[key]
            if row.behind is not None:
                self._held[key] = row.behind

    def _forward(self, now_s: float) -> float:
        self._now_s = max(self._now_s, now_s)
        return self._now_s


def key_refusal(verdict: KeyLost | KeyMismatch | KeyUnavailable) -> Refusal:
    """Return what the entry is told when the request does not go on at this sidecar.

    Load: an outage of the log. Harm: an earlier try under the key may have run, and only the log
    could tell; a bare "no" would send the caller off to ask again under a new key, and the request
    would run twice. So the key's outcome is "unknown". This try proves to be "no", since no byte
    of it has left the entry: a caller that knows it to be its first may act on that.
    """
    if isinstance(verdict, KeyLost):
        message = "the key belongs to an earlier try; go on with its ticket"
        return Refusal(RefusalCode.TICKET_BURNED, message, Ran.UNKNOWN, successor=verdict.ticket)
    if isinstance(verdict, KeyMismatch):
        message = "expected the request that this key was first used for, got a different one"
        return Refusal(RefusalCode.KEY_REUSED, message, Ran.NO)
    message = (
        "this try was not run; the log that keeps idempotency keys did not answer, so an earlier "
        "try under the key may have run; retry later with the same key"
    )
    return Refusal(
        RefusalCode.KEY_STORE_DOWN,
        message,
        Ran.UNKNOWN,
        verdict.retry_after_s,
        try_ran=Ran.NO,
    )
