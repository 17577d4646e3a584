import pytest

from beryljunction.routing import AgeBound, FanOut, SettingsLease

SIZES = (1, 2, 3, 4, 5, 7, 22, 29, 68, 151, 350)


def fleet(count):
    """Return the view of each entry of a fleet whose members all know each other."""
    addresses = {f"front-{number}": ("10.0.0.1", number) for number in range(count)}
    views = {}
    for host in addresses:
        views[host] = FanOut(host)
        views[host].replace({key: value for key, value in addresses.items() if key != host})
    return views


class TestTree:
    @pytest.mark.parametrize("count", SIZES)
    def test_each_entry_has_two_parents_or_is_a_reader(self, count):
        views = fleet(count)
        told_by = {host: [] for host in views}
        for host, view in views.items():
            for other in view.downstream():
                told_by[other].append(host)

        for host, view in views.items():
            assert sorted(told_by[host]) == sorted(view.upstream())
            assert view.is_reader or len(told_by[host]) == 2

    @pytest.mark.parametrize("count", SIZES)
    def test_number_of_readers_and_children_is_bounded(self, count):
        views = fleet(count)

        assert sum(view.is_reader for view in views.values()) == min(4, count)
        assert max(len(view.downstream()) for view in views.values()) <= 11

    def test_350_entries_are_four_levels(self):
        assert max(view.depth for view in fleet(350).values()) == 4

    def test_parents_of_an_entry_are_one_level_above_it(self):
        views = fleet(151)
        for view in views.values():
            above = {views[host].depth for host in view.upstream()}
            assert above == {max(0, view.depth - 1)}

    def test_entry_without_known_peers_is_a_reader(self):
        view = FanOut("front")

        assert view.is_reader
        assert view.downstream() == {}
        assert view.upstream() == []

    def test_entries_that_join_move_or_leave_are_applied(self):
        view = FanOut("front")
        view.update({"a": ("h", 1), "b": ("h", 2)}, [])
        view.update({"b": ("h", 3)}, ["a", "unknown"])

        assert dict(view.addresses()) == {"b": ("h", 3)}
        assert "b" in view
        assert "a" not in view
        assert len(view) == 2


class TestFallback:
    def test_levels_read_one_after_the_other_while_still_ready(self):
        """When all readers are lost, the level below them reads first and updates the others."""
        ends = {}
        ready_s = SettingsLease(5.0).ready_s
        for view in fleet(350).values():
            first, last = view.read_after_s(ready_s, 0.0), view.read_after_s(ready_s, 0.999)
            ends[view.depth] = first, last

        assert ends[1][1] <= ends[2][0]
        assert ends[2][1] <= ends[3][0]
        assert ends[3][1] <= 3.0

    @pytest.mark.parametrize("bound_s", [1.0, 2.0, 3.0, 40.0])
    def test_each_entry_reads_within_the_bound_after_those_above_it(self, bound_s):
        bound = AgeBound(bound_s)
        views = list(fleet(350).values())
        ranked = sorted(view.read_after_s(bound_s, 0.0) for view in views if view.is_reader)
        below = [view for view in views if not view.is_reader]

        assert ranked[1] > max(2 * bound.read_interval_s, bound.confirm_interval_s)
        assert ranked[-1] < min(view.read_after_s(bound_s, 0.0) for view in below)
        assert max(view.read_after_s(bound_s, 0.999) for view in below) < 0.9 * bound_s
