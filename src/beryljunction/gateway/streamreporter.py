"""Reports where streams began to other entries, and saves the versions of services in the store."""

import math

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.peers import PeerClient
from beryljunction.gateway.poll_schedules import PollSchedule
from beryljunction.gateway.reportsender import ReportSender
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.streamreports import BegunStream, StreamReport
from beryljunction.platform import ENTRY_ADDRESSES, Store, WriteOutcome
from beryljunction.routing import Address

__all__ = ["StreamReporter", "VersionRecorder"]

# The versions of a service change when endpoints are replaced by those of another release. They
# are saved well before the last endpoint of the former version can leave.
_CHECK_INTERVAL_S = 0.5
# Pause before each further reader saves what the readers before it have not.
_STANDBY_S = 1.0
_FAILED_PAUSE_S = 2.0


class StreamReporter(ReportSender[BegunStream]):
    """Sends reports of begun streams."""

    def __init__(self, client: PeerClient, state: EntryState) -> None:
        super().__init__(state.streams.outbox, state.fan_out)
        self._client = client
        state.streams.ask_peer = client.exchange_streams

    async def send(self, address: Address, rows: list[BegunStream]) -> bool:
        """Report rows to an entry; return False if it did not accept them."""
        message = StreamReport(tuple(rows)).encode()
        return await self._client.exchange_streams(address, message) is not None


class VersionRecorder:
    """Saves the versions of each service, for entries that start later."""

    def __init__(self, store: Store, state: EntryState, schedule: PollSchedule) -> None:
        self._store = store
        self._state = state
        self._schedule = schedule
        self._unsaved_since_s: float | None = None

    async def run(self) -> None:
        """Save versions until cancelled."""
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            if not await self.step():
                await anyio.sleep(_FAILED_PAUSE_S)

    async def step(self) -> bool:
        """Save the versions that the store lacks; return False if that failed.

        Every reader of the store does so, one after the other, in case those before it can't.
        """
        records = self._state.streams.unsaved_records() if self._schedule.is_reader else []
        now_s = boot_time_s()
        has_read = math.isfinite(self._state.addresses_confirmation.asked_s)
        if not records or not has_read:
            self._unsaved_since_s = None
            return True
        if self._unsaved_since_s is None:
            self._unsaved_since_s = now_s
        if now_s - self._unsaved_since_s < self._state.fan_out.reader_rank * _STANDBY_S:
            return True
        for record in records:
            written = await self._store.put(ENTRY_ADDRESSES, record.key, record.value)
            if written is not WriteOutcome.DONE:
                return False
            self._state.streams.apply_record(record)
        return True
