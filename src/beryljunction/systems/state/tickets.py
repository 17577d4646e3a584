"""At most once: the ledger of tickets that one incarnation of one sidecar keeps.

A non-idempotent request runs only under a ticket that is bound for life to one incarnation of one
sidecar. Nothing is agreed between nodes and no lease can lapse: who may run a request is known to
one process, and when that process is gone the outcome is unknown, said so, and never run again.
"""

from collections import deque
from collections.abc import Sequence

import attrs

from beryljunction.errors import InvariantError
from beryljunction.outcomes import Ran, Refusal
from beryljunction.systems.state.forward import ForwardClock, Window
from beryljunction.systems.state.ticket_claims import (
    AlreadyRunning,
    Ask,
    Burned,
    Claim,
    Expired,
    Failed,
    Full,
    Invalid,
    Mismatch,
    Replay,
    Run,
    Unstamped,
    Unverified,
    WrongIncarnation,
)
from beryljunction.systems.state.ticket_mint import TicketMint
from beryljunction.tables import Answer, Stamp, Ticket, TicketRow, TicketState, TicketTable

__all__ = ["LedgerLimits", "TicketLedger"]


@attrs.frozen
class LedgerLimits:
    """Bounds of one ledger.

    Attributes:
        life_s: Life of a ticket, from its issue to the last claim that still meets its row.
        max_rows: Claimed tickets that are remembered. At the target a sidecar gets 11.4 requests
            a second; were a third of them non-idempotent, an hour of them would fill 14,000 rows.
        answer_bytes: Kept answers, all together.
        max_answer_bytes: Largest answer that is kept.
    """

    life_s: float = 3900.0
    max_rows: int = 16_384
    answer_bytes: int = 4_194_304
    max_answer_bytes: int = 262_144


class TicketLedger:
    """Says of each ticket whether its request may run here, and remembers what became of it.

    The order is claim, then start and finish (or fail), or burn in place of start.
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
        self.clock = ForwardClock(started_s, self.limits.life_s)
        self._mint = mint
        self._endpoint_id = endpoint_id
        self._incarnation = incarnation
        self._by_age: deque[TicketRow] = deque()

    def stamp(self, now_s: float) -> Stamp:
        """Return what entries need to mint tickets for this incarnation."""
        return Stamp(self._endpoint_id, self._incarnation, self.clock.issue_ms(now_s))

    def mint(self, account: str, now_s: float) -> str:
        """Return a new ticket; it takes no memory until its claim, so a repeat is harmless."""
        return self._mint.mint(self.stamp(now_s), account)

    def has_heard(self, stamp: Stamp | None) -> bool:
        """Whether a stamp is from this start of the sidecar; ask it of a key before its claim."""
        return stamp is not None and self._is_ours(stamp)

    def claim(self, text: str, ask: Ask, now_s: float) -> Claim:
        """Decide on a request that came with a ticket.

        Args:
            text: The ticket.
            ask: What the entry says about the request.
            now_s: Time of the shell's boot time clock (CLOCK_BOOTTIME), as in every method here.
        """
        self._expire(now_s)
        ticket = self._mint.read(text)
        if ticket is None:
            return Invalid()
        if not ticket.genuine:
            return Unverified()
        if ticket.account != ask.account or ticket.body_digest not in ("", ask.digest):
            return Mismatch()
        if not self._is_ours(ticket.stamp):
            return WrongIncarnation()
        row = self.table.get(ticket.serial)
        if row is not None:
            return self._claim_again(row, ask)
        return self._claim_first(ticket, ask, now_s)

    def start(self, serial: str, now_s: float) -> bool:
        """Mark a claimed ticket as running, just before the first byte goes to the endpoint.

        False when the deadline has passed: a sidecar that was paused wakes with waiting requests
        whose callers have long been told "unknown" and may have acted on it. Such a ticket is
        burned. The deadline is judged here, after the last point where the process could have
        been held up for long, and by a clock that a pause does not stop.
        """
        row = self._row(serial)
        if row.state is not TicketState.CLAIMED:
            raise InvariantError(f"ticket {serial}: expected it claimed, found it {row.state}")
        if row.deadline_ms <= self.clock.read_ms(now_s):
            row.state = TicketState.BURNED
            return False
        row.state = TicketState.RUNNING
        return True

    def finish(self, serial: str, answer: Answer | None) -> None:
        """Remember that a request ran and, when it fits, its whole answer."""
        row = self._row(serial)
        row.state = TicketState.FINISHED
        if answer is not None and answer.size_bytes <= self.limits.max_answer_bytes:
            self.table.keep_answer(row, answer, self.limits.answer_bytes)

    def fail(self, serial: str, refusal: Refusal) -> None:
        """Remember how a started request failed.

        With ``ran: "no"`` (no byte reached the endpoint) the ticket is burned and its request may
        go on elsewhere; otherwise it is never run again.
        """
        row = self._row(serial)
        if refusal.ran is Ran.NO:
            row.state = TicketState.BURNED
            return
        row.state = TicketState.FAILED
        row.refusal = refusal

    def burn(self, serial: str, account: str, candidates: Sequence[Stamp] = ()) -> Burned:
        """Give up a ticket that has not started and name its one successor in the same step.

        Two entries that try the same ticket at once are given the same successor, since it is
        decided here and once. Without the shared step each would mint its own, and both would run.
        A burned ticket may be burned again: it keeps the successor that it has, or gets one now.

        Args:
            serial: The ticket's serial.
            account: Client account that the successor is for.
            candidates: Where the request may go on; the first one that is not this sidecar.
        """
        row = self._row(serial)
        if row.state is not TicketState.BURNED and row.state is not TicketState.CLAIMED:
            raise InvariantError(f"ticket {serial}: expected it not started, found it {row.state}")
        row.state = TicketState.BURNED
        if row.successor is not None:
            return Burned(row.successor, fresh=False)
        target = next((stamp for stamp in candidates if not self._is_ours(stamp)), None)
        if target is not None:
            row.successor = self._mint.mint(target, account, row.body_digest)
        return Burned(row.successor, fresh=True)

    def _claim_again(self, row: TicketRow, ask: Ask) -> Claim:
        if row.body_digest != ask.digest:
            return Mismatch()
        if row.state is TicketState.BURNED:
            return self.burn(row.serial, ask.account, ask.candidates)
        if row.state is TicketState.FINISHED:
            return Replay(row.answer)
        if row.state is TicketState.FAILED:
            assert row.refusal is not None
            return Failed(row.refusal)
        return AlreadyRunning(row.serial, row.request_id)

    def _claim_first(self, ticket: Ticket, ask: Ask, now_s: float) -> Claim:
        if not self.has_heard(ask.heard):
            return Unstamped()
        window = self.clock.judge(ticket.stamp.issued_ms, now_s)
        if window is Window.NEVER_ISSUED:
            return Invalid()
        if window is Window.EXPIRED:
            return Expired()
        if window is Window.CLOSED:
            return Full()
        if len(self.table) >= self.limits.max_rows:
            self.clock.close(now_s)
            return Full()
        row = TicketRow(
            ticket.serial,
            ask.digest,
            ask.request_id,
            deadline_ms=self._deadline_ms(ask, now_s),
            expires_ms=ticket.stamp.issued_ms + self.clock.life_ms,
        )
        self.table.add(row)
        self._by_age.append(row)
        return Run(ticket.serial)

    def _deadline_ms(self, ask: Ask, now_s: float) -> int:
        assert ask.heard is not None
        sent_ms = self.clock.sent_ms(ask.heard.issued_ms, ask.heard_age_s, now_s)
        return sent_ms + int(ask.wait_s * 1000)

    def _expire(self, now_s: float) -> None:
        """Forget tickets that the clock refuses from now on; a running one is kept."""
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
