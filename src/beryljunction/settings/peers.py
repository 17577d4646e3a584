"""Settings from other nodes over HTTP, for starts and outages of the log."""

import json
import random
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import parse_qs

import anyio
import httpcore

from beryljunction.servers import Receive, Scope, Send, read_body, respond
from beryljunction.settings.following import PeerSource
from beryljunction.settings.reader import SettingsReader
from beryljunction.settings.rotation import PeerRotation
from beryljunction.wire import FLEET_KEY_HEADER

__all__ = ["SETTINGS_PATH", "HttpPeers", "answer_settings"]

SETTINGS_PATH = "/beryl/v1/settings"
# Version and digest in one line: it is most of what a meeting's answer costs.
_STAND_HEADER = b"beryl-settings"
_ANSWER_S = 1.0
_ASKED_AT_ONCE = 64
_NEWEST = 2**62
_TREE_BYTES = 4_194_304


async def answer_settings(
    reader: SettingsReader,
    take: Callable[[Any], object],
    scope: Scope,
    receive: Receive,
    send: Send,
) -> None:
    """Answer GET SETTINGS_PATH?after=N: 200 with the tree when it is newer, else 204.

    PUT hands a tree over, which is taken if it is newer. Version and digest stand in a header
    either way. The caller has checked the fleet's key; ``take`` takes in what is handed over.
    """
    if scope["method"] == "PUT":
        _take(take, await read_body(receive, _TREE_BYTES))
        await respond(send, 204, b"")
        return
    fields = parse_qs(scope["query_string"].decode("latin-1"))
    after = int(fields.get("after", ["0"])[0])
    headers = [(_STAND_HEADER, f"{reader.version} {reader.digest}".encode())]
    if reader.version > after:
        await respond(send, 200, json.dumps(reader.tree.to_data()).encode(), headers)
    else:
        await send({"type": "http.response.start", "status": 204, "headers": headers})
        await send({"type": "http.response.body"})


def _take(take: Callable[[Any], object], body: bytes | None) -> None:
    try:
        data = json.loads(body or b"")
    except ValueError:
        return
    take(data)


class HttpPeers(PeerSource):
    """Meets nodes at the addresses that the process knows from the host list or its file.

    Args:
        addresses: Nodes that can be met.
        own: Address at which others meet this node; empty when they don't.
    """

    def __init__(
        self,
        addresses: Callable[[], Sequence[str]],
        reader: SettingsReader,
        pool: httpcore.AsyncConnectionPool,
        fleet_key: str,
        own: Callable[[], str] = str,
        rng: random.Random | None = None,
    ) -> None:
        self._addresses = addresses
        self._own = own
        self._reader = reader
        self._pool = pool
        self._fleet_key = fleet_key.encode()
        self._rotation = PeerRotation(rng if rng is not None else random.Random())
        self._ahead = ""

    @property
    def pace_s(self) -> float:
        """Return the rotation's pace; see :meth:`PeerSource.pace_s`."""
        return self._rotation.pace_s(self._own(), self._addresses())

    def note_newer(self, address: str) -> None:
        """Meet this node next: it was heard to have newer settings."""
        self._ahead = address

    async def newer_than(self, version: int) -> Any:
        """Meet the next node; see :meth:`PeerSource.newer_than`."""
        ahead, self._ahead = self._ahead, ""
        address = ahead or self._rotation.next(self._own(), self._addresses())
        if address is None:
            return None
        response = await self._ask(address, version)
        if response is None:
            return None
        if (_version_in(response) or 0) < self._reader.version:
            # Only this node may know that version, and nobody meets an entry to ask for it.
            await self._request("PUT", address, "", json.dumps(self._reader.tree.to_data()))
        if response.status != 200:
            return None
        try:
            return json.loads(response.content)
        except ValueError:
            return None

    async def versions(self) -> dict[str, int | None]:
        """Return the version in force at every node; None for one that does not answer."""
        found: dict[str, int | None] = {}

        async def ask(address: str) -> None:
            async with limiter:
                response = await self._ask(address, _NEWEST)
            found[address] = None if response is None else _version_in(response)

        limiter = anyio.CapacityLimiter(_ASKED_AT_ONCE)
        async with anyio.create_task_group() as group:
            for address in self._addresses():
                group.start_soon(ask, address)
        return found

    async def _ask(self, address: str, version: int) -> httpcore.Response | None:
        response = await self._request("GET", address, f"?after={version}")
        heard = _version_in(response) if response is not None else None
        if response is None or heard is None:
            return None
        self._reader.check_peer(heard, _stand_in(response)[1])
        return response

    async def _request(
        self, method: str, address: str, query: str, body: str = ""
    ) -> httpcore.Response | None:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), _ANSWER_S)
        try:
            return await self._pool.request(
                method,
                f"http://{address}{SETTINGS_PATH}{query}",
                headers=[(FLEET_KEY_HEADER, self._fleet_key)],
                content=body.encode() or None,
                extensions={"timeout": timeouts},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return None


def _version_in(response: httpcore.Response) -> int | None:
    text = _stand_in(response)[0]
    return int(text) if text.isdecimal() else None


def _stand_in(response: httpcore.Response) -> tuple[str, str]:
    """Return the version and the digest that a node named; empty where it named none."""
    for key, value in response.headers:
        if key.lower() == _STAND_HEADER:
            version, _, digest = value.decode("latin-1").partition(" ")
            return version, digest
    return "", ""
