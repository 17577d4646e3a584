import anyio
import pytest

from beryljunction.fuzz.platform.world import ENTRIES, PlatformWorld
from beryljunction.platform.requests import is_leaving
from beryljunction.routing import EndpointRegistry, StoreContact
from platform_world import open_world, route
from routing_fakes import endpoint

LEAVING = ("server-leaving: 1",)


def saying(*extra, status="200 OK"):
    """Return the script of an endpoint whose answers have these headers."""

    async def answer_with(answer, writer, number):
        writer.write(answer.whole(status=status, extra=extra))

    return answer_with


class TestLeaving:
    @pytest.mark.parametrize("status", [200, 204, 404, 429, 500, 503])
    def test_any_answer_may_say_so(self, status):
        assert is_leaving(status, [(b"server-leaving", b"1")])

    @pytest.mark.parametrize("value", [b"", b"0", b"no", b"-1", b"11", b"\xff"])
    def test_other_values_say_nothing(self, value):
        assert not is_leaving(200, [(b"server-leaving", value)])

    def test_another_endpoint_at_the_address_says_nothing_of_the_one_asked(self):
        assert not is_leaving(421, [(b"server-leaving", b"1")])

    def test_it_is_logged_once_and_kept_from_callers(self):
        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1", script=saying(*LEAVING))
                await world.known(1)
                answers = [await world.ask(request_id="q1"), await world.ask(request_id="q2")]
                return answers, world.lines.of("endpoint_leaving")

        answers, lines = anyio.run(run)

        assert answers[0][0] == 200
        assert all("server-leaving" not in head for _, head, _, _ in answers)
        assert len(lines) == 1
        assert "endpoint=e1" in lines[0]
        assert "request_id=q1" in lines[0]


class TestOutage:
    """An endpoint leaves while the store is out of reach, and says so in its answers."""

    def play(self, name, lapses):
        world = PlatformWorld()
        try:
            world.advance(3.0)
            world.leave_in_an_outage(name, ENTRIES[0], lapses)
            return world.finish()
        finally:
            world.close()

    def test_it_gets_no_more_requests(self):
        """Guards against an endpoint that is left to the store, which is away."""
        assert self.play("o1", lapses=False) == []

    @pytest.mark.parametrize("name", ["o2", "f1"])
    def test_record_that_comes_back_does_not_take_its_word_back(self, name):
        """Guards against what an answer told being lost with the row of a record that lapsed."""
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
    """What an endpoint has said of itself, against what records say of it."""

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

    def test_record_that_says_ready_changes_nothing(self):
        registry = self.registry()
        registry.put(endpoint("e1", sequence=2), 1.0)
        registry.replace([endpoint("e1", sequence=3), endpoint("e2")], 1.0)

        assert self.usable(registry) == ["e2"]

    def test_record_that_goes_in_an_outage_has_not_lapsed(self):
        """Guards against a departed endpoint that gets requests for two seconds more."""
        contact = StoreContact()
        contact.regained_s = 0.5
        registry = EndpointRegistry(contact)
        registry.replace([endpoint("e1"), endpoint("e2")], 0.0)
        registry.find("e1").leaving_s = 0.5
        registry.remove("e1", 1.0)
        registry.remove("e2", 1.0)

        assert registry.find("e1") is None
        assert registry.find("e2") is not None

    @pytest.mark.parametrize("port", [9000, 9001], ids=["same-address", "other-address"])
    def test_same_start_that_comes_back_still_leaves(self, port):
        registry = self.registry()
        registry.remove("e1", 1.0)
        registry.put(endpoint("e1", port=port), 2.0)

        assert self.usable(registry) == ["e2"]

    def test_start_that_is_born_later_is_not_bound_by_it(self):
        registry = self.registry()
        registry.put(endpoint("e1", born_ms=501), 1.0)

        assert self.usable(registry) == ["e2", "e1"]

    def test_start_whose_record_is_read_late_is_bound_by_its_answers(self):
        """Guards against an answer of a new start that is taken for one of the start before."""
        registry = self.registry()
        registry.put(endpoint("e1", born_ms=499), 1.0)

        assert self.usable(registry) == ["e2"]

    def test_same_start_that_comes_back_is_known(self):
        """Guards against a limit on a cold endpoint that is counted anew with its record."""
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

    def test_memory_of_departed_endpoints_is_bounded(self):
        registry = EndpointRegistry()
        for number in range(3_000):
            registry.put(endpoint(f"e{number}"), 0.0)
            registry.remove(f"e{number}", 0.0)

        assert len(registry._departed) == 1_024
