import pytest

from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.state import EntryState
from beryljunction.platform import DeploymentBounds, HostSettings
from entry_harness import CapturedLog
from routing_fakes import config_of, endpoint, route_of

BOUNDS = DeploymentBounds(cold_overshoot=1.0)


def state_of(*records):
    host = HostSettings("h", "a", "r", ("", 1), ("", 2), ("", 3), BOUNDS)
    state = EntryState(host, EntryEventLog("h", "a", CapturedLog()))
    state.apply_config(config_of(route_of()), b"")
    state.registry.replace(records, 0.0)
    return state


class TestMaySend:
    """A request checks evacuations again at the time it is sent."""

    def test_usable_endpoint_is_allowed(self):
        state = state_of(endpoint("e1"))

        assert state.reason_not_to_send("engine", state.registry.find("e1")) == ""

    def test_zone_evacuated_after_the_choice_is_refused(self):
        state = state_of(endpoint("e1"))
        chosen = state.registry.find("e1")

        state.update_evacuations({"a": True}, 5)

        assert state.reason_not_to_send("engine", chosen) == "zone is evacuated"
        assert state.no_endpoint_reason("engine") == "zones_evacuated"

    def test_endpoint_removed_after_the_choice_is_refused(self):
        state = state_of(endpoint("e1"))
        chosen = state.registry.find("e1")

        state.registry.remove("e1", 50.0)

        assert state.reason_not_to_send("engine", chosen) == "endpoint left"
        assert state.no_endpoint_reason("engine") == "no_endpoint"


class TestZones:
    def test_each_change_is_logged_once(self):
        state = state_of(endpoint("e1"))

        state.replace_evacuations(["a"], 5)
        state.replace_evacuations(["a"], 6)
        state.replace_evacuations([], 7)

        assert len(state.events.writer.of_event("zone_evacuated")) == 1
        assert len(state.events.writer.of_event("zone_returned")) == 1

    @pytest.mark.parametrize("zones", [["a"], ["a", "b"], ["nowhere"]])
    def test_ended_evacuation_restores_all_endpoints(self, zones):
        state = state_of(endpoint("e1"), endpoint("e2", availability_zone="b"))

        state.replace_evacuations(zones, 5)
        state.replace_evacuations([], 6)

        assert len(state.registry.usable("engine", 50.0)) == 2
