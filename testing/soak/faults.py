"""Faults of a run: drawn from its seed, in series that overlap, and played."""

import abc
import asyncio
import contextlib
import json
import signal
import subprocess
import sys
import time

import attrs

from soak.fleet import KEYS, Start
from soak.standins import put_record
from soak.wire import call

__all__ = ["Fault", "draw_first_starts", "draw_schedule", "play_schedule"]

_RECORD = {"service": "ledger", "address": "127.0.0.1:9", "zone": "z1", "version": "v1"}
_RECORD |= {"slots": 8, "state": "ready", "cold-remaining-ms": 0, "sequence-number": 1}
FOREIGN_RECORDS = (
    json.dumps({**_RECORD, "slots": 2**2048 - 1}).encode(),
    json.dumps({**_RECORD, "service": "reports of the night shift " * 10}).encode(),
    json.dumps({**_RECORD, "cold-remaining-ms": 1e308, "sequence-number": 2**70}).encode(),
    b'{"service": ' + b"[" * 5000,
    b"\xff\xfe not text",
)


@attrs.frozen
class Fault(abc.ABC):
    """Something that happens at a time after the start of the traffic."""

    at_s: float

    @abc.abstractmethod
    async def play(self, fleet):
        """Cause it."""


@attrs.frozen
class Reload(Fault):
    """SIGHUPs in series, with the settings file as it was, changed, or cut short for a moment."""

    place: int
    count: int
    gap_s: float
    file: str

    async def play(self, fleet):
        entry = fleet.entries[self.place % len(fleet.entries)]
        for number in range(self.count):
            if self.file == "changed":
                entry.apply_ms = 2000 + number % 2
            entry.write_settings("cut" if self.file == "cut" else "whole")
            entry.signal(signal.SIGHUP)
            await asyncio.sleep(self.gap_s)
        entry.write_settings()
        entry.signal(signal.SIGHUP)


@attrs.frozen
class Stop(Fault):
    """A stop by one or more signals, and how the next process starts."""

    place: int
    signals: tuple
    gap_s: float
    until_gone: bool
    overlaps: bool
    start: Start

    async def play(self, fleet):
        entry = fleet.entries[self.place % len(fleet.entries)]
        if not entry.live or len(entry.live) > 1:
            return
        row, process = entry.live[-1]
        if not self.overlaps:
            entry.plans.append(self.start)
        for number in self.signals:
            entry.signal_one(row, process, number)
            await asyncio.sleep(self.gap_s)
        if self.overlaps and entry.live == [(row, process)]:
            await entry.start(attrs.evolve(self.start, held=""))
        ends_s = time.monotonic() + 12.0
        while self.until_gone and process.poll() is None and time.monotonic() < ends_s:
            entry.signal_one(row, process, self.signals[-1])
            await asyncio.sleep(0.001)


@attrs.frozen
class Pause(Fault):
    """A process is suspended: an entry, an endpoint or the store."""

    what: str
    place: int
    length_s: float

    async def play(self, fleet):
        if self.what == "store":
            await fleet.pause("store", fleet.store_process, self.length_s)
        elif self.what == "endpoint" and fleet.endpoints:
            endpoint = fleet.endpoints[self.place % len(fleet.endpoints)]
            await fleet.pause(endpoint.name, endpoint.process, self.length_s)
        else:
            entry = fleet.entries[self.place % len(fleet.entries)]
            if entry.live:
                await fleet.pause(entry.name, entry.live[-1][1], self.length_s)


@attrs.frozen
class EndpointEnd(Fault):
    """An endpoint is killed, or drains, and is replaced."""

    place: int
    is_kill: bool
    replaced_after_s: float
    same_address: bool
    stays_s: float

    async def play(self, fleet):
        ready = [row for row in fleet.endpoints if not row.is_leaving]
        endpoint = ready[self.place % len(ready)]
        endpoint.note_leaving()
        if self.is_kill:
            fleet.evidence.endpoint_ends[endpoint.name] = time.monotonic()
            endpoint.process.kill()
        else:
            answer = await call(endpoint.address, f"/soak/drain?{self.stays_s}", b"", 20.0)
            if answer is not None:
                fleet.evidence.draining[endpoint.name] = json.loads(answer.body)
        await asyncio.sleep(self.replaced_after_s)
        address = endpoint.address if self.same_address and self.is_kill else None
        fleet.add_endpoint(endpoint.service, address)
        await asyncio.sleep(max(0.0, 3.6 - self.replaced_after_s))
        while (
            self.is_kill
            and await put_record(fleet.store, "keyed.servers", endpoint.name, None) is None
        ):
            await asyncio.sleep(0.2)


@attrs.frozen
class Misbehave(Fault):
    """Some endpoints fail, reject, cut their answers or are slow for a while."""

    places: tuple
    values: dict
    length_s: float

    async def play(self, fleet):
        ready = [row for row in fleet.endpoints if not row.is_leaving]
        chosen = {
            ready[place % len(ready)].name: ready[place % len(ready)] for place in self.places
        }
        for endpoint in chosen.values():
            await endpoint.behave({**fleet.misbehaviour, **self.values})
        await asyncio.sleep(self.length_s)
        for endpoint in chosen.values():
            await endpoint.behave(fleet.misbehaviour)


@attrs.frozen
class Configure(Fault):
    """A new version: other timeouts, a key taken away or given back."""

    steps: int
    timeout_ratio: float
    key: str

    async def play(self, fleet):
        async with fleet.operator:
            fleet.version += self.steps
            fleet.timeouts_s["chat"] = 4.0 * self.timeout_ratio
            now_s, rows = time.monotonic(), fleet.evidence.revocations
            is_removal = self.key in fleet.keys
            if is_removal:
                fleet.keys.discard(self.key)
            elif self.key:
                fleet.keys.add(self.key)
                rows[:] = [
                    (key, from_s, min(to_s, now_s) if key == self.key else to_s)
                    for key, from_s, to_s in rows
                ]
            acknowledged_s = await fleet.configure()
            while acknowledged_s is None:
                acknowledged_s = await fleet.configure()
            if is_removal:
                rows.append((self.key, acknowledged_s, float("inf")))


@attrs.frozen
class ForeignRecord(Fault):
    """Another writer adds a record to the endpoints'."""

    number: int

    async def play(self, fleet):
        value = FOREIGN_RECORDS[self.number % len(FOREIGN_RECORDS)]
        name = f"i-foreign-{self.number}"
        await put_record(fleet.store, "keyed.servers", name, value)
        await asyncio.sleep(2.0)
        await put_record(fleet.store, "keyed.servers", name, None)


@attrs.frozen
class BusyLoops(Fault):
    """Other processes use the processor for a while."""

    length_s: float

    async def play(self, fleet):
        code = f"import time\ne = time.monotonic() + {self.length_s}\nwhile time.monotonic() < e: 0"
        for _ in range(fleet.size.busy_loops):
            fleet.children.append(subprocess.Popen([sys.executable, "-S", "-c", code]))


def _draw_start(draw):
    signals = ()
    if draw.random() < 0.4:
        numbers = (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
        count = draw.choice((1, 1, 2, 5))
        times = [draw.uniform(0.0, draw.choice((0.1, 0.4))) for _ in range(count)]
        signals = tuple((round(at_s, 3), draw.choice(numbers)) for at_s in sorted(times))
    held, file, hindered_s = "", "", 0.0
    chance = draw.random()
    if chance < 0.15:
        held, hindered_s = draw.choice(("callers", "ready", "metrics", "peers")), 1.0
    elif chance < 0.3:
        file, hindered_s = draw.choice(("late", "cut")), draw.uniform(0.1, 1.0)
    output = draw.choice(("unread", "broken", "closed")) if draw.random() < 0.15 else "file"
    delay_s = draw.choice((0.0, 0.1, 0.5, 1.5))
    return Start(delay_s, signals, held, file, hindered_s, output)


def draw_first_starts(draw, count):
    """Return how each entry starts for the first time."""
    return [attrs.evolve(_draw_start(draw), delay_s=0.0, held="") for _ in range(count)]


def _draw_reload(draw, at_s):
    file = draw.choice(("same", "changed", "cut"))
    return Reload(at_s, draw.randrange(1000), draw.choice((1, 3, 30)), draw.uniform(0, 0.1), file)


def _draw_stop(draw, at_s):
    first = draw.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGTERM, signal.SIGINT))
    rest = draw.choice(((), (), (first,), (signal.SIGHUP,), (signal.SIGHUP, first)))
    return Stop(
        at_s,
        draw.randrange(1000),
        (first, *rest),
        draw.choice((0.0, 0.05, 0.5, 2.5)),
        draw.random() < 0.3,
        draw.random() < 0.2,
        _draw_start(draw),
    )


def _draw_kill(draw, at_s):
    place, start = draw.randrange(1000), _draw_start(draw)
    return Stop(at_s, place, (signal.SIGKILL,), 0.0, False, False, start)


def _draw_pause(draw, at_s):
    what = draw.choice(("entry", "endpoint", "store"))
    return Pause(at_s, what, draw.randrange(1000), draw.uniform(0.1, 2.5))


def _draw_endpoint_end(draw, at_s):
    same, stays_s = draw.random() < 0.5, draw.uniform(2.0, 5.0)
    wait_s = draw.uniform(0.2, 2.0) + (2.0 if same else 0.0)
    return EndpointEnd(at_s, draw.randrange(1000), draw.random() < 0.5, wait_s, same, stays_s)


def _draw_misbehave(draw, at_s):
    values = draw.choice(
        (
            {"fail": 0.3},
            {"reject": 0.5},
            {"fail": 0.3, "reject": 0.3},
            {"cut": 0.3},
            {"work_s": 0.3},
            {"fail": 0.2, "reject": 0.2, "cut": 0.1, "work_s": 0.15},
        )
    )
    places = tuple(draw.randrange(1000) for _ in range(draw.choice((1, 2, 8))))
    return Misbehave(at_s, places, values, draw.uniform(1.0, 4.0))


def _draw_configure(draw, at_s):
    key = draw.choice(("", *KEYS[1:]))
    return Configure(at_s, draw.choice((0, 1, 7)), draw.choice((1.0, 1.2)), key)


_DRAWS = (
    (_draw_reload, 20),
    (_draw_stop, 20),
    (_draw_kill, 6),
    (_draw_pause, 14),
    (_draw_endpoint_end, 12),
    (_draw_misbehave, 8),
    (_draw_configure, 10),
    (lambda draw, at_s: ForeignRecord(at_s, draw.randrange(1000)), 5),
    (lambda draw, at_s: BusyLoops(at_s, draw.uniform(1.0, 4.0)), 3),
)


def draw_schedule(draw, length_s, entries=4):
    """Return the faults of a run: series of one kind or of several, which overlap."""
    faults = []
    makers, weights = zip(*_DRAWS, strict=True)
    for _ in range(max(4, int(length_s * (entries + 4) / 16))):
        at_s = draw.uniform(0.0, length_s)
        maker = draw.choices(makers, weights)[0]
        is_one_kind = draw.random() < 0.5
        for _ in range(draw.choice((1, 1, 2, 4))):
            faults.append(maker(draw, round(at_s, 3)))
            at_s += draw.choice((0.0, 0.05, 0.3, 1.0))
            maker = maker if is_one_kind else draw.choices(makers, weights)[0]
    return sorted(faults, key=lambda fault: fault.at_s)


async def play_schedule(fleet, schedule):
    """Play all faults at their times; return when the last one is over."""
    start_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in schedule:
            await asyncio.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
            fleet.note(str(fault))
            group.create_task(_play(fleet, fault))


async def _play(fleet, fault):
    with contextlib.suppress(ProcessLookupError):
        await fault.play(fleet)
