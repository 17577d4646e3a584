"""Sends the rows of an outbox to other entries until they have received them."""

import abc
from typing import Generic, TypeVar

import anyio
import anyio.abc

from beryljunction.gateway.outbox import Outbox
from beryljunction.routing import Address, FanOut

__all__ = ["ReportSender"]

_Row = TypeVar("_Row")
# Pause after an entry did not answer; allows several attempts within the few seconds in which all
# entries have to know of a quarantine.
_RETRY_PAUSE_S = 0.5
# Limit of concurrent messages; each is a few hundred bytes.
_MAX_CONCURRENT_SENDS = 16


class ReportSender(abc.ABC, Generic[_Row]):
    """Sends each entry its pending rows until it has received them or they expire."""

    def __init__(self, outbox: Outbox[_Row], fan_out: FanOut) -> None:
        self._outbox = outbox
        self._fan_out = fan_out
        self._busy: set[str] = set()
        self._limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_SENDS)

    async def run(self) -> None:
        """Send rows until cancelled; a run that failed may have left rows behind."""
        async with anyio.create_task_group() as group:
            while True:
                self.step(group)
                await self._outbox.changed.wait()

    def step(self, group: anyio.abc.TaskGroup) -> None:
        """Start sending to each entry with pending rows."""
        for host in self._outbox.hosts():
            if host not in self._busy:
                self._busy.add(host)
                group.start_soon(self._send_all, host)

    async def _send_all(self, host: str) -> None:
        try:
            while rows := self.select(self._outbox.next_rows(host)):
                address = self._fan_out.addresses().get(host)
                if address is not None and await self._send_limited(address, rows):
                    self._outbox.mark_sent(host, rows)
                else:
                    await anyio.sleep(_RETRY_PAUSE_S)
        finally:
            self._busy.discard(host)

    def select(self, rows: list[_Row]) -> list[_Row]:
        """Return the rows of one message: as many of the first as it may have; one at least."""
        return rows

    async def _send_limited(self, address: Address, rows: list[_Row]) -> bool:
        async with self._limiter:
            return await self.send(address, rows)

    @abc.abstractmethod
    async def send(self, address: Address, rows: list[_Row]) -> bool:
        """Send rows to an entry; return False if it did not accept them."""
