"""What the entry does next with a request that may not be repeated."""

import attrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.systems.requests.attempts import GiveUp
from beryljunction.tables import Endpoint

__all__ = ["Mint", "TicketAttempts", "TicketStep", "UseTicket"]

# A chain of burned tickets follows the load: three refusals find room wherever a fair share of the
# endpoints has any. More would carry each request to every endpoint just when all are busy.
_MOST_HOPS = 4
# A try under the same ticket is harmless, its sidecar knows what became of the first. Two more
# bridge a broken connection; a sidecar that is gone is not worth longer.
_MOST_REPEATS = 2
# Refusals that burned the ticket before anything ran. Without a successor the chain ends there, as
# it does for an entry that has just started and has heard of no other sidecar: its caller would get
# a "not run" while others have room.
_BURNED = frozenset((RefusalCode.LEAVING, RefusalCode.OVERLOADED, RefusalCode.QUEUE_FULL))
# Sidecars that can't be reached cost a second each; when four can't, the rest of the caller's time
# is better spent elsewhere.
_MOST_MINTS = 4


@attrs.frozen
class Mint:
    """Try under a new ticket for this endpoint's sidecar."""

    endpoint: Endpoint


@attrs.frozen
class UseTicket:
    """Try under this ticket, at the sidecar that it names.

    Attributes:
        last_resort: The chain ends there; the endpoint may let the request wait.
    """

    ticket: str
    last_resort: bool = False


TicketStep = Mint | UseTicket | GiveUp


class TicketAttempts:
    """Walks one request along its chain of tickets.

    A new ticket beside an old one is the one step that could run the request twice. It is taken
    only when the old one is known to this entry alone and no try under it is in doubt.

    Args:
        candidates: Where the request may run, best first.
        ticket: Ticket that the caller sent or its key stands for; None to have one minted.
    """

    def __init__(self, candidates: list[Endpoint], ticket: str | None) -> None:
        self._left = list(candidates)
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
        if self._left:
            return self._mint(self._left.pop(0))
        message = "expected a live endpoint of the service, found none; retry later"
        return GiveUp(Refusal(RefusalCode.NO_ENDPOINT, message, Ran.NO, 1.0))

    def after(self, refusal: Refusal, ticket: str | None) -> TicketStep:
        """Return the step after a try.

        Args:
            refusal: What the try ended in.
            ticket: Ticket of the try; None when none could be had.
        """
        if refusal.successor is not None and self._hops < _MOST_HOPS:
            return self._follow(refusal.successor)
        if refusal.code is RefusalCode.TICKET_INVALID and self._minted is not None:
            return self._mint_again(refusal, self._minted)
        if refusal.code is RefusalCode.STALE_STAMP:
            return self._send_again(refusal, ticket)
        if refusal.code in _BURNED and refusal.ran is Ran.NO and not self._in_doubt:
            return self._mint_next(refusal)
        if refusal.code is not RefusalCode.ENDPOINT_FAILED or refusal.ran is not Ran.NO:
            return self._after_doubt(refusal, ticket)
        if not self._in_doubt:
            return self._mint_next(refusal)
        message = "the ticket's sidecar can't be reached; an earlier try under it may have run"
        return self._after_doubt(Refusal(RefusalCode.OUTCOME_UNKNOWN, message, Ran.UNKNOWN), ticket)

    def _follow(self, successor: str) -> TicketStep:
        """Go down the chain; whoever else holds the burned ticket is led the same way."""
        self._hops += 1
        self._in_doubt = True
        self._minted = None
        return UseTicket(successor, last_resort=self._hops == _MOST_HOPS)

    def _mint_next(self, refusal: Refusal) -> TicketStep:
        """Go on under a new ticket; the one before is this entry's alone and never ran."""
        if self._left and self._mints < _MOST_MINTS:
            return self._mint(self._left.pop(0))
        return GiveUp(refusal)

    def _mint(self, endpoint: Endpoint) -> Mint:
        self._minted = endpoint
        self._mints += 1
        return Mint(endpoint)

    def _mint_again(self, refusal: Refusal, endpoint: Endpoint) -> TicketStep:
        """Replace a ticket whose sidecar has started anew since its stamp was heard.

        The present incarnation alone was shown the ticket, and it refused it.
        """
        self._minted = None
        return GiveUp(refusal) if self._in_doubt else Mint(endpoint)

    def _send_again(self, refusal: Refusal, ticket: str | None) -> TicketStep:
        """Send again under the stamp that came with the refusal.

        The sidecar has not looked at the ticket. Of a ticket that others may hold, its "not run"
        says nothing.
        """
        if ticket is not None and self._repeats < _MOST_REPEATS:
            self._repeats += 1
            return UseTicket(ticket)
        ran = Ran.UNKNOWN if self._in_doubt else refusal.ran
        return GiveUp(attrs.evolve(refusal, ran=ran))

    def _after_doubt(self, refusal: Refusal, ticket: str | None) -> TicketStep:
        may_repeat = refusal.code is RefusalCode.OUTCOME_UNKNOWN and ticket is not None
        if not may_repeat or self._repeats >= _MOST_REPEATS:
            return GiveUp(refusal)
        assert ticket is not None
        self._repeats += 1
        self._in_doubt = True
        return UseTicket(ticket)
