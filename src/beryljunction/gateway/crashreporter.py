"""Reports requests that crash endpoints to other entries, and saves quarantines in the store."""

import anyio
import anyio.abc

from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.peers import PeerClient
from beryljunction.gateway.quarantine import Quarantine
from beryljunction.gateway.state import EntryState
from beryljunction.platform import ENTRY_ADDRESSES, Record, Store, WriteOutcome

__all__ = ["CrashReporter"]

# Pause after an entry did not answer; allows several attempts within the few seconds in which all
# entries have to know of a quarantine.
_RETRY_PAUSE_S = 0.5
# Limit of concurrent messages; each is a few hundred bytes.
_MAX_CONCURRENT_SENDS = 16
_SAVE_RETRY_PAUSE_S = 1.0
_MAX_SAVE_ATTEMPTS = 30


class CrashReporter:
    """Sends each entry its pending reports until it has received them or they expire."""

    def __init__(self, client: PeerClient, store: Store, state: EntryState) -> None:
        self._client = client
        self._store = store
        self._state = state
        self._quarantine: Quarantine = state.quarantine
        self._busy: set[str] = set()
        self._limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_SENDS)

    async def run(self) -> None:
        """Send reports until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._quarantine.pending_changed.wait()
                self.step(group)

    def step(self, group: anyio.abc.TaskGroup) -> None:
        """Start sending to each entry with pending reports, and start saving new quarantines."""
        for host in self._quarantine.hosts_with_pending_reports():
            if host not in self._busy:
                self._busy.add(host)
                group.start_soon(self._send_all, host)
        for record in self._quarantine.unsaved_records():
            group.start_soon(self._save, record)

    async def _send_all(self, host: str) -> None:
        try:
            while (report := self._quarantine.report_for(host)) != CrashReport():
                if await self._send(host, report):
                    self._quarantine.mark_sent(host, report)
                else:
                    await anyio.sleep(_RETRY_PAUSE_S)
        finally:
            self._busy.discard(host)

    async def _send(self, host: str, report: CrashReport) -> bool:
        address = self._state.fan_out.addresses().get(host)
        if address is None:
            return False
        async with self._limiter:
            answer = await self._client.report_crashes(address, report.encode())
        if answer is None:
            return False
        try:
            self._quarantine.apply_report(CrashReport.decode(answer))
        except ValueError as error:
            self._state.events.write("peer_rejected", status=200, problem=str(error))
            return False
        return True

    async def _save(self, record: Record) -> None:
        for _ in range(_MAX_SAVE_ATTEMPTS):
            written = await self._store.put(ENTRY_ADDRESSES, record.key, record.value)
            if written is WriteOutcome.DONE:
                return
            await anyio.sleep(_SAVE_RETRY_PAUSE_S)
        self._state.events.write("quarantine_not_saved", key=record.key)
