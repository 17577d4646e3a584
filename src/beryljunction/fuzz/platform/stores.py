"""The store as an entry of the fuzz meets it, with faults for that entry alone."""

import asyncio
import enum
from typing import TypeVar

from beryljunction.fuzz.platform.virtual import VirtualLoop
from beryljunction.platform import (
    Expired,
    NewestRecords,
    Record,
    Records,
    Store,
    Topic,
    Unavailable,
    WriteOutcome,
    is_storable_key,
)
from beryljunction.platform.positions import era_of, offset_of, position_of
from beryljunction.standins.platform_store import Gone, PlatformStoreModel

__all__ = ["FuzzStore", "StoreFault"]

_Answer = TypeVar("_Answer")
_STORE_S = 0.004
_LATE_S = 2.0


class StoreFault(enum.StrEnum):
    """What the store does to an entry."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LATE = "late"


class FuzzStore(Store):
    """The stand-in's model, with faults for one entry."""

    def __init__(self, model: PlatformStoreModel, loop: VirtualLoop) -> None:
        self._model = model
        self._loop = loop
        self.fault = StoreFault.NONE

    async def read(
        self, topic: Topic, offset: int, wait_ms: int
    ) -> Records | Expired | Unavailable:
        """Return the records from an offset on."""
        fault = await self._begin(wait_ms / 1000)
        if fault is not None:
            return fault
        ends_s = self._loop.now_s + wait_ms / 1000
        while True:
            page = self._model.read(
                topic.name,
                offset_of(offset),
                self._loop.world_s,
                max_kilobytes=topic.max_read_kilobytes,
            )
            if isinstance(page, Gone) or self._model.era != era_of(offset):
                return Expired()
            if page.end > offset_of(offset) or self._loop.now_s >= ends_s:
                end = position_of(self._model.era, page.end)
                answer = Records(tuple(map(_record, page.records)), offset + len(page.records), end)
                return await self._finish(answer)
            if self.fault in (StoreFault.BUSY, StoreFault.SILENT):
                return Unavailable("cut while waiting")
            await asyncio.sleep(0.02)

    async def read_newest(self, topic: Topic) -> NewestRecords | Unavailable:
        """Return the newest record of each key."""
        records: list[Record] = []
        first_end: int | None = None
        has_more = True
        while has_more:
            fault = await self._begin(0.0)
            if fault is not None:
                return fault
            after = records[-1].key if records else ""
            rows, has_more, end = self._model.newest(topic.name, after, self._loop.world_s)
            first_end = position_of(self._model.era, end) if first_end is None else first_end
            if era_of(first_end) != self._model.era:
                return Unavailable("restored while paging")
            records += [Record(key, value) for key, _, value in rows]
        assert first_end is not None
        return await self._finish(NewestRecords(tuple(records), first_end))

    async def put(self, topic: Topic, key: str, value: bytes | None) -> WriteOutcome:
        """Write the record of a key."""
        if not is_storable_key(key):
            return WriteOutcome.NOT_DONE
        fault = await self._begin(0.0)
        if fault is not None:
            return WriteOutcome.NOT_DONE if fault.reason == "busy" else WriteOutcome.UNKNOWN
        self._model.put(topic.name, key, value, self._loop.world_s)
        return WriteOutcome.DONE

    async def _begin(self, wait_s: float) -> Unavailable | None:
        await asyncio.sleep(_STORE_S)
        if self.fault is StoreFault.BUSY:
            return Unavailable("busy")
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(wait_s + 1.0)
            return Unavailable("silent")
        return None

    async def _finish(self, answer: _Answer) -> _Answer | Unavailable:
        """Hand an answer out; a late one is of the time when it was made."""
        if self.fault is StoreFault.LATE:
            await asyncio.sleep(_LATE_S)
        return Unavailable("silent") if self.fault is StoreFault.SILENT else answer


def _record(data: bytes) -> Record:
    key_end = 1 + data[0]
    return Record(data[1:key_end].decode(), data[key_end:] or None)
