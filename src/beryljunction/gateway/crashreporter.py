"""Reports requests that crash endpoints to other entries, and saves quarantines in the store."""

import itertools

import anyio
import anyio.abc

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.peers import PeerClient
from beryljunction.gateway.quarantine import CrashRow, count_features
from beryljunction.gateway.reportsender import ReportSender
from beryljunction.gateway.state import EntryState
from beryljunction.platform import ENTRY_ADDRESSES, InvalidRecord, Record, Store, WriteOutcome
from beryljunction.routing import Address
from beryljunction.timeouts import move_on_after

__all__ = ["CrashReporter"]

_SAVE_RETRY_PAUSE_S = 1.0
_MAX_SAVE_ATTEMPTS = 30
# Limit for the answers of all entries to one question; those that are missing are done without.
_ASK_TIMEOUT_S = 0.6
# Features in one message, some 40 KB; an entry on a link of 5 Mbit/s receives it in time.
_MAX_FEATURES_PER_MESSAGE = 1_024
# A round of many entries takes less than the limit with this many questions at once.
_MAX_CONCURRENT_QUESTIONS = 32


class CrashReporter(ReportSender[CrashRow]):
    """Sends reports of crashes, draws conclusions from them, and writes these to the store."""

    def __init__(self, client: PeerClient, store: Store, state: EntryState) -> None:
        super().__init__(state.quarantine.outbox, state.fan_out)
        self._client = client
        self._store = store
        self._quarantine = state.quarantine
        self._events = state.events
        state.trial_permits.client = client
        self._saving: dict[str, Record] = {}
        self._questions = anyio.CapacityLimiter(_MAX_CONCURRENT_QUESTIONS)

    async def run(self) -> None:
        """Send rows and draw conclusions until cancelled."""
        async with anyio.create_task_group() as group:
            for record in self._saving.values():
                group.start_soon(self._save, record)
            group.start_soon(super().run)
            group.start_soon(self._conclude_repeatedly)
            group.start_soon(self._save_crashes_repeatedly, group)

    def step(self, group: anyio.abc.TaskGroup) -> None:
        """Start sending to each entry with pending rows, and start saving new quarantines."""
        super().step(group)
        self._start_saving(group, self._quarantine.unsaved_records())

    def _start_saving(self, group: anyio.abc.TaskGroup, records: list[Record]) -> None:
        for record in records:
            self._saving[record.key] = record
            group.start_soon(self._save, record)

    def select(self, rows: list[CrashRow]) -> list[CrashRow]:
        """Return the first rows, up to the limit of their features."""
        sizes = itertools.accumulate(map(count_features, rows))
        fitting = sum(size <= _MAX_FEATURES_PER_MESSAGE for size in sizes)
        return rows[: max(1, fitting)]

    async def send(self, address: Address, rows: list[CrashRow]) -> bool:
        """Report rows to an entry, and apply the quarantines in its answer."""
        return await self._exchange(address, self._quarantine.report_of(rows).encode())

    async def _exchange(self, address: Address, message: bytes) -> bool:
        answer = await self._client.report_crashes(address, message)
        if answer is None:
            return False
        report = CrashReport.decode(answer)
        if isinstance(report, InvalidRecord):
            self._events.write("peer_rejected", status=200, problem=report.problem)
            return False
        self._quarantine.apply_report(report)
        return True

    async def _conclude_repeatedly(self) -> None:
        while True:
            while (due_s := self._quarantine.next_due_s) < float("inf"):
                await anyio.sleep(max(0.0, due_s - boot_time_s()))
                service = self._quarantine.due_service()
                if service is not None:
                    await self._conclude(service)
            await self._quarantine.suspected.wait()

    async def _save_crashes_repeatedly(self, group: anyio.abc.TaskGroup) -> None:
        crashes = self._quarantine.saved_crashes
        while True:
            while (due_s := crashes.next_due_s) < float("inf"):
                await anyio.sleep(max(0.0, due_s - boot_time_s()))
                self._start_saving(group, crashes.due_records())
            await crashes.changed.wait()

    async def _conclude(self, service: str) -> None:
        """Ask all entries what they have served, then find out what crashes a service."""
        suspicion = self._quarantine.suspicion_of(service)
        if suspicion is None:
            return
        message = CrashReport(suspicion=suspicion).encode()
        with move_on_after(_ASK_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for address in list(self._fan_out.addresses().values()):
                    group.start_soon(self._ask, address, message)
        self._quarantine.conclude(service)

    async def _ask(self, address: Address, message: bytes) -> None:
        async with self._questions:
            await self._exchange(address, message)

    async def _save(self, record: Record) -> None:
        is_saved = await self._try_to_save(record)
        if self._saving.get(record.key) is record:
            del self._saving[record.key]
        if not is_saved:
            self._events.write("quarantine_not_saved", key=record.key)

    async def _try_to_save(self, record: Record) -> bool:
        for _ in range(_MAX_SAVE_ATTEMPTS):
            written = await self._store.put(ENTRY_ADDRESSES, record.key, record.value)
            if written is WriteOutcome.DONE:
                return True
            await anyio.sleep(_SAVE_RETRY_PAUSE_S)
        return False
