"""Exchange of load between the sidecars of one service, with one peer at a time.

A message carries the sender's own row and as many of others as the budget allows, and the version
of the settings that the sender has. The answer carries only a version: rows both ways would double
the bytes, and each sidecar is asked as often as it asks.
"""

import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import httpcore

from beryljunction.servers import Receive, Scope, Send, read_body, respond
from beryljunction.settings.rotation import PeerRotation
from beryljunction.systems import LoadSystem
from beryljunction.wire import FLEET_KEY_HEADER, PEERS_PATH, decode_rows, encode_rows

__all__ = ["PeerExchange"]

_VERSION_HEADER = b"beryl-settings-version"
_ANSWER_S = 1.0
_BODY_BYTES = 16_384


class PeerExchange:
    """Tells peers of the load here and takes in theirs.

    Args:
        load: Rows to send and where heard rows go; it also sets the pace.
        settings_version: Version of the settings in force here.
        on_newer: Told of a peer's endpoint id that has newer settings, with their version.
    """

    def __init__(
        self,
        load: LoadSystem,
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

        Load: an endpoint is taken off the list. Harm: its last row, often a low one, would pull
        the mean down and with it the bound of those that stay, until the row is stale.
        """
        for gone in self._addresses.keys() - addresses.keys():
            self._load.silence(gone)
        self._addresses = dict(addresses)

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Exchange with one peer after the other until cancelled.

        The jitter keeps sidecars that started together from sending in step.
        """
        task_status.started()
        while True:
            await anyio.sleep(self._load.interval_s * self._rng.uniform(0.8, 1.2))
            peer = self._rotation.next("", self._addresses)
            if peer is not None:
                await self.tell(peer)

    async def tell(self, endpoint_id: str) -> None:
        """Send rows to one peer; one that does not answer counts no more until it is heard of."""
        body = encode_rows(self._load.rows_to_send(self._now_s()))
        try:
            response = await self._pool.request(
                "POST",
                f"http://{self._addresses[endpoint_id]}{PEERS_PATH}",
                headers=[self._key, self._version()],
                content=body,
                extensions={
                    "timeout": dict.fromkeys(("connect", "read", "write", "pool"), _ANSWER_S)
                },
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            self._load.silence(endpoint_id)
            return
        self._note_version(endpoint_id, dict(response.headers))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a peer's message; its key has been checked."""
        body = await read_body(receive, _BODY_BYTES)
        try:
            rows = decode_rows(body or b"")
        except ValueError as error:
            await respond(send, 400, str(error).encode(), content_type=b"text/plain")
            return
        self._load.merge(rows, self._now_s())
        if rows:
            self._note_version(rows[0].endpoint_id, dict(scope["headers"]))
        await send({"type": "http.response.start", "status": 204, "headers": [self._version()]})
        await send({"type": "http.response.body"})

    def _version(self) -> tuple[bytes, bytes]:
        return _VERSION_HEADER, b"%d" % self._settings_version()

    def _note_version(self, endpoint_id: str, headers: Mapping[bytes, bytes]) -> None:
        version = headers.get(_VERSION_HEADER, b"0")
        if version.isdigit() and int(version) > self._settings_version():
            self._on_newer(endpoint_id, int(version))
