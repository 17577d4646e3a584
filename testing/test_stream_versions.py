import contextlib
import random

import pytest

from beryljunction.fuzz.platform.actors import Behaviour
from beryljunction.fuzz.platform.stores import StoreFault
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


class ReleaseHistory:
    """Random releases, crashes and faults of entries, while callers resume what breaks off."""

    VERSIONS = ("v1", "v1", "v2", "v3", None)

    def __init__(self, world, seed):
        self.world = world
        self.draw = random.Random(seed)
        self.resumed = set()

    def play(self, steps=24):
        actions = (
            self.release,
            self.release,
            self.crash,
            self.cut,
            self.cut,
            self.store_fault,
            self.kill_entry,
            self.heal,
        )
        for _ in range(steps):
            self.ask()
            self.draw.choice(actions)()
            self.advance(self.draw.choice((0.02, 0.1, 0.5, 2.0)))
            self.resume()
            self.advance(0.2)

    def advance(self, duration_s):
        self.world.advance(duration_s)

    def ask(self):
        for _ in range(self.draw.choice((2, 6))):
            self.world.ask(self.draw.choice(ENTRIES), "free", True, "key-a")
        self.advance(self.draw.choice((0.035, 0.06, 0.1)))

    def resume(self):
        for caller in list(self.world.callers):
            if caller not in self.resumed and self.world.resume(caller, self.draw.choice(ENTRIES)):
                self.resumed.add(caller)

    def release(self):
        """Replace an endpoint, at times under its id, with a record that is late."""
        self.world.release(
            self.draw.choice(STREAMED),
            self.draw.choice(self.VERSIONS),
            keeps_id=self.draw.random() < 0.4,
            registers_in_s=self.draw.choice((0.0, 0.0, 0.02)),
        )

    def crash(self):
        self.world.endpoints[self.draw.choice(STREAMED)].crash("release")

    def cut(self):
        for name in self.draw.sample(STREAMED, 2):
            behave(self.world, name, self.draw.choice((Behaviour.CUT, Behaviour.CUT_IN_EVENT)))
        self.ask()
        self.advance(0.3)
        for name in STREAMED:
            behave(self.world, name, Behaviour.WHOLE)

    def store_fault(self):
        fault = self.draw.choice((StoreFault.BUSY, StoreFault.SILENT, StoreFault.LATE))
        self.world.store_fault(self.draw.choice(ENTRIES), fault, self.draw.random() < 0.5)

    def kill_entry(self):
        self.world.kill_entry(self.draw.choice(ENTRIES))

    def heal(self):
        for name in ENTRIES:
            self.world.store_fault(name, StoreFault.NONE)


def play_releases(seed):
    with contextlib.closing(PlatformWorld()) as world:
        history = ReleaseHistory(world, seed)
        history.play()
        return world.finish(), len(history.resumed)


class TestReleases:
    @pytest.mark.parametrize("seed", range(1, 13))
    def test_streams_go_on_at_their_version_only_and_go_on_where_they_can(self, seed):
        """Guards against versions mixed at another entry, in an outage or after a restart."""
        violations, resumed = play_releases(seed)

        assert violations == []
        assert resumed > 0
