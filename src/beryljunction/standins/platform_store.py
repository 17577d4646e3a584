"""A small store of the users' platform: topics with offsets, newest records of keys, faults."""

import base64
import collections
import copy
import itertools
import json
import random
import struct
import time
from collections.abc import Callable
from urllib.parse import parse_qs

import anyio
import attrs

from beryljunction.servers import (
    Receive,
    Scope,
    Send,
    cancel_on_disconnect,
    read_body,
    send_response,
)

__all__ = [
    "Gone",
    "PlatformStoreCopy",
    "PlatformStoreFaults",
    "PlatformStoreModel",
    "PlatformStoreStandIn",
    "Slice",
]

_PAGE_ITEMS = 500
_PAGE_BYTES = 1_048_576
_READ_KILOBYTES = 1_024
_LENGTH_BYTES = 4
_CHUNK_BYTES = 16_384
_BODY_BYTES = 4_194_304
_POLL_S = 0.005
_KEYED_PREFIX = "keyed."


@attrs.define
class PlatformStoreFaults:
    """What the store does wrong, switched while it runs.

    Attributes:
        busy: Every call is answered 503.
        silent: Calls get no answer, and nothing is done.
        lost_ratio: Share of calls that are done and whose answer never comes.
        late_s: Time after which a lost append takes effect.
        refused_hosts: Addresses whose calls are answered 429 while others are served.
        bytes_per_s: Rate at which the bodies of all answers together are sent; None for no limit.
    """

    busy: bool = False
    silent: bool = False
    lost_ratio: float = 0.0
    late_s: float = 0.0
    refused_hosts: frozenset[str] = frozenset()
    bytes_per_s: float | None = None
    seed: int = 0


@attrs.define
class _Part:
    records: collections.deque[tuple[float, bytes]] = attrs.field(factory=collections.deque)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@attrs.frozen
class Gone:
    """The asked offset has expired or was never there; `first` is the oldest that is kept."""

    first: int


@attrs.frozen
class Slice:
    """Records from an offset on."""

    records: tuple[bytes, ...]
    end: int
    first: int


@attrs.frozen
class PlatformStoreCopy:
    """All that a store held at one moment."""

    parts: dict[tuple[str, int], _Part]


class PlatformStoreModel:
    """The store without sockets or a clock: the time is handed in.

    Attributes:
        returns_large_records: Whether a read returns a record that alone is larger than the read.

    Args:
        retention_s: Age at which a record expires; the newest of each key stays.
    """

    def __init__(self, retention_s: float = 20.0) -> None:
        self._retention_s = retention_s
        self.returns_large_records = True
        self._parts: dict[tuple[str, int], _Part] = {}
        self.era = 0

    def copy(self) -> "PlatformStoreCopy":
        """Return a copy to restore the store from."""
        return PlatformStoreCopy(copy.deepcopy(self._parts))

    def restore(self, earlier: "PlatformStoreCopy") -> None:
        """Lose all that was written since a copy was made."""
        self._parts = copy.deepcopy(earlier.parts)
        self.era += 1

    def append(
        self, topic: str, records: list[bytes], now_s: float, part: int = 0, at: int | None = None
    ) -> int | None:
        """Append all records or none; return the offset of the first, None where `at` is wrong."""
        row = self._part(topic, part, now_s)
        if at is not None and at != row.end:
            return None
        offset = row.end
        for record in records:
            if topic.startswith(_KEYED_PREFIX):
                self._keep(row, record)
            row.records.append((now_s, record))
        return offset

    def put(self, topic: str, key: str, value: bytes | None, now_s: float) -> None:
        """Append the record of a key; None removes the key."""
        name = key.encode()
        self.append(topic, [bytes([len(name)]) + name + (value or b"")], now_s)

    def read(
        self,
        topic: str,
        offset: int,
        now_s: float,
        part: int = 0,
        max_kilobytes: int = _READ_KILOBYTES,
    ) -> Slice | Gone:
        """Return the records from an offset on, at least one and no more than fit into a read."""
        row = self._part(topic, part, now_s)
        if not row.first <= offset <= row.end:
            return Gone(row.first)
        records: list[bytes] = []
        left_bytes = max_kilobytes * 1_024
        for _, data in itertools.islice(row.records, offset - row.first, None):
            left_bytes -= len(data) + _LENGTH_BYTES
            if left_bytes < 0 and (records or not self.returns_large_records):
                break
            records.append(data)
        return Slice(tuple(records), row.end, row.first)

    def newest(
        self, topic: str, after: str, now_s: float, part: int = 0
    ) -> tuple[list[tuple[str, int, bytes]], bool, int]:
        """Return a page of the newest records of keys, whether there are more, and the end."""
        row = self._part(topic, part, now_s)
        keys = sorted(key for key in row.newest if key > after)
        page: list[tuple[str, int, bytes]] = []
        left_bytes = _PAGE_BYTES
        for key in keys[:_PAGE_ITEMS]:
            left_bytes -= len(row.newest[key][1])
            if left_bytes < 0 and page:
                break
            page.append((key, *row.newest[key]))
        return page, len(keys) > len(page), row.end

    def replay_first(self, topic: str, now_s: float, part: int = 0) -> None:
        """Append the oldest record that is kept once more; the newest of its key stays."""
        row = self._part(topic, part, now_s)
        if row.records:
            row.records.append((now_s, row.records[0][1]))

    def compact(self, topic: str, part: int = 0) -> None:
        """Drop the history; the newest of each key stays."""
        row = self._parts.get((topic, part))
        if row is not None:
            row.first = row.end
            row.records.clear()

    def _part(self, topic: str, part: int, now_s: float) -> _Part:
        row = self._parts.setdefault((topic, part), _Part())
        while row.records and row.records[0][0] + self._retention_s < now_s:
            row.records.popleft()
            row.first += 1
        return row

    def _keep(self, row: _Part, record: bytes) -> None:
        key_end = 1 + record[0]
        key, value = record[1:key_end].decode(), record[key_end:]
        if value:
            row.newest[key] = (row.end, value)
        else:
            row.newest.pop(key, None)


class PlatformStoreStandIn:
    """ASGI application that serves a model, faults included.

    Attributes:
        calls: Calls so far by path.
    """

    def __init__(
        self,
        model: PlatformStoreModel | None = None,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.model = model if model is not None else PlatformStoreModel()
        self.faults = PlatformStoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._now_s = now_s
        self._random = random.Random(self.faults.seed)
        self._link_free_s = 0.0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        body = await read_body(receive, _BODY_BYTES)
        path = scope["path"].rpartition("/")[2]
        self.calls[path] += 1
        query = {key: row[0] for key, row in parse_qs(scope["query_string"].decode()).items()}
        if self.faults.silent:
            await cancel_on_disconnect(receive, anyio.CancelScope())
            return
        client = (scope.get("client") or ("",))[0]
        if self.faults.busy or client in self.faults.refused_hosts:
            await self._respond(send, 503 if self.faults.busy else 429, b"{}")
            return
        is_lost = self._random.random() < self.faults.lost_ratio
        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_disconnect, receive, group.cancel_scope)
            status, answer = await self._answer(path, query, body or b"")
            if is_lost:
                await anyio.sleep_forever()
            await self._respond(send, status, answer)
            group.cancel_scope.cancel()

    async def _respond(self, send: Send, status: int, answer: bytes) -> None:
        headers = [(b"store-era", b"%d" % self.model.era)]
        if self.faults.bytes_per_s is None:
            await send_response(send, status, answer, headers)
            return
        length = (b"content-length", b"%d" % len(answer))
        await send({"type": "http.response.start", "status": status, "headers": [length, *headers]})
        for start in range(0, len(answer), _CHUNK_BYTES):
            chunk = answer[start : start + _CHUNK_BYTES]
            await self._wait_for_link(len(chunk) / self.faults.bytes_per_s)
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    async def _wait_for_link(self, duration_s: float) -> None:
        """Wait until a transfer of this duration has ended on the link that all answers share."""
        now_s = self._now_s()
        self._link_free_s = max(now_s, self._link_free_s) + duration_s
        await anyio.sleep(self._link_free_s - now_s)

    async def _answer(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        if path == "log-read":
            return await self._read(query)
        if path == "log-newest":
            return self._newest(query)
        if path == "log-append":
            return self._append(query, body)
        return 404, b"{}"

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        topic, offset = query["topic"], int(query["from"])
        end_s = self._now_s() + int(query.get("wait-ms", 0)) / 1000
        while True:
            # A fault that begins while a read waits is met by that read too.
            if self.faults.silent:
                await anyio.sleep_forever()
            if self.faults.busy:
                return 503, b"{}"
            now_s = self._now_s()
            limit = int(query.get("max-kilobytes", _READ_KILOBYTES))
            page = self.model.read(topic, offset, now_s, int(query["part"]), limit)
            if isinstance(page, Gone):
                return 410, json.dumps({"first": page.first}).encode()
            if page.end > offset or now_s >= end_s:
                data = b"".join(struct.pack(">I", len(row)) + row for row in page.records)
                return 200, struct.pack(">QQ", page.end, page.first) + data
            await anyio.sleep(_POLL_S)

    def _newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        after = query.get("after", "")
        rows, has_more, end = self.model.newest(
            query["topic"], after, self._now_s(), int(query["part"])
        )
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, offset, value in rows
        ]
        return 200, json.dumps({"items": items, "has-more": has_more, "end": end}).encode()

    def _append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        records: list[bytes] = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        at = int(query["at"]) if "at" in query else None
        part = int(query["part"])
        offset = self.model.append(query["topic"], records, self._now_s(), part, at)
        if offset is None:
            end = self.model.read(query["topic"], 0, self._now_s(), part)
            return 412, json.dumps({"end": getattr(end, "end", 0)}).encode()
        return 200, json.dumps({"offset": offset, "end": offset + len(records)}).encode()
