"""Sends one request to one endpoint on a dedicated connection."""

import asyncio
import enum
from typing import Self, cast

import anyio
import httptools

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.buffer_memory import (
    HEADER_OVERHEAD_BYTES,
    BufferMemory,
    BufferOwner,
)
from beryljunction.gateway.messages import Headers, ResponseHead
from beryljunction.gateway.sockets import ENDPOINT_TIMEOUTS, set_timeouts
from beryljunction.platform import REPORT_REQUEST, decode_report_start
from beryljunction.timeouts import fail_after, move_on_after

__all__ = [
    "EndpointCall",
    "EndpointUnreachable",
    "PortState",
    "open_call",
    "open_checked_call",
    "probe_port",
    "probe_start",
]

# An endpoint on a healthy host accepts a connection within a few ms; an unreachable one never does,
# and TCP retransmits a lost SYN only after 1 s. Latency targets start at 200 ms, and since nothing
# has been sent yet, it is safe to try another endpoint early.
_CONNECT_TIMEOUT_S = 0.25
# A report needs no slot at the endpoint and comes within a few ms.
_FETCH_TIMEOUT_S = 0.25
# Times that an endpoint is asked whether it runs if this process stalls before it has the answer.
_MAX_CHECKS = 3
# Unread bytes of an answer that are buffered before reading from the endpoint pauses.
_MAX_BUFFERED_BYTES = 262_144
# Limit of the bytes that are handed on, and split into events, before other tasks run.
_MAX_PART_BYTES = 16_384
# Limit of the head of an answer, interim responses included, and of what frames its body between
# two parts of it: chunk sizes and extensions, trailers.
_MAX_FRAMING_BYTES = 65_536
_MAX_REPORT_BYTES = 65_536
# HTTP has no class of status codes from here on.
_FIRST_INVALID_STATUS = 600


class EndpointUnreachable(Exception):  # noqa: N818 - not an error of this program
    """Raised when no connection could be made, so that nothing was sent."""


class _ConnectionNotKept(EndpointUnreachable):  # noqa: N818 - not an error of this program
    """Raised when an endpoint closes the connection with its report."""


class EndpointCall(asyncio.Protocol, BufferOwner):
    """Sends a request and reads its answer.

    The connection serves this request only, so data that an endpoint sends late or after a
    complete answer is discarded and can't be taken for the answer to another request. At most, the
    entry asks the endpoint for its report first: another incarnation can't have this connection.

    Attributes:
        is_complete: Whether the answer was received up to the end that its framing defines.
        ended_by_close: Whether it is complete because its connection was closed: it states no
            length, so an endpoint that crashed may have ended it too.
        problem: Why the answer can't be used; empty while it can.
        has_received: Whether any byte of the answer has arrived.
        was_disconnected: Whether the connection ended before the answer did.
        was_ended: Whether the other host ended it so, with a reset or a close; False while the
            connection lasts, and where it failed for want of an answer.
        was_unread: Whether it ended so after this process had to stop reading, because the caller
            reads slowly. Endpoints cut off such an answer; that is no sign of a problem.
    """

    def __init__(self, is_head: bool, memory: BufferMemory | None = None) -> None:
        self._is_head = is_head
        self._memory = memory or BufferMemory()
        self._transport: asyncio.Transport | None = None
        self._reset()

    def _reset(self) -> None:
        """Expect the first byte of an answer."""
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._header_bytes = 0
        self._kept_bytes = 0
        self._framing_bytes = 0
        self._head: ResponseHead | None = None
        self._keeps_alive = False
        self._body = bytearray()
        self._has_waited = False
        self._is_paused = False
        self._had_to_pause = False
        self._changed = anyio.Event()
        self.is_complete = False
        self.ended_by_close = False
        self.problem = ""
        self.has_received = False
        self.was_disconnected = False
        self.was_ended = False
        self.was_unread = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the timeouts of the socket."""
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(transport.get_extra_info("socket"), ENDPOINT_TIMEOUTS)

    def send(self, data: bytes) -> None:
        """Write the request."""
        assert self._transport is not None
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if there are more after the answer."""
        self.has_received = True
        if self.is_complete or self.problem:
            self.close()
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("a protocol upgrade")
        except httptools.HttpParserError as error:
            if not self.is_complete:
                self._fail(f"an invalid HTTP response ({error})")
        if self._framing_bytes > _MAX_FRAMING_BYTES and not (self.is_complete or self.problem):
            self._fail(f"more than {_MAX_FRAMING_BYTES} bytes without a part of its body")
        self._count_buffers()
        self._pause_if_full()
        self._changed.set()

    def _pause_if_full(self) -> None:
        is_full = len(self._body) > self._memory.limit_buffer(_MAX_BUFFERED_BYTES)
        if is_full and self._transport is not None and not self.is_complete:
            self._transport.pause_reading()
            self._is_paused = self._had_to_pause = True

    def eof_received(self) -> bool:
        """Complete an answer that is delimited by the end of its connection."""
        if self._head is not None and not self.is_complete and not self._is_framed:
            self.is_complete = self.ended_by_close = self.was_ended = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the answer if the connection ended before it was complete."""
        self._transport = None
        self.was_ended = exc is None or isinstance(exc, ConnectionError)
        if not self.is_complete and not self.problem:
            self.was_disconnected = True
            self.was_unread = self._had_to_pause
            self._fail(f"a lost connection ({exc or 'closed'})")
        self._changed.set()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are ignored."""
        if self._head is not None or self.problem:
            return
        self._header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._header_bytes > _MAX_FRAMING_BYTES:
            self._fail(f"more than {_MAX_FRAMING_BYTES} bytes of headers")
            return
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store status and headers, except those of 1xx interim responses."""
        if self.is_complete or self.problem:
            return
        status = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        if status >= _FIRST_INVALID_STATUS:
            self._fail(f"status {status}")
            return
        if status >= 200:
            self._head = ResponseHead(status, headers)
            self._framing_bytes = 0
            self._keeps_alive = self._parser.should_keep_alive()
            self.is_complete = self._is_head

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body."""
        if self.is_complete or self.problem:
            return
        self._framing_bytes = 0
        self._body += body

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        if self._head is not None and not self.problem:
            self.is_complete = True

    @property
    def _is_framed(self) -> bool:
        assert self._head is not None
        names = {name for name, _ in self._head.headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def _fail(self, got: str) -> None:
        """Give the answer up, and close the connection, on which more may come without end."""
        self.problem = f"expected a complete answer, got {got}"
        self.close()
        self._changed.set()

    def _count_buffers(self) -> None:
        if not self.problem:
            self._memory.hold(self, len(self._body) + self._header_bytes + self._kept_bytes)

    def keep(self, size_bytes: int) -> None:
        """Count what the reader of this answer keeps of it."""
        self._kept_bytes = size_bytes
        self._count_buffers()

    def limit_buffer(self, usual_bytes: int) -> int:
        """Return how much of this answer its reader may keep before it is passed on."""
        return self._memory.limit_buffer(usual_bytes)

    def give_up_buffers(self) -> None:
        """Fail the answer, since all answers together take too much memory."""
        self._body.clear()
        self._headers.clear()
        self._fail("more bytes than there is memory for")

    def close(self) -> None:
        """Abort the connection, so that the endpoint stops work on an abandoned request."""
        if self._transport is not None:
            self._transport.abort()

    async def read_head(self) -> ResponseHead | None:
        """Wait for the status and headers of the answer; return None if it failed before them."""
        while self._head is None and not self.problem:
            await self._wait()
        return self._head

    async def read_body_part(self) -> bytes | None:
        """Wait for the next part of the body; return None after the last, see `is_complete`.

        A part is whatever has arrived, up to a limit. Other tasks run before each part.
        """
        if self._body and not self._has_waited:
            await anyio.sleep(0)
        while not self._body:
            if self.is_complete or self.problem:
                return None
            await self._wait()
        self._has_waited = False
        part = bytes(self._body[:_MAX_PART_BYTES])
        del self._body[:_MAX_PART_BYTES]
        self._count_buffers()
        limit_bytes = self._memory.limit_buffer(_MAX_BUFFERED_BYTES)
        if self._is_paused and len(self._body) < limit_bytes // 2:
            self._resume()
        return part

    def _resume(self) -> None:
        self._is_paused = False
        if self._transport is not None:
            self._transport.resume_reading()

    async def fetch(self, request: bytes) -> bytes | None:
        """Send a request to the endpoint before the caller's; return the body of its answer.

        None if the answer has another status than 200.

        Raises:
            EndpointUnreachable: There was no complete answer in time, or the connection ends with
                it; the caller's request can't be sent.
        """
        report = await self._fetch(request)
        if not (self._keeps_alive and self._is_open):
            raise _ConnectionNotKept("expected an open connection after the report")
        self._reset()
        return report

    async def _fetch(self, request: bytes) -> bytes | None:
        self.send(request)
        report = bytearray()
        with move_on_after(_FETCH_TIMEOUT_S):
            head = await self.read_head()
            while (part := await self.read_body_part()) is not None:
                report += part
                if len(report) > _MAX_REPORT_BYTES:
                    self._fail(f"a report of more than {_MAX_REPORT_BYTES} bytes")
            if self.is_complete and head is not None:
                return bytes(report) if head.status == 200 else None
        raise EndpointUnreachable("expected a report")

    @property
    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    async def _wait(self) -> None:
        self._changed = anyio.Event()
        await self._changed.wait()
        self._has_waited = True

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.discard()

    def discard(self) -> None:
        """Close the connection, and forget the answer."""
        self.close()
        self._memory.hold(self, 0)


async def open_call(
    address: tuple[str, int], is_head: bool, memory: BufferMemory | None = None
) -> EndpointCall:
    """Connect to an endpoint.

    Args:
        address: Address of the endpoint.
        is_head: Whether the method of the request is HEAD.
        memory: Counts what the answer takes; None for an answer that is small.

    Raises:
        EndpointUnreachable: The connection failed or timed out; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        with fail_after(_CONNECT_TIMEOUT_S):
            _, call = await loop.create_connection(lambda: EndpointCall(is_head, memory), *address)
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # Besides failed connections: a host that can't be looked up, a port out of range.
        raise EndpointUnreachable(str(error) or type(error).__name__) from error
    return call


async def open_checked_call(
    address: tuple[str, int], is_head: bool, check: bytes, memory: BufferMemory | None = None
) -> EndpointCall:
    """Connect to an endpoint that has just answered a check, whatever its status.

    The kernel accepts connections, and keeps requests, for a process that is suspended.

    Args:
        address: Address of the endpoint.
        is_head: Whether the method of the request is HEAD.
        check: The request that is sent first.
        memory: Counts what the answer takes; None for an answer that is small.

    Raises:
        EndpointUnreachable: The connection failed, or there was no answer in time.
    """
    for _ in range(_MAX_CHECKS):
        call = await open_call(address, is_head, memory)
        asked_s = boot_time_s()
        try:
            await call.fetch(check)
        except _ConnectionNotKept:
            call.discard()
            call = await open_call(address, is_head, memory)
        except BaseException:
            call.discard()
            raise
        if boot_time_s() - asked_s <= _FETCH_TIMEOUT_S:
            return call
        call.discard()
    raise EndpointUnreachable("expected an answer before this process stalled")


class PortState(enum.Enum):
    """What a connection attempt shows about a port."""

    OPEN = "open"
    REFUSED = "refused"
    SILENT = "silent"


async def probe_port(address: tuple[str, int]) -> PortState:
    """Return whether an address accepts connections, refuses them or doesn't answer."""
    try:
        call = await open_call(address, is_head=False)
    except EndpointUnreachable as error:
        return _failed_port(error)
    with call:
        return PortState.OPEN


async def probe_start(address: tuple[str, int]) -> tuple[PortState, int | None]:
    """Return the state of a port, and when the endpoint there started according to its report.

    The start is in Unix milliseconds; None without a report that states it.
    """
    try:
        call = await open_call(address, is_head=False)
    except EndpointUnreachable as error:
        return _failed_port(error), None
    with call:
        try:
            report = await call.fetch(REPORT_REQUEST)
        except EndpointUnreachable:
            return PortState.OPEN, None
    return PortState.OPEN, decode_report_start(report) if report is not None else None


def _failed_port(error: EndpointUnreachable) -> PortState:
    is_refused = isinstance(error.__cause__, ConnectionRefusedError)
    return PortState.REFUSED if is_refused else PortState.SILENT
