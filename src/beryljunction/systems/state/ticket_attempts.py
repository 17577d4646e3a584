"""Decides an entry's next step for a non-idempotent request after each try."""

import attrs

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.systems.requests.attempts import GiveUp
from beryljunction.tables import Endpoint

__all__ = ["Mint", "TicketAttempts", "TicketStep", "UseTicket"]

# A successor replaces a retired ticket after a refusal. Three refusals find room if a fair share of
# the endpoints has any; more hops would try every endpoint while all are busy.
_MAX_HOPS = 4
# A repeat with the same ticket is safe, because its sidecar knows the outcome of the first try. Two
# repeats get over a broken connection; if the sidecar is gone, more would only delay the answer.
_MAX_REPEATS = 2
# Refusals that retired the ticket before anything ran, after which a new one may be minted. The
# sidecar names no successor to an entry that has just started and knows no other sidecar's stamp;
# without a new ticket its caller would get a "not run" while other endpoints have room.
_RETIRED_CODES = frozenset((RefusalCode.LEAVING, RefusalCode.OVERLOADED, RefusalCode.QUEUE_FULL))
# Each unreachable sidecar costs a second; giving up after four saves the caller's remaining time.
_MAX_MINTS = 4


@attrs.frozen
class Mint:
    """Try with a new ticket for this endpoint's sidecar."""

    endpoint: Endpoint


@attrs.frozen
class UseTicket:
    """Try with this ticket, at the sidecar that it names.

    Attributes:
        last_resort: Whether no successor will be used after this try, so that the endpoint may
            queue the request.
    """

    ticket: str
    last_resort: bool = False


TicketStep = Mint | UseTicket | GiveUp


class TicketAttempts:
    """Chooses the ticket for each try of one request.

    Only a new ticket besides an existing one could make the request run twice. So a new one is
    minted only if no other process knows the old ticket and no try with it has an unknown outcome.

    Args:
        candidates: Endpoints that may run the request, best first.
        ticket: Ticket from the caller or from its key's claim; None to mint one.
    """

    def __init__(self, candidates: list[Endpoint], ticket: str | None) -> None:
        self._remaining = list(candidates)
        self._ticket = ticket
        self._in_doubt = ticket is not None
        self._minted: Endpoint | None = None
        self._mints = 0
        self._hops = 0
        self._repeats = 0

    def first(self) -> TicketStep:
        """Return the first step."""
        if self._ticket is not None:
            return UseTicket(self._ticket)
        if self._remaining:
            return self._mint(self._remaining.pop(0))
        message = "expected a live endpoint of the service, found none; retry later"
        return GiveUp(Refusal(RefusalCode.NO_ENDPOINT, message, ExecutionStatus.NO, 1.0))

    def after(self, refusal: Refusal, ticket: str | None) -> TicketStep:
        """Return the step after a try.

        Args:
            refusal: Result of the try.
            ticket: Ticket of the try; None if none could be obtained.
        """
        if refusal.successor is not None and self._hops < _MAX_HOPS:
            return self._use_successor(refusal.successor)
        if refusal.code is RefusalCode.TICKET_INVALID and self._minted is not None:
            return self._mint_for_new_incarnation(refusal, self._minted)
        if refusal.code is RefusalCode.STALE_STAMP:
            return self._resend(refusal, ticket)
        if (
            refusal.code in _RETIRED_CODES
            and refusal.ran is ExecutionStatus.NO
            and not self._in_doubt
        ):
            return self._mint_next(refusal)
        if refusal.code is not RefusalCode.ENDPOINT_FAILED or refusal.ran is not ExecutionStatus.NO:
            return self._repeat_if_unknown(refusal, ticket)
        if not self._in_doubt:
            return self._mint_next(refusal)
        message = "the ticket's sidecar can't be reached; an earlier try under it may have run"
        return self._repeat_if_unknown(
            Refusal(RefusalCode.OUTCOME_UNKNOWN, message, ExecutionStatus.UNKNOWN), ticket
        )

    def _use_successor(self, successor: str) -> TicketStep:
        """Use the successor, which every other holder of the retired ticket is given too."""
        self._hops += 1
        self._in_doubt = True
        self._minted = None
        return UseTicket(successor, last_resort=self._hops == _MAX_HOPS)

    def _mint_next(self, refusal: Refusal) -> TicketStep:
        """Mint a new ticket; the old one is known only to this entry and never ran."""
        if self._remaining and self._mints < _MAX_MINTS:
            return self._mint(self._remaining.pop(0))
        return GiveUp(refusal)

    def _mint(self, endpoint: Endpoint) -> Mint:
        self._minted = endpoint
        self._mints += 1
        return Mint(endpoint)

    def _mint_for_new_incarnation(self, refusal: Refusal, endpoint: Endpoint) -> TicketStep:
        """Replace a ticket whose sidecar has restarted since its stamp was received.

        Only the current incarnation has seen the ticket, and it refused it.
        """
        self._minted = None
        return GiveUp(refusal) if self._in_doubt else Mint(endpoint)

    def _resend(self, refusal: Refusal, ticket: str | None) -> TicketStep:
        """Resend with the stamp from the refusal.

        The sidecar has not checked the ticket, so its "not run" proves nothing for a ticket that
        other processes may hold.
        """
        if ticket is not None and self._repeats < _MAX_REPEATS:
            self._repeats += 1
            return UseTicket(ticket)
        ran = ExecutionStatus.UNKNOWN if self._in_doubt else refusal.ran
        return GiveUp(attrs.evolve(refusal, ran=ran))

    def _repeat_if_unknown(self, refusal: Refusal, ticket: str | None) -> TicketStep:
        may_repeat = refusal.code is RefusalCode.OUTCOME_UNKNOWN and ticket is not None
        if not may_repeat or self._repeats >= _MAX_REPEATS:
            return GiveUp(refusal)
        assert ticket is not None
        self._repeats += 1
        self._in_doubt = True
        return UseTicket(ticket)
