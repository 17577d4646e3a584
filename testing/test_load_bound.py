import pytest

from beryljunction.routing import Mechanisms
from beryljunction.routing.load_bound import PrefixSizes, fleet_bound
from imbalance_world import Fleet, moved_tokens, share_over_bound
from routing_fakes import known

# Sessions of the largest kind have sixteen times the prefix of the smallest.
MIXED = Fleet(entries=22, engines=21, rate=300, prefix_tokens=(600, 2_000, 9_600))
SEEDS = (1, 2, 3)


def bound_of(mean, size):
    return fleet_bound([mean] * 4, [], 0.0, size)


class TestLoadBound:
    def test_bound_rises_with_the_size_and_the_margin_falls(self):
        bounds = [bound_of(5.0, size) for size in (0.0, 0.5, 1.0, 1.5, 2.0)]

        assert [bound.load for bound in bounds] == sorted({bound.load for bound in bounds})
        assert [bound.margin_factor for bound in bounds] == [1.5, 1.25, 1.0, 0.75, 0.5]

    @pytest.mark.parametrize("size", [0.0, 1.0, 2.0])
    @pytest.mark.parametrize("mean", [0.0, 0.5, 3.0, 20.0])
    def test_bound_stays_below_that_of_the_fleet(self, mean, size):
        bound = bound_of(mean, size)

        assert mean < bound.load <= 2.0 * mean + 3.0

    def test_excluded_endpoints_count_in_the_mean(self):
        idle = [known(f"e{number}") for number in range(4)]

        assert fleet_bound([6.0] * 4, idle, 0.0).load == bound_of(3.0, 1.0).load


class TestPrefixSizes:
    def test_size_is_relative_to_the_mean_of_the_service(self):
        sizes = PrefixSizes()
        for _ in range(200):
            sizes.note("engine", 1_000)
            sizes.note("other", 10)

        assert sizes.relative("engine", 500) == pytest.approx(0.5)
        assert sizes.relative("engine", 9_000) == 2.0
        assert sizes.relative("other", 10) == pytest.approx(1.0)

    def test_unknown_mean_changes_nothing(self):
        assert PrefixSizes().relative("engine", 9_000) == 1.0


class TestSheddingOrder:
    """Guards against an overloaded engine that sends away its longest prefixes.

    Each of them is moved between engines or recomputed, which fills the engine that it goes to.
    """

    def moved(self, is_on):
        fleet = Fleet(
            entries=MIXED.entries,
            engines=MIXED.engines,
            rate=MIXED.rate,
            prefix_tokens=MIXED.prefix_tokens,
            mechanisms=Mechanisms(size_bound=is_on),
        )
        return sum(moved_tokens(fleet, seed) for seed in SEEDS)

    def test_fewer_tokens_move(self):
        assert self.moved(is_on=True) < 0.9 * self.moved(is_on=False)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_few_requests_go_to_engines_over_the_bound(self, seed):
        assert share_over_bound(MIXED, seed) <= 0.01
