"""Server side of caller connections: reads whole requests, writes answers, reports disconnects."""

import abc
import asyncio
import collections
import socket
import struct
from typing import cast

import anyio
import httptools

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.buffer_memory import (
    HEADER_OVERHEAD_BYTES,
    BufferMemory,
    BufferOwner,
)
from beryljunction.gateway.messages import Headers, HttpRequest, reason_phrase
from beryljunction.gateway.sockets import CALLER_TIMEOUTS, set_timeouts
from beryljunction.routing import CallerLimits
from beryljunction.sockets import is_readable, unread_s

__all__ = ["CallerConnection", "CallerHandler"]

# Requests that may be queued behind the one being served on a connection. The fleet's callers don't
# use pipelining; a longer queue is treated as an attempt to exhaust memory.
_MAX_PIPELINED = 4
# Closing a socket with unread bytes sends a reset, which can discard the answer on its way. The
# caller's remaining bytes are therefore read and dropped for this long before the close.
_LINGER_S = 0.5
# SO_LINGER enabled with a timeout of 0, which makes the close a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Messages of other entries and of operators have small heads; a read of a socket is larger.
_MIN_FRAMING_LIMIT_BYTES = 65_536
# The body of a request that is served, and the copy of it on its way to an endpoint.
_BODY_COPIES = 2
# Most of what fills the memory of an entry is gone within the time of an answer.
_FULL_RETRY_AFTER = (b"retry-after", b"1")
_STATUS_FULL = 503
_FULL = "expected a request that there is memory for"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerHandler(abc.ABC):
    """Serves the requests of caller connections.

    Attributes:
        limits: Limits of a request.
        fault_status: Status that answers a request which `on_request` fails to serve.
        is_draining: Whether the process is stopping; connections then close after their next
            answer.
        connections: The open connections, until all that was written to them is sent.
        memory: Counts what the connections buffer.
    """

    limits: CallerLimits
    is_draining: bool

    def __init__(self, memory: BufferMemory | None = None) -> None:
        self.memory = memory or BufferMemory()
        self.is_draining = False
        self.fault_status = 500
        self.connections: set[CallerConnection] = set()

    def on_connect(self, connection: "CallerConnection") -> None:
        """Handle a new connection."""
        self.connections.add(connection)

    def on_disconnect(self, connection: "CallerConnection") -> None:
        """Handle the loss of a connection; nothing more can be written to it."""
        self.connections.discard(connection)

    def close_idle(self) -> None:
        """Close the connections on which no request is being received or served."""
        for connection in list(self.connections):
            connection.close_if_idle()

    @abc.abstractmethod
    def on_request(self, connection: "CallerConnection", request: HttpRequest) -> None:
        """Serve a request that was read completely; called for one per connection at a time."""

    @abc.abstractmethod
    def on_reject(self, status: int, problem: str) -> None:
        """Handle a message that was rejected as an invalid request."""


class CallerConnection(asyncio.Protocol, BufferOwner):
    """One connection of a caller.

    A caller that closes its sending side counts as disconnected: callers of a router wait for their
    answers, and a half-closed socket looks the same as one whose process has ended.
    """

    def __init__(self, handler: CallerHandler) -> None:
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._incoming: HttpRequest | None = None
        self._body = bytearray()
        self._header_bytes = 0
        self._received_bytes = 0
        self._unsent_bytes = 0
        self._pinned_bytes = 0
        self._framing_bytes = 0
        self._pipelined: collections.deque[HttpRequest] = collections.deque()
        self._active: HttpRequest | None = None
        self._is_answering = False
        self._is_chunked = False
        self._has_body = True
        self._closes_after_answer = False
        self._discards_input = False
        self._writable = anyio.Event()
        self._writable.set()
        self.connected_s = 0.0
        self.idle_since_s = 0.0
        self.headers_started_s: float | None = None

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the timeouts of the socket and tell the handler about the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self.connected_s = self.idle_since_s = boot_time_s()
        self._handler.on_connect(self)
        set_timeouts(transport.get_extra_info("socket"), CALLER_TIMEOUTS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler that the caller has disconnected."""
        self._transport = None
        self._writable.set()
        self._pin(0)
        self._handler.memory.hold(self, 0)
        self._handler.on_disconnect(self)

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def pause_writing(self) -> None:
        """Block `write_part` while the write buffer is full."""
        self._writable = anyio.Event()

    def resume_writing(self) -> None:
        """Let `write_part` continue."""
        self._writable.set()
        self._count_unsent()

    @property
    def is_open(self) -> bool:
        """Whether answers can still be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, queued, served or rejected."""
        is_serving = self._active is not None or bool(self._pipelined)
        return not (is_serving or self._incoming is not None or self._discards_input)

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request was received."""
        return self._incoming is not None

    def close(self) -> None:
        """Close the connection after the data written so far is sent."""
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless it serves a request, or one may lie unread in its socket."""
        if self._transport is None or not self.is_idle:
            return
        if not is_readable(self._transport.get_extra_info("socket")):
            self.close()

    def abort(self) -> None:
        """Abort the connection, so that the caller can see that its answer is incomplete.

        A chunked answer then lacks its last chunk. An answer that is delimited by the end of the
        connection would look complete after an orderly close, so that connection is reset.
        """
        if self._transport is None:
            return
        if not self._is_chunked:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    # Reading

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reject what isn't valid HTTP."""
        if self._discards_input:
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # on_headers_complete has rejected it.
        except httptools.HttpParserCallbackError as error:
            _report_fault(error.__context__ or error)
            if not self._discards_input:
                self._reject(self._handler.fault_status, "fault")
        except httptools.HttpParserError as error:
            if not self._discards_input:
                self._reject(400, f"expected an HTTP/1.1 request, got {error}")
        self._count_buffers()
        if self._framing_bytes > self._max_framing_bytes and not self._discards_input:
            problem = f"expected at most {self._max_framing_bytes} bytes without a part of a body"
            self._reject(431, problem)

    @property
    def _max_framing_bytes(self) -> int:
        """Limit of a head, and of what frames a body between two parts of it.

        The parser reports a header only when it is complete. White space isn't part of its size.
        """
        return max(_MIN_FRAMING_LIMIT_BYTES, 2 * self._handler.limits.header_bytes)

    def on_message_begin(self) -> None:
        """Start a new request."""
        waited_s = 0.0
        if self._transport is not None:
            waited_s = unread_s(self._transport.get_extra_info("socket"))
        self._incoming = HttpRequest(b"", b"", [], boot_time_s(), unread_s=waited_s)
        self.headers_started_s = self._incoming.arrived_s
        self._body = bytearray()
        self._header_bytes = self._received_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self._incoming is not None:
            self._incoming.target += url
            self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if self._incoming is not None:
            self._incoming.headers.append((name.lower(), value))
            self._count_header(len(name) + len(value) + 4)
            self._received_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Reject protocol upgrades and bodies that are too large; answer `Expect: 100-continue`."""
        request = self._incoming
        if request is None:
            return
        request.method = self._parser.get_method()
        request.keeps_alive = self._parser.should_keep_alive()
        request.is_http_10 = self._parser.get_http_version() == "1.0"
        self.headers_started_s = None
        length = request.header(b"content-length")
        if self._parser.should_upgrade():
            # The parser reads no body after an upgrade request, so a body would be lost.
            self._reject(400, "expected no change of protocol")
        elif length is not None and int(length) > self._handler.limits.body_bytes:
            self._reject(413, f"expected at most {self._handler.limits.body_bytes} bytes")
        elif request.header(b"expect") is not None and self.is_open and self._active is None:
            self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, up to the limit."""
        if self._discards_input:
            return
        self._framing_bytes = 0
        self._body += body
        self._received_bytes += len(body)
        if len(self._body) > self._handler.limits.body_bytes:
            self._body.clear()
            self._reject(413, f"expected at most {self._handler.limits.body_bytes} bytes")

    def on_message_complete(self) -> None:
        """Serve the request, or queue it until the one before it is answered."""
        request, self._incoming = self._incoming, None
        if request is None or self._discards_input:
            return
        self._framing_bytes = 0
        request.body = bytes(self._body)
        self._body.clear()
        self._received_bytes = 0
        if self._active is None:
            self._serve(request)
        elif len(self._pipelined) < _MAX_PIPELINED:
            self._pipelined.append(request)
        else:
            self.abort()

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._handler.limits.header_bytes and not self._discards_input:
            self._reject(431, f"expected at most {self._handler.limits.header_bytes} bytes")

    def _serve(self, request: HttpRequest) -> None:
        """Let the handler serve a request; answer with an error if that fails at once."""
        size_bytes = _size_bytes(request) + (_BODY_COPIES - 1) * len(request.body)
        if not self._handler.memory.can_pin(size_bytes):
            self._reject(_STATUS_FULL, _FULL)
            return
        self._active = request
        self._count_buffers()
        self._pin(size_bytes)
        try:
            self._handler.on_request(self, request)
        except Exception as error:  # noqa: BLE001
            _report_fault(error)
            if self._active is request:
                self.answer_fault(self._handler.fault_status)

    def reject_header_timeout(self) -> None:
        """Reject a request whose headers exceed the header timeout."""
        self._reject(408, f"expected headers within {self._handler.limits.header_timeout_ms} ms")

    def _reject(self, status: int, problem: str) -> None:
        """Answer an invalid request with an error and close the connection."""
        self._discards_input = True
        self._incoming = None
        self.headers_started_s = None
        self._body.clear()
        self._received_bytes = 0
        self._pipelined.clear()
        self._count_buffers()
        self._closes_after_answer = True
        if self._active is None:
            headers = [_FULL_RETRY_AFTER] if status == _STATUS_FULL else []
            self.answer(status, headers, f"{problem}\n".encode())
        self._handler.on_reject(status, problem)

    # Memory

    def _count_unsent(self) -> None:
        if self._transport is not None:
            self._unsent_bytes = self._transport.get_write_buffer_size()
            self._count_buffers()

    def _count_buffers(self) -> None:
        queued_bytes = sum(_size_bytes(request) for request in self._pipelined)
        held_bytes = self._received_bytes + queued_bytes + self._unsent_bytes
        self._handler.memory.hold(self, held_bytes)

    def _pin(self, size_bytes: int) -> None:
        """Count the request that is being served, which an endpoint may run."""
        pinned_bytes, self._pinned_bytes = self._pinned_bytes, size_bytes
        self._handler.memory.unpin(pinned_bytes)
        self._handler.memory.pin(size_bytes)

    def give_up_buffers(self) -> None:
        """Refuse the request that is being received, or break off an answer that isn't read."""
        if self._unsent_bytes > self._received_bytes or self._active is not None:
            self._received_bytes = 0
            self._pipelined.clear()
            self.abort()
        else:
            self._reject(_STATUS_FULL, _FULL)

    # Writing

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer."""
        if not self.is_open:
            return
        length = (b"content-length", b"%d" % len(body))
        is_head = self._active is not None and self._active.method == b"HEAD"
        self._write(self._head(status, [*headers, length]) + (b"" if is_head else body))
        self._finish()

    def answer_fault(self, status: int) -> None:
        """Answer a request that failed here; abort the connection if its answer has begun."""
        if self._is_answering:
            self.abort()
            return
        self._closes_after_answer = True
        self.answer(status, [], b"fault\n")

    def start_answer(self, status: int, headers: Headers) -> None:
        """Write the head of an answer of unknown length."""
        self._is_answering = True
        self._is_chunked = self._active is not None and not self._active.is_http_10
        if self._is_chunked:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        else:
            self._closes_after_answer = True
        self._has_body = self._active is None or self._active.method != b"HEAD"
        self._write(self._head(status, headers))

    async def write_part(self, data: bytes) -> None:
        """Write a part of an answer; waits while the write buffer is full."""
        if not self.is_open or not data or not self._has_body:
            return
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self._is_chunked else data)
        if not self._writable.is_set():
            await self._writable.wait()

    def end_answer(self) -> None:
        """Complete an answer of unknown length."""
        if not self.is_open:
            return
        if self._is_chunked and self._has_body:
            self._write(b"0\r\n\r\n")
        self._finish()

    def _head(self, status: int, headers: Headers) -> bytes:
        keeps = self._active is not None and self._active.keeps_alive
        if not keeps or self._handler.is_draining or self._discards_input:
            self._closes_after_answer = True
        lines = [b"HTTP/1.1 %d %b" % (status, reason_phrase(status))]
        lines += [b"%b: %b" % header for header in headers]
        if self._closes_after_answer:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)
            self._count_unsent()

    def _finish(self) -> None:
        """Close the connection, or serve the next queued request."""
        self._active = None
        self._pin(0)
        self._is_answering = False
        self._is_chunked = False
        self.idle_since_s = boot_time_s()
        if self._closes_after_answer:
            self._linger()
        elif self._pipelined:
            self._serve(self._pipelined.popleft())

    def _linger(self) -> None:
        """Close the connection; after a rejection, read and drop input for `_LINGER_S` first."""
        if self._transport is None:
            return
        if not self._discards_input:
            self._transport.close()
            return
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(_LINGER_S, self.close)


def _size_bytes(request: HttpRequest) -> int:
    """Return what a request takes in memory."""
    headers_bytes = sum(len(name) + len(value) for name, value in request.headers)
    return headers_bytes + HEADER_OVERHEAD_BYTES * len(request.headers) + len(request.body)


def _report_fault(error: BaseException) -> None:
    """Hand an exception to the event loop's handler, which logs and counts it."""
    context = {"message": "a caller's request failed", "exception": error}
    asyncio.get_running_loop().call_exception_handler(context)
