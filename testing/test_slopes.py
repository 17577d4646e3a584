import os

import pytest

from beryljunction.bench.slopes import STATES, Point, fit, measure_state
from beryljunction.bench.slopes.usage import usage_of


class TestFit:
    def test_recovers_a_line_and_reports_the_point_off_it(self):
        points = [Point(x, 5.0 + 2.0 * x) for x in (1, 2, 3)] + [Point(4, 23.0)]

        slope = fit("rows", "entry", "bytes", points)

        assert slope.at(0) == slope.fixed
        assert slope.residual_ratio > 0.1

    def test_exact_line_has_no_residual(self):
        slope = fit("rows", "entry", "bytes", [Point(x, 5.0 + 2.0 * x) for x in range(5)])

        assert (slope.per_unit, slope.fixed) == pytest.approx((2.0, 5.0))
        assert slope.residual_ratio == pytest.approx(0.0)

    def test_refuses_fewer_points_than_show_a_line(self):
        with pytest.raises(ValueError, match="at least 4 points, got 3"):
            fit("rows", "entry", "bytes", [Point(x, x) for x in range(3)])


class TestState:
    @pytest.mark.parametrize("state", STATES, ids=lambda state: state.subject)
    def test_one_more_row_costs_bytes_and_less_than_a_kilobyte(self, state):
        slope = measure_state(state, (200, 400, 800, 1_600))

        assert 0 < slope.per_unit < 1_024


class TestUsage:
    def test_of_this_process_has_memory(self):
        assert usage_of(os.getpid()).resident_bytes > 0
