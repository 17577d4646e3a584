"""The batch of a stand-in engine: a bounded number of requests run, the rest wait by priority."""

import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator

import anyio

__all__ = ["BatchSlots"]


class BatchSlots:
    """Slots of a continuous batch; a higher priority goes first, then the earlier arrival."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._waiting: list[tuple[int, int, anyio.Event]] = []
        self._arrivals = itertools.count()
        self.running = 0

    @property
    def waiting(self) -> int:
        """Number of requests that have no slot yet."""
        return len(self._waiting)

    @contextlib.asynccontextmanager
    async def hold(self, priority: int) -> AsyncIterator[None]:
        """Run the body within a slot of the batch."""
        await self._take(priority)
        try:
            yield
        finally:
            self._give_back()

    async def _take(self, priority: int) -> None:
        if self.running < self._limit:
            self.running += 1
            return
        granted = anyio.Event()
        ticket = (-priority, next(self._arrivals), granted)
        heapq.heappush(self._waiting, ticket)
        try:
            await granted.wait()
        except BaseException:
            # Cancelled between the grant and the wake-up: the slot is ours and would be lost.
            if granted.is_set():
                self._give_back()
            else:
                self._waiting.remove(ticket)
                heapq.heapify(self._waiting)
            raise

    def _give_back(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
