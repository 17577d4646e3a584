"""Keeps this entry's address in the store, and follows what all entries write there."""

import math
from collections.abc import Iterable

import anyio

from beryljunction.gateway.quarantine import is_quarantine_key
from beryljunction.gateway.schedules import ALWAYS_POLL, PollSchedule
from beryljunction.gateway.signals import Signal
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.topics import TopicReader, paced, rest_until_back
from beryljunction.gateway.updates import TopicUpdate
from beryljunction.platform import (
    ENTRY_ADDRESSES,
    Record,
    Store,
    Written,
    era_of,
    format_address,
    parse_address,
)
from beryljunction.routing import Address, Confirmation, PeerTable

__all__ = ["Registration"]

# Writing is repeated until it is done, which does no harm; the pause doubles up to the longest, so
# that hosts which start while the store is away don't press on it.
_PAUSE_S = 1.0
_LONGEST_PAUSE_S = 16.0
# Bounds the reads while many entries start together.
_DISTANCE_S = 2.0
_FAILED_PAUSE_S = 5.0
# Entries that find their records gone write them over this time.
_SPREAD_S = 1.0
# A stop can't wait for the store; a record that stays costs its readers one failed question.
_WITHDRAW_S = 0.5


class Registration:
    """Keeps this entry's address in the store, and the table of its peers up to date.

    The same topic holds the requests that are in quarantine, so that entries which start later know
    of them without another read.
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
        self._topic = TopicReader(store, state, ENTRY_ADDRESSES, state.addresses_known)
        self._is_doubtful = False
        self._lost = Signal()
        self._lost_records: list[Record] = []
        self._state = state
        self._peers = peers
        self._address = format_address(address)

    async def run(self) -> None:
        """Announce, then follow until cancelled."""
        await self._write(Record(self._host, self._address))
        while not await self.step():
            await anyio.sleep(_FAILED_PAUSE_S)
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_again)
            while True:
                bound = self._state.addresses_bound
                await self._schedule.wait(ENTRY_ADDRESSES, bound, self._need_age_s)
                if not await paced(self.step, _DISTANCE_S, 0.0):
                    await rest_until_back(self._state.contact, _FAILED_PAUSE_S)

    async def _write(self, record: Record) -> None:
        pause_s = _PAUSE_S
        while await self._store.put(ENTRY_ADDRESSES, record.key, record.value) != Written.DONE:
            await anyio.sleep(pause_s)
            pause_s = min(_LONGEST_PAUSE_S, 2 * pause_s)

    async def _write_again(self) -> None:
        """Write what a full list has shown to be gone, as after a restoration of the store."""
        while True:
            await self._lost.wait()
            await anyio.sleep(self._state.random.random() * _SPREAD_S)
            records, self._lost_records = self._lost_records, []
            for record in records:
                await self._write(record)

    def doubt(self) -> None:
        """Note that an entry tells this one which is not on its list: the list is old.

        Entries that start together read lists that have only those which started before them.
        """
        self._is_doubtful = True

    @property
    def known(self) -> Confirmation:
        """As of when the addresses are complete here."""
        return self._topic.known

    def confirm_to(self, end: int, asked_s: float, source: str) -> None:
        """Note that another entry has the addresses up to a position, as of when it asked."""
        self._topic.confirm_to(end, asked_s, source)

    def _need_age_s(self, now_s: float) -> float:
        """Return the age of the list; infinite where it is known to lack something."""
        is_restored = era_of(max(0, self.position)) < self._state.era
        is_incomplete = self._is_doubtful or is_restored
        return math.inf if is_incomplete else self.known.age_s(now_s)

    @property
    def offset(self) -> int | None:
        """Position up to which addresses are taken in; None before the first read."""
        return self._topic.offset

    @property
    def position(self) -> int:
        """The same as a number; -1 before the first read."""
        return self._topic.position

    def update_since(self, offset: int) -> TopicUpdate | None:
        """Return what came after a position; None for nothing."""
        return self._topic.update_since(offset, self._records)

    def apply_update(self, update: TopicUpdate) -> None:
        """Take in what another entry has read."""
        self._topic.apply_update(update, self._take_all, self._take)

    def _records(self) -> tuple[Record, ...]:
        """Return the address of each entry that is listed, this one's too, and the quarantine."""
        rows = self._state.fan_out.addresses().items()
        others = tuple(Record(host, format_address(address)) for host, address in rows)
        return (Record(self._host, self._address), *others, *self._state.quarantine.records())

    async def step(self) -> bool:
        """Read once."""
        bound = self._state.addresses_bound
        wait_s = bound.confirm_interval_s if self._schedule.is_first else 0.0
        is_read = await self._topic.step(round(wait_s * 1000), self._take_all, self._take)
        if is_read:
            self._is_doubtful = False
        if self._schedule.is_first:
            await self._remove_expired()
        return is_read

    async def _remove_expired(self) -> None:
        for key in self._state.quarantine.expired_keys():
            await self._store.put(ENTRY_ADDRESSES, key, None)

    async def withdraw(self) -> None:
        """Remove the address; this entry ends."""
        with anyio.move_on_after(_WITHDRAW_S):
            await self._store.put(ENTRY_ADDRESSES, self._host, None)

    def _take_all(self, records: Iterable[Record]) -> None:
        rows = list(records)
        self._note_lost({record.key for record in rows})
        addresses = dict(self._decode(rows))
        self._peers.replace(addresses)
        self._state.fan_out.replace(addresses)
        self._state.note_entries()

    def _note_lost(self, keys: set[str]) -> None:
        """Find the records of this entry, and as first reader those of the fleet, that are gone."""
        own = [Record(self._host, self._address)]
        if self._schedule.is_first:
            own += self._state.quarantine.records()
        self._lost_records = [record for record in own if record.key not in keys]
        if self._lost_records:
            self._lost.set()

    def _take(self, records: Iterable[Record]) -> None:
        rows = list(records)
        gone = [record.key for record in rows if record.value is None]
        addresses = dict(self._decode(rows))
        for host in gone:
            self._peers.remove(host)
        for host, address in addresses.items():
            self._peers.put(host, address)
        self._state.fan_out.update(addresses, gone)
        self._state.note_entries()

    def _decode(self, records: Iterable[Record]) -> list[tuple[str, Address]]:
        """Return the addresses that can be read, without this entry's own."""
        rows = []
        for record in records:
            if is_quarantine_key(record.key):
                self._state.quarantine.take_record(record)
                continue
            address = parse_address((record.value or b"").decode("latin-1"))
            if address is not None and record.key != self._host:
                rows.append((record.key, address))
        return rows
