"""What an entry asks about a ticket, what the ledger says, and what the caller is told."""

import attrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.tables import Answer, Stamp

__all__ = [
    "AlreadyRunning",
    "Ask",
    "Burned",
    "Claim",
    "Expired",
    "Failed",
    "Full",
    "Invalid",
    "Mismatch",
    "Replay",
    "Run",
    "Unstamped",
    "Unverified",
    "WrongIncarnation",
    "claim_refusal",
]


@attrs.frozen
class Ask:
    """What a sidecar is told of a request that comes with a ticket.

    Attributes:
        account: Client account of the caller.
        digest: Digest of the request, from :func:`body_digest`.
        request_id: The caller's request.
        wait_s: Longest time from sending to start.
        heard: Stamp of this sidecar that the entry heard last. Without one of its present start
            a request is not run.
        heard_age_s: Seconds from then to the sending, by the entry's monotonic clock.
        candidates: Where a burned ticket that has no successor yet may go on.
    """

    account: str
    digest: str
    request_id: str
    wait_s: float
    heard: Stamp | None = None
    heard_age_s: float = 0.0
    candidates: tuple[Stamp, ...] = ()


@attrs.frozen
class Run:
    """First claim: the request may be admitted here. Then start it or burn the ticket."""

    serial: str


@attrs.frozen
class AlreadyRunning:
    """The ticket is claimed by ``request_id``, which waits or runs here; join it."""

    serial: str
    request_id: str


@attrs.frozen
class Replay:
    """The request ran here and ended well; the answer is None when it was not kept."""

    answer: Answer | None


@attrs.frozen
class Failed:
    """The request was started here and ended in this refusal; it is not run again."""

    refusal: Refusal


@attrs.frozen
class Burned:
    """The ticket will never run here.

    Attributes:
        successor: The one ticket that replaces it; None while none was named.
        fresh: Whether this very step burned the ticket or named the successor, so that nobody
            can have used the successor yet.
    """

    successor: str | None
    fresh: bool = False


@attrs.frozen
class WrongIncarnation:
    """The ticket belongs to another sidecar, or to an earlier start of this one."""


@attrs.frozen
class Expired:
    """The ticket is past its life; whether it ran has been forgotten."""


@attrs.frozen
class Mismatch:
    """The ticket is for another account or another request."""


@attrs.frozen
class Full:
    """No row is free, or was not when the ticket was still good; it will never run here."""


@attrs.frozen
class Invalid:
    """Not a ticket at all, or one from a time that has not come yet."""


@attrs.frozen
class Unstamped:
    """The entry has not heard this start of the sidecar, so the message's age can't be told.

    A message that was sent before the sidecar's host was replaced may lie in the network for long.
    Taken as new on its arrival, it would run after its caller was told "unknown".
    """


@attrs.frozen
class Unverified:
    """A ticket, but not under the fleet's present key; it may have run under an earlier one."""


Claim = (
    Run
    | AlreadyRunning
    | Replay
    | Failed
    | Burned
    | WrongIncarnation
    | Expired
    | Mismatch
    | Full
    | Invalid
    | Unstamped
    | Unverified
)


def claim_refusal(claim: Claim) -> Refusal | None:
    """Return what a caller is told; None when the request goes on here or is answered."""
    if isinstance(claim, Failed):
        return claim.refusal
    if isinstance(claim, Burned):
        return _burned_refusal(claim)
    if isinstance(claim, Replay) and claim.answer is None:
        message = "the request ran and ended; its answer was too large to keep for a retry"
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, Ran.YES)
    return _REFUSALS.get(type(claim))


def _burned_refusal(claim: Burned) -> Refusal:
    if claim.successor is None:
        message = "not run here and no other endpoint was named; retry later"
        return Refusal(RefusalCode.TICKET_BURNED, message, Ran.NO, 1.0)
    # Another try may have followed the chain already when it was named before this step.
    ran = Ran.NO if claim.fresh else Ran.UNKNOWN
    message = "not run here; try the successor ticket"
    return Refusal(RefusalCode.TICKET_BURNED, message, ran, successor=claim.successor)


_REFUSALS = {
    WrongIncarnation: Refusal(
        RefusalCode.TICKET_INVALID,
        "the sidecar that held this ticket is gone; look up the outcome before asking again",
        Ran.UNKNOWN,
    ),
    Expired: Refusal(
        RefusalCode.TICKET_INVALID,
        "the ticket has expired; look up the outcome before asking again",
        Ran.UNKNOWN,
    ),
    Mismatch: Refusal(
        RefusalCode.KEY_REUSED,
        "expected the request that this ticket or key was first used for, got a different one",
        Ran.NO,
    ),
    Full: Refusal(
        RefusalCode.LEDGER_FULL,
        "the ledger of requests that may run once is full; retry later under a new ticket",
        Ran.NO,
        5.0,
    ),
    Unstamped: Refusal(
        RefusalCode.STALE_STAMP,
        "expected a stamp of this sidecar's present start; send again with the one in this answer",
        Ran.NO,
        0.0,
    ),
    Invalid: Refusal(RefusalCode.TICKET_INVALID, "expected a ticket; fetch one", Ran.NO),
    Unverified: Refusal(
        RefusalCode.TICKET_INVALID,
        "expected a ticket under the fleet's present key; look up the outcome before asking again",
        Ran.UNKNOWN,
    ),
}
