"""Client of the platform's store: a log of topics, two of which hold the newest record of a key."""

import abc
import collections
import enum
import json
import struct
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Self

import anyio
import attrs
import httpcore

from beryljunction.platform.positions import MOST_ERA, era_of, offset_of
from beryljunction.platform.storeformat import (
    Expired,
    Newest,
    Page,
    Record,
    Records,
    Unavailable,
    decode_page,
    decode_records,
    encode_record,
)

__all__ = [
    "ENDPOINT_RECORDS",
    "ENTRY_ADDRESSES",
    "Expired",
    "FLEET_CONFIG",
    "FLEET_CONFIG_KEY",
    "HttpStore",
    "Newest",
    "Record",
    "Records",
    "Store",
    "Topic",
    "Unavailable",
    "Written",
]

_READ_PATH = "/beryljunction/log-read"
_APPEND_PATH = "/beryljunction/log-append"
_NEWEST_PATH = "/beryljunction/log-newest"
# Number of times that the store was restored from an older copy, on each of its answers.
_ERA_HEADER = b"store-era"
# A store under its slowest known trouble answers in 60 times its usual 4 ms, 0.24 s. An answer that
# takes longer than this on top of the asked wait is taken as lost; asking again is harmless.
_ANSWER_S = 1.0
_CONNECT_S = 1.0
# Three waiting reads and a short one go on at the same time.
_CONNECTIONS = 4
_MOST_ERA_CHARS = 16


@attrs.frozen
class Topic:
    """Name of a topic whose only partition keeps the newest record of each key."""

    name: str


# What the operator writes: the settings of the fleet under one key.
FLEET_CONFIG = Topic("keyed.op")
FLEET_CONFIG_KEY = "config"
# What the endpoints write, each under its id.
ENDPOINT_RECORDS = Topic("keyed.servers")
# What the entries write: under each host's name, where other entries may ask it.
ENTRY_ADDRESSES = Topic("keyed.entries")


class Written(enum.Enum):
    """How writing ended.

    Attributes:
        DONE: The store has it.
        NOT_DONE: The store turned it away.
        UNKNOWN: There was no answer; it may be done, now or seconds later.
    """

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class Store(abc.ABC):
    """What the fleet reads of the platform's store, and writes to it."""

    @abc.abstractmethod
    async def read(
        self, topic: Topic, offset: int, wait_ms: int
    ) -> Records | Expired | Unavailable:
        """Return the records from an offset on, at once or after waiting for one."""

    def is_receiving(self, topic: Topic) -> bool:
        """Return whether records of a topic are on their way: a read's answer has begun."""
        return False

    @abc.abstractmethod
    async def newest(self, topic: Topic) -> Newest | Unavailable:
        """Return the newest record of each key."""

    @abc.abstractmethod
    async def put(self, topic: Topic, key: str, value: bytes | None) -> Written:
        """Write the record of a key; None removes the key. Repeating it does no harm."""


class HttpStore(Store):
    """Speaks to the store over HTTP.

    Each call has a time-out, and a connection on which one passed is closed: after a lost answer
    nothing more comes on it, though new connections work.

    Every answer names the era of the store. One of a later era than is known ends the reads that
    wait, since they may wait for offsets that are given out again; answers to what was asked before
    are dropped.

    Args:
        address: Where the store is.
        on_problem: Called with what is wrong with an era that can't be used.
    """

    def __init__(
        self, address: tuple[str, int], on_problem: Callable[[str], None] = lambda problem: None
    ) -> None:
        self._on_problem = on_problem
        self._era: int | None = None
        self._reads: set[anyio.CancelScope] = set()
        self._origin = f"http://{address[0]}:{address[1]}"
        self._pool = httpcore.AsyncConnectionPool(max_keepalive_connections=_CONNECTIONS)
        self._receiving: collections.Counter[Topic] = collections.Counter()

    def is_receiving(self, topic: Topic) -> bool:
        """Return whether records of a topic are on their way: a read's answer has begun."""
        return self._receiving[topic] > 0

    async def __aenter__(self) -> Self:
        await self._pool.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._pool.__aexit__(kind, error, trace)

    async def read(
        self, topic: Topic, offset: int, wait_ms: int
    ) -> Records | Expired | Unavailable:
        """Return the records from an offset on, at once or after waiting for one."""
        query = f"?topic={topic.name}&part=0&from={offset_of(offset)}"
        if wait_ms:
            query += f"&wait-ms={wait_ms}"
        with anyio.CancelScope() as scope:
            self._reads.add(scope)
            try:
                answer = await self._call("GET", _READ_PATH + query, wait_ms / 1000, topic=topic)
            finally:
                self._reads.discard(scope)
        if scope.cancelled_caught:
            return Expired()
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == 410 or answer.era != era_of(offset):
            return Expired()
        if answer.status != 200:
            return Unavailable(f"expected status 200 or 410, got {answer.status}")
        try:
            return decode_records(answer.body, offset)
        except (ValueError, struct.error) as error:
            return Unavailable(f"expected records, got {error}")

    async def newest(self, topic: Topic) -> Newest | Unavailable:
        """Return the newest record of each key.

        The pages are no snapshot, so reading goes on from the end that the first page names: what
        was written during the paging is seen again there.
        """
        records: list[Record] = []
        first_end: int | None = None
        after = ""
        while True:
            query = f"?topic={topic.name}&part=0" + (f"&after={after}" if after else "")
            page = await self._page(_NEWEST_PATH + query)
            if isinstance(page, Unavailable):
                return page
            if first_end is None:
                first_end = page.end
            if era_of(page.end) != era_of(first_end):
                return Unavailable("expected pages of one era, the store was restored meanwhile")
            records += page.records
            if not page.has_more or not page.records:
                return Newest(tuple(records), first_end)
            after = page.records[-1].key

    async def put(self, topic: Topic, key: str, value: bytes | None) -> Written:
        """Write the record of a key; None removes the key. Repeating it does no harm."""
        name = key.encode()
        content = bytes([len(name)]) + name + (value or b"")
        path = f"{_APPEND_PATH}?topic={topic.name}&part=0"
        answer = await self._call("POST", path, 0.0, encode_record(content))
        if isinstance(answer, Unavailable):
            return Written.UNKNOWN
        return Written.DONE if answer.status == 200 else Written.NOT_DONE

    async def _page(self, path: str) -> Page | Unavailable:
        answer = await self._call("GET", path, 0.0)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != 200:
            return Unavailable(f"expected status 200, got {answer.status}")
        try:
            return decode_page(json.loads(answer.body), answer.era)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return Unavailable(f"expected a page of records, got {error!r}")

    async def _call(
        self,
        method: str,
        path: str,
        wait_s: float,
        body: bytes | None = None,
        topic: Topic | None = None,
    ) -> "_Answer | Unavailable":
        asked_era = self._era
        timeout = {
            "connect": _CONNECT_S,
            "read": wait_s + _ANSWER_S,
            "write": _ANSWER_S,
            "pool": _ANSWER_S,
        }
        try:
            async with self._pool.stream(
                method, self._origin + path, content=body, extensions={"timeout": timeout}
            ) as response:
                era = self._take_era(response.headers, asked_era)
                if era is None:
                    return Unavailable("an answer from before the store was restored")
                return _Answer(response.status, await self._receive(response, topic), era)
        except (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Unavailable(f"{type(error).__name__} {error}".strip())

    def _take_era(
        self, headers: Sequence[tuple[bytes, bytes]], asked_era: int | None
    ) -> int | None:
        """Return the era of an answer; None for one from before a restoration that is known.

        An era that is missing or can't be meant changes nothing: the known one holds.
        """
        known = self._era or 0
        text = next((value for name, value in headers if name.lower() == _ERA_HEADER), None)
        if text is None:
            return known
        era = int(text) if text.isdigit() and len(text) < _MOST_ERA_CHARS else MOST_ERA
        if era >= MOST_ERA:
            self._on_problem(f"expected an era below {MOST_ERA}, got {text[:80]!r}")
            return known
        if self._era is None or era > self._era:
            self._era = era
            if asked_era is not None:
                self._end_reads()
            return era
        if era < self._era:
            if asked_era != self._era:
                return None
            self._on_problem(f"expected era {self._era} or a later one, got {era}")
        return self._era

    def _end_reads(self) -> None:
        for scope in self._reads:
            scope.cancel()

    async def _receive(self, response: httpcore.Response, topic: Topic | None) -> bytes:
        if topic is None:
            return await response.aread()
        self._receiving[topic] += 1
        try:
            return await response.aread()
        finally:
            self._receiving[topic] -= 1


@attrs.frozen
class _Answer:
    status: int
    body: bytes
    era: int
