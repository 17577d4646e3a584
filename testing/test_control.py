import attrs
import pytest

from beryljunction.bench.control import CONTROL_SIZES, measure_control

BUDGET_BYTES_PER_S = 4096


@pytest.fixture(scope="module")
def figures():
    return measure_control()


class TestControlTraffic:
    @pytest.mark.parametrize(
        "number", range(len(CONTROL_SIZES)), ids=[s.name for s in CONTROL_SIZES]
    )
    def test_process_stays_within_its_budget_with_the_log_up_and_down(self, figures, number):
        size_figures = figures[number]

        assert size_figures.control_bytes_per_s_per_node <= BUDGET_BYTES_PER_S
        assert size_figures.busiest_bytes_per_s <= BUDGET_BYTES_PER_S
        assert size_figures.log_down_bytes_per_s <= BUDGET_BYTES_PER_S

    def test_load_rows_do_not_grow_with_the_fleet(self, figures):
        hundred, target = figures[-2:]

        assert target.load_rows < 1.1 * hundred.load_rows

    def test_all_kinds_of_traffic_are_counted(self, figures):
        assert all(value > 0 for size_figures in figures for value in attrs.astuple(size_figures))
