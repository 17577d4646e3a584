"""Settings from other nodes over HTTP, for starts and outages of the log."""

import json
import random
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import parse_qs

import anyio
import httpcore

from beryljunction.servers import Scope, Send, respond
from beryljunction.settings.following import PeerSource
from beryljunction.settings.reader import SettingsReader
from beryljunction.wire import FLEET_KEY_HEADER

__all__ = ["SETTINGS_PATH", "HttpPeers", "answer_settings"]

SETTINGS_PATH = "/beryl/v1/settings"
_DIGEST_HEADER = b"beryl-settings-digest"
_VERSION_HEADER = b"beryl-settings-version"
_ANSWER_S = 1.0
_ASKED_AT_ONCE = 64
_NEWEST = 2**62


async def answer_settings(reader: SettingsReader, scope: Scope, send: Send) -> None:
    """Answer GET SETTINGS_PATH?after=N: 200 with the tree when it is newer, else 204.

    Version and digest stand in the headers either way. The caller has checked the fleet's key.
    """
    fields = parse_qs(scope["query_string"].decode("latin-1"))
    after = int(fields.get("after", ["0"])[0])
    headers = [
        (_VERSION_HEADER, str(reader.version).encode()),
        (_DIGEST_HEADER, reader.digest.encode()),
    ]
    if reader.version > after:
        await respond(send, 200, json.dumps(reader.tree.to_data()).encode(), headers)
    else:
        await respond(send, 204, b"", headers)


class HttpPeers(PeerSource):
    """Asks nodes at the addresses that the process knows from the host list or its file."""

    def __init__(
        self,
        addresses: Callable[[], Sequence[str]],
        reader: SettingsReader,
        pool: httpcore.AsyncConnectionPool,
        fleet_key: str,
        rng: random.Random | None = None,
    ) -> None:
        self._addresses = addresses
        self._reader = reader
        self._pool = pool
        self._fleet_key = fleet_key.encode()
        self._rng = rng if rng is not None else random.Random()

    async def newer_than(self, version: int) -> Any:
        """Ask one node; see :meth:`PeerSource.newer_than`."""
        addresses = self._addresses()
        if not addresses:
            return None
        response = await self._ask(self._rng.choice(addresses), version)
        if response is None or response.status != 200:
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
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), _ANSWER_S)
        try:
            response = await self._pool.request(
                "GET",
                f"http://{address}{SETTINGS_PATH}?after={version}",
                headers=[(FLEET_KEY_HEADER, self._fleet_key)],
                extensions={"timeout": timeouts},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return None
        heard = _version_in(response)
        if heard is None:
            return None
        self._reader.check_peer(heard, _header(response, _DIGEST_HEADER))
        return response


def _version_in(response: httpcore.Response) -> int | None:
    text = _header(response, _VERSION_HEADER)
    return int(text) if text.isdecimal() else None


def _header(response: httpcore.Response, name: bytes) -> str:
    for key, value in response.headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return ""
