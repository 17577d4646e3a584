"""HTTP client of an entry for the sidecars of the endpoints."""

import time
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

import attrs
import httpcore

from beryljunction.clocks import boot_time_s
from beryljunction.idle_timeouts import IdleTimeout, IdleTimeouts
from beryljunction.outcomes import Refusal
from beryljunction.servers import close_idle_connections
from beryljunction.streams import StreamId
from beryljunction.systems import MembershipTracker
from beryljunction.tables import Endpoint, Stamp
from beryljunction.timeline import HLC_HEADER, HybridClock
from beryljunction.timeouts import move_on_after
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
    decode_refusal,
    encode,
)

__all__ = [
    "CONNECTION_ERRORS",
    "CONNECT_ERRORS",
    "ReceivedStamp",
    "SidecarClient",
    "SidecarResponse",
]

# Connecting within a region takes a few milliseconds. A host that is gone does not answer at all,
# and waiting for it delays the caller's first token.
_CONNECT_TIMEOUT_S = 1.0
_CONTROL_TIMEOUT_S = 2.0
# A claim itself waits up to two seconds for the log.
_CLAIM_TIMEOUT_S = 4.0
_OUTCOME_BY_HEADER = {outcome.encode(): outcome for outcome in Outcome}
CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@attrs.frozen
class ReceivedStamp:
    """A sidecar's stamp and when it was received, as seconds since this host's boot."""

    stamp: Stamp
    received_s: float

    @property
    def age_s(self) -> float:
        """Seconds since the stamp was received."""
        return boot_time_s() - self.received_s


class SidecarResponse:
    """A sidecar's response whose connection is still open.

    Attributes:
        outcome: Kind of the answer; None if no handler of a sidecar wrote it.
        stamp: Identity and clock of the sidecar.
        name: Name of the stream, if the answer is one.
        hlc: Hybrid logical time at which the sidecar answered.
    """

    def __init__(self, response: httpcore.Response, idle_timeout: IdleTimeout) -> None:
        headers = dict(response.headers)
        self.outcome = _OUTCOME_BY_HEADER.get(headers.get(OUTCOME_HEADER, b""))
        self.stamp = Stamp.from_text(headers.get(STAMP_HEADER, b"").decode("latin-1"))
        self.name = StreamId.parse(headers.get(STREAM_HEADER, b"").decode("latin-1"))
        self.hlc = headers.get(HLC_HEADER)
        self.response = response
        self.idle_timeout = idle_timeout


class SidecarClient:
    """Sends requests and control messages to sidecars."""

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        idle_timeouts: IdleTimeouts,
        fleet_key: str,
        clock: HybridClock,
        membership: MembershipTracker,
    ) -> None:
        self._pool = pool
        self._idle_timeouts = idle_timeouts
        self._last_stamps: dict[str, ReceivedStamp] = {}
        self._fleet_key_header = (FLEET_KEY_HEADER, fleet_key.encode())
        self._clock = clock
        self._membership = membership

    def run_request(
        self, endpoint: Endpoint, envelope: Envelope, body: bytes, silence_s: float
    ) -> AbstractAsyncContextManager[SidecarResponse]:
        """Send a request; the block ends with httpcore's ReadTimeout if the sidecar is silent."""
        headers = [(ENVELOPE_HEADER, encode(envelope))]
        return self._open(endpoint, RUN_PATH, headers, body, silence_s)

    def attach(
        self, endpoint: Endpoint, attach: Attach, silence_s: float
    ) -> AbstractAsyncContextManager[SidecarResponse]:
        """Continue an answer on a new connection; times out on silence like :meth:`run_request`."""
        return self._open(endpoint, ATTACH_PATH, [], encode(attach), silence_s)

    def note_failure(self, endpoint: Endpoint) -> None:
        """Record that a sidecar could not be reached."""
        self._membership.note_failure(endpoint.endpoint_id, time.monotonic())

    async def close_idle_connections(self, endpoint: Endpoint) -> None:
        """Close the idle connections to a sidecar after one connection to it failed."""
        await close_idle_connections(self._pool, f"http://{endpoint.address}")

    def deprioritize(self, endpoint: Endpoint) -> None:
        """Try a leaving endpoint only as the last candidate for the next few seconds.

        The preference expires because an operator may undo a drain; the host list shows whether
        the endpoint keeps leaving.
        """
        endpoint.suspect_until_s = time.monotonic() + self._membership.limits.suspect_s

    async def ticket(self, endpoint: Endpoint, account: str) -> str | None:
        """Fetch a ticket; return None if the sidecar gave none. Safe to repeat."""
        body = await self.send_control(endpoint, TICKET_PATH, TicketWish(account))
        try:
            return None if body is None else decode(body, TicketGrant).ticket
        except ValueError:
            return None

    def last_stamp(self, endpoint: Endpoint) -> ReceivedStamp | None:
        """Return the last stamp received from the endpoint's sidecar."""
        return self._last_stamps.get(endpoint.endpoint_id)

    def _note_stamp(self, endpoint: Endpoint, stamp: Stamp | None) -> None:
        if stamp is not None and stamp.endpoint_id == endpoint.endpoint_id:
            self._last_stamps[endpoint.endpoint_id] = ReceivedStamp(stamp, boot_time_s())
            self._membership.note_answer(endpoint.endpoint_id, time.monotonic(), stamp.incarnation)

    async def claim(self, endpoint: Endpoint, wish: KeyWish) -> str | Refusal | None:
        """Claim an idempotency key; return its ticket, a refusal, or None without an answer."""
        with move_on_after(_CLAIM_TIMEOUT_S):
            try:
                async with self._open(
                    endpoint, CLAIM_PATH, [], encode(wish), _CLAIM_TIMEOUT_S
                ) as answer:
                    body = await answer.response.aread()
                    if answer.outcome is Outcome.REFUSAL:
                        return decode_refusal(body)
                    return decode(body, TicketGrant).ticket
            except (*CONNECT_ERRORS, *CONNECTION_ERRORS, ValueError):
                return None
        return None

    async def cancel(self, endpoint: Endpoint, cancel: Cancel) -> None:
        """Tell a sidecar that the caller disconnected; if this fails, work is merely wasted."""
        await self.send_control(endpoint, CANCEL_PATH, cancel)

    async def send_control(self, endpoint: Endpoint, path: str, message: Any) -> bytes | None:
        """Send a control message; return the answer's body, or None without one in time."""
        with move_on_after(_CONTROL_TIMEOUT_S):
            try:
                async with self._open(
                    endpoint, path, [], encode(message), _CONTROL_TIMEOUT_S
                ) as answer:
                    body = await answer.response.aread()
                    return body if answer.outcome is Outcome.DONE else None
            except (*CONNECT_ERRORS, *CONNECTION_ERRORS):
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
    ) -> AsyncIterator[SidecarResponse]:
        common_headers = [
            self._fleet_key_header,
            (HLC_HEADER, self._clock.header_value()),
            (b"content-length", b"%d" % len(body)),
        ]
        with self._idle_timeouts.add(silence_s) as idle_timeout:
            async with self._pool.stream(
                "POST",
                f"http://{endpoint.address}{path}",
                headers=[*common_headers, *headers],
                content=body,
                extensions={"timeout": {"connect": _CONNECT_TIMEOUT_S}},
            ) as response:
                answer = SidecarResponse(response, idle_timeout)
                self._clock.update_from_header(answer.hlc)
                idle_timeout.reset()
                self._note_stamp(endpoint, answer.stamp)
                yield answer
