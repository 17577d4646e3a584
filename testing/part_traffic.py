"""Sound requests, and requests with a part of the prompt that crashes endpoints."""

import contextlib
import random

import attrs

from beryljunction.fuzz.platform.actors import CrashStyle
from beryljunction.fuzz.platform.world import ENTRIES, PlatformWorld

__all__ = [
    "BAD",
    "STREAMED",
    "BadCallers",
    "PartConditions",
    "PartTraffic",
    "play_conditions",
    "play_total_outages",
]

STREAMED = ("f1", "f2", "f3")
BAD = "bad0"


@attrs.frozen
class BadCallers:
    """How long callers of bad requests wait.

    Attributes:
        leave_share: Share of them that close the connection.
        leaves_in_s: Time until they do.
        limit_s: Deadline of all of them; None for the usual one.
    """

    leave_share: float = 0.0
    leaves_in_s: float = 0.0
    limit_s: float | None = None


class PartTraffic:
    """Sound requests at both entries, and bad ones that share all parts but one with them."""

    def __init__(
        self, world, seed=1, prompt=("common", "SUBJECT", BAD), callers=None, last_share=0.0
    ):
        self.world = world
        self.last_share = last_share
        self.callers = callers or BadCallers()
        self.prompt = prompt
        self.draw = random.Random(seed)
        self.sound = []

    def ask_sound(self):
        parts = tuple(part for part in self.fill(self.prompt) if not part.startswith("bad"))
        caller = self.world.ask(self.draw.choice(ENTRIES), "free", True, "key-a", parts=parts)
        self.sound.append(caller)

    def ask_bad(self):
        parts = self.fill(self.prompt)
        is_last = bool(self.last_share) and self.draw.random() < self.last_share
        if is_last:
            bad = next(part for part in parts if part.startswith("bad"))
            parts = (*(part for part in parts if part != bad), bad)
        caller = self.world.ask(
            self.draw.choice(ENTRIES), "free", True, "key-a", parts=parts, has_own=not is_last
        )
        callers = self.callers
        if callers.limit_s is not None:
            caller.asked.limit_s = callers.limit_s
        if callers.leave_share and self.draw.random() < callers.leave_share:
            self.world.loop.call_later(callers.leaves_in_s, caller.leave)

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

    def mix(self, length_s, bad_every_s, sound_every_s):
        """Send both kinds of requests, each in its own time; return what was broken."""
        begin_s = self.world.loop.world_s
        due_s = {self.ask_bad: 0.0, self.ask_sound: sound_every_s / 2}
        every_s = {self.ask_bad: bad_every_s, self.ask_sound: sound_every_s}
        while min(due_s.values()) < length_s:
            ask = min(due_s, key=due_s.get)
            self.world.advance(max(0.0, begin_s + due_s[ask] - self.world.loop.world_s))
            ask()
            due_s[ask] += every_s[ask] * self.draw.uniform(0.7, 1.3)
        return self.world.finish()

    def refused_sound(self):
        """Return a line for each sound request that was refused as quarantined."""
        refused = [row.asked for row in self.sound if row.asked.body.startswith(b"quarantined")]
        return [f"{row.request_id}: sound, but refused" for row in refused]

    def advance(self, length_s, sound_every=0.1):
        for _ in range(round(length_s / sound_every)):
            self.ask_sound()
            self.world.advance(sound_every)


@attrs.frozen
class PartConditions:
    """Conditions under which requests with a bad part come.

    Attributes:
        bad_every_s: Time between requests with the bad part.
        sound_every_s: Time between other requests.
        restart_s: Time until a crashed endpoint is back.
        keeps_id: Whether it is back under its id.
        registers_in_s: Time from its restart until it writes its record.
        style: How an endpoint ends under a bad request.
        event_gap_s: Time between the events of sound answers.
        silent_s: Time for which the address of a crashed endpoint answers no connection.
        endpoints: Number of endpoints of the service.
        parts: Number of shared parts of a prompt.
        part_chars: Length of their names.
        place: Index of the bad part among them.
        length_s: Time for which bad requests come.
        callers: How long their callers wait.
        last_share: Share of bad requests in which the bad part is the last one.
    """

    bad_every_s: float = 0.4
    sound_every_s: float = 0.1
    restart_s: float = 2.0
    keeps_id: bool = False
    registers_in_s: float = 0.0
    style: CrashStyle = CrashStyle()
    event_gap_s: float = 0.01
    silent_s: float = 0.0
    endpoints: int = 3
    parts: int = 3
    part_chars: int = 8
    place: int = 2
    length_s: float = 30.0
    callers: BadCallers = BadCallers()
    last_share: float = 0.0

    @classmethod
    def drawn(cls, seed):
        """Return random conditions."""
        draw = random.Random(seed)
        parts = draw.choice((1, 2, 3, 5, 20, 40, 60))
        style = CrashStyle(
            begins_in_s=draw.choice((0.005, 0.05, 0.4)),
            sends_head=draw.random() < 0.7,
            events=draw.choice((0, 0, 1, 2, 5)),
            lasts_s=draw.choice((0.0, 0.02, 0.07, 0.2, 0.6)),
            lag_s=draw.choice((0.0, 0.0, 0.0, 0.3)),
            error_every=draw.choice((0, 0, 0, 3)),
        )
        if not style.sends_head:
            style = attrs.evolve(style, events=0)
        return cls(
            bad_every_s=draw.choice((0.02, 0.1, 0.4, 1.0, 3.0)),
            sound_every_s=draw.choice((0.02, 0.1, 0.5)),
            restart_s=draw.choice((0.2, 1.0, 2.0, 5.0)),
            keeps_id=draw.random() < 0.5,
            registers_in_s=draw.choice((0.0, 0.0, 1.0)),
            style=style,
            event_gap_s=draw.choice((0.002, 0.01, 0.1, 0.2)),
            silent_s=draw.choice((0.0, 0.0, 0.5, 5.0)),
            endpoints=draw.choice((1, 2, 3, 3)),
            parts=parts,
            part_chars=draw.choice((8, 32, 100, 200)),
            place=draw.randrange(parts),
        )

    def apply(self, world):
        """Let the endpoints of a world follow these conditions."""
        world.restart_s, world.restart_keeps_id = self.restart_s, self.keeps_id
        world.registers_in_s, world.silent_s = self.registers_in_s, self.silent_s
        world.crash_style, world.event_gap_s = self.style, self.event_gap_s
        for endpoint in world.endpoints.values():
            endpoint.crash_style, endpoint.event_gap_s = self.style, self.event_gap_s
        for name in STREAMED[self.endpoints :]:
            world.vanish(name)

    @property
    def bad_part(self):
        """Name of the part that crashes endpoints."""
        return BAD.ljust(self.part_chars, "x")

    def prompt(self):
        """Return the shared parts of a bad request, of which one differs by subject."""
        names = [f"common{number}".ljust(self.part_chars, "x") for number in range(self.parts)]
        if self.parts > 2:
            names[-1 if self.place < self.parts - 1 else -2] = "SUBJECT"
        names[self.place] = self.bad_part
        return tuple(names)


def play_conditions(conditions, seed=1):
    """Return what was broken, and the number of endpoints that ended."""
    with contextlib.closing(PlatformWorld()) as world:
        conditions.apply(world)
        prompt, share = conditions.prompt(), conditions.last_share
        traffic = PartTraffic(world, seed, prompt, conditions.callers, share)
        traffic.advance(4.0, conditions.sound_every_s)
        world.oracle.bad_parts_s[conditions.bad_part] = world.loop.world_s
        violations = traffic.mix(
            conditions.length_s, conditions.bad_every_s, conditions.sound_every_s
        )
        return violations + traffic.refused_sound(), len(
            world.oracle.crashes_s.get(conditions.bad_part, ())
        )


def play_total_outages(seed):
    """Return the lines of sound requests that are refused while endpoints end by themselves."""
    draw = random.Random(seed)
    conditions = attrs.evolve(PartConditions.drawn(seed), parts=3, place=2)
    names = STREAMED[: conditions.endpoints]
    with contextlib.closing(PlatformWorld()) as world:
        conditions.apply(world)
        traffic = PartTraffic(world, seed, conditions.prompt())
        traffic.advance(4.0, conditions.sound_every_s)
        ends_all = draw.choice((False, True))
        for _ in range(12):
            for name in names if ends_all else [draw.choice(names)]:
                world.endpoints[name].crash("itself")
            traffic.advance(draw.choice((0.3, 1.0, 2.5, 4.0)), conditions.sound_every_s)
        traffic.advance(6.0, conditions.sound_every_s)
        world.finish()
        return traffic.refused_sound()
