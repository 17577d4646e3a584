"""Claims on tickets: the entry's request, the ledger's results and the caller's refusals."""

import attrs

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.tables import Answer, Stamp

__all__ = [
    "AlreadyRunning",
    "Expired",
    "Failed",
    "FirstClaim",
    "Full",
    "Invalid",
    "Mismatch",
    "Replay",
    "TicketClaimRequest",
    "TicketClaimResult",
    "TicketRetired",
    "Unstamped",
    "Unverified",
    "WrongIncarnation",
    "claim_refusal",
]


@attrs.frozen
class TicketClaimRequest:
    """Details of a request that an entry sends to a sidecar with a ticket.

    Attributes:
        account: Client account of the caller.
        digest: Digest of the request, from :func:`body_digest`.
        request_id: Id of the caller's request.
        wait_s: Longest time from sending to start.
        heard: Stamp that the entry received last from this sidecar. The request is not run unless
            the stamp is from the sidecar's current incarnation.
        heard_age_s: Age of that stamp when the request was sent, by the entry's monotonic clock.
        candidates: Stamps of sidecars that may get the successor of a retired ticket.
    """

    account: str
    digest: str
    request_id: str
    wait_s: float
    heard: Stamp | None = None
    heard_age_s: float = 0.0
    candidates: tuple[Stamp, ...] = ()


@attrs.frozen
class FirstClaim:
    """The claim is the first: the request may be admitted; then start it or retire the ticket."""

    serial: str


@attrs.frozen
class AlreadyRunning:
    """The ticket is claimed by ``request_id``, which waits or runs here; attach to it."""

    serial: str
    request_id: str


@attrs.frozen
class Replay:
    """The request ran here and succeeded; ``answer`` is None if it was not kept."""

    answer: Answer | None


@attrs.frozen
class Failed:
    """The request was started here and failed with this refusal; it is not run again."""

    refusal: Refusal


@attrs.frozen
class TicketRetired:
    """The ticket will never run here.

    Attributes:
        successor: The only ticket that may replace it; None until one is minted.
        fresh: Whether this call retired the ticket or minted the successor, so that no other
            process can have used the successor yet.
    """

    successor: str | None
    fresh: bool = False


@attrs.frozen
class WrongIncarnation:
    """The ticket belongs to another sidecar, or to an earlier incarnation of this one."""


@attrs.frozen
class Expired:
    """The ticket has expired; whether its request ran is no longer known."""


@attrs.frozen
class Mismatch:
    """The ticket is for another account or another request."""


@attrs.frozen
class Full:
    """The ledger is full, or was while the ticket was valid; its request will never run here."""


@attrs.frozen
class Invalid:
    """The text is not a ticket, or its issue time is in the future."""


@attrs.frozen
class Unstamped:
    """The entry has no stamp of this incarnation, so the message's age is unknown.

    A message sent before the sidecar's host was replaced may be delayed in the network for long. If
    it were accepted as new, it would run after its caller was told "unknown".
    """


@attrs.frozen
class Unverified:
    """The ticket is not signed with the current fleet key; it may have run under an older key."""


TicketClaimResult = (
    FirstClaim
    | AlreadyRunning
    | Replay
    | Failed
    | TicketRetired
    | WrongIncarnation
    | Expired
    | Mismatch
    | Full
    | Invalid
    | Unstamped
    | Unverified
)


def claim_refusal(claim: TicketClaimResult) -> Refusal | None:
    """Return the refusal for the caller; None if the request runs here or has an answer."""
    if isinstance(claim, Failed):
        return claim.refusal
    if isinstance(claim, TicketRetired):
        return _retired_refusal(claim)
    if isinstance(claim, Replay) and claim.answer is None:
        message = "the request ran and ended; its answer was too large to keep for a retry"
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, ExecutionStatus.YES)
    return _REFUSALS.get(type(claim))


def _retired_refusal(claim: TicketRetired) -> Refusal:
    if claim.successor is None:
        message = "not run here and no other endpoint was named; retry later"
        return Refusal(RefusalCode.TICKET_BURNED, message, ExecutionStatus.NO, 1.0)
    # If the successor was minted by an earlier call, another try may already have used it.
    ran = ExecutionStatus.NO if claim.fresh else ExecutionStatus.UNKNOWN
    message = "not run here; try the successor ticket"
    return Refusal(RefusalCode.TICKET_BURNED, message, ran, successor=claim.successor)


_REFUSALS = {
    WrongIncarnation: Refusal(
        RefusalCode.TICKET_INVALID,
        "the sidecar that held this ticket is gone; look up the outcome before asking again",
        ExecutionStatus.UNKNOWN,
    ),
    Expired: Refusal(
        RefusalCode.TICKET_INVALID,
        "the ticket has expired; look up the outcome before asking again",
        ExecutionStatus.UNKNOWN,
    ),
    Mismatch: Refusal(
        RefusalCode.KEY_REUSED,
        "expected the request that this ticket or key was first used for, got a different one",
        ExecutionStatus.NO,
    ),
    Full: Refusal(
        RefusalCode.LEDGER_FULL,
        "the ledger of requests that may run once is full; retry later under a new ticket",
        ExecutionStatus.NO,
        5.0,
    ),
    Unstamped: Refusal(
        RefusalCode.STALE_STAMP,
        "expected a stamp of this sidecar's present start; send again with the one in this answer",
        ExecutionStatus.NO,
        0.0,
    ),
    Invalid: Refusal(
        RefusalCode.TICKET_INVALID, "expected a ticket; fetch one", ExecutionStatus.NO
    ),
    Unverified: Refusal(
        RefusalCode.TICKET_INVALID,
        "expected a ticket under the fleet's present key; look up the outcome before asking again",
        ExecutionStatus.UNKNOWN,
    ),
}
