"""At-most-once execution: the ledger of tickets of one incarnation of one sidecar.

A non-idempotent request runs only with a ticket, which is bound to one incarnation of one sidecar.
This needs no consensus between nodes and no lease that can expire: one process alone decides
whether a request may run. If that process is gone, the outcome is reported as unknown and the
request is never run again.
"""

from collections import deque
from collections.abc import Sequence

import attrs

from beryljunction.errors import InvariantError
from beryljunction.outcomes import ExecutionStatus, Refusal
from beryljunction.systems.state.incarnation_clock import IncarnationClock, IssueValidity
from beryljunction.systems.state.ticket_claims import (
    AlreadyRunning,
    Expired,
    Failed,
    FirstClaim,
    Full,
    Invalid,
    Mismatch,
    Replay,
    TicketClaimRequest,
    TicketClaimResult,
    TicketRetired,
    Unstamped,
    Unverified,
    WrongIncarnation,
)
from beryljunction.systems.state.ticket_mint import TicketMint
from beryljunction.tables import Answer, Stamp, Ticket, TicketRow, TicketState, TicketTable

__all__ = ["LedgerLimits", "TicketLedger"]


@attrs.frozen
class LedgerLimits:
    """Limits of one ledger.

    Attributes:
        life_s: Life of a ticket, from its issue to the last claim that still finds its row.
        max_rows: Most claimed tickets stored. At the target load a sidecar gets 11.4 requests per
            second; if a third of them are non-idempotent, an hour fills 14,000 rows.
        answer_bytes: Most bytes of all kept answers together.
        max_answer_bytes: Largest answer that is kept.
    """

    life_s: float = 3900.0
    max_rows: int = 16_384
    answer_bytes: int = 4_194_304
    max_answer_bytes: int = 262_144


class TicketLedger:
    """Decides for each ticket whether its request may run here, and records the outcome.

    The order of calls is claim, start, finish or fail; retire takes the place of start.
    """

    def __init__(
        self,
        mint: TicketMint,
        endpoint_id: str,
        incarnation: str,
        started_s: float,
        limits: LedgerLimits | None = None,
    ) -> None:
        self.limits = limits if limits is not None else LedgerLimits()
        self.table = TicketTable()
        self.clock = IncarnationClock(started_s, self.limits.life_s)
        self._mint = mint
        self._endpoint_id = endpoint_id
        self._incarnation = incarnation
        self._by_age: deque[TicketRow] = deque()

    def stamp(self, now_s: float) -> Stamp:
        """Return the stamp with which entries mint tickets for this incarnation."""
        return Stamp(self._endpoint_id, self._incarnation, self.clock.issue_ms(now_s))

    def mint(self, account: str, now_s: float) -> str:
        """Return a new ticket; it uses no memory until it is claimed, so a repeat is harmless."""
        return self._mint.mint(self.stamp(now_s), account)

    def is_current_stamp(self, stamp: Stamp | None) -> bool:
        """Whether a stamp is from this incarnation; to be checked before a key is claimed."""
        return stamp is not None and self._is_ours(stamp)

    def claim(self, text: str, request: TicketClaimRequest, now_s: float) -> TicketClaimResult:
        """Decide on a request that came with a ticket.

        Args:
            text: The ticket.
            request: Details of the request from the entry.
            now_s: Time of CLOCK_BOOTTIME, as in every method of this class.
        """
        self._expire(now_s)
        ticket = self._mint.read(text)
        if ticket is None:
            return Invalid()
        if not ticket.genuine:
            return Unverified()
        if ticket.account != request.account or ticket.body_digest not in ("", request.digest):
            return Mismatch()
        if not self._is_ours(ticket.stamp):
            return WrongIncarnation()
        row = self.table.get(ticket.serial)
        if row is not None:
            return self._claim_again(row, request)
        return self._claim_first(ticket, request, now_s)

    def start(self, serial: str, now_s: float) -> bool:
        """Mark a claimed ticket as running, just before the first byte goes to the endpoint.

        Returns False and retires the ticket if the deadline has passed: after a pause, a sidecar
        may have waiting requests whose callers were told "unknown" long ago and may have acted on
        it. The deadline is checked here, after the last point where the process could have been
        delayed for long, and by a clock that a pause does not stop.
        """
        row = self._row(serial)
        if row.state is not TicketState.CLAIMED:
            raise InvariantError(f"ticket {serial}: expected it claimed, found it {row.state}")
        if row.deadline_ms <= self.clock.read_ms(now_s):
            row.state = TicketState.RETIRED
            return False
        row.state = TicketState.RUNNING
        return True

    def finish(self, serial: str, answer: Answer | None) -> None:
        """Record that a request ran and keep its whole answer if it is small enough."""
        row = self._row(serial)
        row.state = TicketState.FINISHED
        if answer is not None and answer.size_bytes <= self.limits.max_answer_bytes:
            self.table.keep_answer(row, answer, self.limits.answer_bytes)

    def fail(self, serial: str, refusal: Refusal) -> None:
        """Record how a started request failed.

        With ``ran: "no"`` (no byte reached the endpoint) the ticket is retired and its request may
        run elsewhere; otherwise it is never run again.
        """
        row = self._row(serial)
        if refusal.ran is ExecutionStatus.NO:
            row.state = TicketState.RETIRED
            return
        row.state = TicketState.FAILED
        row.refusal = refusal

    def retire(self, serial: str, account: str, candidates: Sequence[Stamp] = ()) -> TicketRetired:
        """Invalidate a ticket that has not started and mint its only successor.

        Two entries that try the same ticket at once get the same successor. If each entry minted
        its own, both requests would run. A retired ticket may be retired again: it keeps its
        successor, or gets one now if it has none.

        Args:
            serial: The ticket's serial.
            account: Client account that the successor is for.
            candidates: Stamps of sidecars that may run the request; the first one from another
                sidecar gets the successor.
        """
        row = self._row(serial)
        if row.state is not TicketState.RETIRED and row.state is not TicketState.CLAIMED:
            raise InvariantError(f"ticket {serial}: expected it not started, found it {row.state}")
        row.state = TicketState.RETIRED
        if row.successor is not None:
            return TicketRetired(row.successor, fresh=False)
        target = next((stamp for stamp in candidates if not self._is_ours(stamp)), None)
        if target is not None:
            row.successor = self._mint.mint(target, account, row.body_digest)
        return TicketRetired(row.successor, fresh=True)

    def _claim_again(self, row: TicketRow, request: TicketClaimRequest) -> TicketClaimResult:
        if row.body_digest != request.digest:
            return Mismatch()
        if row.state is TicketState.RETIRED:
            return self.retire(row.serial, request.account, request.candidates)
        if row.state is TicketState.FINISHED:
            return Replay(row.answer)
        if row.state is TicketState.FAILED:
            assert row.refusal is not None
            return Failed(row.refusal)
        return AlreadyRunning(row.serial, row.request_id)

    def _claim_first(
        self, ticket: Ticket, request: TicketClaimRequest, now_s: float
    ) -> TicketClaimResult:
        if not self.is_current_stamp(request.heard):
            return Unstamped()
        validity = self.clock.validity_of(ticket.stamp.issued_ms, now_s)
        if validity is IssueValidity.NEVER_ISSUED:
            return Invalid()
        if validity is IssueValidity.EXPIRED:
            return Expired()
        if validity is IssueValidity.CLOSED:
            return Full()
        if len(self.table) >= self.limits.max_rows:
            self.clock.close(now_s)
            return Full()
        row = TicketRow(
            ticket.serial,
            request.digest,
            request.request_id,
            deadline_ms=self._deadline_ms(request, now_s),
            expires_ms=ticket.stamp.issued_ms + self.clock.life_ms,
        )
        self.table.add(row)
        self._by_age.append(row)
        return FirstClaim(ticket.serial)

    def _deadline_ms(self, request: TicketClaimRequest, now_s: float) -> int:
        assert request.heard is not None
        sent_ms = self.clock.sent_ms(request.heard.issued_ms, request.heard_age_s, now_s)
        return sent_ms + int(request.wait_s * 1000)

    def _expire(self, now_s: float) -> None:
        """Remove rows of tickets that have expired, except those waiting or running."""
        now_ms = self.clock.read_ms(now_s)
        for _ in range(len(self._by_age)):
            row = self._by_age[0]
            if row.expires_ms >= now_ms:
                return
            self._by_age.popleft()
            if row.state is TicketState.CLAIMED or row.state is TicketState.RUNNING:
                self._by_age.append(row)
                continue
            self.table.forget(row.serial)

    def _is_ours(self, stamp: Stamp) -> bool:
        return (stamp.endpoint_id, stamp.incarnation) == (self._endpoint_id, self._incarnation)

    def _row(self, serial: str) -> TicketRow:
        row = self.table.get(serial)
        if row is None:
            raise InvariantError(f"ticket {serial}: expected it claimed, found no row")
        return row
