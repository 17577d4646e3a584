import math

import pytest

from beryljunction.gateway.planned_stop import PlannedStop


def planned(grace_s, signalled_s=100.0, now_s=100.0):
    stop = PlannedStop()
    stop.update(signalled_s, grace_s, now_s)
    return stop


class TestPlannedStop:
    """Guards against a stop that counts on more time than its grace period has."""

    @pytest.mark.parametrize("grace_s", [0.2, 1.0, 3.0, 8.0])
    def test_answers_end_within_any_grace_period(self, grace_s):
        assert 0.0 < planned(grace_s).left_s(100.0) < grace_s

    def test_time_counts_from_the_signal(self):
        assert planned(8.0, now_s=103.0).left_s(103.0) == pytest.approx(8.0 - 0.35 - 3.0)

    def test_changed_grace_period_is_used(self):
        stop = planned(8.0)

        stop.update(100.0, 3.0, 101.0)

        assert stop.left_s(101.0) == pytest.approx(3.0 - 0.35 - 1.0)

    def test_change_does_not_move_when_callers_are_sent_elsewhere(self):
        stop = planned(8.0)

        stop.update(100.0, 9.0, 102.0)

        assert stop.reachable_for_s(102.0) == pytest.approx(0.6)
        assert stop.reachable_for_s(103.0) == 0.0

    def test_wait_for_the_store_ends_within_the_grace_period(self):
        stop = planned(3.0)

        assert stop.deregister_limit_s(101.0) == 0.5
        assert 102.9 + stop.deregister_limit_s(102.9) < 103.2
        assert 102.65 + stop.deregister_limit_s(102.65) < 103.0

    def test_nothing_is_limited_while_no_stop_is_planned(self):
        """Guards against refusals after an internal error that tell callers never to return."""
        stop = PlannedStop()

        assert stop.left_s(100.0) == math.inf
        assert stop.reachable_for_s(100.0) == 0.0
