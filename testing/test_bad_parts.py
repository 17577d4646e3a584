import contextlib
import random

import pytest

from beryljunction.fuzz.platform.stores import StoreFault
from beryljunction.fuzz.platform.world import ENTRIES, PlatformWorld

STREAMED = ("f1", "f2", "f3")
BAD = "bad0"


class PartTraffic:
    """Sound requests at both entries, and bad ones that share all parts but one with them."""

    def __init__(self, world, seed=1, prompt=("common", "SUBJECT", BAD)):
        self.world = world
        self.prompt = prompt
        self.draw = random.Random(seed)
        self.sound = []

    def ask_sound(self):
        parts = tuple(part for part in self.fill(self.prompt) if not part.startswith("bad"))
        caller = self.world.ask(self.draw.choice(ENTRIES), "free", True, "key-a", parts=parts)
        self.sound.append(caller)

    def ask_bad(self):
        parts = self.fill(self.prompt)
        self.world.ask(self.draw.choice(ENTRIES), "free", True, "key-a", parts=parts)

    def fill(self, prompt):
        subject = f"subject{self.draw.randrange(4)}"
        return tuple(subject if part == "SUBJECT" else part for part in prompt)

    def play(self, length_s, bad_every=0.4, sound_every=0.1):
        self.advance(4.0, sound_every)
        steps = round(length_s / sound_every)
        for step in range(steps):
            if step % round(bad_every / sound_every) == 0:
                self.ask_bad()
            self.ask_sound()
            self.world.advance(sound_every)
        return self.world.finish()

    def advance(self, length_s, sound_every=0.1):
        for _ in range(round(length_s / sound_every)):
            self.ask_sound()
            self.world.advance(sound_every)


@contextlib.contextmanager
def world_with_bad_part(*parts):
    with contextlib.closing(PlatformWorld()) as world:
        for part in parts or (BAD,):
            world.oracle.bad_parts_s[part] = 0.0
        yield world


class TestBadPart:
    """One part of a prompt crashes each endpoint that answers it, in requests that all differ."""

    def test_it_stops_reaching_endpoints_and_sound_requests_are_served(self):
        """Guards against endpoints that end one after the other under different requests."""
        with world_with_bad_part() as world:
            traffic = PartTraffic(world)

            assert traffic.play(25.0) == []

    @pytest.mark.parametrize(
        "prompt",
        [(BAD, "common", "SUBJECT"), ("common", BAD, "SUBJECT"), (BAD,), ("common", BAD)],
        ids=["first", "middle", "alone", "beside-common"],
    )
    def test_any_place_in_the_prompt(self, prompt):
        with world_with_bad_part() as world:
            assert PartTraffic(world, prompt=prompt).play(25.0) == []

    def test_two_bad_parts_at_once(self):
        with world_with_bad_part("bad0", "bad1") as world:
            other = PartTraffic(world, seed=2, prompt=("common", "SUBJECT", "bad1"))
            traffic = PartTraffic(world)
            traffic.advance(4.0)
            for step in range(250):
                if step % 4 == 0:
                    (traffic if step % 8 else other).ask_bad()
                traffic.ask_sound()
                world.advance(0.1)

            assert world.finish() == []

    def test_part_that_was_served_before(self):
        """Guards against trusting a part for what was served before it began to crash."""
        with contextlib.closing(PlatformWorld()) as world:
            traffic = PartTraffic(world)
            for _ in range(20):
                traffic.ask_bad()
                traffic.advance(0.4)
            world.oracle.bad_parts_s[BAD] = world.loop.world_s

            assert traffic.play(25.0) == []

    @pytest.mark.parametrize("crash_head", [False, True], ids=["reset", "closed-without-length"])
    def test_crash_counts_however_its_answer_ended(self, crash_head):
        with world_with_bad_part() as world:
            for endpoint in world.endpoints.values():
                endpoint.crash_head = crash_head

            assert PartTraffic(world).play(25.0) == []

    def test_entries_that_see_few_crashes_each_detect_it(self):
        """Guards against each entry counting only the crashes that it has seen itself."""
        with world_with_bad_part() as world:
            traffic = PartTraffic(world)
            traffic.advance(4.0)
            for _ in range(12):
                traffic.ask_bad()
                traffic.advance(3.0)

            assert world.finish() == []
            assert len(world.oracle.crashes_s[BAD]) <= 5

    @pytest.mark.parametrize("fault", [StoreFault.SILENT, StoreFault.BUSY])
    def test_store_is_not_needed(self, fault):
        with world_with_bad_part() as world:
            traffic = PartTraffic(world)
            traffic.advance(4.0)
            for name in ENTRIES:
                world.store_fault(name, fault, is_alone=False)
            traffic.play(2.5)

            assert len(world.oracle.crashes_s[BAD]) <= 7

    def test_sound_requests_are_never_refused_as_quarantined(self):
        """Guards against blocking what bad requests share with sound ones."""
        with world_with_bad_part() as world:
            traffic = PartTraffic(world)
            traffic.play(25.0)

            assert not [row for row in traffic.sound if row.asked.body.startswith(b"quarantined")]

    def test_crashes_without_a_bad_part_block_nothing(self):
        """Guards against blaming requests for endpoints that crash by themselves."""
        with contextlib.closing(PlatformWorld()) as world:
            traffic = PartTraffic(world)
            traffic.advance(2.0)
            for _ in range(12):
                world.endpoints[traffic.draw.choice(STREAMED)].crash("itself")
                traffic.advance(traffic.draw.choice((0.1, 0.3, 2.5)))
            for name in STREAMED:
                world.endpoints[name].crash("itself")
            traffic.advance(6.0)

            assert world.finish() == []
            refused = [row for row in traffic.sound if row.asked.body.startswith(b"quarantined")]
            assert refused == []
