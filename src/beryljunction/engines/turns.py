"""The turns of a service's endpoints on a stream of the platform's log."""

import uuid

from beryljunction.stores import LogClient, ReadFailed
from beryljunction.systems.recovery.turns import EndTurn
from beryljunction.tables.turns import TurnQueue, end_record, renew_record, take_record

__all__ = ["TurnLog"]

_PAGE_RECORDS = 500


class TurnLog:
    """Reads and writes the turns; an append without an answer is found out by the next read.

    Attributes:
        queue: Turns as last read.
    """

    def __init__(self, log: LogClient, region: str, service: str) -> None:
        self.queue = TurnQueue()
        self._log = log
        self._stream = f"turns-{region}-{service}"

    async def refresh(self) -> bool:
        """Read to the stream's end; False when the log did not answer."""
        while True:
            page = await self._log.read(self._stream, self.queue.read_to, _PAGE_RECORDS)
            if isinstance(page, ReadFailed):
                return False
            self.queue.apply(page)
            if page.at_end:
                return True

    async def take(self, endpoint_id: str) -> None:
        """Queue an endpoint up."""
        await self._log.append(self._stream, uuid.uuid4().hex, take_record(endpoint_id))

    async def renew(self, endpoint_id: str) -> None:
        """Show that an endpoint still uses its turn."""
        await self._log.append(self._stream, uuid.uuid4().hex, renew_record(endpoint_id))

    async def end(self, step: EndTurn) -> None:
        """End a turn."""
        data = end_record(step.endpoint_id, step.renewed_at)
        await self._log.append(self._stream, uuid.uuid4().hex, data)
