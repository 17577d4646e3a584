import pytest

from beryljunction.gateway.events import Events
from beryljunction.gateway.state import EntryState
from beryljunction.platform import HostBounds, HostSettings
from platform_world import Lines
from routing_fakes import config_of, endpoint, route_of

BOUNDS = HostBounds(cold_overshoot=1.0)


def state_of(*records):
    host = HostSettings("h", "a", "r", ("", 1), ("", 2), ("", 3), BOUNDS)
    state = EntryState(host, Events("h", "a", Lines()))
    state.apply(config_of(route_of()), b"")
    state.registry.replace(records, 0.0)
    return state


class TestSending:
    """A request looks at evacuations once more at the moment at which it is sent."""

    def test_open_endpoint_may_get_it(self):
        state = state_of(endpoint("e1"))

        assert state.may_send("engine", state.registry.find("e1")) == ""

    def test_zone_evacuated_meanwhile(self):
        state = state_of(endpoint("e1"))
        chosen = state.registry.find("e1")

        state.update_evacuations({"a": True}, 5)

        assert state.may_send("engine", chosen) == "zone is evacuated"
        assert state.why_none("engine") == "zones_evacuated"

    def test_endpoint_that_left_meanwhile(self):
        state = state_of(endpoint("e1"))
        chosen = state.registry.find("e1")

        state.registry.remove("e1", 50.0)

        assert state.may_send("engine", chosen) == "endpoint left"
        assert state.why_none("engine") == "no_endpoint"


class TestZones:
    def test_each_change_is_one_line(self):
        state = state_of(endpoint("e1"))

        state.replace_evacuations(["a"], 5)
        state.replace_evacuations(["a"], 6)
        state.replace_evacuations([], 7)

        assert len(state.events.writer.of("zone_evacuated")) == 1
        assert len(state.events.writer.of("zone_returned")) == 1

    @pytest.mark.parametrize("zones", [["a"], ["a", "b"], ["nowhere"]])
    def test_taken_back_is_as_before(self, zones):
        state = state_of(endpoint("e1"), endpoint("e2", availability_zone="b"))

        state.replace_evacuations(zones, 5)
        state.replace_evacuations([], 6)

        assert len(state.registry.usable("engine", 50.0)) == 2
