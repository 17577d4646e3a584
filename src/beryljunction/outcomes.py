"""Outcomes of requests, as values that are sent between processes and to callers."""

import enum

import attrs

from beryljunction.loads import LoadRow

__all__ = ["ExecutionStatus", "Refusal", "RefusalCode"]


class ExecutionStatus(enum.StrEnum):
    """Whether a request ran, as far as the sender of the outcome can prove it.

    ``NO`` is sent only by a process that can prove it: an entry that sent no byte of the request,
    or a sidecar that will refuse the same request if it arrives late.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class RefusalCode(enum.StrEnum):
    """Why a request was refused or failed; callers may rely on these names."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    CHAT_MOVED = "chat_moved"
    NOT_WARM = "not_warm"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline_exceeded"
    LEAVING = "endpoint_leaving"
    NO_ENDPOINT = "no_endpoint"
    TICKET_BURNED = "ticket_burned"
    TICKET_INVALID = "ticket_invalid"
    STALE_STAMP = "stale_stamp"
    KEY_REUSED = "idempotency_key_reused"
    KEY_STORE_DOWN = "idempotency_store_down"
    LEDGER_FULL = "ledger_full"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ENDPOINT_FAILED = "endpoint_failed"
    CANCELLED = "cancelled"
    INCOMPLETE = "answer_incomplete"


@attrs.frozen
class Refusal:
    """A typed refusal or failure: the reason, whether the request ran, and when to retry.

    Attributes:
        code: Machine-readable reason.
        message: Explanation for people: what was expected, the actual value and what to do.
        ran: Whether the request ran.
        retry_after_s: Seconds to wait before a retry; None when a retry is pointless.
        successor: Ticket for the next attempt, if one was issued.
        pointer: Id of the endpoint that caches the chat's prefix, if known.
        load: Load of the refusing endpoint, newer than what its peers know; the entry forwards it
            to the next candidate.
        try_ran: Whether this attempt ran, when that is more certain than ``ran``, which covers all
            requests with the same key or ticket; None when the two are the same.
    """

    code: RefusalCode
    message: str
    ran: ExecutionStatus
    retry_after_s: float | None = None
    successor: str | None = None
    pointer: str | None = None
    load: LoadRow | None = None
    try_ran: ExecutionStatus | None = None
