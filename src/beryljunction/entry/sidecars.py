"""Sidecars as an entry calls them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpcore

from beryljunction.tables import Endpoint
from beryljunction.timeline import HLC_HEADER, HybridClock
from beryljunction.watches import Watch, WatchList
from beryljunction.wire import (
    ATTACH_PATH,
    CANCEL_PATH,
    ENVELOPE_HEADER,
    FLEET_KEY_HEADER,
    INCARNATION_HEADER,
    OUTCOME_HEADER,
    RUN_PATH,
    Attach,
    Cancel,
    Envelope,
    Outcome,
    encode,
)

__all__ = ["BROKEN", "NOT_CONNECTED", "SidecarAnswer", "SidecarClient"]

# A connection inside a region takes some milliseconds; a host that is gone answers nothing, and
# each tenth of a second spent on it is taken from the caller's first token.
_CONNECT_S = 1.0
_CONTROL_S = 2.0
_CONTROL_BYTES = 1_048_576
_OUTCOMES = {outcome.encode(): outcome for outcome in Outcome}
NOT_CONNECTED = (httpcore.ConnectError, httpcore.ConnectTimeout)
BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class SidecarAnswer:
    """The answer of a sidecar while its connection is open.

    Attributes:
        outcome: What the answer is; None when it was not written by a sidecar's handler.
        incarnation: The incarnation that speaks.
        hlc: Hybrid logical time at which it spoke.
    """

    def __init__(self, response: httpcore.Response, watch: Watch) -> None:
        headers = dict(response.headers)
        self.outcome = _OUTCOMES.get(headers.get(OUTCOME_HEADER, b""))
        self.incarnation = headers.get(INCARNATION_HEADER, b"").decode("latin-1")
        self.hlc = headers.get(HLC_HEADER)
        self.response = response
        self.watch = watch


class SidecarClient:
    """Carries messages to sidecars."""

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        watches: WatchList,
        fleet_key: str,
        clock: HybridClock,
    ) -> None:
        self._pool = pool
        self._watches = watches
        self._key = (FLEET_KEY_HEADER, fleet_key.encode())
        self._clock = clock

    @asynccontextmanager
    async def run(
        self, endpoint: Endpoint, envelope: Envelope, body: bytes, silence_s: float
    ) -> AsyncIterator[SidecarAnswer]:
        """Send a request; httpcore's ReadTimeout ends the block when the sidecar is silent."""
        headers = [(ENVELOPE_HEADER, encode(envelope))]
        async with self._open(endpoint, RUN_PATH, headers, body, silence_s) as answer:
            yield answer

    @asynccontextmanager
    async def attach(
        self, endpoint: Endpoint, attach: Attach, silence_s: float
    ) -> AsyncIterator[SidecarAnswer]:
        """Take up an answer on a new connection; silence ends it like :meth:`run`."""
        async with self._open(endpoint, ATTACH_PATH, [], encode(attach), silence_s) as answer:
            yield answer

    async def cancel(self, endpoint: Endpoint, cancel: Cancel) -> None:
        """Tell a sidecar that the caller hung up; a failure costs only the work."""
        await self.tell(endpoint, CANCEL_PATH, cancel)

    async def tell(self, endpoint: Endpoint, path: str, message: Any) -> bytes | None:
        """Send a control message and return the body of the answer; None without one in time."""
        with anyio.move_on_after(_CONTROL_S):
            try:
                async with self._open(endpoint, path, [], encode(message), _CONTROL_S) as answer:
                    body = await answer.response.aread()
                    return body if answer.outcome is Outcome.DONE else None
            except (*NOT_CONNECTED, *BROKEN):
                return None
        return None

    @asynccontextmanager
    async def _open(
        self,
        endpoint: Endpoint,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        silence_s: float,
    ) -> AsyncIterator[SidecarAnswer]:
        own = [
            self._key,
            (HLC_HEADER, self._clock.stamp()),
            (b"content-length", b"%d" % len(body)),
        ]
        with self._watches.watch(silence_s) as watch:
            async with self._pool.stream(
                "POST",
                f"http://{endpoint.address}{path}",
                headers=[*own, *headers],
                content=body,
                extensions={"timeout": {"connect": _CONNECT_S}},
            ) as response:
                answer = SidecarAnswer(response, watch)
                self._clock.heard_stamp(answer.hlc)
                watch.heard()
                endpoint.incarnation = answer.incarnation or endpoint.incarnation
                yield answer
