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
    def test_a_node_stays_within_its_budget_whether_the_log_is_up_or_down(self, figures, number):
        one = figures[number]

        assert one.control_bytes_per_s_per_node <= BUDGET_BYTES_PER_S
        assert one.busiest_bytes_per_s <= BUDGET_BYTES_PER_S
        assert one.log_down_bytes_per_s <= BUDGET_BYTES_PER_S

    def test_the_cost_does_not_grow_with_the_fleet_beyond_one_message(self, figures):
        hundred, target = figures[-2:]

        assert target.load_rows < 1.1 * hundred.load_rows

    def test_every_part_is_counted(self, figures):
        assert all(value > 0 for one in figures for value in attrs.astuple(one))
