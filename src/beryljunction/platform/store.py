"""Client of the platform's store: a log of topics, two of which hold the newest record of a key."""

import abc
import base64
import collections
import enum
import json
import struct
from types import TracebackType
from typing import Any, Self

import attrs
import httpcore

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
_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")
# A store under its slowest known trouble answers in 60 times its usual 4 ms, 0.24 s. An answer that
# takes longer than this on top of the asked wait is taken as lost; asking again is harmless.
_ANSWER_S = 1.0
_CONNECT_S = 1.0
# Three waiting reads and a short one go on at the same time.
_CONNECTIONS = 4


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


@attrs.frozen
class Record:
    """The value that a key got; None where the key was removed."""

    key: str
    value: bytes | None


@attrs.frozen
class Records:
    """Records from the asked offset on.

    Attributes:
        next_offset: Where to read on.
    """

    records: tuple[Record, ...]
    next_offset: int


@attrs.frozen
class Newest:
    """The newest record of each key.

    Attributes:
        next_offset: From where to read what was written while the pages were fetched.
    """

    records: tuple[Record, ...]
    next_offset: int


@attrs.frozen
class Expired:
    """The asked records are no longer there; the newest of each key are to be fetched."""


@attrs.frozen
class Unavailable:
    """No usable answer; reading again is harmless."""

    reason: str


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
    """

    def __init__(self, address: tuple[str, int]) -> None:
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
        query = f"?topic={topic.name}&part=0&from={offset}"
        if wait_ms:
            query += f"&wait-ms={wait_ms}"
        answer = await self._call("GET", _READ_PATH + query, wait_ms / 1000, topic=topic)
        if isinstance(answer, Unavailable):
            return answer
        status, body = answer
        if status == 410:
            return Expired()
        if status != 200:
            return Unavailable(f"expected status 200 or 410, got {status}")
        try:
            return _decode_records(body, offset)
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
            records += page.records
            if not page.has_more or not page.records:
                return Newest(tuple(records), first_end)
            after = page.records[-1].key

    async def put(self, topic: Topic, key: str, value: bytes | None) -> Written:
        """Write the record of a key; None removes the key. Repeating it does no harm."""
        name = key.encode()
        content = bytes([len(name)]) + name + (value or b"")
        path = f"{_APPEND_PATH}?topic={topic.name}&part=0"
        answer = await self._call("POST", path, 0.0, _LENGTH.pack(len(content)) + content)
        if isinstance(answer, Unavailable):
            return Written.UNKNOWN
        return Written.DONE if answer[0] == 200 else Written.NOT_DONE

    async def _page(self, path: str) -> "_Page | Unavailable":
        answer = await self._call("GET", path, 0.0)
        if isinstance(answer, Unavailable):
            return answer
        status, body = answer
        if status != 200:
            return Unavailable(f"expected status 200, got {status}")
        try:
            return _decode_page(json.loads(body))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return Unavailable(f"expected a page of records, got {error!r}")

    async def _call(
        self,
        method: str,
        path: str,
        wait_s: float,
        body: bytes | None = None,
        topic: Topic | None = None,
    ) -> tuple[int, bytes] | Unavailable:
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
                return response.status, await self._receive(response, topic)
        except (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Unavailable(f"{type(error).__name__} {error}".strip())

    async def _receive(self, response: httpcore.Response, topic: Topic | None) -> bytes:
        if topic is None:
            return await response.aread()
        self._receiving[topic] += 1
        try:
            return await response.aread()
        finally:
            self._receiving[topic] -= 1


@attrs.frozen
class _Page:
    records: tuple[Record, ...]
    end: int
    has_more: bool


def _decode_page(page: Any) -> _Page:
    records = tuple(
        Record(row["key"], base64.b64decode(row["value"]) or None) for row in page["items"]
    )
    return _Page(records, int(page["end"]), bool(page.get("has-more")))


def _decode_records(body: bytes, offset: int) -> Records | Expired:
    """Decode the end and first offset (8 bytes each), then length-prefixed records.

    A position behind the end was never read here: another entry told it wrongly, and reading on
    from there would wait for ever. The newest records say where the topic really is.
    """
    end, first = _ENDS.unpack_from(body)
    if offset > end:
        return Expired()
    start = max(offset, first)
    position = _ENDS.size
    records: list[Record] = []
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise ValueError("a record that ends early")
        records.append(_decode_keyed(body[position : position + length]))
        position += length
    return Records(tuple(records), start + len(records))


def _decode_keyed(content: bytes) -> Record:
    """Decode one byte of key length, the key, and the value; no value removes the key."""
    key_end = 1 + (content[0] if content else 0)
    key = content[1:key_end].decode(errors="replace")
    return Record(key, content[key_end:] or None)
