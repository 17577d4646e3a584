import contextlib
import random

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
