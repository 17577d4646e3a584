"""Connections of callers: reads requests whole, writes answers, tells when a caller has left."""

import abc
import asyncio
import collections
import socket
import struct
from typing import cast

import anyio
import httptools

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.messages import Headers, HttpRequest, phrase_of
from beryljunction.gateway.sockets import CALLER_TIMEOUTS, set_timeouts
from beryljunction.routing import CallerLimits

__all__ = ["CallerConnection", "CallerHandler"]

# Requests that may stand behind the one being served on a connection; callers of this fleet don't
# pipeline, so more of them is an attempt to fill the memory.
_MOST_PIPELINED = 4
# A connection that is closed with unread bytes is reset, and the answer is lost with it; what a
# caller still sends is read and dropped for this long, in seconds.
_LINGER_S = 0.5
# Linger on, for no time: the close is a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerHandler(abc.ABC):
    """What serves the requests of caller connections."""

    limits: CallerLimits
    leaving: bool

    @abc.abstractmethod
    def opened(self, connection: "CallerConnection") -> None:
        """Note a new connection."""

    @abc.abstractmethod
    def closed(self, connection: "CallerConnection") -> None:
        """Note that a connection is gone; its caller hears nothing any more."""

    @abc.abstractmethod
    def requested(self, connection: "CallerConnection", request: HttpRequest) -> None:
        """Serve a request that was read whole; one at a time for each connection."""

    @abc.abstractmethod
    def rejected(self, status: int, problem: str) -> None:
        """Note a message that is no proper request."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    A socket that the caller has closed for writing counts as left: callers of a router wait for
    their answers, and a half-closed socket can't be told from one whose process is gone.
    """

    def __init__(self, handler: CallerHandler) -> None:
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._reading: HttpRequest | None = None
        self._chunks: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._waiting: collections.deque[HttpRequest] = collections.deque()
        self._serving: HttpRequest | None = None
        self._is_chunked = False
        self._ends_after = False
        self._discards = False
        self._writable = anyio.Event()
        self._writable.set()
        self.idle_since_s = 0.0
        self.begun_s: float | None = None

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading."""
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(transport.get_extra_info("socket"), CALLER_TIMEOUTS)
        self.idle_since_s = boot_time_s()
        self._handler.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler that the caller has left."""
        self._transport = None
        self._writable.set()
        self._handler.closed(self)

    def eof_received(self) -> bool:
        """Count a caller that closed its side as gone."""
        return False

    def pause_writing(self) -> None:
        """Hold back a stream whose caller reads slowly."""
        self._writable = anyio.Event()

    def resume_writing(self) -> None:
        """Go on with a stream."""
        self._writable.set()

    @property
    def is_open(self) -> bool:
        """Whether the caller can still hear."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is being read or served."""
        return self._serving is None and self._reading is None and not self._waiting

    def close(self) -> None:
        """Close after what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Break the connection, so that an answer under way is visibly incomplete.

        Chunks lack their end then. Where the end of the connection is all that ends an answer, an
        orderly close would make half of one look whole, so the connection is reset.
        """
        if self._transport is None:
            return
        if not self._is_chunked:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    # Reading

    def data_received(self, data: bytes) -> None:
        """Read on."""
        if self._discards:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # Rejected at the end of its headers.
        except httptools.HttpParserError as error:
            if not self._discards:
                self._reject(400, f"expected an HTTP/1.1 request, got {error}")

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reading = HttpRequest(b"", b"", [], boot_time_s())
        self.begun_s = self._reading.arrived_s
        self._chunks = []
        self._header_bytes = 0
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Read a part of the target."""
        if self._reading is not None:
            self._reading.target += url
            self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read a header."""
        if self._reading is not None:
            self._reading.headers.append((name.lower(), value))
            self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Check the headers."""
        request = self._reading
        if request is None:
            return
        request.method = self._parser.get_method()
        request.keeps_alive = self._parser.should_keep_alive()
        request.is_http_10 = self._parser.get_http_version() == "1.0"
        self.begun_s = None
        length = request.value(b"content-length")
        if self._parser.should_upgrade():
            # The parser takes no body after such a head, so one would be lost on the way.
            self._reject(400, "expected no change of protocol")
        elif length is not None and int(length) > self._handler.limits.body_bytes:
            self._reject(413, f"expected at most {self._handler.limits.body_bytes} bytes")
        elif request.value(b"expect") is not None and self.is_open and self._serving is None:
            self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Read a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._handler.limits.body_bytes:
            self._reject(413, f"expected at most {self._handler.limits.body_bytes} bytes")
        elif not self._discards:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Hand the request on, or keep it until the one before is answered."""
        request, self._reading = self._reading, None
        if request is None or self._discards:
            return
        request.body = b"".join(self._chunks)
        self._chunks = []
        if self._serving is None:
            self._serve(request)
        elif len(self._waiting) < _MOST_PIPELINED:
            self._waiting.append(request)
        else:
            self.abort()

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._handler.limits.header_bytes and not self._discards:
            self._reject(431, f"expected at most {self._handler.limits.header_bytes} bytes")

    def _serve(self, request: HttpRequest) -> None:
        self._serving = request
        self._handler.requested(self, request)

    def reject_slow(self) -> None:
        """Answer a caller that takes too long with its headers."""
        self._reject(408, f"expected headers within {self._handler.limits.header_timeout_ms} ms")

    def _reject(self, status: int, problem: str) -> None:
        """Answer a message that is no request here, and end the connection."""
        self._discards = True
        self._reading = None
        self.begun_s = None
        self._waiting.clear()
        self._handler.rejected(status, problem)
        self._ends_after = True
        if self._serving is None:
            self.answer(status, [], f"{problem}\n".encode())

    # Writing

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""
        if not self.is_open:
            return
        length = (b"content-length", b"%d" % len(body))
        is_head = self._serving is not None and self._serving.method == b"HEAD"
        self._write(self._head(status, [*headers, length]) + (b"" if is_head else body))
        self._finish()

    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length."""
        self._is_chunked = self._serving is not None and not self._serving.is_http_10
        if self._is_chunked:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        else:
            self._ends_after = True
        self._write(self._head(status, headers))

    async def write_part(self, data: bytes) -> None:
        """Write a part of an answer; waits while the caller reads too slowly."""
        if not self.is_open or not data:
            return
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self._is_chunked else data)
        if not self._writable.is_set():
            await self._writable.wait()

    def end(self) -> None:
        """End an answer of unknown length as complete."""
        if not self.is_open:
            return
        if self._is_chunked:
            self._write(b"0\r\n\r\n")
        self._finish()

    def _head(self, status: int, headers: Headers) -> bytes:
        keeps = self._serving is not None and self._serving.keeps_alive
        if not keeps or self._handler.leaving or self._discards:
            self._ends_after = True
        lines = [b"HTTP/1.1 %d %b" % (status, phrase_of(status))]
        lines += [b"%b: %b" % header for header in headers]
        if self._ends_after:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _finish(self) -> None:
        """Close, or turn to the next request."""
        self._serving = None
        self._is_chunked = False
        self.idle_since_s = boot_time_s()
        if self._ends_after:
            self._linger()
        elif self._waiting:
            self._serve(self._waiting.popleft())

    def _linger(self) -> None:
        """Close; if the caller may still be sending, only after reading that for a moment."""
        if self._transport is None:
            return
        if not self._discards:
            self._transport.close()
            return
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(_LINGER_S, self.close)
