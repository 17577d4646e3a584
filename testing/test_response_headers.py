import random

import anyio
import pytest

from beryljunction.fuzz.platform.actors import Behaviour
from beryljunction.fuzz.platform.world import ENTRIES, PlatformWorld, behave
from beryljunction.platform.request_headers import has_leaving_header, parse_retry_after
from beryljunction.routing import EndpointRegistry, StoreReachability, retry_after_s
from entry_harness import open_harness, route
from routing_fakes import endpoint

LEAVING = ("server-leaving: 1",)


def responding(*extra, status="200 OK"):
    """Return the script of an endpoint whose responses have these headers."""

    async def answer_with(answer, writer, number):
        writer.write(answer.whole(status=status, extra=extra))

    return answer_with


class TestLeaving:
    @pytest.mark.parametrize("status", [200, 204, 404, 429, 500, 503])
    def test_header_counts_with_any_status(self, status):
        assert has_leaving_header(status, [(b"server-leaving", b"1")])

    @pytest.mark.parametrize("value", [b"", b"0", b"no", b"-1", b"11", b"\xff"])
    def test_other_values_are_ignored(self, value):
        assert not has_leaving_header(200, [(b"server-leaving", value)])

    def test_misdirected_response_is_ignored(self):
        assert not has_leaving_header(421, [(b"server-leaving", b"1")])

    def test_it_is_logged_once_and_not_forwarded_to_callers(self):
        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1", script=responding(*LEAVING))
                await harness.wait_for_endpoints(1)
                answers = [
                    await harness.send_request(request_id="q1"),
                    await harness.send_request(request_id="q2"),
                ]
                return answers, harness.lines.of_event("endpoint_leaving")

        answers, lines = anyio.run(run)

        assert answers[0][0] == 200
        assert all("server-leaving" not in head for _, head, _, _ in answers)
        assert len(lines) == 1
        assert "endpoint=e1" in lines[0]
        assert "request_id=q1" in lines[0]


class TestPause:
    @pytest.mark.parametrize(
        ("value", "pause_s"), [(b"3", 3.0), (b"0.25", 0.25), (b" 2 ", 2.0), (b"1e9", 3_600.0)]
    )
    def test_retry_after_of_a_rejection_sets_it(self, value, pause_s):
        assert parse_retry_after(503, [(b"retry-after", value)]) == pause_s

    @pytest.mark.parametrize(
        "value", [b"", b"0", b"-1", b"nan", b"soon", b"Wed, 21 Oct 2026 07:28:00 GMT", b"\xff"]
    )
    def test_other_values_set_none(self, value):
        assert parse_retry_after(503, [(b"retry-after", value)]) == 0.0

    @pytest.mark.parametrize("status", [200, 421, 429, 500])
    def test_other_statuses_set_none(self, status):
        assert parse_retry_after(status, [(b"retry-after", b"3")]) == 0.0

    def test_endpoint_gets_no_requests_until_it_ends(self):
        """Guards against sending requests that an endpoint has asked this host not to send."""
        registry = EndpointRegistry()
        registry.replace([endpoint("e1"), endpoint("e2")], 0.0)
        registry.find("e1").note_pause(3.0, 0.0)
        registry.find("e1").note_pause(1.0, 0.5)

        def usable(now_s):
            return [row.record.endpoint_id for row in registry.usable("engine", now_s)]

        assert usable(2.9) == ["e2"]
        assert usable(3.0) == ["e1", "e2"]

    def test_rewritten_record_does_not_end_it(self):
        registry = EndpointRegistry()
        registry.put(endpoint("e1"), 0.0)
        registry.find("e1").note_pause(3.0, 0.0)
        registry.remove("e1", 0.5)
        registry.put(endpoint("e1", started_ms=2), 1.0)

        assert registry.usable("engine", 2.0) == []

    def test_callers_are_served_elsewhere_or_told_when_it_ends(self):
        """Guards against a Retry-After that lets callers retry during the pause."""
        paused = responding("x-not-executed: 1", "retry-after: 1", status="503 Busy")

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1", script=paused)
                await harness.wait_for_endpoints(1)
                await harness.send_request(request_id="q1")
                refused = await harness.send_request(
                    request_id="q2", headers=("X-Deadline-Ms: 9000",)
                )
                await harness.add_endpoint("e2")
                await harness.wait_for_endpoints(2)
                served = await harness.send_request(request_id="q3")
                return refused, served, len(harness.endpoints["e1"].requests), harness.lines

        refused, served, requests, lines = anyio.run(run)

        assert (refused[0], refused[2]) == (503, b"endpoints_paused\n")
        assert served[0] == 200
        assert requests == 1
        assert "pause_s=1.0" in lines.of_event("endpoint_paused")[0]

    @pytest.mark.parametrize("available_in_s", [0.0, 2.0])
    def test_retry_after_of_a_refused_caller_ends_when_an_endpoint_opens(self, available_in_s):
        pause_s = retry_after_s([], 30.0, random.Random(1), 0.0, available_in_s)

        assert available_in_s <= pause_s <= max(available_in_s, 0.25) + 0.5

    def test_pausing_endpoint_gets_only_requests_already_in_flight(self):
        world = PlatformWorld()
        try:
            world.advance(3.0)
            behave(world, "o1", Behaviour.PAUSE)
            for number in range(40):
                world.ask(ENTRIES[number % 2], "once", False, "key-a")
                world.advance(0.2)

            assert world.finish() == []
            assert len(world.oracle.pauses) >= 2
        finally:
            world.close()


class TestOutage:
    """An endpoint leaves while the store is unreachable, and says so in its responses."""

    def play(self, name, lapses):
        world = PlatformWorld()
        try:
            world.advance(3.0)
            world.leave_in_an_outage(name, ENTRIES[0], lapses)
            return world.finish()
        finally:
            world.close()

    def test_it_gets_no_more_requests(self):
        """Guards against relying on the store, which is unreachable, to learn that it leaves."""
        assert self.play("o1", lapses=False) == []

    @pytest.mark.parametrize("name", ["o2", "f1"])
    def test_rewritten_record_does_not_cancel_the_leaving(self, name):
        """Guards against losing the leaving state when the endpoint's record expires."""
        assert self.play(name, lapses=True) == []

    def test_its_callers_are_served_elsewhere(self):
        world = PlatformWorld()
        try:
            world.advance(3.0)
            world.leave_in_an_outage("o1", ENTRIES[0], lapses=False)
            world.finish()
            served = [caller.asked.status for caller in world.callers]
        finally:
            world.close()

        assert set(served) == {200}


class TestRegistry:
    """State from an endpoint's responses takes precedence over its records."""

    def registry(self):
        registry = EndpointRegistry()
        registry.replace([endpoint("e1"), endpoint("e2")], 0.0)
        registry.find("e1").leaving_s = 0.5
        return registry

    def usable(self, registry):
        return [row.record.endpoint_id for row in registry.usable("engine", 1.0)]

    def test_leaving_endpoint_gets_no_requests(self):
        registry = self.registry()

        assert self.usable(registry) == ["e2"]
        assert not registry.is_usable(registry.find("e1"))

    def test_ready_record_changes_nothing(self):
        registry = self.registry()
        registry.put(endpoint("e1", sequence=2), 1.0)
        registry.replace([endpoint("e1", sequence=3), endpoint("e2")], 1.0)

        assert self.usable(registry) == ["e2"]

    def test_leaving_endpoint_is_not_kept_without_a_record(self):
        """Guards against sending requests to a departed endpoint for two more seconds."""
        reachability = StoreReachability()
        reachability.recovered_s = 0.5
        registry = EndpointRegistry(reachability)
        registry.replace([endpoint("e1"), endpoint("e2")], 0.0)
        registry.find("e1").leaving_s = 0.5
        registry.remove("e1", 1.0)
        registry.remove("e2", 1.0)

        assert registry.find("e1") is None
        assert registry.find("e2") is not None

    @pytest.mark.parametrize("port", [9000, 9001], ids=["same-address", "other-address"])
    def test_rewritten_record_of_the_same_start_is_still_leaving(self, port):
        registry = self.registry()
        registry.remove("e1", 1.0)
        registry.put(endpoint("e1", port=port), 2.0)

        assert self.usable(registry) == ["e2"]

    def test_later_start_is_not_leaving(self):
        registry = self.registry()
        registry.put(endpoint("e1", started_ms=501), 1.0)

        assert self.usable(registry) == ["e2", "e1"]

    def test_leaving_applies_to_a_start_whose_record_is_read_late(self):
        """Guards against attributing a response of a new start to the previous start."""
        registry = self.registry()
        registry.put(endpoint("e1", started_ms=499), 1.0)

        assert self.usable(registry) == ["e2"]

    def test_rewritten_record_of_the_same_start_keeps_its_state(self):
        """Guards against resetting the limit of a cold endpoint when its record is rewritten."""
        registry = self.registry()
        row = registry.find("e2")
        row.cold_sends_s.append(0.9)
        row.in_flight = 3
        registry.remove("e2", 1.0)
        registry.put(endpoint("e2"), 1.1)

        assert registry.find("e2") is row
        assert list(row.cold_sends_s) == [0.9]
        assert row.in_flight == 3
        assert row.serving_since_s == 1.1

    def test_number_of_remembered_departed_endpoints_is_bounded(self):
        registry = EndpointRegistry()
        for number in range(3_000):
            registry.put(endpoint(f"e{number}"), 0.0)
            registry.remove(f"e{number}", 0.0)

        assert len(registry._departed) == 1_024
