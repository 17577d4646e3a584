"""A small host list: versions, deltas, lag; changed by its own ``PUT`` and ``DELETE``."""

import json
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
from beryljunction.standins.faults import HostListFaults
from beryljunction.stores.hosts import HOSTS_PATH, HostChanges, HostRow
from beryljunction.wire import decode, encode

__all__ = ["HostListModel", "HostListStandIn"]

_BODY_BYTES = 65_536
_KEPT_CHANGES = 1_000
_POLL_S = 0.05


@attrs.frozen
class _Change:
    version: int
    at_s: float
    key: str
    row: HostRow | None


class HostListModel:
    """The list's rows and its history of changes, with the time handed in.

    A reader that is further behind than the history reaches gets the whole list.
    """

    def __init__(self, kept_changes: int = _KEPT_CHANGES) -> None:
        self._kept = kept_changes
        self._changes: list[_Change] = []
        self._forgotten_version = 0
        self._base: dict[str, HostRow] = {}
        self.version = 0

    def put(self, row: HostRow, now_s: float) -> None:
        """Insert or replace a row."""
        self._add(row.key, row, now_s)

    def remove(self, key: str, now_s: float) -> None:
        """Take a row off the list."""
        self._add(key, None, now_s)

    def changes(self, after: int, shown_s: float) -> HostChanges:
        """Return what changed after a version, as far as it happened by ``shown_s``."""
        visible = [change for change in self._changes if change.at_s <= shown_s]
        version = visible[-1].version if visible else self._forgotten_version
        is_full = after < self._forgotten_version or after > self.version
        newest: dict[str, HostRow | None] = dict(self._base) if is_full else {}
        for change in visible:
            if is_full or change.version > after:
                newest[change.key] = change.row
        rows = tuple(row for row in newest.values() if row is not None)
        gone = tuple(key for key, row in newest.items() if row is None and not is_full)
        return HostChanges(version, rows, gone, is_full)

    def _add(self, key: str, row: HostRow | None, now_s: float) -> None:
        self.version += 1
        self._changes.append(_Change(self.version, now_s, key, row))
        while len(self._changes) > self._kept:
            oldest = self._changes.pop(0)
            self._forgotten_version = oldest.version
            if oldest.row is None:
                self._base.pop(oldest.key, None)
            else:
                self._base[oldest.key] = oldest.row


class HostListStandIn:
    """ASGI application: ``GET /v1/hosts?after=VERSION&wait_s=S``, ``PUT`` and ``DELETE`` rows."""

    def __init__(
        self, faults: HostListFaults | None = None, now_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.model = HostListModel()
        self.faults = faults if faults is not None else HostListFaults()
        self._now_s = now_s

    def put(self, row: HostRow) -> None:
        """Insert or replace a row."""
        self.model.put(row, self._now_s())

    def remove(self, key: str) -> None:
        """Take a row off the list."""
        self.model.remove(key, self._now_s())

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        body = await read_body(receive, _BODY_BYTES)
        path: str = scope["path"]
        if body is None:
            return
        if self.faults.outage:
            await send_response(send, 503, b"{}")
        elif path == HOSTS_PATH and scope["method"] == "GET":
            async with anyio.create_task_group() as group:
                group.start_soon(cancel_on_disconnect, receive, group.cancel_scope)
                await self._read(scope, send)
                group.cancel_scope.cancel()
        elif path == HOSTS_PATH and scope["method"] == "PUT":
            self.put(decode(body, HostRow))
            await send_response(send, 200, b"{}")
        elif path.startswith(f"{HOSTS_PATH}/") and scope["method"] == "DELETE":
            self.remove(path.removeprefix(f"{HOSTS_PATH}/"))
            await send_response(send, 200, b"{}")
        else:
            await send_response(send, 404, json.dumps({"error": f"no such path {path}"}).encode())

    async def _read(self, scope: Scope, send: Send) -> None:
        query = parse_qs(scope["query_string"].decode("latin-1"))
        after = int(query.get("after", ["0"])[0])
        until_s = self._now_s() + float(query.get("wait_s", ["0"])[0])
        while True:
            changes = self.model.changes(after, self._now_s() - self.faults.lag_s)
            if changes.version != after or changes.full or self._now_s() >= until_s:
                break
            await anyio.sleep(_POLL_S)
        await send_response(send, 200, encode(changes))
