import pytest

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.systems import (
    AlreadyRunning,
    Arrival,
    Expired,
    Failed,
    FirstClaim,
    Full,
    Invalid,
    LedgerLimits,
    Mismatch,
    OutcomeAnswer,
    Replay,
    RequestTombstones,
    TicketClaimRequest,
    TicketLedger,
    TicketMint,
    TicketRetired,
    TombstoneLimits,
    Unstamped,
    Unverified,
    WrongIncarnation,
    claim_refusal,
)
from beryljunction.tables import Answer, Stamp

MINT = TicketMint(b"fleet-key")
LIMITS = LedgerLimits(life_s=100.0, max_rows=4, answer_bytes=100, max_answer_bytes=60)
OTHER = Stamp("drafter-1", "inc-b", 5)
THIRD = Stamp("drafter-2", "inc-c", 5)


def ledger(incarnation: str = "inc-a", started_s: float = 1000.0) -> TicketLedger:
    return TicketLedger(MINT, "drafter-0", incarnation, started_s, LIMITS)


def ask(request_id: str = "r1", digest: str = "d1", **fields) -> TicketClaimRequest:
    fields.setdefault("heard", Stamp("drafter-0", "inc-a", 0))
    fields.setdefault("heard_age_s", 9999.0)
    return TicketClaimRequest("federation", digest, request_id, wait_s=10.0, **fields)


class TestTicketLedger:
    def test_first_claim_runs_and_second_attaches_to_it(self):
        here = ledger()
        ticket = here.mint("federation", 1000.0)

        first = here.claim(ticket, ask("r1"), 1001.0)
        second = here.claim(ticket, ask("r2"), 1002.0)

        assert isinstance(first, FirstClaim)
        assert second == AlreadyRunning(first.serial, "r1")

    def test_finished_answer_is_replayed(self):
        here = ledger()
        ticket = here.mint("federation", 1000.0)
        run = here.claim(ticket, ask(), 1001.0)
        here.start(run.serial, 1001.0)
        answer = Answer(200, (), b"paid")

        here.finish(run.serial, answer)

        assert here.claim(ticket, ask("r2"), 1050.0) == Replay(answer)

    def test_answer_that_was_not_kept_is_still_known_to_have_run(self):
        here = ledger()
        ticket = here.mint("federation", 1000.0)
        run = here.claim(ticket, ask(), 1001.0)
        here.start(run.serial, 1001.0)

        here.finish(run.serial, Answer(200, (), b"x" * 61))

        assert claim_refusal(here.claim(ticket, ask("r2"), 1002.0)).ran is ExecutionStatus.YES

    def test_oldest_answer_is_evicted_and_its_run_still_known(self):
        here = ledger()
        tickets = [here.mint("federation", 1000.0) for _ in range(2)]
        for ticket in tickets:
            run = here.claim(ticket, ask(), 1001.0)
            here.start(run.serial, 1001.0)
            here.finish(run.serial, Answer(200, (), b"x" * 60))

        first, second = [here.claim(ticket, ask("r2"), 1002.0) for ticket in tickets]

        assert first == Replay(None)
        assert second.answer.body == b"x" * 60

    def test_two_entries_get_the_same_successor(self):
        here = ledger()
        ticket = here.mint("federation", 1000.0)
        run = here.claim(ticket, ask(), 1001.0)

        retired = here.retire(run.serial, "federation", [OTHER])
        later = here.claim(ticket, ask("r2", candidates=(THIRD,)), 1002.0)

        assert retired.fresh
        assert later == TicketRetired(retired.successor, fresh=False)
        assert MINT.read(retired.successor).stamp == OTHER
        assert claim_refusal(retired).ran is ExecutionStatus.NO
        assert claim_refusal(later).ran is ExecutionStatus.UNKNOWN

    def test_retired_ticket_without_successor_gets_one_from_a_later_try(self):
        here = ledger()
        ticket = here.mint("federation", 1000.0)
        run = here.claim(ticket, ask(), 1001.0)
        assert here.retire(run.serial, "federation") == TicketRetired(None, fresh=True)

        named = here.claim(ticket, ask("r2", candidates=(here.stamp(1002.0), THIRD)), 1002.0)
        again = here.claim(ticket, ask("r3", candidates=(OTHER,)), 1003.0)

        assert MINT.read(named.successor).stamp == THIRD
        assert again.successor == named.successor

    def test_successor_is_bound_to_the_first_body(self):
        here = ledger()
        there = TicketLedger(MINT, "drafter-1", "inc-b", 900.0, LIMITS)
        run = here.claim(here.mint("federation", 1000.0), ask(digest="d1"), 1001.0)
        successor = here.retire(run.serial, "federation", [there.stamp(1001.0)]).successor

        assert there.claim(successor, ask(digest="d2"), 1002.0) == Mismatch()
        heard = there.stamp(1001.0)
        assert isinstance(there.claim(successor, ask(digest="d1", heard=heard), 1002.0), FirstClaim)

    @pytest.mark.parametrize(
        ("failure", "expected"),
        [
            pytest.param(ExecutionStatus.NO, TicketRetired, id="no-byte-sent"),
            pytest.param(ExecutionStatus.UNKNOWN, Failed, id="connection-broke"),
        ],
    )
    def test_failed_run_is_not_repeated_unless_it_provably_did_not_run(self, failure, expected):
        here = ledger()
        ticket = here.mint("federation", 1000.0)
        run = here.claim(ticket, ask(), 1001.0)
        here.start(run.serial, 1001.0)

        here.fail(run.serial, Refusal(RefusalCode.ENDPOINT_FAILED, "broke", failure))

        assert isinstance(here.claim(ticket, ask("r2"), 1002.0), expected)

    @pytest.mark.parametrize(
        ("given", "expected", "ran"),
        [
            pytest.param(ask(digest="d2"), Mismatch(), ExecutionStatus.NO, id="other-body"),
            pytest.param(
                TicketClaimRequest("mill", "d1", "r9", 1.0),
                Mismatch(),
                ExecutionStatus.NO,
                id="other-account",
            ),
        ],
    )
    def test_ticket_is_for_one_account_and_one_body(self, given, expected, ran):
        here = ledger()
        ticket = here.mint("federation", 1000.0)
        here.claim(ticket, ask(digest="d1"), 1001.0)

        claim = here.claim(ticket, given, 1002.0)

        assert claim == expected
        assert claim_refusal(claim).ran is ran

    def test_ticket_of_an_earlier_start_is_unknown(self):
        ticket = ledger("inc-a").mint("federation", 1000.0)

        claim = ledger("inc-z").claim(ticket, ask(), 1001.0)

        assert claim == WrongIncarnation()
        assert claim_refusal(claim).ran is ExecutionStatus.UNKNOWN

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            pytest.param("", Invalid(), id="empty"),
            pytest.param("abc.def", Invalid(), id="not-a-ticket"),
            pytest.param("é.é", Invalid(), id="not-ascii"),
            pytest.param(
                TicketMint(b"other").mint(Stamp("drafter-0", "inc-a", 0), "federation"),
                Unverified(),
                id="other-fleet-key",
            ),
            pytest.param(
                MINT.mint(Stamp("drafter-0", "inc-a", 10**9), "federation"),
                Invalid(),
                id="never-issued",
            ),
        ],
    )
    def test_invalid_ticket_never_runs(self, text, expected):
        assert ledger().claim(text, ask(), 1001.0) == expected

    def test_expired_ticket_stays_expired_when_the_clock_is_set_back(self):
        # The ticket's row is removed when the ticket expires. Then the host's clock is set back to
        # before the expiry. A ledger that trusted it would treat the ticket as new and run the
        # request again.
        here = ledger()
        ticket = here.mint("federation", 1000.0)
        run = here.claim(ticket, ask(), 1001.0)
        here.start(run.serial, 1001.0)
        here.finish(run.serial, None)

        assert here.claim(ticket, ask("r2"), 1200.0) == Expired()
        assert here.claim(ticket, ask("r3"), 1001.0) == Expired()
        assert len(here.table) == 0

    def test_running_request_outlives_its_ticket(self):
        here = ledger()
        ticket = here.mint("federation", 1000.0)
        run = here.claim(ticket, ask("r1"), 1001.0)
        here.start(run.serial, 1001.0)

        assert here.claim(ticket, ask("r2"), 5000.0) == AlreadyRunning(run.serial, "r1")

    def test_full_ledger_refuses_a_late_copy_of_a_refused_request(self):
        # The table is full, so a request is refused as "not run" and the caller may act on that. A
        # copy of the request, delayed on a slow connection, arrives when there is room again. It
        # must not run.
        here = ledger()
        for i in range(4):
            here.claim(here.mint("federation", 1000.0), ask(f"r{i}"), 1001.0)
        for row in here.table.rows():
            here.retire(row.serial, "federation")
        ticket = here.mint("federation", 1090.0)

        refused = here.claim(ticket, ask("r5"), 1090.0)
        late = here.claim(ticket, ask("r5"), 1102.0)

        assert refused == Full()
        assert claim_refusal(refused).ran is ExecutionStatus.NO
        assert (late, len(here.table)) == (Full(), 0)
        assert isinstance(
            here.claim(here.mint("federation", 1102.0), ask("r6"), 1102.0), FirstClaim
        )

    def test_full_ledger_still_finds_its_rows(self):
        here = ledger()
        tickets = [here.mint("federation", 1000.0) for _ in range(5)]
        for ticket in tickets:
            here.claim(ticket, ask("r1"), 1001.0)

        assert isinstance(here.claim(tickets[0], ask("r2"), 1002.0), AlreadyRunning)

    def test_paused_sidecar_does_not_start_requests_past_their_deadline(self):
        # A request waits at a sidecar that is paused for a minute, and its caller is told "unknown"
        # meanwhile. After the pause, the sidecar must not start it although the engine is idle.
        here = ledger()
        ticket = here.mint("federation", 1000.0)
        run = here.claim(ticket, ask(), 1001.0)

        assert not here.start(run.serial, 1061.0)
        assert here.claim(ticket, ask("r2"), 1062.0) == TicketRetired(None, fresh=True)

    @pytest.mark.parametrize(
        "heard", [None, Stamp("drafter-0", "inc-z", 5)], ids=["no-stamp", "earlier-start"]
    )
    def test_message_of_unknown_age_does_not_run(self, heard):
        # A request is delayed in the network while the sidecar's host is replaced, and arrives at
        # the new one after its caller was told "unknown". Its age can't be determined there.
        here = ledger()

        claim = here.claim(here.mint("federation", 1000.0), ask(heard=heard), 1001.0)

        assert claim == Unstamped()

    def test_time_in_a_stalled_connection_counts_against_the_deadline(self):
        # The request is sent 2 s after the entry received the sidecar's stamp, and is delayed for
        # 30 s in a stalled connection. Counted from its arrival the deadline would not have passed.
        here = ledger()
        heard = here.stamp(1000.0)
        ticket = here.mint("federation", 1000.0)

        run = here.claim(ticket, ask(heard=heard, heard_age_s=2.0), 1032.0)

        assert not here.start(run.serial, 1032.0)


class TestTombstones:
    def tombstones(self, max_rows: int = 3) -> RequestTombstones:
        return RequestTombstones("drafter-0", "inc-a", 0.0, TombstoneLimits(60.0, max_rows))

    def test_late_arrival_is_refused_by_the_tombstone(self):
        # The entry's connection breaks before the request arrives. It asks on a new connection and
        # reports "not run" to the caller. Then the old connection delivers the request.
        here = self.tombstones()
        heard = here.stamp(1.0)

        assert here.query_outcome("r1", heard, 0.0, 2.0) is OutcomeAnswer.NOT_RUN
        assert here.arrive("r1", heard, 0.0, 3.0) is Arrival.BURIED

    def test_request_that_arrived_is_seen_and_its_copy_is_a_duplicate(self):
        here = self.tombstones()
        heard = here.stamp(1.0)

        assert here.arrive("r1", heard, 0.0, 2.0) is Arrival.FRESH
        assert here.query_outcome("r1", heard, 0.0, 3.0) is OutcomeAnswer.SEEN
        assert here.arrive("r1", heard, 0.0, 3.0) is Arrival.DUPLICATE

    def test_entry_with_an_old_stamp_may_still_send(self):
        here = self.tombstones()
        heard = here.stamp(1.0)

        assert here.arrive("r1", heard, 500.0, 501.0) is Arrival.FRESH
        assert here.query_outcome("r2", heard, 500.0, 502.0) is OutcomeAnswer.NOT_RUN
        assert here.arrive("r2", heard, 500.0, 503.0) is Arrival.BURIED

    def test_arrival_later_than_any_tombstone_is_refused(self):
        here = self.tombstones()
        heard = here.stamp(1.0)
        here.query_outcome("r1", heard, 0.0, 2.0)

        assert here.arrive("r1", heard, 0.0, 500.0) is Arrival.TOO_OLD
        assert here.query_outcome("r1", heard, 0.0, 500.0) is OutcomeAnswer.UNKNOWN
        assert here.arrive("r1", heard, 0.0, 2.0) is Arrival.TOO_OLD

    @pytest.mark.parametrize(
        "heard", [None, Stamp("drafter-0", "inc-z", 1)], ids=["no-stamp", "earlier-start"]
    )
    def test_answer_is_unknown_without_a_stamp_of_this_incarnation(self, heard):
        assert self.tombstones().query_outcome("r1", heard, 0.0, 2.0) is OutcomeAnswer.UNKNOWN

    def test_full_table_keeps_arrivals_and_refuses_requests_reported_as_not_run(self):
        here = self.tombstones(max_rows=1)
        heard = here.stamp(1.0)
        here.arrive("r1", heard, 0.0, 1.0)

        assert here.query_outcome("r2", heard, 0.0, 2.0) is OutcomeAnswer.NOT_RUN
        assert here.query_outcome("r1", heard, 0.0, 2.0) is OutcomeAnswer.SEEN
        assert here.arrive("r2", heard, 0.0, 70.0) is not Arrival.FRESH
        assert here.arrive("r3", here.stamp(70.0), 0.0, 70.0) is Arrival.FRESH
