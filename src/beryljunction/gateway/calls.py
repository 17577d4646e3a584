"""One request to one endpoint, on a connection of its own."""

import asyncio
import collections
from typing import Self, cast

import anyio
import httptools

from beryljunction.gateway.messages import Head, Headers
from beryljunction.gateway.sockets import ENDPOINT_TIMEOUTS, set_timeouts

__all__ = ["EndpointCall", "EndpointUnreachable", "open_call", "refuses_connections"]

# An endpoint on a sound host answers a connection attempt in a few ms; one that is dark never does,
# and a lost packet is sent again only after a second. Aims are 200 ms and up, and nothing has been
# sent yet, so going elsewhere soon costs nothing.
_CONNECT_S = 0.25
# Bytes of an answer kept for a caller that reads slowly, before the endpoint is held back.
_MOST_BUFFERED_BYTES = 262_144


class EndpointUnreachable(Exception):  # noqa: N818 - not an error of this program
    """No connection could be made, so nothing was sent."""


class EndpointCall(asyncio.Protocol):
    """Sends a request and reads its answer.

    The connection serves this request only. What an endpoint sends after a complete answer, or
    late, belongs to nobody, and goes away with the connection.

    Attributes:
        is_complete: Whether the answer has ended where its framing says.
        problem: Why the answer can't be used; empty while it can.
        is_cut: Whether the connection ended before the answer did.
    """

    def __init__(self, is_head: bool) -> None:
        self._is_head = is_head
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._head: Head | None = None
        self._parts: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._is_paused = False
        self._news = anyio.Event()
        self.is_complete = False
        self.problem = ""
        self.is_cut = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the time-outs of the socket."""
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(transport.get_extra_info("socket"), ENDPOINT_TIMEOUTS)

    def send(self, data: bytes) -> None:
        """Write the request."""
        assert self._transport is not None
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Read on; nothing is taken after a complete answer."""
        if self.is_complete or self.problem:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._end("an answer that changes the protocol")
        except httptools.HttpParserError as error:
            if not self.is_complete:
                self._end(f"bytes that are no answer ({error})")
        self._news.set()

    def eof_received(self) -> bool:
        """End an answer that is delimited by the end of its connection."""
        if self._head is not None and not self.is_complete and not self._is_framed:
            self.is_complete = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note a connection that ended before the answer did."""
        self._transport = None
        if not self.is_complete and not self.problem:
            self.is_cut = True
            self._end(f"the end of the connection ({exc or 'closed'})")
        self._news.set()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note the head, but for interim answers."""
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        if status >= 200:
            self._head = Head(status, headers)
            self.is_complete = self._is_head

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        if self.is_complete:
            return
        self._parts.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > _MOST_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()
            self._is_paused = True

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._head is not None:
            self.is_complete = True

    @property
    def _is_framed(self) -> bool:
        assert self._head is not None
        names = {name for name, _ in self._head.headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def _end(self, got: str) -> None:
        self.problem = f"expected a whole answer, got {got}"
        self._news.set()

    async def head(self) -> Head | None:
        """Return the answer's head; None when there will be none."""
        while self._head is None and not self.problem:
            await self._wait()
        return self._head

    async def part(self) -> bytes | None:
        """Return the next part of the body; None after the last, see `is_complete`."""
        while not self._parts:
            if self.is_complete or self.problem:
                return None
            await self._wait()
        part = self._parts.popleft()
        self._buffered_bytes -= len(part)
        if self._is_paused and self._buffered_bytes < _MOST_BUFFERED_BYTES // 2:
            self._resume()
        return part

    def _resume(self) -> None:
        self._is_paused = False
        if self._transport is not None:
            self._transport.resume_reading()

    async def _wait(self) -> None:
        self._news = anyio.Event()
        await self._news.wait()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        """Reset the connection, so that the endpoint stops working on what nobody waits for."""
        if self._transport is not None:
            self._transport.abort()


async def open_call(address: tuple[str, int], is_head: bool) -> EndpointCall:
    """Connect to an endpoint.

    Raises:
        EndpointUnreachable: No connection in time; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(_CONNECT_S):
            _, call = await loop.create_connection(lambda: EndpointCall(is_head), *address)
    except (OSError, TimeoutError) as error:
        raise EndpointUnreachable(str(error) or type(error).__name__) from error
    return call


async def refuses_connections(address: tuple[str, int]) -> bool:
    """Return whether nothing listens at an address; False where that is not certain."""
    try:
        call = await open_call(address, is_head=False)
    except EndpointUnreachable as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    with call:
        return False
