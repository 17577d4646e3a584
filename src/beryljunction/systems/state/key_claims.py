"""Claims on idempotency keys: their log records, verdicts and refusals."""

import hashlib
import json
from typing import Any

import attrs

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode

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

_DIGEST_HEX_DIGITS = 24


def key_digest(account: str, service: str, key: str) -> str:
    """Return the digest of a key within its account and service."""
    text = json.dumps([account, service, key]).encode()
    return hashlib.sha256(text).hexdigest()[:_DIGEST_HEX_DIGITS]


def claim_shard(digest: str, shards: int) -> int:
    """Return the number of the log stream for a key's claims.

    It does not depend on the body: a claim of the same key with another body must find the first
    claim, or the request would run instead of being refused.
    """
    return int(digest[:8], 16) % shards


@attrs.frozen
class KeyClaim:
    """A request's claim on its key; ``ticket`` is used if the claim is the first."""

    key: str
    body: str
    ticket: str


@attrs.frozen
class ClaimBatch:
    """Claims that share one append.

    Attributes:
        batch_id: Unique over all processes and restarts.
    """

    batch_id: str
    claims: tuple[KeyClaim, ...]

    def to_record(self) -> dict[str, Any]:
        """Return the record for the log."""
        return {"id": self.batch_id, "claims": [attrs.astuple(claim) for claim in self.claims]}


def claims_of(record: Any) -> list[KeyClaim]:
    """Return the claims in a record; malformed ones are ignored, by every reader alike."""
    try:
        rows = [KeyClaim(*row) for row in record["claims"]]
    except (KeyError, TypeError):
        return []
    return [row for row in rows if all(isinstance(v, str) for v in attrs.astuple(row))]


@attrs.frozen
class KeyWon:
    """The claim is the first: claim its ticket and run the request."""

    ticket: str


@attrs.frozen
class KeyLost:
    """The key belongs to an earlier request with the same body; use that request's ticket."""

    ticket: str


@attrs.frozen
class KeyMismatch:
    """The key belongs to an earlier request with a different body."""


@attrs.frozen
class KeyUnavailable:
    """The log gave no verdict in time; this try will not run."""

    retry_after_s: float


KeyVerdict = KeyWon | KeyLost | KeyMismatch | KeyUnavailable


def key_refusal(verdict: KeyLost | KeyMismatch | KeyUnavailable) -> Refusal:
    """Return the refusal for the entry when the request does not run at this sidecar.

    While the log is down, an earlier try under the key may have run. A plain "no" would let the
    caller retry under a new key, and the request could run twice, so the key's outcome is
    "unknown". For this try alone ``try_ran`` is "no", because none of its bytes left the entry: a
    caller that knows it to be its first may rely on that.
    """
    if isinstance(verdict, KeyLost):
        message = "the key belongs to an earlier try; go on with its ticket"
        return Refusal(
            RefusalCode.TICKET_BURNED, message, ExecutionStatus.UNKNOWN, successor=verdict.ticket
        )
    if isinstance(verdict, KeyMismatch):
        message = "expected the request that this key was first used for, got a different one"
        return Refusal(RefusalCode.KEY_REUSED, message, ExecutionStatus.NO)
    message = (
        "this try was not run; the log that keeps idempotency keys did not answer, so an earlier "
        "try under the key may have run; retry later with the same key"
    )
    return Refusal(
        RefusalCode.KEY_STORE_DOWN,
        message,
        ExecutionStatus.UNKNOWN,
        verdict.retry_after_s,
        try_ran=ExecutionStatus.NO,
    )
