"""Exchange of load rows between the sidecars of one service, with one peer at a time.

A message contains the sender's own row, as many rows of others as the byte budget allows, and the
sender's settings version. The answer contains only a version: rows in both directions would double
the traffic, and each sidecar receives as many messages as it sends.
"""

import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import httpcore

from beryljunction.servers import Receive, Scope, Send, read_body, send_response
from beryljunction.settings.peer_rotation import PeerRotation
from beryljunction.systems import LoadTracker
from beryljunction.wire import FLEET_KEY_HEADER, PEERS_PATH, decode_load_rows, encode_load_rows

__all__ = ["LoadExchange"]

_VERSION_HEADER = b"beryl-settings-version"
_EXCHANGE_TIMEOUT_S = 1.0
_MAX_BODY_BYTES = 16_384


class LoadExchange:
    """Sends load rows to peers and merges the rows received from them.

    Args:
        load: Provides the rows to send, merges received rows and sets the interval.
        settings_version: Returns the version of the settings that are applied here.
        on_newer: Called with the endpoint id and settings version of a peer that has newer
            settings.
    """

    def __init__(
        self,
        load: LoadTracker,
        pool: httpcore.AsyncConnectionPool,
        fleet_key: str,
        settings_version: Callable[[], int],
        on_newer: Callable[[str, int], None],
        now_s: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._load = load
        self._pool = pool
        self._key = (FLEET_KEY_HEADER, fleet_key.encode())
        self._settings_version = settings_version
        self._on_newer = on_newer
        self._now_s = now_s
        self._rng = rng if rng is not None else random.Random()
        self._rotation = PeerRotation(self._rng)
        self._addresses: dict[str, str] = {}

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """Set the other endpoints of the service, by id, with the addresses of their sidecars.

        The rows of removed endpoints are ignored at once. The last row of such an endpoint often
        shows a low load, which would lower the mean, and with it the load bound of the remaining
        endpoints, until the row expires.
        """
        for removed in self._addresses.keys() - addresses.keys():
            self._load.ignore_until_newer_row(removed)
        self._addresses = dict(addresses)

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Send rows to one peer after the other until cancelled.

        The jitter prevents sidecars that started together from sending at the same time.
        """
        task_status.started()
        while True:
            await anyio.sleep(self._load.interval_s * self._rng.uniform(0.8, 1.2))
            peer = self._rotation.next_peer("", self._addresses)
            if peer is not None:
                await self.send_to(peer)

    async def send_to(self, endpoint_id: str) -> None:
        """Send rows to one peer; without an answer, the peer's row is ignored until a new one."""
        body = encode_load_rows(self._load.rows_to_send(self._now_s()))
        try:
            response = await self._pool.request(
                "POST",
                f"http://{self._addresses[endpoint_id]}{PEERS_PATH}",
                headers=[self._key, self._version_header()],
                content=body,
                extensions={
                    "timeout": dict.fromkeys(
                        ("connect", "read", "write", "pool"), _EXCHANGE_TIMEOUT_S
                    )
                },
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            self._load.ignore_until_newer_row(endpoint_id)
            return
        self._check_peer_version(endpoint_id, dict(response.headers))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a message from a peer; its fleet key has been checked."""
        body = await read_body(receive, _MAX_BODY_BYTES)
        try:
            rows = decode_load_rows(body or b"")
        except ValueError as error:
            await send_response(send, 400, str(error).encode(), content_type=b"text/plain")
            return
        self._load.merge(rows, self._now_s())
        if rows:
            self._check_peer_version(rows[0].endpoint_id, dict(scope["headers"]))
        await send(
            {"type": "http.response.start", "status": 204, "headers": [self._version_header()]}
        )
        await send({"type": "http.response.body"})

    def _version_header(self) -> tuple[bytes, bytes]:
        return _VERSION_HEADER, b"%d" % self._settings_version()

    def _check_peer_version(self, endpoint_id: str, headers: Mapping[bytes, bytes]) -> None:
        version = headers.get(_VERSION_HEADER, b"0")
        if version.isdigit() and int(version) > self._settings_version():
            self._on_newer(endpoint_id, int(version))
