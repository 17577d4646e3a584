import contextlib

from beryljunction.fuzz.platform.actors import Behaviour
from beryljunction.fuzz.platform.world import ENTRIES, PlatformWorld, behave

STREAMED = ("f1", "f2", "f3")


@contextlib.contextmanager
def two_versions():
    """World in which one endpoint of the streamed service has version v1 and two have v2."""
    world = PlatformWorld()
    try:
        world.release("f2", "v2")
        world.release("f3", "v2")
        world.advance(4.0)
        yield world
    finally:
        world.close()


def ask_streams(world, count, entry=ENTRIES[0]):
    callers = [world.ask(entry, "free", True, "key-a") for _ in range(count)]
    world.advance(1.0)
    return callers


class TestBrokenStream:
    """An endpoint breaks a stream off, and endpoints of another version are left."""

    def test_goes_on_only_at_its_version_within_one_answer(self):
        """Guards against an answer with events of two versions."""
        with two_versions() as world:
            behave(world, "f1", Behaviour.CUT)
            for _ in range(4):
                ask_streams(world, 6)

            assert world.finish() == []

    def test_goes_on_at_its_version_while_that_is_served(self):
        """Guards against breaking off a stream that another endpoint can continue."""
        with two_versions() as world:
            behave(world, "f2", Behaviour.CUT)
            callers = [caller for _ in range(4) for caller in ask_streams(world, 6)]

            assert world.finish() == []
            continued = [row for row in callers if row.asked.versions == {b"v2"}]
            assert len(continued) >= 12
            assert all(row.asked.is_whole for row in continued)

    def test_is_broken_off_at_once_where_its_version_is_gone(self):
        """Guards against keeping a caller waiting for an endpoint that will not come."""
        with two_versions() as world:
            behave(world, "f1", Behaviour.CUT)
            callers = [caller for _ in range(4) for caller in ask_streams(world, 6)]
            world.finish()

            broken = [row.asked for row in callers if row.asked.versions == {b"v1"}]
            assert broken
            assert all(not row.is_whole and row.ended_s - row.sent_s < 0.2 for row in broken)

    def test_goes_on_only_at_its_version_when_its_caller_comes_back(self):
        """Guards against a resumed stream with events of two versions."""
        with two_versions() as world:
            for name in STREAMED:
                behave(world, name, Behaviour.CUT_IN_EVENT)
            callers = ask_streams(world, 12)
            for name in STREAMED:
                behave(world, name, Behaviour.WHOLE)
            for number, caller in enumerate(callers):
                world.resume(caller, ENTRIES[number % len(ENTRIES)])
                world.advance(0.1)

            assert world.finish() == []


class TestResumedStream:
    def test_does_not_repeat_an_event_that_its_caller_has(self):
        """Guards against an endpoint that sends the last known event once more."""
        with contextlib.closing(PlatformWorld()) as world:
            for name in STREAMED:
                behave(world, name, Behaviour.CUT_IN_EVENT)
            (caller,) = ask_streams(world, 1)
            for name in STREAMED:
                behave(world, name, Behaviour.WHOLE)
            again = world.resume(caller, ENTRIES[1])

            assert world.finish() == []
            assert again.asked.pieces == [3, 4, 5]
