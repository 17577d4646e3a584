"""A small log service: offsets, limited retention, limited appends, outages, lost answers."""

import json
import random
import re
import time
from collections import deque
from collections.abc import Callable
from typing import Any
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
from beryljunction.stores.log import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    LogClient,
    LogPage,
    LogRecord,
    ReadFailed,
    ReadOutcome,
)

__all__ = ["LogModel", "LogModelSettings", "LogStandIn", "ModelLogClient"]

_PATH = re.compile(r"/streams/([\w-]+)/records")
_BODY_BYTES = 4_194_304
_POLL_S = 0.02


@attrs.frozen
class LogModelSettings:
    """What the log can do and how it fails.

    Attributes:
        retention_s: Age at which a record is dropped.
        appends_per_s: Appends taken a second; the same number may come at once.
        lost_answer_ratio: Share of appends that take effect without an answer.
        lost_append_ratio: Share of appends that get no answer and take no effect.
    """

    retention_s: float = 86_400.0
    appends_per_s: float = 300.0
    lost_answer_ratio: float = 0.0
    lost_append_ratio: float = 0.0
    seed: int = 0


@attrs.define
class _Stream:
    records: deque[tuple[float, LogRecord]] = attrs.field(factory=deque)
    next_offset: int = 1


class LogModel:
    """The log without sockets or a clock: the time is handed in."""

    def __init__(self, settings: LogModelSettings | None = None) -> None:
        self.settings = settings if settings is not None else LogModelSettings()
        self.down = False
        self._random = random.Random(self.settings.seed)
        self._streams: dict[str, _Stream] = {}
        self._tokens = self.settings.appends_per_s
        self._filled_s = 0.0

    def append(self, stream: str, record_id: str, data: Any, now_s: float) -> AppendOutcome:
        """Append as the platform would, faults included."""
        if self.down:
            return AppendUnknown("the log is down")
        if not self._take_token(now_s):
            return AppendRefused("the log's rate limit", 1.0 / self.settings.appends_per_s)
        draw = self._random.random()
        if draw < self.settings.lost_append_ratio:
            return AppendUnknown("lost before effect")
        row = self._streams.setdefault(stream, _Stream())
        record = LogRecord(row.next_offset, record_id, json.loads(json.dumps(data)))
        row.next_offset += 1
        row.records.append((now_s, record))
        if draw < self.settings.lost_append_ratio + self.settings.lost_answer_ratio:
            return AppendUnknown("lost after effect")
        return Appended(record.offset)

    def read(self, stream: str, after: int, limit: int, now_s: float) -> ReadOutcome:
        """Read a page as the platform would."""
        if self.down:
            return ReadFailed("the log is down")
        row = self._streams.setdefault(stream, _Stream())
        while row.records and row.records[0][0] + self.settings.retention_s < now_s:
            row.records.popleft()
        first = row.next_offset - len(row.records)
        start = max(0, after + 1 - first)
        page = [row.records[i][1] for i in range(start, min(start + limit, len(row.records)))]
        return LogPage(tuple(page), first, row.next_offset)

    def _take_token(self, now_s: float) -> bool:
        rate = self.settings.appends_per_s
        self._tokens = min(rate, self._tokens + max(0.0, now_s - self._filled_s) * rate)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ModelLogClient(LogClient):
    """A client in the same process as the model, for tests and the local fleet."""

    def __init__(self, model: LogModel, now_s: Callable[[], float] = time.monotonic) -> None:
        self.model = model
        self._now_s = now_s

    async def append(self, stream: str, record_id: str, data: Any) -> AppendOutcome:
        """Append a record; see :meth:`LogClient.append`."""
        return self.model.append(stream, record_id, data, self._now_s())

    async def read(
        self, stream: str, after: int, limit: int = 500, wait_s: float = 0.0
    ) -> ReadOutcome:
        """Read records; see :meth:`LogClient.read`."""
        end_s = self._now_s() + wait_s
        while True:
            page = self.model.read(stream, after, limit, self._now_s())
            if isinstance(page, ReadFailed) or page.next_offset > after + 1:
                return page
            if self._now_s() >= end_s:
                return page
            await anyio.sleep(_POLL_S)


class LogStandIn:
    """ASGI application that serves a model over HTTP; a lost answer closes without a status."""

    def __init__(self, model: LogModel | None = None) -> None:
        self.model = model if model is not None else LogModel()
        self._client = ModelLogClient(self.model)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one append or read."""
        match = _PATH.fullmatch(scope["path"])
        body = await read_body(receive, _BODY_BYTES)
        if match is None or body is None:
            await send_response(send, 404, b"{}")
        elif scope["method"] == "POST":
            await self._append(match[1], body, send)
        else:
            async with anyio.create_task_group() as group:
                group.start_soon(cancel_on_disconnect, receive, group.cancel_scope)
                await self._read(match[1], scope["query_string"].decode(), send)
                group.cancel_scope.cancel()

    async def _append(self, stream: str, body: bytes, send: Send) -> None:
        record = json.loads(body)
        outcome = await self._client.append(stream, record["id"], record["data"])
        if isinstance(outcome, Appended):
            await send_response(send, 200, json.dumps({"offset": outcome.offset}).encode())
        elif isinstance(outcome, AppendRefused):
            headers = [(b"retry-after", str(outcome.retry_after_s).encode())]
            await send_response(send, 429, b"{}", headers)
        else:
            await send_response(send, 503, b"{}")

    async def _read(self, stream: str, query: str, send: Send) -> None:
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        page = await self._client.read(
            stream, int(fields["after"]), int(fields["limit"]), float(fields.get("wait_s", 0))
        )
        if isinstance(page, ReadFailed):
            await send_response(send, 503, b"{}")
            return
        rows = [{"offset": r.offset, "id": r.record_id, "data": r.data} for r in page.records]
        answer = {"records": rows, "first_offset": page.first_offset}
        await send_response(
            send, 200, json.dumps({**answer, "next_offset": page.next_offset}).encode()
        )
