"""Turns of the endpoints of a service, kept as a queue on a stream of the platform's log.

An endpoint must hold a turn before it stops serving in order to load.
"""

import uuid

from beryljunction.stores import LogClient, ReadFailed
from beryljunction.systems.recovery.turns import EndTurn
from beryljunction.tables.turns import TurnQueue, end_record, renew_record, take_record

__all__ = ["LoadTurnLog"]

_MAX_PAGE_RECORDS = 500


class LoadTurnLog:
    """Reads and writes turns.

    An append that gets no answer may still have succeeded, which the next read shows.

    Attributes:
        queue: The turns at the last read.
    """

    def __init__(self, log: LogClient, region: str, service: str) -> None:
        self.queue = TurnQueue()
        self._log = log
        self._stream = f"turns-{region}-{service}"

    async def refresh(self) -> bool:
        """Read to the end of the stream; return False if the log did not answer."""
        while True:
            page = await self._log.read(self._stream, self.queue.read_to, _MAX_PAGE_RECORDS)
            if isinstance(page, ReadFailed):
                return False
            self.queue.apply(page)
            if page.is_last:
                return True

    async def enqueue(self, endpoint_id: str) -> None:
        """Append an endpoint to the queue."""
        await self._log.append(self._stream, uuid.uuid4().hex, take_record(endpoint_id))

    async def renew(self, endpoint_id: str) -> None:
        """Renew the turn of an endpoint, which shows that it is still in use."""
        await self._log.append(self._stream, uuid.uuid4().hex, renew_record(endpoint_id))

    async def release(self, step: EndTurn) -> None:
        """Remove a turn from the queue."""
        data = end_record(step.endpoint_id, step.renewed_at)
        await self._log.append(self._stream, uuid.uuid4().hex, data)
