"""Releases of the endpoints' software, and entries that are out of step with the others."""

import asyncio
import contextlib
import json
import time

import attrs

from soak.faults import Fault
from soak.fleet import EndpointProcess
from soak.relays import Relay
from soak.standins import put_record
from soak.wire import call

__all__ = ["OutOfStep", "Release", "draw_releases", "start_relays"]

_SERVICE = "drafter"
# Time from when the processes of new endpoints listen until they join.
_LEAD_S = 0.6
_PREPARE_LIMIT_S = 15.0
_FIRST_STREAM_LIMIT_S = 3.0
_RECORD_TTL_S = 3.6
# Streams that broke just before still go to an entry when it is in step again.
_PREFERRED_FOR_S = 0.3
_FIRST_RELEASE_S = 2.0


@attrs.frozen
class Release(Fault):
    """Endpoints of another version join; some of them, or of the old ones, crash soon.

    Attributes:
        number: Of the release within the run.
        version: Of the new endpoints.
        count: New endpoints.
        takes_ids: Whether they start under the ids of old ones, which end as they join.
        crashes: Which endpoints crash: "new", "old" or "" for none.
        crash_after_s: Time from when streams run at a new endpoint to the first crash.
        crash_gap_s: Time between two crashes.
        replaces: Whether the other old endpoints drain afterwards, one by one.
    """

    number: int
    version: str
    count: int
    takes_ids: bool
    crashes: str
    crash_after_s: float
    crash_gap_s: float
    replaces: bool

    async def play(self, fleet):
        old = [row for row in fleet.endpoints if row.service == _SERVICE and not row.is_leaving]
        former = old[: self.count] if self.takes_ids else []
        names = [row.name for row in former] + [""] * (self.count - len(former))
        new = [self._start(fleet, name) for name in names]
        await asyncio.gather(*[_wait_until_it_listens(row) for row in new])
        fleet.release_events[self.number, "prepared"].set()
        await asyncio.sleep(_LEAD_S)
        for row in former:
            row.kill()
        fleet.endpoints += new
        await asyncio.gather(*[row.join() for row in new])
        fleet.note(f"release {self.number}: {', '.join(row.name for row in new)} joined")
        await asyncio.gather(*[_wait_until_it_runs(row) for row in new])
        await asyncio.sleep(self.crash_after_s)
        rest = old[len(former) :]
        crashed = {"new": new, "old": rest[: self.count], "": []}[self.crashes]
        for row in crashed:
            row.kill()
            await asyncio.sleep(self.crash_gap_s)
        fleet.release_events[self.number, "crashed"].set()
        async with asyncio.TaskGroup() as group:
            for row in crashed:
                group.create_task(_expire(fleet, row))
            if self.replaces:
                group.create_task(self._replace(fleet, [row for row in rest if row not in crashed]))

    def _start(self, fleet, name):
        host = fleet.next_endpoint_host()
        address = host, fleet.free_ports(host, 1)[0]
        return EndpointProcess(fleet, _SERVICE, address, self.version, "later", name)

    async def _replace(self, fleet, old):
        """Replace old endpoints by ones of the new version, which join first."""
        fleet.software_versions[_SERVICE] = self.version
        for row in old:
            if row.is_leaving:
                continue
            fleet.add_endpoint(_SERVICE)
            await asyncio.sleep(_LEAD_S)
            row.note_leaving()
            answer = await call(row.address, "/soak/drain?2.5", b"", 20.0)
            if answer is not None:
                fleet.evidence.draining[row.name] = json.loads(answer.body)


async def _wait_until_it_listens(endpoint):
    ends_s = time.monotonic() + _PREPARE_LIMIT_S
    while await call(endpoint.address, "/health") is None and time.monotonic() < ends_s:
        await asyncio.sleep(0.05)


async def _wait_until_it_runs(endpoint):
    """Return when an endpoint runs a stream, or gets none for long."""
    ends_s = time.monotonic() + _FIRST_STREAM_LIMIT_S
    while time.monotonic() < ends_s:
        answer = await call(endpoint.address, "/beryljunction/report")
        if answer is not None and json.loads(answer.body)["running"]:
            return
        await asyncio.sleep(0.03)


async def _expire(fleet, endpoint):
    """Remove the record of an endpoint that crashed, once its heartbeats are missed."""
    await asyncio.sleep(_RECORD_TTL_S)
    while await put_record(fleet.store, "keyed.servers", endpoint.name, None) is None:
        await asyncio.sleep(0.2)


@attrs.frozen
class OutOfStep(Fault):
    """An entry is suspended, or cut off from the store, while callers still reach it.

    Attributes:
        release: Number of the release beside which it happens.
        after_s: Time from when the new endpoints are about to join.
        how: "suspended"; "held" or "refused" for its connections to the store.
        length_s: For how long at most.
        after_crash_s: Until how long after the crashes of the release; None for the whole time.
    """

    release: int
    after_s: float
    place: int
    how: str
    length_s: float
    after_crash_s: float | None

    async def play(self, fleet):
        await fleet.release_events[self.release, "prepared"].wait()
        await asyncio.sleep(self.after_s)
        place = self.place % len(fleet.entries)
        entry = fleet.entries[place]
        fleet.out_of_step[place] += 1
        try:
            if self.how == "suspended":
                if entry.live:
                    await fleet.pause_while(entry.name, entry.live[-1][1], self._last(fleet))
            else:
                await self._cut_off(fleet, entry)
            await asyncio.sleep(_PREFERRED_FOR_S)
        finally:
            fleet.out_of_step[place] -= 1

    async def _cut_off(self, fleet, entry):
        from_s = time.monotonic()
        entry.relay.cut(self.how == "refused")
        try:
            await self._last(fleet)
        finally:
            entry.relay.mend()
            fleet.evidence.cuts.append((entry.name, from_s, time.monotonic()))

    async def _last(self, fleet):
        if self.after_crash_s is None:
            await asyncio.sleep(self.length_s)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.length_s):
                await fleet.release_events[self.release, "crashed"].wait()
                await asyncio.sleep(self.after_crash_s)


async def start_relays(fleet):
    """Put a relay between each entry and the store."""
    for entry in fleet.entries:
        entry.relay = Relay(fleet.store)
        address = entry.host, fleet.free_ports(entry.host, 1)[0]
        await entry.relay.start(address)
        entry.store_text = f"{address[0]}:{address[1]}"


def _draw_release(draw, at_s, number, version):
    return Release(
        at_s,
        number,
        version,
        count=draw.choice((1, 2, 2, 3)),
        takes_ids=draw.random() < 0.25,
        crashes=draw.choice(("new", "new", "new", "old", "")),
        crash_after_s=round(draw.uniform(0.05, 0.3), 3),
        crash_gap_s=draw.choice((0.0, 0.0, 0.05, 0.2)),
        replaces=draw.random() < 0.3,
    )


def _draw_out_of_step(draw, release, place):
    """Return when an entry is out of step beside a release: once or in series."""
    after_s = _LEAD_S - draw.uniform(0.02, 0.2)
    length_s, after_crash_s = draw.choice((2.0, 4.0)), round(draw.uniform(0.0, 0.2), 3)
    if draw.random() < 0.3:
        length_s, after_crash_s = draw.choice((0.3, 0.8, 1.5, 2.5, 4.0)), None
    faults = []
    for _ in range(draw.choice((1, 1, 1, 2))):
        how = draw.choice(("suspended",) * 4 + ("held", "refused"))
        row = release.at_s, release.number, round(after_s, 3), place, how, length_s, after_crash_s
        faults.append(OutOfStep(*row))
        after_s += draw.uniform(0.5, 2.5)
        length_s, after_crash_s = draw.choice((0.3, 0.8, 1.5)), None
    return faults


def draw_releases(draw, seconds, entries):
    """Return releases one after the other, each beside entries that are out of step."""
    faults, at_s, versions = [], _FIRST_RELEASE_S, ["v1"]
    while at_s < max(seconds - 2.5, _FIRST_RELEASE_S + 0.1):
        goes_back = len(versions) > 2 and draw.random() < 0.25
        version = versions[-2] if goes_back else f"v{len(set(versions)) + 1}"
        versions.append(version)
        release = _draw_release(draw, round(at_s, 3), len(versions) - 2, version)
        faults.append(release)
        count = draw.randint(1, max(1, entries // 2))
        for place in draw.sample(range(entries), count):
            faults += _draw_out_of_step(draw, release, place)
        at_s += draw.uniform(3.0, 7.0)
    return sorted(faults, key=lambda fault: fault.at_s)
