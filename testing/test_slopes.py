import os

import anyio
import pytest

from beryljunction.bench.slopes import (
    SIZES,
    STATES,
    Point,
    Window,
    estimate,
    fit,
    measure_slopes,
    measure_state,
)
from beryljunction.bench.slopes.spending import at_each
from beryljunction.bench.usage import usage_of
from beryljunction.errors import StartError


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


class TestMeasureSlopes:
    def test_a_text_that_no_subject_holds_is_refused_rather_than_measured_as_nothing(self):
        with pytest.raises(StartError, match="expected a text that a subject holds"):
            measure_slopes(quick=True, only="no such subject")


class TestAtEach:
    @pytest.mark.parametrize("side_by_side", [False, True], ids=["in-turn", "side-by-side"])
    def test_gives_the_points_in_the_order_of_their_counts(self, side_by_side):
        async def measure(count: int) -> int:
            await anyio.sleep(0.01 / count)
            return -count

        window = Window(side_by_side=side_by_side)

        assert anyio.run(at_each, window, (1, 2, 4), measure) == [-1, -2, -4]


class TestUsage:
    def test_of_this_process_has_memory(self):
        assert usage_of(os.getpid()).resident_bytes > 0


class TestEstimate:
    def test_memory_at_a_size_counts_what_an_entry_knows_and_carries(self):
        def line(subject, role, unit, per_unit=0.0, fixed=0.0):
            return fit(subject, role, unit, [Point(x, fixed + per_unit * x) for x in range(4)])

        units = ("resident_bytes", "idle_cpu_us_per_s", "control_bytes_per_s")
        slopes = [line("endpoints known", "entry", unit, 1_000.0, 40e6) for unit in units]
        slopes += [line("sidecars of the service", "sidecar", unit) for unit in units]
        slopes += [line(state.subject, state.role, "bytes") for state in STATES]
        slopes += [line("client accounts", "entry", "resident_bytes", 100.0)]
        slopes += [
            line("settings changes/s", "both", unit)
            for unit in ("cpu_us_per_s", "control_bytes_per_s")
        ]
        for role in ("entry", "sidecar"):
            slopes += [line("open streams", role, "resident_bytes", 50_000.0)]
            for subject in ("frames/s", "idempotent requests/s", "ticketed requests/s"):
                slopes += [line(subject, role, "cpu_us_per_s", 10.0)]
        target = next(size for size in SIZES if size.name == "target")

        rows = {(row.role, row.quantity): row.value for row in estimate(target, slopes)}

        assert rows["entry", "open streams"] == pytest.approx(2_900_000 / 350 * 0.046)
        assert rows["entry", "memory without open streams, MB"] == pytest.approx(40.735)
        streams_mb = rows["entry", "open streams"] * 0.05
        assert rows["entry", "memory with them, MB"] == pytest.approx(40.735 + streams_mb)
