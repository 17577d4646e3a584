import pytest

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.systems import GiveUp
from beryljunction.systems.state.ticket_attempts import Mint, TicketAttempts, UseTicket
from beryljunction.tables import Endpoint

FIRST, SECOND = (Endpoint(f"ledger-{i}", "ledger", "gnr-a", "") for i in range(2))


def failed(ran: ExecutionStatus, code=RefusalCode.ENDPOINT_FAILED, successor=None) -> Refusal:
    return Refusal(code, "", ran, successor=successor)


class TestTicketAttempts:
    def test_own_ticket_that_was_never_sent_is_replaced_at_the_next_endpoint(self):
        attempts = TicketAttempts([FIRST, SECOND], None)

        assert attempts.first() == Mint(FIRST)
        assert attempts.after(failed(ExecutionStatus.NO), "t1") == Mint(SECOND)

    def test_ticket_with_an_unknown_outcome_is_never_replaced(self):
        # The first try may have run, and the next ones fail to connect. That proves nothing about
        # the first, so no other endpoint may be tried and the refusal must not be "not run".
        attempts = TicketAttempts([FIRST, SECOND], None)
        attempts.first()

        step = attempts.after(failed(ExecutionStatus.UNKNOWN, RefusalCode.OUTCOME_UNKNOWN), "t1")
        again = attempts.after(failed(ExecutionStatus.NO), "t1")
        last = attempts.after(failed(ExecutionStatus.NO), "t1")

        assert (step, again) == (UseTicket("t1"), UseTicket("t1"))
        assert isinstance(last, GiveUp)
        assert last.refusal.ran is ExecutionStatus.UNKNOWN

    def test_callers_ticket_may_have_run_through_another_entry(self):
        attempts = TicketAttempts([FIRST, SECOND], "theirs")

        assert attempts.first() == UseTicket("theirs")
        assert attempts.after(failed(ExecutionStatus.NO), "theirs") == UseTicket("theirs")

    def test_burned_ticket_leads_to_its_successor_a_bounded_number_of_times(self):
        attempts = TicketAttempts([FIRST, SECOND], None)
        attempts.first()
        burned = failed(ExecutionStatus.NO, RefusalCode.OVERLOADED, successor="next")

        steps = [attempts.after(burned, "t") for _ in range(5)]

        assert steps[:4] == [*[UseTicket("next")] * 3, UseTicket("next", last_resort=True)]
        assert steps[4] == GiveUp(burned)

    def test_own_ticket_of_an_earlier_incarnation_is_replaced_once(self):
        # The sidecar restarted after the entry minted a ticket with its stamp. Only the current
        # incarnation has seen the ticket, and it refused it, so a new ticket is safe.
        attempts = TicketAttempts([FIRST, SECOND], None)
        attempts.first()
        stale = failed(ExecutionStatus.UNKNOWN, RefusalCode.TICKET_INVALID)

        assert attempts.after(stale, "t1") == Mint(FIRST)
        assert attempts.after(stale, "t2") == GiveUp(stale)

    def test_callers_ticket_of_an_earlier_incarnation_is_never_replaced(self):
        attempts = TicketAttempts([FIRST, SECOND], "theirs")
        attempts.first()
        stale = failed(ExecutionStatus.UNKNOWN, RefusalCode.TICKET_INVALID)
        assert attempts.after(stale, "theirs") == GiveUp(stale)

    @pytest.mark.parametrize(
        "ran", [ExecutionStatus.YES, ExecutionStatus.UNKNOWN], ids=["ran", "unknown"]
    )
    def test_failure_reported_by_the_sidecar_is_final(self, ran):
        attempts = TicketAttempts([FIRST, SECOND], None)
        attempts.first()
        assert isinstance(attempts.after(failed(ran), "t1"), GiveUp)

    @pytest.mark.parametrize(
        ("ticket", "ran"),
        [
            pytest.param(None, ExecutionStatus.NO, id="own"),
            pytest.param("theirs", ExecutionStatus.UNKNOWN, id="callers"),
        ],
    )
    def test_stale_stamp_causes_a_resend_and_leaves_a_callers_ticket_unknown(self, ticket, ran):
        # The sidecar refuses three tries before it checks the ticket. An earlier try with the
        # caller's ticket may have run, so only for an own ticket the answer may be "not run".
        attempts = TicketAttempts([FIRST, SECOND], ticket)
        attempts.first()
        stale = failed(ExecutionStatus.NO, RefusalCode.STALE_STAMP)

        steps = [attempts.after(stale, ticket or "t1") for _ in range(3)]

        assert steps[:2] == [UseTicket(ticket or "t1")] * 2
        assert steps[2].refusal.ran is ran

    def test_request_without_candidates_is_refused_at_once(self):
        step = TicketAttempts([], None).first()
        assert step.refusal.ran is ExecutionStatus.NO

    @pytest.mark.parametrize(
        "code", [RefusalCode.LEAVING, RefusalCode.OVERLOADED, RefusalCode.QUEUE_FULL]
    )
    def test_own_ticket_that_was_burned_without_successor_is_replaced(self, code):
        attempts = TicketAttempts([FIRST, SECOND], None)
        attempts.first()

        assert attempts.after(failed(ExecutionStatus.NO, code), "t1") == Mint(SECOND)

    def test_callers_ticket_that_was_burned_without_successor_is_not_replaced(self):
        # Another entry may use the same ticket, and a ticket minted here would be a second one.
        attempts = TicketAttempts([FIRST, SECOND], "theirs")
        attempts.first()
        burned = failed(ExecutionStatus.NO, RefusalCode.LEAVING)

        assert attempts.after(burned, "theirs") == GiveUp(burned)
