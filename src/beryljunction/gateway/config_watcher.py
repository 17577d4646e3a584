"""Follows the fleet's settings in the store and renews their lease."""

import math
from collections.abc import Iterable

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.poll_schedules import ALWAYS_POLL, RETRY_PAUSE_S, PollSchedule
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.topic_reader import TopicReader, run_paced, wait_for_store
from beryljunction.platform import (
    FLEET_CONFIG,
    FLEET_CONFIG_KEY,
    InvalidRecord,
    Record,
    Store,
    decode_config,
    decode_evacuation,
)
from beryljunction.routing import STORE, should_ask_peers

__all__ = ["ConfigWatcher"]

# A long poll returns new settings at once, but confirms nothing until it ends. A short read beside
# it therefore confirms at intervals that there are no newer ones.
_CONFIG_WAIT_MS = 10_000
# An entry that learns of newer settings reads them at once; versions that follow faster than this
# are read together. The shortest limit for putting settings in force is 2 s.
_MIN_READ_INTERVAL_S = 0.3
# A short read waits for a long poll whose response has begun, since it would fetch the same
# settings again, which can take a second on a slow link. If the connection stalls in the middle,
# the settings get older by this much at most.
_MAX_RECEIVING_WAIT_S = 1.0
_RECEIVING_POLL_INTERVAL_S = 0.05
# Pause after a failed long poll; the short reads find out when the store is back.
_CONFIG_WAIT_FAILED_PAUSE_S = 1.0


class ConfigWatcher:
    """Keeps the settings in force and their lease up to date.

    Attributes:
        loaded: Set after the first successful read of the store.
        confirmed_by: Host of the entry that last confirmed the settings to this one.
    """

    def __init__(
        self, store: Store, state: EntryState, schedule: PollSchedule = ALWAYS_POLL
    ) -> None:
        self._store = store
        self._topic = TopicReader(store, state, FLEET_CONFIG)
        self._state = state
        self._schedule = schedule
        self._announced = state.announced_version
        self._has_last_read_failed = False
        self.confirmed_by = ""
        self._is_usable = True
        self._asked_s = -math.inf
        self.loaded = anyio.Event()

    async def run(self) -> None:
        """Follow the settings until cancelled.

        Until the first read succeeds, only one runs at a time: settings of some hundred routes take
        a second on a link of 5 Mbit/s, and concurrent reads would slow each other down.
        """
        while not await self.confirm():
            await anyio.sleep(RETRY_PAUSE_S)
        self.loaded.set()
        async with anyio.create_task_group() as group:
            group.start_soon(self._confirm_periodically)
            group.start_soon(self._long_poll_as_reader)

    async def _confirm_periodically(self) -> None:
        while True:
            bound = self._state.settings_bound
            await self._schedule.wait_until_due(FLEET_CONFIG, bound, self._effective_age_s)
            if not self._schedule.is_first_reader:
                await run_paced(self.confirm, _MIN_READ_INTERVAL_S, self._schedule.failed_pause_s)
            elif await self.confirm():
                await anyio.sleep(bound.until_confirm_s(boot_time_s()))
            else:
                await anyio.sleep(self._schedule.failed_pause_s)

    async def _long_poll_as_reader(self) -> None:
        while True:
            await self._schedule.wait_until_reader()
            if not await run_paced(self.long_poll, 0.0, _CONFIG_WAIT_FAILED_PAUSE_S):
                await wait_for_store(self._state.store_reachability)

    def _effective_age_s(self, now_s: float) -> float:
        """Return the age of the settings; infinite if newer ones are known to exist."""
        config = self._state.config
        is_behind = config is None or self._announced.is_newer(config.version, now_s)
        return math.inf if is_behind else self._state.lease.age_s(now_s)

    async def confirm(self) -> bool:
        """Read without waiting; the lease is renewed as of when the request was sent."""
        with anyio.move_on_after(_MAX_RECEIVING_WAIT_S):
            while self._store.is_receiving(FLEET_CONFIG):
                await anyio.sleep(_RECEIVING_POLL_INTERVAL_S)
        is_read = await self._read_once(0)
        self._has_last_read_failed = not is_read
        return is_read

    async def long_poll(self) -> bool:
        """Long poll for changes of the settings."""
        is_read = await self._read_once(_CONFIG_WAIT_MS)
        self._has_last_read_failed = not is_read
        return is_read

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation by the store or by upstream entries.

        It is infinite before the first one. Confirmations that this entry requested from a peer do
        not count.
        """
        return now_s - self._asked_s

    def is_receiving(self) -> bool:
        """Return whether the store's response to a read of the settings has begun to arrive."""
        return self._store.is_receiving(FLEET_CONFIG)

    def is_rejected_by_store(self, now_s: float) -> bool:
        """Return whether this entry needs to read the store and its last read failed.

        A read that is only late does not count, since the host may be busy.
        """
        is_due = should_ask_peers(self.age_s(now_s), self._state.lease.revocation_s)
        return self._has_last_read_failed and (is_due or self._schedule.is_reader)

    def apply_update(self, host: str, version: int, value: bytes | None, asked_s: float) -> None:
        """Apply another entry's report of the newest settings, and renew the lease.

        Args:
            host: Host of the sending entry.
            version: Version of the newest settings.
            value: The settings as the operator wrote them; None if the message omits them.
            asked_s: When the store was asked.
        """
        if value is not None:
            self._apply_version(value, host)
        if self._confirm_version(host, version, asked_s):
            self.confirmed_by = host
            self._asked_s = max(self._asked_s, asked_s)

    def apply_from_peer(self, host: str, version: int, value: bytes | None, asked_s: float) -> bool:
        """Apply a peer's answer to a request; return whether it renewed the lease.

        Args:
            host: Host of the peer.
            version: Version of the newest settings that it knows.
            value: The settings; None if this entry has them.
            asked_s: When the store was asked.
        """
        if value is not None:
            self._apply_version(value, host)
        return self._confirm_version(host, version, asked_s)

    def _confirm_version(self, host: str, version: int, asked_s: float) -> bool:
        """Renew the lease by the word of another entry that this version was the newest.

        This entry has to have that version, and may not know of a newer one since before the store
        was asked.
        """
        config, now_s = self._state.config, boot_time_s()
        self._announced.note(version, host, now_s)
        if config is None or config.version < version:
            return False
        if self._announced.contradicts(config.version, asked_s, now_s):
            return False
        self._state.lease.confirm(asked_s)
        return True

    def announcer(self) -> str | None:
        """Return the host that has settings which the store lacks; None if there is none.

        A store that was restored from an older copy lacks settings until the operator writes them
        again. Entries that have them keep them in force.
        """
        config, now_s = self._state.config, boot_time_s()
        asked_s = self._topic.confirmation.asked_s
        if config is None or not self._is_usable:
            return None
        is_contradicted = self._announced.contradicts(config.version, asked_s, now_s)
        return self._announced.host if is_contradicted else None

    async def _read_once(self, wait_ms: int) -> bool:
        if not await self._topic.read_once(wait_ms, self._apply_snapshot, self._apply_changes):
            return False
        config, asked_s = self._state.config, self._topic.confirmation.asked_s
        is_contradicted = config is not None and self._announced.contradicts(
            config.version, asked_s, boot_time_s()
        )
        if self._is_usable and not is_contradicted:
            self._asked_s = max(self._asked_s, asked_s)
            self._state.lease.confirm(asked_s)
            self._state.store_data_changed.set()
        return True

    def _apply_snapshot(self, records: Iterable[Record]) -> None:
        """Apply the newest record of each key."""
        rows = list(records)
        self._apply_versions(rows)
        zones = [zone for zone, is_evacuated in self._decode_zones(rows).items() if is_evacuated]
        self._state.replace_evacuations(zones, self._topic.offset or 0)

    def _apply_changes(self, records: Iterable[Record]) -> None:
        rows = list(records)
        self._apply_versions(rows)
        self._state.update_evacuations(self._decode_zones(rows), self._topic.offset or 0)

    def _apply_versions(self, records: Iterable[Record]) -> None:
        """Apply every version, since the last of several records need not be the newest."""
        for record in records:
            if record.key == FLEET_CONFIG_KEY and record.value is not None:
                self._is_usable = self._apply_version(record.value, STORE)

    def _decode_zones(self, records: Iterable[Record]) -> dict[str, bool]:
        """Return the zones that the records name, and whether each is evacuated after the last."""
        zones: dict[str, bool] = {}
        for record in records:
            zone = decode_evacuation(record.key)
            if isinstance(zone, InvalidRecord):
                self._state.events.write_refused(
                    "evacuation_refused", record.key, problem=zone.problem
                )
            elif zone is not None:
                zones[zone] = record.value is not None
        return zones

    def _apply_version(self, value: bytes, source: str) -> bool:
        """Apply a version of the settings; return False if it can't be decoded."""
        config = decode_config(value)
        if isinstance(config, InvalidRecord):
            self._state.events.write("settings_refused", problem=config.problem)
            return False
        if self._state.apply_config(config, value):
            routes = sum(len(rows) for rows in config.routes.values())
            self._state.events.write(
                "settings_applied",
                version=config.version,
                routes=routes,
                source=source,
                announced=self._announced.version,
                settings_age_s=round(self._state.lease.age_s(boot_time_s()), 3),
            )
        return True
