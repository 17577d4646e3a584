"""Client of the platform's store: an append-only log of topics, some compacted by key."""

import abc
import collections
import contextlib
import enum
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Self

import anyio
import attrs
import httpcore

from beryljunction.httpcore_backend import UntimedReadBackend
from beryljunction.platform.fields import InvalidRecord
from beryljunction.platform.positions import ERA_LIMIT, era_of, offset_of
from beryljunction.platform.storeformat import (
    Expired,
    NewestRecords,
    Page,
    Record,
    Records,
    Unavailable,
    decode_end,
    decode_page,
    decode_records,
    encode_keyed_record,
    is_storable_key,
    quote_key,
)
from beryljunction.response_body import receive_parts

__all__ = [
    "ENDPOINT_RECORDS",
    "ENTRY_ADDRESSES",
    "Expired",
    "FLEET_CONFIG",
    "FLEET_CONFIG_KEY",
    "HttpStore",
    "NewestRecords",
    "Record",
    "Records",
    "Store",
    "Topic",
    "Unavailable",
    "WriteOutcome",
    "is_storable_key",
]

_READ_PATH = "/beryljunction/log-read"
_APPEND_PATH = "/beryljunction/log-append"
_NEWEST_PATH = "/beryljunction/log-newest"
# On each response of the store: how often the store was restored from an older backup.
_ERA_HEADER = b"store-era"
# A response that takes longer than this in addition to the requested wait counts as lost; a retry
# is harmless. The slowest known fault makes the store respond in 0.24 s, 60 times its usual 4 ms.
_RESPONSE_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 1.0
# Interim responses without end renew the timeout of a response, but not this one, which is longer
# than any stall of this process that the store should not be blamed for.
_MAX_HEAD_S = 10.0
# Three long-polling reads and one short call run at the same time.
_MAX_KEEPALIVE_CONNECTIONS = 4
_ERA_LENGTH_LIMIT = 16
_LENGTH_DIGITS_LIMIT = 16
_HEAD_BYTES = 16
# A read ends after about 1 MB, or after one record, which may be larger.
_MAX_BODY_BYTES = 16 * 1_048_576


@attrs.frozen
class Topic:
    """A compacted topic: its only partition keeps the newest record of each key.

    Attributes:
        max_read_kilobytes: Size at which the store ends a read; it returns at least one record.
        max_value_bytes: Size above which a value comes from another writer; None for no limit.
    """

    name: str
    max_read_kilobytes: int = 1_024
    max_value_bytes: int | None = None


# Written by the operator: the settings of the fleet under one key.
# An entry that missed several large versions needs only the newest one, so a read of the history
# ends after the first.
FLEET_CONFIG = Topic("keyed.op", max_read_kilobytes=64)
FLEET_CONFIG_KEY = "config"
# Written by the endpoints, each under its id.
ENDPOINT_RECORDS = Topic("keyed.servers", max_value_bytes=65_536)
# Written by the entries, each under its host's name: the address for requests of other entries.
ENTRY_ADDRESSES = Topic("keyed.entries", max_value_bytes=16_384)


class WriteOutcome(enum.Enum):
    """Outcome of a write.

    Attributes:
        DONE: The store has the record.
        NOT_DONE: The store rejected the record, or it can't have the key.
        UNKNOWN: There was no response; the write may take effect now or seconds later.
    """

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class Store(abc.ABC):
    """Interface through which the fleet reads and writes the platform's store."""

    @abc.abstractmethod
    async def read(
        self, topic: Topic, offset: int, wait_ms: int
    ) -> Records | Expired | Unavailable:
        """Return the records from an offset on; wait up to `wait_ms` if there are none."""

    def is_receiving(self, topic: Topic) -> bool:
        """Return whether the response to a read of a topic has begun and not yet ended."""
        return False

    @abc.abstractmethod
    async def read_newest(self, topic: Topic) -> NewestRecords | Unavailable:
        """Return the newest record of each key."""

    @abc.abstractmethod
    async def put(self, topic: Topic, key: str, value: bytes | None) -> WriteOutcome:
        """Write the record of a key; None removes the key. The call is idempotent."""


class HttpStore(Store):
    """Accesses the store over HTTP.

    Each call has a timeout, and a connection on which a call timed out is closed: after a lost
    response the connection stays silent, while new connections work.

    Every response has the era of the store. When a later era than the known one arrives, the
    waiting reads are cancelled, since the store may reuse the offsets that they wait for.
    Responses from before the restore are then dropped.

    Args:
        address: IP address and port of the store.
        on_problem: Called with an error message when an era can't be used.
    """

    def __init__(
        self, address: tuple[str, int], on_problem: Callable[[str], None] = lambda problem: None
    ) -> None:
        self._on_problem = on_problem
        self._era: int | None = None
        self._read_scopes: set[anyio.CancelScope] = set()
        self._origin = f"http://{address[0]}:{address[1]}"
        self._pool = httpcore.AsyncConnectionPool(
            max_keepalive_connections=_MAX_KEEPALIVE_CONNECTIONS,
            network_backend=UntimedReadBackend(),
        )
        self._receiving: collections.Counter[Topic] = collections.Counter()

    def is_receiving(self, topic: Topic) -> bool:
        """Return whether the response to a read of a topic has begun and not yet ended."""
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
        """Return the records from an offset on; wait up to `wait_ms` if there are none."""
        query = f"?topic={topic.name}&part=0&from={offset_of(offset)}"
        query += f"&max-kilobytes={topic.max_read_kilobytes}"
        if wait_ms:
            query += f"&wait-ms={wait_ms}"
        with anyio.CancelScope() as scope:
            self._read_scopes.add(scope)
            limit = _PartLimit(topic.max_read_kilobytes * 1_024, offset)
            try:
                answer = await self._call(
                    "GET", _READ_PATH + query, wait_ms / 1000, topic=topic, part_limit=limit
                )
            finally:
                self._read_scopes.discard(scope)
        if scope.cancelled_caught:
            return Expired()
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == 410 or answer.era != era_of(offset):
            return Expired()
        if answer.status != 200:
            return Unavailable(f"expected status 200 or 410, got {answer.status}")
        if answer.is_cut_short:
            end = decode_end(answer.body, answer.era)
            assert end is not None
            return Records((), offset, end)
        records = decode_records(answer.body, offset)
        return Unavailable(records.problem) if isinstance(records, InvalidRecord) else records

    async def read_newest(self, topic: Topic) -> NewestRecords | Unavailable:
        """Return the newest record of each key.

        The pages are not an atomic snapshot, so `next_position` is the end of the topic at the
        first page: records written while paging are read again from there.
        """
        records: list[Record] = []
        first_end: int | None = None
        after = ""
        while True:
            query = f"?topic={topic.name}&part=0"
            query += f"&after={quote_key(after)}" if after else ""
            page = await self._fetch_page(topic, _NEWEST_PATH + query)
            if isinstance(page, Unavailable):
                return page
            if first_end is None:
                first_end = page.end
            if era_of(page.end) != era_of(first_end):
                return Unavailable(
                    "expected all pages to be of one era, but the store was restored while paging"
                )
            records += page.records
            if not page.has_more:
                return NewestRecords(tuple(records), first_end)
            if page.last_key in ("", after):
                return Unavailable("expected further records on a page that has more, got none")
            after = page.last_key

    async def put(self, topic: Topic, key: str, value: bytes | None) -> WriteOutcome:
        """Write the record of a key; None removes the key. The call is idempotent."""
        if not is_storable_key(key):
            return WriteOutcome.NOT_DONE
        path = f"{_APPEND_PATH}?topic={topic.name}&part=0"
        answer = await self._call("POST", path, 0.0, encode_keyed_record(key, value))
        if isinstance(answer, Unavailable):
            return WriteOutcome.UNKNOWN
        return WriteOutcome.DONE if answer.status == 200 else WriteOutcome.NOT_DONE

    async def _fetch_page(self, topic: Topic, path: str) -> Page | Unavailable:
        answer = await self._call("GET", path, 0.0, topic=topic)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != 200:
            return Unavailable(f"expected status 200, got {answer.status}")
        page = decode_page(answer.body, answer.era)
        return Unavailable(page.problem) if isinstance(page, InvalidRecord) else page

    async def _call(
        self,
        method: str,
        path: str,
        wait_s: float,
        body: bytes | None = None,
        topic: Topic | None = None,
        part_limit: "_PartLimit | None" = None,
    ) -> "_Response | Unavailable":
        era_at_request = self._era
        timeout = {
            "connect": _CONNECT_TIMEOUT_S,
            "read": wait_s + _RESPONSE_TIMEOUT_S,
            "write": _RESPONSE_TIMEOUT_S,
            "pool": _RESPONSE_TIMEOUT_S,
        }
        try:
            async with contextlib.AsyncExitStack() as stack:
                with anyio.move_on_after(wait_s + _MAX_HEAD_S) as scope:
                    response = await stack.enter_async_context(
                        self._pool.stream(
                            method,
                            self._origin + path,
                            content=body,
                            extensions={"timeout": timeout},
                        )
                    )
                if scope.cancelled_caught:
                    return Unavailable(f"expected a response within {_MAX_HEAD_S:g} s, got none")
                era = self._update_era(response.headers, era_at_request)
                if era is None:
                    return Unavailable("got a response from before the store was restored")
                return await self._receive(response, topic, era, part_limit)
        except (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Unavailable(f"{type(error).__name__} {error}".strip())

    def _update_era(
        self, headers: Sequence[tuple[bytes, bytes]], era_at_request: int | None
    ) -> int | None:
        """Return the era of a response; None for a response from before a restore that is known.

        If the era is missing or out of range, the known era is kept.
        """
        known = self._era or 0
        text = next((value for name, value in headers if name.lower() == _ERA_HEADER), None)
        if text is None:
            return known
        era = int(text) if text.isdigit() and len(text) < _ERA_LENGTH_LIMIT else ERA_LIMIT
        if era >= ERA_LIMIT:
            self._on_problem(f"expected an era below {ERA_LIMIT}, got {text[:80]!r}")
            return known
        if self._era is None or era > self._era:
            self._era = era
            if era_at_request is not None:
                self._cancel_reads()
            return era
        if era < self._era:
            if era_at_request != self._era:
                return None
            self._on_problem(f"expected era {self._era} or a later one, got {era}")
        return self._era

    def _cancel_reads(self) -> None:
        for scope in self._read_scopes:
            scope.cancel()

    async def _receive(
        self,
        response: httpcore.Response,
        topic: Topic | None,
        era: int,
        part_limit: "_PartLimit | None",
    ) -> "_Response":
        if topic is not None:
            self._receiving[topic] += 1
        try:
            body = bytearray()
            async for part in receive_parts(response, _MAX_BODY_BYTES):
                body += part
                if part_limit is not None and part_limit.is_part(response, body, era):
                    return _Response(response.status, bytes(body), era, is_cut_short=True)
            return _Response(response.status, bytes(body), era)
        finally:
            if topic is not None:
                self._receiving[topic] -= 1


@attrs.frozen
class _Response:
    """A response of the store.

    Attributes:
        is_cut_short: Whether the rest of the body was not received, since it is not needed.
    """

    status: int
    body: bytes
    era: int
    is_cut_short: bool = False


@attrs.frozen
class _PartLimit:
    """Recognises, from its beginning, a large answer that does not reach the end of the topic.

    A body above the limit of a read holds a single large record. If more records follow, the newest
    record of each key is read instead, and the rest of the body is not received.

    Attributes:
        limit_bytes: The limit of the read.
        offset: Position of the first record.
    """

    limit_bytes: int
    offset: int

    def is_part(self, response: httpcore.Response, body: bytearray, era: int) -> bool:
        """Return whether a response that begins like this is such an answer."""
        is_usable = response.status == 200 and era == era_of(self.offset)
        if not is_usable or _content_length(response) <= self.limit_bytes:
            return False
        end = decode_end(bytes(body[:_HEAD_BYTES]), era)
        return end is not None and end > self.offset + 1


def _content_length(response: httpcore.Response) -> int:
    """Return the stated length of a body; 0 if there is none."""
    rows = (value for name, value in response.headers if name.lower() == b"content-length")
    text = next(rows, b"")
    return int(text) if text.isdigit() and len(text) < _LENGTH_DIGITS_LIMIT else 0
