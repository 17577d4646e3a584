import random

import pytest

from beryljunction.stores import LogPage, LogRecord
from beryljunction.systems.recovery.rollout import LoadAllowed, LoadDelayed, RolloutLimits
from beryljunction.systems.recovery.turns import EndTurn, RenewTurn, TakeTurn, TurnRolloutPolicy
from beryljunction.tables.orders import OrderRow, Phase
from beryljunction.tables.turns import TurnQueue, end_record, renew_record, take_record

LIMITS = RolloutLimits(min_serving=1, parallel_loads=1)


def queue_of(*records, first_offset=1):
    rows = tuple(LogRecord(i, f"r{i}", data) for i, data in enumerate(records, 1))
    queue = TurnQueue()
    queue.apply(LogPage(rows, first_offset, len(records) + 1))
    return queue


def serving(*names):
    return [OrderRow(name, Phase.SERVING, done=False, serves=True, fence=1) for name in names]


class TestTurnQueue:
    @pytest.mark.parametrize(
        "records",
        [
            [take_record("a"), take_record("a"), take_record("b")],
            [take_record("b"), end_record("b", 1), take_record("a"), take_record("b")],
            [take_record("a"), renew_record("a"), end_record("a", 1), take_record("b")],
            [{"take": 7}, "poison", renew_record("b"), take_record("a"), take_record("b")],
        ],
        ids=["doubled-take", "taken-anew", "end-overtaken-by-a-renewal", "poison"],
    )
    def test_first_take_in_log_order_is_first(self, records):
        queue = queue_of(*records)

        assert (set(queue.before("a")), set(queue.before("b"))) == (set(), {"a"})

    def test_turn_ends_by_an_end_of_its_last_renewal_or_with_its_last_record(self):
        ended = queue_of(take_record("a"), renew_record("a"), end_record("a", 2))
        dropped = queue_of(take_record("a"), take_record("b"), first_offset=2)

        assert ended.turn("a") is None
        assert (dropped.turn("a"), set(dropped.before("b"))) == (None, set())


class TestTurnRolloutPolicy:
    def decide(self, policy, queue, now_s, answers=(), interrupts=True, listed=("b",)):
        return policy.decide(queue, listed, answers, LIMITS, interrupts, now_s)

    def test_turn_is_used_only_after_a_renewal_by_this_process(self):
        # A sidecar that was replaced or paused finds its endpoint's turn on the log. Others may
        # have seen no renewal for 90 s and be about to end the turn. If the sidecar used it at
        # once, two endpoints could load together.
        policy = TurnRolloutPolicy("a", random.Random(1))
        left = [take_record("a"), renew_record("a")]

        found = self.decide(policy, queue_of(*left), 0.0, serving("b"))
        renewed = self.decide(policy, queue_of(*left, renew_record("a")), 1.0, serving("b"))
        woken = self.decide(policy, queue_of(*left, renew_record("a")), 70.0, serving("b"))

        assert (found, renewed, woken) == (RenewTurn(), LoadAllowed(), RenewTurn())

    def test_turn_of_another_is_ended_only_if_unlisted_and_not_renewed(self):
        policy = TurnRolloutPolicy("a", random.Random(1))
        records = [take_record("c"), take_record("a")]
        self.decide(policy, queue_of(*records), 0.0)
        records.append(renew_record("c"))
        self.decide(policy, queue_of(*records), 80.0)

        renewed = self.decide(policy, queue_of(*records), 160.0)
        listed = self.decide(policy, queue_of(*records), 165.0, listed=("b", "c"))
        self.decide(policy, queue_of(*records), 166.0)
        silent = self.decide(policy, queue_of(*records), 260.0)

        assert isinstance(renewed, LoadDelayed)
        assert isinstance(listed, LoadDelayed)
        assert silent == EndTurn("c", 3)

    def test_endpoint_that_would_violate_min_serving_moves_to_the_end(self):
        policy = TurnRolloutPolicy("a", random.Random(1))
        queue = queue_of(take_record("a"))
        self.decide(policy, queue, 0.0)
        queue = queue_of(take_record("a"), renew_record("a"))

        waits = self.decide(policy, queue, 1.0)
        yields = self.decide(policy, queue, 12.0)

        assert isinstance(waits, LoadDelayed)
        assert yields == EndTurn("a", 2)

    def test_takes_of_a_fleet_are_spread_and_repeated_if_unseen(self):
        taken_s = []
        for number in range(100):
            policy = TurnRolloutPolicy("a", random.Random(number))
            steps = [self.decide(policy, TurnQueue(), second / 2) for second in range(60)]
            taken_s.append([i / 2 for i, step in enumerate(steps) if step == TakeTurn()])

        first = [times[0] for times in taken_s]
        assert max(first.count(second) for second in set(first)) < 20
        assert all(len(times) >= 3 for times in taken_s)
