"""Exchanges settings with peers over HTTP at startup and while the log is down."""

import json
import random
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import parse_qs

import anyio
import httpcore

from beryljunction.servers import Receive, Scope, Send, read_body, send_response
from beryljunction.settings.follower import PeerSource
from beryljunction.settings.peer_rotation import PeerRotation
from beryljunction.settings.state import SettingsState
from beryljunction.wire import FLEET_KEY_HEADER

__all__ = ["SETTINGS_PATH", "HttpPeers", "serve_settings"]

SETTINGS_PATH = "/beryl/v1/settings"
# Version and digest share one header line, since it is most of the size of a 204 response.
_VERSION_HEADER = b"beryl-settings"
_REQUEST_TIMEOUT_S = 1.0
_MAX_CONCURRENT_REQUESTS = 64
_ABOVE_ANY_VERSION = 2**62
_MAX_TREE_BYTES = 4_194_304


async def serve_settings(
    state: SettingsState,
    apply_snapshot: Callable[[Any], object],
    scope: Scope,
    receive: Receive,
    send: Send,
) -> None:
    """Respond to GET SETTINGS_PATH?after=N: 200 with the tree when it is newer than N, else 204.

    Both responses have the version and digest in a header. PUT pushes a tree, which is passed to
    ``apply_snapshot`` and applied if it is newer. The caller has checked the fleet's key.
    """
    if scope["method"] == "PUT":
        _apply_pushed_tree(apply_snapshot, await read_body(receive, _MAX_TREE_BYTES))
        await send_response(send, 204, b"")
        return
    fields = parse_qs(scope["query_string"].decode("latin-1"))
    after = int(fields.get("after", ["0"])[0])
    headers = [(_VERSION_HEADER, f"{state.version} {state.digest}".encode())]
    if state.version > after:
        await send_response(send, 200, json.dumps(state.tree.to_data()).encode(), headers)
    else:
        await send({"type": "http.response.start", "status": 204, "headers": headers})
        await send({"type": "http.response.body"})


def _apply_pushed_tree(apply_snapshot: Callable[[Any], object], body: bytes | None) -> None:
    try:
        data = json.loads(body or b"")
    except ValueError:
        return
    apply_snapshot(data)


class HttpPeers(PeerSource):
    """Exchanges trees with the peers that the host list or the settings file names.

    Args:
        addresses: Addresses of the peers.
        own: Address at which peers reach this process; empty when they can't.
    """

    def __init__(
        self,
        addresses: Callable[[], Sequence[str]],
        state: SettingsState,
        pool: httpcore.AsyncConnectionPool,
        fleet_key: str,
        own: Callable[[], str] = str,
        rng: random.Random | None = None,
    ) -> None:
        self._addresses = addresses
        self._own = own
        self._state = state
        self._pool = pool
        self._fleet_key = fleet_key.encode()
        self._rotation = PeerRotation(rng if rng is not None else random.Random())
        self._preferred_address = ""

    @property
    def exchange_interval_s(self) -> float:
        """Return the rotation's interval; see :meth:`PeerSource.exchange_interval_s`."""
        return self._rotation.exchange_interval_s(self._own(), self._addresses())

    def prefer_peer(self, address: str) -> None:
        """Choose the peer at this address next, since it reported newer settings."""
        self._preferred_address = address

    async def exchange(self, version: int) -> Any:
        """Exchange trees with the next peer; see :meth:`PeerSource.exchange`."""
        preferred, self._preferred_address = self._preferred_address, ""
        address = preferred or self._rotation.next_peer(self._own(), self._addresses())
        if address is None:
            return None
        response = await self._fetch(address, version)
        if response is None:
            return None
        if (_version_of(response) or 0) < self._state.version:
            # Push the tree: this process may be the only one with it, and peers don't poll entries.
            await self._request("PUT", address, "", json.dumps(self._state.tree.to_data()))
        if response.status != 200:
            return None
        try:
            return json.loads(response.content)
        except ValueError:
            return None

    async def versions(self) -> dict[str, int | None]:
        """Return the version in force at every address; None if there is no response."""
        found: dict[str, int | None] = {}

        async def fetch_version(address: str) -> None:
            async with limiter:
                response = await self._fetch(address, _ABOVE_ANY_VERSION)
            found[address] = None if response is None else _version_of(response)

        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)
        async with anyio.create_task_group() as group:
            for address in self._addresses():
                group.start_soon(fetch_version, address)
        return found

    async def _fetch(self, address: str, version: int) -> httpcore.Response | None:
        response = await self._request("GET", address, f"?after={version}")
        peer_version = _version_of(response) if response is not None else None
        if response is None or peer_version is None:
            return None
        self._state.check_peer_digest(peer_version, _version_and_digest(response)[1])
        return response

    async def _request(
        self, method: str, address: str, query: str, body: str = ""
    ) -> httpcore.Response | None:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), _REQUEST_TIMEOUT_S)
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


def _version_of(response: httpcore.Response) -> int | None:
    text = _version_and_digest(response)[0]
    return int(text) if text.isdecimal() else None


def _version_and_digest(response: httpcore.Response) -> tuple[str, str]:
    """Return the version and digest in the response's header; empty strings if it is missing."""
    for key, value in response.headers:
        if key.lower() == _VERSION_HEADER:
            version, _, digest = value.decode("latin-1").partition(" ")
            return version, digest
    return "", ""
