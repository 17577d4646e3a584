import anyio
import pytest

from beryljunction.fuzz.platform.world import ENTRIES, PlatformWorld
from beryljunction.platform.requests import is_leaving
from platform_world import open_world, route

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
