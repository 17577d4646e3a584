import pytest

from beryljunction.platform import InvalidRecord, decode_evacuation
from beryljunction.routing import EndpointRegistry, Evacuations, ZoneChange
from fanout_world import FleetWorld, StoreFault
from routing_fakes import endpoint

STARTED_S = 8.0
# A zone must be empty within five seconds of the record in the store; entries learn of it sooner.
KNOWN_S = 0.5


class TestEvacuations:
    def test_each_change_is_returned_once(self):
        evacuations = Evacuations()

        assert evacuations.update({"a": True}, 4, 1.0) == (ZoneChange("a", True),)
        assert evacuations.update({"a": True}, 5, 2.0) == ()
        assert evacuations.update({"a": False}, 6, 3.0) == (ZoneChange("a", False),)

    def test_age_counts_from_when_a_zone_became_known(self):
        evacuations = Evacuations()

        evacuations.replace(["a"], 4, 1.0)
        evacuations.replace(["a", "b"], 5, 2.0)

        assert evacuations.since_s == {"a": 1.0, "b": 2.0}

    @pytest.mark.parametrize("is_complete", [True, False])
    def test_older_position_changes_nothing(self, is_complete):
        """Guards against a delayed message that cancels an evacuation still in force."""
        evacuations = Evacuations()
        evacuations.replace(["a"], 7, 1.0)

        if is_complete:
            evacuations.replace([], 6, 2.0)
        else:
            evacuations.update({"a": False}, 6, 2.0)

        assert evacuations.zones == {"a"}
        assert evacuations.position == 7


class TestKeys:
    @pytest.mark.parametrize(
        ("key", "zone"),
        [
            ("evacuate/regina", "regina"),
            ("evacuate/a/b", "a/b"),
            ("config", None),
            ("evacuate", None),
            ("evacuated/regina", None),
        ],
    )
    def test_zone_is_read_from_the_key(self, key, zone):
        assert decode_evacuation(key) == zone

    @pytest.mark.parametrize("key", ["evacuate/", "evacuate/\ufffd\ufffd"])
    def test_key_without_a_name_is_refused(self, key):
        assert isinstance(decode_evacuation(key), InvalidRecord)


class TestRegistry:
    def registry(self):
        registry = EndpointRegistry()
        rows = [endpoint("a1", availability_zone="a"), endpoint("b1", availability_zone="b")]
        registry.replace(rows, 0.0)
        return registry

    def names(self, registry):
        return {row.record.endpoint_id for row in registry.usable("engine", 50.0)}

    def test_endpoints_of_an_evacuated_zone_get_no_new_requests(self):
        registry = self.registry()

        registry.evacuate(frozenset({"a"}), 10.0)

        assert self.names(registry) == {"b1"}
        assert not registry.is_usable(registry.find("a1"))

    def test_endpoints_of_an_evacuated_zone_stay_reachable(self):
        registry = self.registry()

        registry.evacuate(frozenset({"a"}), 10.0)

        reachable = registry.reachable("engine", 10.0)
        assert {row.record.endpoint_id for row in reachable} == {"a1", "b1"}

    def test_endpoint_that_joins_an_evacuated_zone_gets_no_requests(self):
        registry = self.registry()
        registry.evacuate(frozenset({"a"}), 10.0)

        registry.put(endpoint("a2", availability_zone="a"), 11.0)

        assert self.names(registry) == {"b1"}

    def test_unknown_zone_changes_nothing(self):
        registry = self.registry()

        registry.evacuate(frozenset({"elsewhere"}), 10.0)

        assert self.names(registry) == {"a1", "b1"}

    def test_endpoints_may_be_cold_after_an_evacuation(self):
        registry = self.registry()

        registry.evacuate(frozenset({"a"}), 10.0)
        registry.evacuate(frozenset(), 20.0)

        assert self.names(registry) == {"a1", "b1"}
        assert registry.find("a1").may_be_cold_s == 20.0
        assert registry.find("b1").may_be_cold_s < 0.0


class TestFleet:
    """Every entry applies evacuations, whichever way it learns of them."""

    def knows(self, world, *zones):
        return world.holds_for_all(lambda state: state.evacuations.zones == set(zones))

    def evacuate(self, world, zone, is_evacuated=True):
        world.put("keyed.op", f"evacuate/{zone}", b"{}" if is_evacuated else None)

    @pytest.mark.parametrize("entries", [1, 4, 22, 68])
    def test_all_entries_learn_of_an_evacuation_quickly(self, entries):
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            self.evacuate(world, "a")
            self.evacuate(world, "b")
            world.advance(KNOWN_S)
            assert self.knows(world, "a", "b")

            self.evacuate(world, "a", is_evacuated=False)
            world.advance(KNOWN_S)
            assert self.knows(world, "b")

    def test_last_of_many_quick_changes_is_applied(self):
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            for number in range(9):
                self.evacuate(world, "a", is_evacuated=number % 2 == 0)
                world.advance(0.01)
            world.advance(KNOWN_S)

            assert self.knows(world, "a")

    def test_evacuation_stays_in_force_while_the_store_is_silent(self):
        """Guards against sending requests to an evacuated zone while the store can't confirm it."""
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            self.evacuate(world, "a")
            world.advance(KNOWN_S)
            world.fault(StoreFault.SILENT)
            world.advance(6.0)
            assert self.knows(world, "a")

            world.fault(StoreFault.NONE)
            world.advance(4.0)
            assert self.knows(world, "a")

    def test_starting_entry_learns_of_an_evacuation_with_its_first_settings(self):
        with FleetWorld(5) as world:
            world.advance(STARTED_S)
            self.evacuate(world, "a")
            world.start("front-9", ("10.0.0.1", 2_000))
            while world.members["front-9"].state.config is None:
                world.advance(0.01, step_s=0.001)

            assert self.knows(world, "a")

    def test_evacuation_is_learned_after_the_history_was_compacted(self):
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.BUSY)
            self.evacuate(world, "a")
            self.evacuate(world, "b")
            self.evacuate(world, "b", is_evacuated=False)
            world.model.compact("keyed.op")
            world.advance(1.0)
            world.fault(StoreFault.NONE)
            world.advance(2.5)

            assert self.knows(world, "a")

    def test_rejected_entry_learns_of_an_evacuation_from_a_peer(self):
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.BUSY, list(world.members)[:8])
            world.advance(2.0)
            self.evacuate(world, "a")
            world.advance(2.0)

            assert self.knows(world, "a")

    def test_key_without_a_zone_does_not_hide_other_evacuations(self):
        with FleetWorld(2) as world:
            world.advance(STARTED_S)
            world.put("keyed.op", "evacuate/", b"{}")
            world.put("keyed.op", "evacuate/a", b"\xff no table")
            world.advance(KNOWN_S)

            assert self.knows(world, "a")
