"""A part of prompts that ends endpoints, callers that leave early, and entries that restart."""

import asyncio
import json
import signal
import time

import attrs

from soak.faults import Fault, Stop
from soak.fleet import Start
from soak.standins import CRASH_STATUS, put_record
from soak.wire import call

__all__ = ["DEADLY_PART", "SHARES", "DeadlyPart", "Prompt", "Prompts", "draw_deadly_parts"]

DEADLY_PART = "deadly"
SHARES = {"notes": 0.25, "reads": 0.25}
_NEVER_S = float("inf")
_SUBJECTS = 4
# Time after which the platform removes the record of an endpoint that has ended.
_RECORD_TTL_S = 3.6
_POLL_S = 0.02


@attrs.frozen
class Prompt:
    """The parts of a prompt, and how long its caller waits.

    Attributes:
        leaves_in_s: Time until the caller closes its connection.
        deadline_s: How long the caller says that it waits.
    """

    parts: tuple
    leaves_in_s: float = _NEVER_S
    deadline_s: float = _NEVER_S


@attrs.frozen
class Prompts:
    """Draws prompts, some of which have the deadly part.

    Attributes:
        share: Of the prompts with that part.
        leave_share: Of their callers that leave.
        leaves_in_s: Time until they do.
        deadline_s: How long their callers say that they wait.
    """

    share: float
    leave_share: float = 0.0
    leaves_in_s: float = _NEVER_S
    deadline_s: float = _NEVER_S

    def draw(self, draw, request_id):
        """Return the prompt of a request; all but the deadly part are those of sound ones."""
        common = ("common", f"subject-{draw.randrange(_SUBJECTS)}")
        if draw.random() >= self.share:
            return Prompt((*common, request_id))
        leaves_in_s = self.leaves_in_s if draw.random() < self.leave_share else _NEVER_S
        return Prompt((*common, DEADLY_PART, request_id), leaves_in_s, self.deadline_s)


@attrs.frozen
class DeadlyPart(Fault):
    """A part of prompts ends endpoints from now on; each is replaced after a while.

    Attributes:
        behaviour: How endpoints end under it.
        prompts: What callers send.
        restart_s: Time until the next endpoint is there.
        same_address: Whether it has the address of the one before.
        length_s: Time for which callers send it.
    """

    behaviour: dict
    prompts: Prompts
    restart_s: float
    same_address: bool
    length_s: float

    async def play(self, fleet):
        fleet.evidence.deadly_part = DEADLY_PART
        fleet.misbehaviour = {**fleet.misbehaviour, **self.behaviour}
        await asyncio.gather(*[self.instruct(fleet, row) for row in fleet.endpoints])
        fleet.traffic.prompts = self.prompts
        ends_s = time.monotonic() + self.length_s
        while time.monotonic() < ends_s:
            for endpoint in fleet.endpoints:
                if not endpoint.is_leaving and endpoint.process.poll() == CRASH_STATUS:
                    endpoint.note_leaving()
                    fleet.spawn(self.replace(fleet, endpoint))
            await asyncio.sleep(_POLL_S)
        fleet.traffic.prompts = attrs.evolve(self.prompts, share=0.0)

    @staticmethod
    async def instruct(fleet, endpoint):
        """Let an endpoint know the part, also one that has just started."""
        values = json.dumps(fleet.misbehaviour).encode()
        while endpoint.process.poll() is None:
            if await call(endpoint.address, "/soak/behave", values) is not None:
                return
            await asyncio.sleep(_POLL_S)

    async def replace(self, fleet, endpoint):
        """Start the next endpoint, and remove the record of the one that has ended."""
        fleet.note(f"{endpoint.name} ended under the deadly part")
        await asyncio.sleep(self.restart_s)
        fleet.add_endpoint(endpoint.service, endpoint.address if self.same_address else None)
        await asyncio.sleep(max(0.0, _RECORD_TTL_S - self.restart_s))
        while await put_record(fleet.store, "keyed.servers", endpoint.name, None) is None:
            await asyncio.sleep(0.2)


def _draw_part(draw, seconds):
    in_s = draw.choice((0.0, 0.05, 0.3, 0.6, 1.5, 2.5))
    behaviour = {"deadly_part": DEADLY_PART, "deadly_in_s": in_s}
    behaviour |= {"is_doomed": draw.random() < 0.7, "withholds_events": draw.random() < 0.6}
    leaves_in_s = max(0.02, in_s * draw.choice((0.3, 0.7)))
    prompts = Prompts(
        share=draw.choice((0.03, 0.1, 0.3)),
        leave_share=draw.choice((0.0, 0.5, 1.0)),
        leaves_in_s=leaves_in_s,
        deadline_s=draw.choice((_NEVER_S, _NEVER_S, max(0.1, in_s * 0.8))),
    )
    restart_s, same_address = draw.choice((0.2, 1.0, 2.0)), draw.random() < 0.5
    return DeadlyPart(2.0, behaviour, prompts, restart_s, same_address, seconds - 4.0)


def _draw_kills(draw, seconds, size):
    """Kill entries again and again: none, a few at a time, or all of them."""
    if draw.random() < 0.4:
        return []
    start, faults, at_s = Start(delay_s=0.1), [], 2.0
    while at_s < seconds - 2.0:
        at_s += draw.uniform(0.7, 3.0)
        places = draw.sample(range(size.entries), draw.choice((1, 2, size.entries)))
        faults += [Stop(at_s, row, (signal.SIGKILL,), 0.0, False, False, start) for row in places]
    return faults


def draw_deadly_parts(draw, seconds, size):
    """Return how the entries start, and the faults of a run with a deadly part."""
    faults = [_draw_part(draw, seconds), *_draw_kills(draw, seconds, size)]
    return [Start(delay_s=0.0)] * size.entries, sorted(faults, key=lambda fault: fault.at_s)
