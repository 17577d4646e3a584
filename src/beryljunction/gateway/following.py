"""Follows the settings of the fleet, and keeps their lease."""

import math
from collections.abc import Iterable

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.schedules import ALWAYS_POLL, FAILED_PAUSE_S, PollSchedule
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.topics import TopicReader, paced, rest_until_back
from beryljunction.platform import (
    FLEET_CONFIG,
    FLEET_CONFIG_KEY,
    Record,
    Store,
    Unusable,
    decode_config,
    decode_evacuation,
)
from beryljunction.routing import needs_peers

__all__ = ["ConfigWatcher"]

# A waiting read tells of new settings at once. It confirms nothing until it ends, so a second,
# short read every so often confirms that there are none.
_CONFIG_WAIT_MS = 10_000
# An entry that is told of newer settings reads them at once; versions that come faster than this
# are read together. The shortest bound for putting settings in force is 2 s.
_TOLD_DISTANCE_S = 0.3
# A short read waits for a waiting one whose answer has begun: beside it, it would fetch the same
# settings, which may take a second on a thin link, a second time. A connection that goes silent in
# the middle costs this much of the settings' age at most.
_RECEIVING_MOST_S = 1.0
_RECEIVING_STEP_S = 0.05
# Pause of the waiting read after one that failed; the short reads find out when the store is back.
_CONFIG_WAIT_FAILED_PAUSE_S = 1.0


class ConfigWatcher:
    """Keeps the settings in force, and their lease, up to date.

    Attributes:
        is_known: Set once the store was read.
        told_by: Host of the entry that told it last what the newest settings are.
    """

    def __init__(
        self, store: Store, state: EntryState, schedule: PollSchedule = ALWAYS_POLL
    ) -> None:
        self._store = store
        self._topic = TopicReader(store, state, FLEET_CONFIG)
        self._state = state
        self._schedule = schedule
        self._told_version = -1
        self._has_failed = False
        self.told_by = ""
        self._is_usable = True
        self._asked_s = -math.inf
        self.is_known = anyio.Event()

    async def run(self) -> None:
        """Follow until cancelled.

        One read at a time until the first is done: settings of some hundred routes take a second on
        a link of 5 Mbit/s, and each read beside it makes that longer.
        """
        while not await self.confirm():
            await anyio.sleep(FAILED_PAUSE_S)
        self.is_known.set()
        async with anyio.create_task_group() as group:
            group.start_soon(self._confirm_in_turn)
            group.start_soon(self._wait_as_reader)

    async def _confirm_in_turn(self) -> None:
        while True:
            bound = self._state.settings_bound
            await self._schedule.wait(FLEET_CONFIG, bound, self._need_age_s)
            if not self._schedule.is_first:
                await paced(self.confirm, _TOLD_DISTANCE_S, self._schedule.failed_pause_s)
            elif await self.confirm():
                await anyio.sleep(bound.until_confirm_s(boot_time_s()))
            else:
                await anyio.sleep(self._schedule.failed_pause_s)

    async def _wait_as_reader(self) -> None:
        while True:
            await self._schedule.wait_for_reader()
            if not await paced(self.wait, 0.0, _CONFIG_WAIT_FAILED_PAUSE_S):
                await rest_until_back(self._state.contact)

    def _need_age_s(self, now_s: float) -> float:
        """Return the age of the settings; infinite where newer ones are known to exist."""
        config = self._state.config
        is_behind = config is None or config.version < self._told_version
        return math.inf if is_behind else self._state.lease.age_s(now_s)

    async def confirm(self) -> bool:
        """Read what there is; the lease is renewed from when the question was sent."""
        with anyio.move_on_after(_RECEIVING_MOST_S):
            while self._store.is_receiving(FLEET_CONFIG):
                await anyio.sleep(_RECEIVING_STEP_S)
        is_read = await self._step(0)
        self._has_failed = not is_read
        return is_read

    async def wait(self) -> bool:
        """Read what comes."""
        is_read = await self._step(_CONFIG_WAIT_MS)
        self._has_failed = not is_read
        return is_read

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation by the store or by entries above this one.

        Infinite before the first; what peers confirm that this entry had to ask does not count.
        """
        return now_s - self._asked_s

    def is_turned_away(self, now_s: float) -> bool:
        """Return whether this entry wants to read the store, and its last read failed.

        A read that is only late says nothing: the host may be busy.
        """
        is_due = needs_peers(self.age_s(now_s), self._state.lease.revocation_s)
        return self._has_failed and (is_due or self._schedule.is_reader)

    def apply_update(self, host: str, version: int, value: bytes | None, asked_s: float) -> None:
        """Take in which settings were the newest when the store was asked, and what they are.

        Args:
            host: The entry that tells.
            version: Their version.
            value: The settings as the operator wrote them; None where they were not sent along.
            asked_s: When the store was asked.
        """
        if value is not None:
            self._take_one(value)
        self._told_version = max(self._told_version, version)
        config = self._state.config
        if config is not None and config.version >= version:
            self.told_by = host
            self._asked_s = max(self._asked_s, asked_s)
            self._state.lease.confirm(asked_s)

    def take_from_peer(self, value: bytes) -> None:
        """Take in settings that another entry has read; older ones change nothing."""
        self._take_one(value)

    async def _step(self, wait_ms: int) -> bool:
        asked_s = boot_time_s()
        if not await self._topic.step(wait_ms, self._replace, self._take):
            return False
        if self._is_usable:
            self._asked_s = max(self._asked_s, asked_s)
            self._state.lease.confirm(asked_s)
            self._state.news.set()
        return True

    def _replace(self, records: Iterable[Record]) -> None:
        """Take in the newest record of each key."""
        rows = list(records)
        self._take_versions(rows)
        zones = [zone for zone, is_evacuated in self._zones(rows).items() if is_evacuated]
        self._state.replace_evacuations(zones, self._topic.offset or 0)

    def _take(self, records: Iterable[Record]) -> None:
        rows = list(records)
        self._take_versions(rows)
        self._state.update_evacuations(self._zones(rows), self._topic.offset or 0)

    def _take_versions(self, records: Iterable[Record]) -> None:
        """Take in every version: the last record of several need not be the newest one."""
        for record in records:
            if record.key == FLEET_CONFIG_KEY and record.value is not None:
                self._is_usable = self._take_one(record.value)

    def _zones(self, records: Iterable[Record]) -> dict[str, bool]:
        """Return the zones that the records name, and whether each is evacuated after them."""
        zones: dict[str, bool] = {}
        for record in records:
            zone = decode_evacuation(record.key)
            if isinstance(zone, Unusable):
                self._state.events.write("evacuation_refused", problem=zone.problem)
            elif zone is not None:
                zones[zone] = record.value is not None
        return zones

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
