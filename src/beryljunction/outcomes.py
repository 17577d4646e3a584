"""What became of a request, as values that travel between processes and to callers."""

import enum

import attrs

from beryljunction.loads import LoadRow

__all__ = ["Ran", "Refusal", "RefusalCode"]


class Ran(enum.StrEnum):
    """Whether a request ran, as far as the speaker can prove it.

    ``NO`` is said only by a process that can prove it: an entry that sent no byte of the request,
    or a sidecar that will refuse a late arrival of the same request.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class RefusalCode(enum.StrEnum):
    """Why a request was refused or failed; stable names that callers may match on."""

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
    """A typed "no": what happened, whether the request ran, and when to come back.

    Attributes:
        code: The stable reason.
        message: What was expected, what was got and what to do, for a person.
        ran: Whether the request ran.
        retry_after_s: Seconds after which a retry is worth making; None when it is not.
        successor: Ticket under which the request may be tried next, when one was named.
        pointer: Endpoint id where the chat's prefix lies, when the refuser knows it.
        load: Load of the refuser, fresher than what its peers know; the entry takes it along to
            the next candidate.
        try_ran: Whether this very request ran, where that is surer than ``ran``, which speaks for
            every request under the same key or ticket; None where the two are the same.
    """

    code: RefusalCode
    message: str
    ran: Ran
    retry_after_s: float | None = None
    successor: str | None = None
    pointer: str | None = None
    load: LoadRow | None = None
    try_ran: Ran | None = None
