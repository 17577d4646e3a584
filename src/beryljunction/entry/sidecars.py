"""Sidecars as an entry calls them."""

import time
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

import anyio
import attrs
import httpcore

from beryljunction.clocks import boot_time_s
from beryljunction.outcomes import Refusal
from beryljunction.servers import drop_idle
from beryljunction.streams import StreamName
from beryljunction.systems import MembershipSystem
from beryljunction.tables import Endpoint, Stamp
from beryljunction.timeline import HLC_HEADER, HybridClock
from beryljunction.watches import Watch, WatchList
from beryljunction.wire import (
    ATTACH_PATH,
    CANCEL_PATH,
    CLAIM_PATH,
    ENVELOPE_HEADER,
    FLEET_KEY_HEADER,
    OUTCOME_HEADER,
    RUN_PATH,
    STAMP_HEADER,
    STREAM_HEADER,
    TICKET_PATH,
    Attach,
    Cancel,
    Envelope,
    KeyWish,
    Outcome,
    TicketGrant,
    TicketWish,
    decode,
    encode,
    refusal_from_body,
)

__all__ = ["BROKEN", "NOT_CONNECTED", "Heard", "SidecarAnswer", "SidecarClient"]

# A connection inside a region takes some milliseconds; a host that is gone answers nothing, and
# each tenth of a second spent on it is taken from the caller's first token.
_CONNECT_S = 1.0
_CONTROL_S = 2.0
# A claim waits for the log, up to two seconds by its own limit.
_CLAIM_S = 4.0
_OUTCOMES = {outcome.encode(): outcome for outcome in Outcome}
NOT_CONNECTED = (httpcore.ConnectError, httpcore.ConnectTimeout)
BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@attrs.frozen
class Heard:
    """A stamp of a sidecar and when it was heard, by this host's boot time."""

    stamp: Stamp
    heard_s: float

    @property
    def age_s(self) -> float:
        """Seconds since then."""
        return boot_time_s() - self.heard_s


class SidecarAnswer:
    """The answer of a sidecar while its connection is open.

    Attributes:
        outcome: What the answer is; None when it was not written by a sidecar's handler.
        stamp: Name and time of the sidecar that speaks.
        name: Name of the stream, for the frames of a stream.
        hlc: Hybrid logical time at which it spoke.
    """

    def __init__(self, response: httpcore.Response, watch: Watch) -> None:
        headers = dict(response.headers)
        self.outcome = _OUTCOMES.get(headers.get(OUTCOME_HEADER, b""))
        self.stamp = Stamp.from_text(headers.get(STAMP_HEADER, b"").decode("latin-1"))
        self.name = StreamName.parse(headers.get(STREAM_HEADER, b"").decode("latin-1"))
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
        membership: MembershipSystem,
    ) -> None:
        self._pool = pool
        self._watches = watches
        self._heard: dict[str, Heard] = {}
        self._key = (FLEET_KEY_HEADER, fleet_key.encode())
        self._clock = clock
        self._membership = membership

    def run(
        self, endpoint: Endpoint, envelope: Envelope, body: bytes, silence_s: float
    ) -> AbstractAsyncContextManager[SidecarAnswer]:
        """Send a request; httpcore's ReadTimeout ends the block when the sidecar is silent."""
        headers = [(ENVELOPE_HEADER, encode(envelope))]
        return self._open(endpoint, RUN_PATH, headers, body, silence_s)

    def attach(
        self, endpoint: Endpoint, attach: Attach, silence_s: float
    ) -> AbstractAsyncContextManager[SidecarAnswer]:
        """Take up an answer on a new connection; silence ends it like :meth:`run`."""
        return self._open(endpoint, ATTACH_PATH, [], encode(attach), silence_s)

    def note_failure(self, endpoint: Endpoint) -> None:
        """Take in that nothing came through to a sidecar."""
        self._membership.note_failure(endpoint.endpoint_id, time.monotonic())

    async def drop_idle(self, endpoint: Endpoint) -> None:
        """Give up the idle connections to a sidecar that one of them has failed."""
        await drop_idle(self._pool, f"http://{endpoint.address}")

    def avoid(self, endpoint: Endpoint) -> None:
        """Ask a leaving endpoint last for some seconds; the host list says if it is for longer.

        Its word does not hold for good here, since an operator may undo a drain.
        """
        endpoint.suspect_until_s = time.monotonic() + self._membership.limits.suspect_s

    async def ticket(self, endpoint: Endpoint, account: str) -> str | None:
        """Fetch a ticket; None when the sidecar gave none. Asking again is harmless."""
        body = await self.tell(endpoint, TICKET_PATH, TicketWish(account))
        try:
            return None if body is None else decode(body, TicketGrant).ticket
        except ValueError:
            return None

    def heard(self, endpoint: Endpoint) -> Heard | None:
        """Return what was heard last of an endpoint's sidecar."""
        return self._heard.get(endpoint.endpoint_id)

    def _hear(self, endpoint: Endpoint, stamp: Stamp | None) -> None:
        if stamp is not None and stamp.endpoint_id == endpoint.endpoint_id:
            self._heard[endpoint.endpoint_id] = Heard(stamp, boot_time_s())
            self._membership.note_answer(endpoint.endpoint_id, time.monotonic(), stamp.incarnation)

    async def claim(self, endpoint: Endpoint, wish: KeyWish) -> str | Refusal | None:
        """Settle an idempotency key; None when the sidecar did not answer."""
        with anyio.move_on_after(_CLAIM_S):
            try:
                async with self._open(endpoint, CLAIM_PATH, [], encode(wish), _CLAIM_S) as answer:
                    body = await answer.response.aread()
                    if answer.outcome is Outcome.REFUSAL:
                        return refusal_from_body(body)
                    return decode(body, TicketGrant).ticket
            except (*NOT_CONNECTED, *BROKEN, ValueError):
                return None
        return None

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
                self._hear(endpoint, answer.stamp)
                yield answer
