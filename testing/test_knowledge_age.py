"""Settings, endpoints and addresses each reach all healthy entries within their own age limit."""

import random
import re

import anyio
import pytest

from beryljunction.platform import DeploymentBounds
from entry_harness import open_harness, route
from fanout_world import CountingStore, FleetWorld, StoreFault

# By then, every wait that began before an entry knew the others has ended.
STARTED_S = 14.0
# The drain times of deployments of three sizes.
BOUNDS = [
    DeploymentBounds(drain_ms=2_000),
    DeploymentBounds(drain_ms=3_000),
    DeploymentBounds(drain_ms=4_000),
]
SHORT = BOUNDS[0]
ENDPOINTS = "keyed.servers"


def is_leaving(state):
    return state.registry.find("e3").record.is_draining


def phases(count):
    """Return offsets within the interval between two reads at which the faults begin."""
    rng = random.Random(2)
    return [rng.random() * 2.0 for _ in range(count)]


class TestSteadyState:
    @pytest.mark.parametrize("bounds", BOUNDS)
    @pytest.mark.parametrize("entries", [4, 22, 350])
    def test_no_entry_falls_back_to_reading(self, entries, bounds):
        """Guards against confirmations that arrive after an entry has begun to read the store."""
        with FleetWorld(entries, bounds=bounds) as world:
            world.advance(STARTED_S)
            names = world.hosts_by_rank()
            before = {name: world.members[name].store.calls for name in names}
            world.advance(9.0)
            calls = [world.members[name].store.calls - before[name] for name in names]

            # Each reader after the first has one long poll of ten seconds.
            assert max(calls[1:4]) <= 1
            assert sum(calls[4:]) == 0
            assert calls[0] > 0


class TestLeavingEndpoint:
    def test_settings_changes_do_not_confirm_endpoint_records(self):
        """Guards against requests to an endpoint that leaves while settings constantly change."""
        for entries, phase_s in zip((4, 5, 22, 22), phases(4), strict=True):
            with FleetWorld(entries, bounds=SHORT) as world:
                world.advance(STARTED_S + phase_s)
                first, *sound = world.hosts_by_rank()
                world.fault(StoreFault.SILENT, [first])
                write_settings_repeatedly(world, 3.0)
                world.endpoint("e3", "draining")

                assert known_after_under_changes(world, sound) <= SHORT.drain_ms / 1000

    @pytest.mark.parametrize("entries", [4, 5, 22])
    def test_hanging_read_of_the_first_reader_delays_no_entry(self, entries):
        """Guards against entries that confirm records which they have not read."""
        for hung_s, phase_s in zip((0.2, 0.6, 1.0, 2.2), phases(4), strict=True):
            with FleetWorld(entries, bounds=SHORT) as world:
                world.advance(STARTED_S + phase_s)
                names = list(world.hosts_by_rank())
                world.members[names[0]].store.hanging.add(ENDPOINTS)
                world.advance(hung_s)
                world.endpoint("e3", "draining")

                assert world.known_after(is_leaving, names) <= SHORT.drain_ms / 1000

    @pytest.mark.parametrize("entries", [5, 22, 68])
    @pytest.mark.parametrize("lost", [1, 2, 3])
    def test_lost_readers_are_replaced_in_time(self, entries, lost):
        """Guards against fallback delays that are derived from another topic's age limit."""
        for seed, phase_s in enumerate(phases(4)):
            with FleetWorld(entries, seed=seed, bounds=SHORT) as world:
                world.advance(STARTED_S + phase_s)
                names = list(world.hosts_by_rank())
                world.cut_off(names[:lost])
                world.endpoint("e3", "draining")

                assert world.known_after(is_leaving, names[lost:]) <= SHORT.drain_ms / 1000

    @pytest.mark.parametrize("bounds", BOUNDS)
    def test_loss_of_all_readers_is_compensated_in_time(self, bounds):
        for seed, phase_s in enumerate(phases(4)):
            with FleetWorld(22, seed=seed, bounds=bounds) as world:
                world.advance(STARTED_S + phase_s)
                names = list(world.hosts_by_rank())
                world.cut_off(names[:4])
                world.endpoint("e3", "draining")

                assert world.known_after(is_leaving, names[4:]) <= bounds.drain_ms / 1000

    def test_single_entry_reads_again_after_a_hanging_read(self):
        """Guards against a pause after one lost answer that lasts until another topic is read."""
        for phase_s in phases(12):
            with FleetWorld(1, bounds=SHORT) as world:
                world.advance(STARTED_S)
                names = world.hosts_by_rank()
                world.members[names[0]].store.hanging.add(ENDPOINTS)
                world.advance(phase_s, step_s=0.01)
                world.endpoint("e3", "draining")

                assert world.known_after(is_leaving, names) <= SHORT.drain_ms / 1000

    def test_response_that_has_begun_is_not_cancelled(self, monkeypatch):
        """Guards against repeatedly cancelling a read of many records on a slow link."""
        read, body_s = CountingStore.read, 2.0
        receiving = set()

        async def read_slowly(store, topic, offset, wait_ms):
            answer = await read(store, topic, offset, wait_ms)
            if topic.name == ENDPOINTS and answer.records:
                receiving.add(topic)
                await anyio.sleep(body_s)
                receiving.discard(topic)
            return answer

        monkeypatch.setattr(CountingStore, "read", read_slowly)
        monkeypatch.setattr(CountingStore, "is_receiving", lambda _, topic: topic in receiving)
        with FleetWorld(1, bounds=SHORT) as world:
            world.advance(STARTED_S)
            events = world.members["front-0"].state.events
            world.endpoint("e3", "draining")

            assert world.known_after(is_leaving, ["front-0"]) < body_s + 0.1
            assert events_of(events, "store_lost") == 0


class TestLog:
    def test_sent_event_has_the_age_and_source_of_the_endpoints(self):
        """An on-call engineer has to see why a host sent a request to an endpoint that left."""

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                await harness.send_request()
                (line,) = harness.lines.of_event("sent")
            return dict(part.partition("=")[::2] for part in line.split())

        sent = anyio.run(run)

        assert 0.0 <= float(sent["endpoints_age_s"]) < SHORT.drain_ms / 1000
        assert sent["endpoints_by"] == "store"

    def test_fallback_to_reading_is_logged_once(self):
        with FleetWorld(4, bounds=SHORT) as world:
            world.advance(STARTED_S)
            first, second, *_ = world.hosts_by_rank()
            events = world.members[second].state.events
            world.cut_off([first])
            before = events_of(events, "stands_in")
            world.advance(6.0)

            # One line for settings and one for endpoints; later reads are not logged.
            assert events_of(events, "stands_in") - before == 2


def events_of(events, name):
    """Return the number of events of a name."""
    text = events.metrics.render().decode()
    found = re.search(rf'beryl_events_total{{event="{name}"}} (\S+)', text)
    return float(found[1]) if found else 0.0


class TestSettings:
    @pytest.mark.parametrize("lost", [2, 3, 4])
    @pytest.mark.parametrize("entries", [5, 22])
    def test_take_effect_in_time_while_readers_are_lost(self, entries, lost):
        """Guards against entries downstream of lost readers that use old settings for too long."""
        for seed, phase_s in enumerate(phases(12)):
            with FleetWorld(entries, seed=seed, bounds=SHORT) as world:
                world.advance(STARTED_S + phase_s)
                names = list(world.hosts_by_rank())
                world.cut_off(names[:lost])
                world.configure()
                version = world.version

                known_s = world.known_after(
                    lambda state, version=version: state.config.version == version, names[lost:]
                )
                assert known_s <= 2.0


def write_settings_repeatedly(world, duration_s, gap_s=0.4):
    """Write new settings at a constant interval."""
    ends_s = world.loop.now_s + duration_s
    while world.loop.now_s < ends_s:
        world.configure()
        world.advance(gap_s)


def known_after_under_changes(world, names):
    """Return the seconds until these entries know that e3 leaves, while settings keep changing."""
    begun_s = world.loop.now_s
    while world.loop.now_s - begun_s < 8.0:
        world.configure()
        if world.known_after(is_leaving, names, most_s=0.4) < 0.4:
            break
    return world.loop.now_s - begun_s
