"""Reports requests that crash endpoints to other entries, and saves quarantines in the store."""

import anyio
import anyio.abc

from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.peers import PeerClient
from beryljunction.gateway.quarantine import CrashRow
from beryljunction.gateway.reportsender import ReportSender
from beryljunction.gateway.state import EntryState
from beryljunction.platform import ENTRY_ADDRESSES, Record, Store, WriteOutcome
from beryljunction.routing import Address

__all__ = ["CrashReporter"]

_SAVE_RETRY_PAUSE_S = 1.0
_MAX_SAVE_ATTEMPTS = 30


class CrashReporter(ReportSender[CrashRow]):
    """Sends reports of crashes, and writes new quarantines to the store."""

    def __init__(self, client: PeerClient, store: Store, state: EntryState) -> None:
        super().__init__(state.quarantine.outbox, state.fan_out)
        self._client = client
        self._store = store
        self._quarantine = state.quarantine
        self._events = state.events

    def step(self, group: anyio.abc.TaskGroup) -> None:
        """Start sending to each entry with pending rows, and start saving new quarantines."""
        super().step(group)
        for record in self._quarantine.unsaved_records():
            group.start_soon(self._save, record)

    async def send(self, address: Address, rows: list[CrashRow]) -> bool:
        """Report rows to an entry, and apply the quarantines in its answer."""
        report = self._quarantine.report_of(rows)
        answer = await self._client.report_crashes(address, report.encode())
        if answer is None:
            return False
        try:
            self._quarantine.apply_report(CrashReport.decode(answer))
        except ValueError as error:
            self._events.write("peer_rejected", status=200, problem=str(error))
            return False
        return True

    async def _save(self, record: Record) -> None:
        for _ in range(_MAX_SAVE_ATTEMPTS):
            written = await self._store.put(ENTRY_ADDRESSES, record.key, record.value)
            if written is WriteOutcome.DONE:
                return
            await anyio.sleep(_SAVE_RETRY_PAUSE_S)
        self._events.write("quarantine_not_saved", key=record.key)
