"""Follows the platform's store: the settings of the fleet, and the records of endpoints."""

import math
from collections.abc import Awaitable, Callable, Iterable

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.state import EntryState
from beryljunction.platform import (
    ENDPOINT_RECORDS,
    FLEET_CONFIG,
    FLEET_CONFIG_KEY,
    Expired,
    Newest,
    Record,
    Records,
    Store,
    Topic,
    Unavailable,
    Unusable,
    decode_config,
    decode_endpoint,
)

__all__ = ["FollowConfig", "FollowEndpoints", "Follower", "repeat"]

# A waiting read tells of new settings at once. It confirms nothing until it ends, so a second,
# short read every so often confirms that there are none; the settings' age then stays under 1.6 s.
# With waiting reads of 1.5 s alone, for the same number of calls, it was up to 3.1 s, and an outage
# of the store of 4.4 s had keys refused for 1.9 s of it.
_CONFIG_WAIT_MS = 10_000
_CONFIG_CONFIRM_S = 1.5
# A short read waits for a waiting one whose answer has begun: beside it, it would fetch the same
# settings a second time. 1,200 routes are 0.4 MB and take 0.35 s on a link of 10 Mbit/s; where 12
# versions came in 13 s, 1,031 of 15,000 requests took over half of their aim to arrive, 1,428 with
# two reads of each (one day each, 22 entries).
# A connection that goes silent in the middle costs this much of the settings' age at most.
_RECEIVING_MOST_S = 1.0
_RECEIVING_STEP_S = 0.05
# Pause of the waiting read after one that failed; the short reads find out when the store is back.
_CONFIG_WAIT_FAILED_PAUSE_S = 1.0
# Endpoints write when something changes, some at every heartbeat. A waiting read tells of a change
# at once; where records come all the time, reads keep a distance, so their number does not grow
# with that of the endpoints. One that leaves has to be known within the drain time, so the distance
# is this share of it. A connection that goes silent for good is found after the wait and a second.
_ENDPOINTS_WAIT_MS = 4_000
_ENDPOINTS_DISTANCE_RATIO = 0.4
# Pause after a read that failed: short against the seconds after which settings are too old.
_FAILED_PAUSE_S = 0.25


class Follower:
    """Reads a topic from its newest records on, and again from there when its history is gone."""

    def __init__(self, store: Store, state: EntryState, topic: Topic) -> None:
        self._store = store
        self.state = state
        self._topic = topic
        self._offset: int | None = None
        self._is_lost = False

    async def step(
        self,
        wait_ms: int,
        take_all: Callable[[Iterable[Record]], None],
        take: Callable[[Iterable[Record]], None],
    ) -> bool:
        """Read once; False when there was no usable answer."""
        if self._offset is None:
            answer: Newest | Records | Expired | Unavailable = await self._store.newest(self._topic)
        else:
            answer = await self._store.read(self._topic, self._offset, wait_ms)
        if isinstance(answer, Unavailable):
            self._note_lost(answer.reason)
            return False
        if isinstance(answer, Expired):
            self.state.events.write("history_expired", topic=self._topic.name, offset=self._offset)
            self._offset = None
            return await self.step(wait_ms, take_all, take)
        self._note_regained()
        self._offset = max(self._offset or 0, answer.next_offset)
        (take_all if isinstance(answer, Newest) else take)(answer.records)
        return True

    @property
    def offset(self) -> int | None:
        """Position up to which records are taken in; None before the first read."""
        return self._offset

    def skip_to(self, offset: int) -> None:
        """Read on from there: what lies before came another way."""
        self._offset = max(self._offset or 0, offset)

    def _note_lost(self, reason: str) -> None:
        if not self._is_lost:
            self.state.events.write("store_lost", topic=self._topic.name, reason=reason)
        self._is_lost = True

    def _note_regained(self) -> None:
        if self._is_lost:
            self.state.events.write("store_regained", topic=self._topic.name)
        self._is_lost = False


class FollowConfig:
    """Keeps the settings in force, and their lease, up to date.

    Attributes:
        is_known: Set once the store was read.
    """

    def __init__(self, store: Store, state: EntryState) -> None:
        self._store = store
        self._follower = Follower(store, state, FLEET_CONFIG)
        self._state = state
        self._is_usable = True
        self._asked_s = -math.inf
        self.is_known = anyio.Event()

    async def run(self) -> None:
        """Follow until cancelled.

        One read at a time until the first is done: settings of some hundred routes take a second on
        a link of 5 Mbit/s, and each read beside it makes that longer.
        """
        while not await self.confirm():
            await anyio.sleep(_FAILED_PAUSE_S)
        self.is_known.set()
        async with anyio.create_task_group() as group:
            group.start_soon(repeat, self.confirm, _CONFIG_CONFIRM_S)
            group.start_soon(repeat, self.wait, 0.0, _CONFIG_WAIT_FAILED_PAUSE_S)

    async def confirm(self) -> bool:
        """Read what there is; the lease is renewed from when the question was sent."""
        with anyio.move_on_after(_RECEIVING_MOST_S):
            while self._store.is_receiving(FLEET_CONFIG):
                await anyio.sleep(_RECEIVING_STEP_S)
        return await self._step(0)

    async def wait(self) -> bool:
        """Read what comes."""
        return await self._step(_CONFIG_WAIT_MS)

    def age_s(self, now_s: float) -> float:
        """Return the age of this entry's own last confirmation; infinite before the first."""
        return now_s - self._asked_s

    def take_from_peer(self, value: bytes) -> None:
        """Take in settings that another entry has read; older ones change nothing."""
        self._take_one(value)

    async def _step(self, wait_ms: int) -> bool:
        asked_s = boot_time_s()
        if not await self._follower.step(wait_ms, self._take, self._take):
            return False
        if self._is_usable:
            self._asked_s = max(self._asked_s, asked_s)
            self._state.lease.confirm(asked_s)
        return True

    def _take(self, records: Iterable[Record]) -> None:
        """Take in every version: the last record of several need not be the newest one."""
        for record in records:
            if record.key == FLEET_CONFIG_KEY and record.value is not None:
                self._is_usable = self._take_one(record.value)

    def _take_one(self, value: bytes) -> bool:
        """Take in a version; False when it can't be read."""
        config = decode_config(value)
        if isinstance(config, Unusable):
            self._state.events.write("settings_refused", problem=config.problem)
            return False
        if self._state.apply(config, value):
            routes = sum(len(rows) for rows in config.routes.values())
            self._state.events.write("settings_applied", version=config.version, routes=routes)
        return True


class FollowEndpoints:
    """Keeps the registry of endpoints up to date.

    Attributes:
        is_known: Set once the store was read.
    """

    def __init__(self, store: Store, state: EntryState) -> None:
        self._follower = Follower(store, state, ENDPOINT_RECORDS)
        self._state = state
        self._values: dict[str, bytes] = {}
        self.is_known = anyio.Event()

    @property
    def offset(self) -> int | None:
        """Position up to which records are taken in; None before the first read."""
        return self._follower.offset

    def records(self) -> tuple[Record, ...]:
        """Return the record of each endpoint that is known, as the endpoint wrote it."""
        find = self._state.registry.find
        rows = self._values.items()
        return tuple(Record(key, value) for key, value in rows if find(key) is not None)

    def take_from_peer(self, offset: int, records: Iterable[Record]) -> None:
        """Take in the full list of an entry that has read further."""
        if offset > (self.offset or 0):
            self._follower.skip_to(offset)
            self._replace(records)

    async def run(self) -> None:
        """Follow until cancelled."""
        drain_s = self._state.bounds.drain_ms / 1000
        await repeat(self.step, drain_s * _ENDPOINTS_DISTANCE_RATIO)

    async def step(self) -> bool:
        """Read once."""
        done = await self._follower.step(_ENDPOINTS_WAIT_MS, self._take_all, self._take)
        if done:
            self.is_known.set()
        else:
            self._state.registry.store_lost()
        return done

    def _take_all(self, records: Iterable[Record]) -> None:
        self._state.registry.store_read(boot_time_s())
        self._replace(records)

    def _replace(self, records: Iterable[Record]) -> None:
        self._values = {row.key: row.value for row in records if row.value is not None}
        decoded = [decode_endpoint(key, value) for key, value in self._values.items()]
        for problem in decoded:
            if isinstance(problem, Unusable):
                self._state.events.write("endpoint_refused", problem=problem.problem)
        usable = [row for row in decoded if not isinstance(row, Unusable)]
        self._state.registry.replace(usable, boot_time_s())
        self._state.events.write("endpoints_listed", endpoints=len(self._state.registry))

    def _take(self, records: Iterable[Record]) -> None:
        now_s = boot_time_s()
        self._state.registry.store_read(now_s)
        for record in records:
            self._take_one(record, now_s)

    def _take_one(self, record: Record, now_s: float) -> None:
        registry, events = self._state.registry, self._state.events
        if record.value is None:
            if registry.remove(record.key, now_s) is not None:
                events.write("endpoint_gone", endpoint=record.key)
            return
        decoded = decode_endpoint(record.key, record.value)
        if isinstance(decoded, Unusable):
            events.write("endpoint_refused", problem=decoded.problem)
            registry.remove(record.key, now_s)
            return
        self._values[record.key] = record.value
        was_known = registry.find(record.key)
        was_draining = was_known is not None and was_known.record.is_draining
        is_same = was_known is not None and was_known.record.is_same_start(decoded)
        registry.put(decoded)
        if not is_same:
            self._state.joined(decoded.endpoint_id)
        if not is_same or decoded.is_draining != was_draining:
            events.write(
                "endpoint_draining" if decoded.is_draining else "endpoint_joined",
                endpoint=decoded.endpoint_id,
                service=decoded.service,
                born_ms=decoded.born_ms,
            )


async def repeat(
    step: Callable[[], Awaitable[bool]],
    distance_s: float,
    failed_pause_s: float = _FAILED_PAUSE_S,
) -> None:
    """Step on and on, at this distance at least."""
    while True:
        started_s = boot_time_s()
        done = await step()
        rest_s = started_s + distance_s - boot_time_s() if done else failed_pause_s
        await anyio.sleep(max(0.0, rest_s))
