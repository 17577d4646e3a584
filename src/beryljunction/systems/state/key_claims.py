"""Claims on idempotency keys as they stand on the log, and what is said of them."""

import hashlib
import json
from typing import Any

import attrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode

__all__ = [
    "ClaimBatch",
    "KeyClaim",
    "KeyLost",
    "KeyMismatch",
    "KeyUnavailable",
    "KeyVerdict",
    "KeyWon",
    "claim_shard",
    "claims_of",
    "key_digest",
    "key_refusal",
]

_DIGEST_HEX = 24


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


def claims_of(record: Any) -> list[KeyClaim]:
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
