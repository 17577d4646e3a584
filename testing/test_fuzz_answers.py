import re

import attrs
import pytest

from beryljunction.fuzz import CI, ENDPOINTS, FleetMachine, Kind, run_fuzz
from beryljunction.fuzz.machine import SidecarFault
from beryljunction.outcomes import ExecutionStatus
from beryljunction.streams import FrameNumberer, SequenceChecker, parse_event_id
from beryljunction.systems import (
    AdmissionController,
    FirstClaim,
    IncarnationClock,
    KeyClaimResolver,
    KeyWon,
    OutcomeAnswer,
    RequestTombstones,
    TicketLedger,
)
from beryljunction.systems.state.ticket_attempts import TicketAttempts
from beryljunction.tables import TicketState


class TestFuzz:
    def test_every_promise_holds(self):
        tally = run_fuzz(CI)

        assert tally.violations == []
        assert tally.examples >= CI.examples


class TestFoundHistories:
    """Histories that the fuzz failed on once, replayed as they were found."""

    def test_message_older_than_its_sidecar_is_not_started(self):
        # A keyed request lies in the network for 12 s while every sidecar is replaced. Its caller
        # has been told "unknown". The new sidecar, which has no older memory, took it for new by
        # the time of its arrival and started it.
        fleet = FleetMachine()
        fleet.begin(is_tight=False, entry="entry-0", kind=Kind.KEY, rounds=0)
        fleet.advance(12.0)
        fleet.sidecar_fault(ENDPOINTS, SidecarFault.REPLACED, 0.0)
        fleet.go_on(10)

        fleet.teardown()

        assert fleet.world.oracle.violations == []

    def test_entry_that_was_silent_for_long_still_gets_its_request_run(self):
        # An entry that had not heard a sidecar for longer than tombstones live was refused with
        # "unknown", since the age of its stamp was taken for that of its request.
        fleet = FleetMachine()
        fleet.begin(is_tight=False, entry="entry-0", kind=Kind.IDEMPOTENT, rounds=10)
        fleet.advance(300.0)
        fleet.ask_new("entry-0", Kind.IDEMPOTENT, streamed=False, rounds=10)

        fleet.teardown()

        assert [asked.ran for asked in fleet.world.oracle.asked] == [
            ExecutionStatus.YES,
            ExecutionStatus.YES,
        ]

    def test_not_run_outlives_the_sidecar_that_said_it(self):
        # Seed 913001. A chat sends requests while endpoints are leaving. One is still on its way
        # when its sidecar says "never arrived". The sidecar is killed, its tombstone too, and then
        # the request arrives at the next start, which took it for new and ran it.
        fleet = FleetMachine()
        fleet.begin(is_tight=True, entry="entry-0", kind=Kind.IDEMPOTENT, rounds=8)
        for chat_key in (7, 7, 8):
            fleet.lose_the_warm_endpoint(chat_key=chat_key, crashes=False, entry="entry-0")
        fleet.advance(duration_s=4.0)
        fleet.deliver(place=1)
        fleet.sidecar_fault(by_s=-40.0, fault=SidecarFault.CRASH, scope=("ledger-0",))

        fleet.teardown()

        assert fleet.world.oracle.violations == []


def forget_incarnation(patch):
    patch.setattr(TicketLedger, "_is_ours", lambda self, stamp: True)


def name_successors_twice(patch):
    real = TicketLedger.retire

    def retire(self, serial, account, candidates=()):
        self._row(serial).successor = None
        return real(self, serial, account, candidates)

    patch.setattr(TicketLedger, "retire", retire)


def start_after_the_deadline(patch):
    def start(self, serial, now_s):
        self._row(serial).state = TicketState.RUNNING
        return True

    patch.setattr(TicketLedger, "start", start)


def count_the_deadline_from_arrival(patch):
    patch.setattr(
        IncarnationClock, "sent_ms", lambda self, issued_ms, age_s, now_s: self.read_ms(now_s)
    )


def take_any_body(patch):
    real = TicketLedger._claim_again

    def claim_again(self, row, request):
        row.body_digest = request.digest
        return real(self, row, request)

    patch.setattr(TicketLedger, "_claim_again", claim_again)


def run_a_joined_ticket_again(patch):
    real = TicketLedger.claim

    def claim(self, text, request, now_s):
        claimed = real(self, text, request, now_s)
        ticket = self._mint.read(text)
        row = self.table.get(ticket.serial) if ticket else None
        if row is not None and row.state is TicketState.RUNNING:
            row.state = TicketState.CLAIMED
            return FirstClaim(ticket.serial)
        return claimed

    patch.setattr(TicketLedger, "claim", claim)


def win_keys_without_reading(patch):
    real = KeyClaimResolver.tick

    def tick(self, now_s):
        won = [(row.request_id, KeyWon(row.claim.ticket)) for row in self._pending.values()]
        self._pending.clear()
        return won or real(self, now_s)

    patch.setattr(KeyClaimResolver, "tick", tick)


def replace_tickets_in_doubt(patch):
    real = TicketAttempts.after

    def after(self, refusal, ticket):
        self._in_doubt = False
        return real(self, refusal, ticket)

    patch.setattr(TicketAttempts, "after", after)


def pass_on_frames_twice(patch):
    real = SequenceChecker._accept

    def accept(self, frame):
        sequence, _ = self._position(frame)
        return real(self, frame) or (sequence is not None and sequence <= self.last_sequence)

    patch.setattr(SequenceChecker, "_accept", accept)


def take_work_while_leaving(patch):
    real = AdmissionController.offer

    def offer(self, work, now_s):
        leaving, self.leaving = self.leaving, False
        decision = real(self, work, now_s)
        self.leaving = leaving
        return decision

    patch.setattr(AdmissionController, "offer", offer)


def leave_no_tombstone(patch):
    def query_outcome(self, request_id, heard, age_s, now_s):
        return OutcomeAnswer.NOT_RUN if self._rows.get(request_id) is None else OutcomeAnswer.SEEN

    patch.setattr(RequestTombstones, "query_outcome", query_outcome)


def retire_what_may_have_run(patch):
    def fail(self, serial, refusal):
        self._row(serial).state = TicketState.RETIRED

    patch.setattr(TicketLedger, "fail", fail)


def pass_on_frames_after_a_gap(patch):
    real = SequenceChecker._accept

    def accept(self, frame):
        sequence, _ = self._position(frame)
        self.last_sequence = max(self.last_sequence, (sequence or 0) - 1)
        return real(self, frame)

    patch.setattr(SequenceChecker, "_accept", accept)


def number_comments(patch):
    real = FrameNumberer.add_ids

    def add_ids(self, frames):
        return real(self, [b"event" + row if row.startswith(b":") else row for row in frames])

    patch.setattr(FrameNumberer, "add_ids", add_ids)


def resume_one_event_later(patch):
    def position(event_id):
        name, sequence = parse_event_id(event_id)
        return name, sequence + 1

    patch.setattr("beryljunction.fuzz.entries.parse_event_id", position)


def point_elsewhere_for_ever(patch):
    real = AdmissionController._moved

    def moved(self, work, now_s):
        work.ignore_pointer = False
        return real(self, work, now_s)

    patch.setattr(AdmissionController, "_moved", moved)


REMOVED = [
    (forget_incarnation, "ran twice|told no"),
    (name_successors_twice, "ran twice|told no"),
    (start_after_the_deadline, "after its deadline"),
    (count_the_deadline_from_arrival, "after its deadline"),
    (take_any_body, "expected one of"),
    (run_a_joined_ticket_again, "ran twice|told no"),
    (win_keys_without_reading, "ran twice|told no"),
    (replace_tickets_in_doubt, "ran twice|told no"),
    (pass_on_frames_twice, "expected one of"),
    (leave_no_tombstone, "called not run, (but|then) ran|told no"),
    (retire_what_may_have_run, "ran twice|told no"),
    (pass_on_frames_after_a_gap, "expected one of"),
    (take_work_while_leaving, "took new work"),
    (number_comments, "expected one of"),
    (resume_one_event_later, "expected one of"),
    (point_elsewhere_for_ever, "told chat_moved"),
]


class TestSafeguards:
    @pytest.mark.parametrize(
        ("remove", "expected"), [pytest.param(*row, id=row[0].__name__) for row in REMOVED]
    )
    def test_fuzz_finds_a_removed_safeguard(self, remove, expected, monkeypatch):
        remove(monkeypatch)

        found = run_fuzz(attrs.evolve(CI, shrinks=False)).violations

        assert found
        assert re.search(expected, found[0])
