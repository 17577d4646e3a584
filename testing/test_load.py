import random

import attrs
import pytest

from beryljunction.loads import LoadRow
from beryljunction.systems import LoadLimits, LoadTracker, SpeedMeter

# With a cold multiple of 1, tests can read the mean from the bound for cold requests.
LIMITS = LoadLimits(cold_multiple=1.0, floor_running=4, max_running=128)


def row(number: int, running: int, sequence: int = 1, **fields) -> LoadRow:
    values = {"waiting": 0, "work_tokens": 100 * running, **fields}
    return LoadRow(f"drafter-{number}", "a", sequence, running, **values)


def load_tracker(*rows: LoadRow, running: int = 0, now_s: float = 0.0) -> LoadTracker:
    load = LoadTracker("drafter-0", "a", LIMITS, random.Random(1))
    load.note_own(running, 0, 100 * running, 0.0)
    load.merge(rows, 0.0)
    load.note_own(running, 0, 100 * running, now_s)
    return load


class TestLoadBound:
    def test_is_the_fixed_limit_without_a_fresh_peer(self):
        load = load_tracker(row(1, 2), running=2, now_s=11.0)

        assert load.bound(1.0).running < 128
        assert load.bound(11.0).running == 128

    @pytest.mark.parametrize("mean", [8, 40, 80], ids=["low", "middle", "high"])
    def test_stays_within_the_multiple_of_the_mean(self, mean):
        load = load_tracker(*(row(i, mean) for i in range(1, 9)), running=mean)

        assert mean < load.bound(1.0).running <= 1.25 * mean

    def test_mean_does_not_collapse_while_requests_wait(self):
        # Every endpoint runs few requests and has many waiting. If only running requests counted,
        # the bound would fall with them until nothing runs despite full queues.
        load = load_tracker(*(row(i, 4, waiting=60) for i in range(1, 5)), running=4)

        assert load.bound(1.0).running > 50

    def test_never_falls_below_the_floor(self):
        load = load_tracker(*(row(i, 0) for i in range(1, 5)))

        assert load.bound(1.0).running == LIMITS.floor_running

    def test_shrinks_with_the_speed_of_a_slow_endpoint(self):
        load = load_tracker(*(row(i, 40, speed_tokens_per_s=40.0) for i in range(1, 5)), running=40)
        load.speed.note(2 * 40 * 10.0)
        load.note_own(40, 0, 4_000, 2.0)

        assert load.bound(2.0).running < 0.3 * 50

    def test_slow_peer_does_not_lower_the_bound_of_the_others(self):
        peers = [row(i, 40, speed_tokens_per_s=40.0) for i in range(1, 4)]
        slow = row(4, 10, speed_tokens_per_s=10.0)
        load = load_tracker(*peers, slow, running=40)

        assert load.bound(1.0).cold_running >= 40

    def test_endpoint_that_came_back_counts_as_a_growing_fraction(self):
        load = load_tracker(*(row(i, 40) for i in range(1, 4)), running=40, now_s=60.0)
        load.merge([row(i, 40, sequence=2) for i in range(1, 4)], 60.0)
        load.merge([row(4, 0)], 60.0)
        at_once = load.bound(60.5).running
        load.merge([row(i, 40, sequence=3) for i in range(1, 4)], 66.0)

        assert at_once >= 45
        assert load.bound(66.0).running < 40


class TestExchange:
    def test_older_row_never_replaces_a_newer(self):
        load = load_tracker(row(1, 9, sequence=5))

        load.merge([row(1, 2, sequence=4)], 1.0)

        assert load.peer("drafter-1").row.running == 9

    def test_row_of_a_new_incarnation_replaces_whatever_its_sequence(self):
        load = load_tracker(row(1, 9, sequence=5))

        load.merge([LoadRow("drafter-1", "b", 1, 0, 0, 0)], 1.0)

        assert load.peer("drafter-1").row.running == 0

    def test_sends_a_bounded_number_of_rows_at_41_endpoints(self):
        load = load_tracker(*(row(i, 40) for i in range(1, 41)))

        rows = load.rows_to_send(1.0)

        assert rows[0].endpoint_id == "drafter-0"
        assert len(rows) == len({r.endpoint_id for r in rows}) == 24

    def test_does_not_pass_on_rows_that_are_stale(self):
        load = load_tracker(row(1, 40))

        assert [r.endpoint_id for r in load.rows_to_send(20.0)] == ["drafter-0"]


class TestSpeedMeter:
    def test_returns_the_speed_of_one_request(self):
        meter = SpeedMeter()
        for tick in range(100):
            meter.advance(10, tick * 0.1)
            meter.note(10 * 3.0)

        assert meter.tokens_per_s == pytest.approx(30.0, rel=0.1)

    def test_speed_is_zero_before_a_request_ran(self):
        meter = SpeedMeter()
        meter.advance(0, 0.0)
        meter.advance(0, 10.0)

        assert meter.tokens_per_s == 0.0


class TestSilence:
    def test_bound_follows_the_load_of_the_remaining_endpoints(self):
        # An availability zone is lost and its chats move to the others. The last rows of the lost
        # endpoints would keep the old mean, and returning chats would be refused despite free slots
        # until the rows are stale.
        load = load_tracker(*(row(i, 40) for i in range(1, 3)), row(3, 80), running=80)
        before = load.bound(1.0).running

        load.ignore_until_newer_row("drafter-1")
        load.ignore_until_newer_row("drafter-2")

        assert load.bound(1.0).running > 1.25 * before

    def test_lasts_despite_old_copies_until_a_newer_row(self):
        load = load_tracker(row(1, 40, sequence=5))
        load.ignore_until_newer_row("drafter-1")

        load.merge([row(1, 40, sequence=5)], 1.0)
        passed_on = load.peer("drafter-1")
        load.merge([row(1, 41, sequence=6)], 2.0)

        assert passed_on is None
        assert load.peer("drafter-1").row.running == 41

    def test_late_copy_from_before_a_restart_does_not_undo_it(self):
        # An endpoint restarts, and a peer that does not know it yet passes on a row of the old
        # incarnation. If it were accepted, the ramp of the new incarnation would start again.
        load = load_tracker(row(1, 40, sequence=900))
        load.merge([attrs.evolve(row(1, 2), incarnation="b")], 5.0)

        load.merge([row(1, 40, sequence=901)], 6.0)

        assert load.peer("drafter-1").row.incarnation == "b"
        assert load.peer("drafter-1").first_received_s == 5.0
