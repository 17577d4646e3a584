"""Registers this entry's address in the store, and follows the addresses of all entries."""

import math
from collections.abc import Iterable, Mapping

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.auto_reset_event import AutoResetEvent
from beryljunction.gateway.poll_schedules import ALWAYS_POLL, PollSchedule
from beryljunction.gateway.quarantine import is_quarantine_key
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.streamdirectory import is_versions_key
from beryljunction.gateway.topic_reader import TopicReader, run_paced, wait_for_store
from beryljunction.gateway.updates import TopicUpdate
from beryljunction.platform import (
    ENTRY_ADDRESSES,
    Record,
    Store,
    WriteOutcome,
    era_of,
    format_address,
    is_host_address,
    parse_address,
)
from beryljunction.routing import Address, Confirmation, PeerTable

__all__ = ["Registration"]

# A write is idempotent and retried until it succeeds. The pause doubles up to the maximum, so that
# hosts which start during an outage of the store don't overload it.
_WRITE_RETRY_PAUSE_S = 1.0
_MAX_WRITE_RETRY_PAUSE_S = 16.0
# Limits the rate of reads while many entries start together.
_MIN_READ_INTERVAL_S = 2.0
_READ_RETRY_PAUSE_S = 5.0
# Entries that find their records missing rewrite them at a random time within this span.
_REWRITE_SPREAD_S = 1.0


class Registration:
    """Keeps this entry's address registered in the store, and the table of its peers up to date.

    The same topic holds the quarantined requests and the versions of services, so that a starting
    entry gets them without another read.
    """

    def __init__(
        self,
        store: Store,
        state: EntryState,
        peers: PeerTable,
        address: Address,
        schedule: PollSchedule = ALWAYS_POLL,
    ) -> None:
        self._schedule = schedule
        self._store = store
        self._host = state.host.host
        self._topic = TopicReader(store, state, ENTRY_ADDRESSES, state.addresses_confirmation)
        self._is_known_incomplete = False
        self._rewrite_needed = AutoResetEvent()
        self._lost_records: list[Record] = []
        self._state = state
        self._peers = peers
        self._address = format_address(address)

    async def run(self) -> None:
        """Register the address, then follow the topic until cancelled."""
        await self._write(Record(self._host, self._address))
        while not await self.read_once():
            await anyio.sleep(_READ_RETRY_PAUSE_S)
        if self._lost_records:
            self._rewrite_needed.set()
        async with anyio.create_task_group() as group:
            group.start_soon(self._rewrite_lost_records)
            while True:
                bound = self._state.addresses_bound
                await self._schedule.wait_until_due(ENTRY_ADDRESSES, bound, self._effective_age_s)
                if not await run_paced(self.read_once, _MIN_READ_INTERVAL_S, 0.0):
                    await wait_for_store(self._state.store_reachability, _READ_RETRY_PAUSE_S)

    async def _write(self, record: Record) -> None:
        pause_s = _WRITE_RETRY_PAUSE_S
        while await self._store.put(ENTRY_ADDRESSES, record.key, record.value) != WriteOutcome.DONE:
            await anyio.sleep(pause_s)
            pause_s = min(_MAX_WRITE_RETRY_PAUSE_S, 2 * pause_s)

    async def _rewrite_lost_records(self) -> None:
        """Rewrite records that a snapshot of the topic lacks, such as after a store restoration."""
        while True:
            await self._rewrite_needed.wait()
            await anyio.sleep(self._state.random.random() * _REWRITE_SPREAD_S)
            while self._lost_records:
                record = self._lost_records[0]
                await self._write(record)
                self._lost_records = [row for row in self._lost_records if row is not record]

    def mark_incomplete(self) -> None:
        """Mark the list as incomplete after a message from an entry that is not on it.

        Entries that start together read lists which only contain those that started earlier.
        """
        self._is_known_incomplete = True

    @property
    def confirmation(self) -> Confirmation:
        """Time up to which the addresses are known to be complete."""
        return self._topic.confirmation

    def confirm_up_to(self, end: int, asked_s: float, source: str) -> None:
        """Record that another entry knew the addresses to end at a position when it asked."""
        self._topic.confirm_up_to(end, asked_s, source)

    def _effective_age_s(self, now_s: float) -> float:
        """Return the age of the list; infinite if it is known to be incomplete."""
        is_restored = era_of(max(0, self.position)) < self._state.era
        is_incomplete = self._is_known_incomplete or is_restored or self._lacks_versions(now_s)
        return math.inf if is_incomplete else self.confirmation.age_s(now_s)

    def _lacks_versions(self, now_s: float) -> bool:
        return self._state.registry.versions.needs_newer_saved(now_s)

    @property
    def offset(self) -> int | None:
        """Position up to which addresses have been applied; None before the first read."""
        return self._topic.offset

    @property
    def position(self) -> int:
        """Position up to which addresses have been applied; -1 before the first read."""
        return self._topic.position

    def update_since(self, offset: int) -> TopicUpdate | None:
        """Return the changes after a position; None if there are none."""
        return self._topic.update_since(offset, self._records)

    def apply_update(self, update: TopicUpdate) -> None:
        """Apply records that another entry has read."""
        era = None if self.offset is None else era_of(self.position)
        self._topic.apply_update(update, self._apply_snapshot, self._apply_changes)
        if era is not None and era_of(self.position) > era and self._schedule.is_first_reader:
            self._rewrite_saved_records()

    def _rewrite_saved_records(self) -> None:
        """Rewrite all that may be lost: the entry that has read the store knows of it as before."""
        known = [record.key for record in self._lost_records]
        saved = self._state.quarantine.records()
        self._lost_records += [record for record in saved if record.key not in known]
        self._rewrite_needed.set()

    def _records(self) -> tuple[Record, ...]:
        """Return the records of this entry, of all known entries, and what else the topic has."""
        rows = self._state.fan_out.addresses().items()
        others = tuple(Record(host, format_address(address)) for host, address in rows)
        saved = (*self._state.quarantine.records(), *self._state.streams.records())
        return (Record(self._host, self._address), *others, *saved)

    async def read_once(self) -> bool:
        """Read once."""
        bound = self._state.addresses_bound
        is_covered = self._state.registry.is_loaded and not self._lacks_versions(boot_time_s())
        may_wait = self._schedule.is_first_reader and is_covered
        wait_s = bound.confirm_interval_s if may_wait else 0.0
        is_read = await self._topic.read_once(
            round(wait_s * 1000), self._apply_snapshot, self._apply_changes
        )
        if is_read:
            self._is_known_incomplete = False
        if self._schedule.is_first_reader:
            await self._remove_expired()
        return is_read

    async def _remove_expired(self) -> None:
        for key in self._state.quarantine.expired_keys():
            await self._store.put(ENTRY_ADDRESSES, key, None)

    async def deregister(self, limit_s: float) -> None:
        """Remove the address from the store because this entry shuts down; gives up in time."""
        with anyio.move_on_after(limit_s):
            await self._store.put(ENTRY_ADDRESSES, self._host, None)

    def _apply_snapshot(self, records: Iterable[Record]) -> None:
        rows = list(records)
        values = {record.key: record.value for record in rows}
        self._find_lost_records(values)
        self._state.streams.retain_records(filter(is_versions_key, values))
        addresses = dict(self._decode_addresses(rows))
        self._state.quarantine.saved_crashes.end_loading()
        self._peers.replace(addresses)
        self._state.fan_out.replace(addresses)
        self._state.update_entry_count()

    def _find_lost_records(self, values: Mapping[str, bytes | None]) -> None:
        """Find which records this entry has to rewrite, given those of a snapshot.

        Each entry rewrites its own address; the first reader also rewrites quarantined requests.
        """
        own = Record(self._host, self._address)
        self._lost_records = [own] if values.get(self._host) != self._address else []
        if self._schedule.is_first_reader:
            saved = self._state.quarantine.records()
            self._lost_records += [record for record in saved if record.key not in values]
        if self._lost_records:
            self._rewrite_needed.set()

    def _find_overwritten_address(self, records: Iterable[Record]) -> None:
        """Rewrite this entry's address if another writer has put something else in its place."""
        values = [record.value for record in records if record.key == self._host]
        own = Record(self._host, self._address)
        if values and values[-1] not in (None, self._address) and own not in self._lost_records:
            self._lost_records.append(own)
            self._rewrite_needed.set()

    def _apply_changes(self, records: Iterable[Record]) -> None:
        rows = list(records)
        self._find_overwritten_address(rows)
        gone = [record.key for record in rows if record.value is None]
        addresses = dict(self._decode_addresses(rows))
        for host in gone:
            self._peers.remove(host)
        for host, address in addresses.items():
            self._peers.put(host, address)
        self._state.fan_out.update(addresses, gone)
        self._state.update_entry_count()

    def _decode_addresses(self, records: Iterable[Record]) -> list[tuple[str, Address]]:
        """Return the valid addresses of other entries; apply the other records of the topic."""
        rows = []
        for record in records:
            if is_quarantine_key(record.key):
                self._state.quarantine.apply_record(record)
                continue
            if is_versions_key(record.key):
                self._state.streams.apply_record(record)
                continue
            if record.value is None or record.key == self._host:
                continue
            address = parse_address(record.value.decode("latin-1"))
            if address is not None and is_host_address(address):
                rows.append((record.key, address))
            else:
                self._state.events.write_refused("entry_refused", record.key, key=record.key)
        return rows
