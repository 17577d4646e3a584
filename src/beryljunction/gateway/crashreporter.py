"""Tells other entries of requests that end endpoints, and saves which are quarantined."""

import anyio
import anyio.abc

from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.peers import PeerLink
from beryljunction.gateway.quarantine import Quarantine
from beryljunction.gateway.state import EntryState
from beryljunction.platform import ENTRY_ADDRESSES, Record, Store, Written

__all__ = ["CrashReporter"]

# Pause after an entry did not answer: some of these fit in the seconds in which all have to know.
_RETRY_S = 0.5
# Entries that are told at the same time; each message is a few hundred bytes.
_MOST_TOLD = 16
_SAVE_PAUSE_S = 1.0
_MOST_SAVES = 30


class CrashReporter:
    """Sends each entry what it lacks, until it has it or is given up."""

    def __init__(self, link: PeerLink, store: Store, state: EntryState) -> None:
        self._link = link
        self._store = store
        self._state = state
        self._quarantine: Quarantine = state.quarantine
        self._busy: set[str] = set()
        self._limiter = anyio.CapacityLimiter(_MOST_TOLD)

    async def run(self) -> None:
        """Tell until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._quarantine.untold.wait()
                self.step(group)

    def step(self, group: anyio.abc.TaskGroup) -> None:
        """Begin to tell those that lack something, and to save what is new."""
        for host in self._quarantine.hosts_to_tell():
            if host not in self._busy:
                self._busy.add(host)
                group.start_soon(self._tell_all, host)
        for record in self._quarantine.unsaved_records():
            group.start_soon(self._save, record)

    async def _tell_all(self, host: str) -> None:
        try:
            while (report := self._quarantine.report_for(host)) != CrashReport():
                if await self._tell(host, report):
                    self._quarantine.note_told(host, report)
                else:
                    await anyio.sleep(_RETRY_S)
        finally:
            self._busy.discard(host)

    async def _tell(self, host: str, report: CrashReport) -> bool:
        address = self._state.fan_out.addresses().get(host)
        if address is None:
            return False
        async with self._limiter:
            answer = await self._link.report(address, report.encode())
        if answer is None:
            return False
        try:
            self._quarantine.take(CrashReport.decode(answer))
        except ValueError as error:
            self._state.events.write("peer_rejected", status=200, problem=str(error))
            return False
        return True

    async def _save(self, record: Record) -> None:
        for _ in range(_MOST_SAVES):
            written = await self._store.put(ENTRY_ADDRESSES, record.key, record.value)
            if written is Written.DONE:
                return
            await anyio.sleep(_SAVE_PAUSE_S)
        self._state.events.write("quarantine_not_saved", key=record.key)
