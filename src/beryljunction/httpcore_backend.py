"""httpcore connections whose reads set no timer unless a timeout is given.

httpcore's own stream enters a timeout scope and an exception map for every read, even without a
timeout. On an open stream this is a third of the cost of a read apart from the system call, and
each pending read holds kilobytes for it. One periodic task (:mod:`beryljunction.idle_timeouts`)
enforces the idle timeouts of our streams, so their reads don't need it. Connecting has a timeout
that excludes stalls of this process (:mod:`beryljunction.timeouts`). Everything else is left to
httpcore.
"""

import contextlib
import ssl
from collections.abc import Iterable, Iterator
from typing import Any

import anyio
import anyio.abc
import httpcore

from beryljunction.errors import InvariantError
from beryljunction.timeouts import fail_after

__all__ = ["UntimedReadBackend"]

# httpcore parses what it has read without letting other tasks run.
_MAX_READ_BYTES = 16_384


class UntimedReadBackend(httpcore.AsyncNetworkBackend):
    """httpcore's anyio backend with streams whose pending reads are cheap."""

    def __init__(self) -> None:
        self._inner = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection; see the base class."""
        with _connect_timeout(timeout):
            inner = await self._inner.connect_tcp(host, port, None, local_address, socket_options)
        return _Stream(inner)


@contextlib.contextmanager
def _connect_timeout(limit_s: float | None) -> Iterator[None]:
    try:
        with fail_after(limit_s):
            yield
    except TimeoutError as error:
        raise httpcore.ConnectTimeout(str(error)) from error


class _Stream(httpcore.AsyncNetworkStream):
    """Reads directly from anyio's stream when there is no timeout.

    httpcore has no public attribute for that stream. Its version is pinned; with a version that
    stores the stream elsewhere, the first connection of any test fails here.
    """

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        source = getattr(inner, "_stream", None)
        if not isinstance(source, anyio.abc.ByteStream):
            raise InvariantError(f"expected httpcore to hold an anyio ByteStream, got {source!r}")
        self._source = source

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        max_bytes = min(max_bytes, _MAX_READ_BYTES)
        if timeout is not None:
            return await self._inner.read(max_bytes, timeout)
        try:
            return await self._source.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        try:
            with _connect_timeout(timeout):
                return _Stream(await self._inner.start_tls(ssl_context, server_hostname))
        except httpcore.ConnectTimeout:
            await self._inner.aclose()
            raise

    def get_extra_info(self, info: str) -> Any:
        return self._inner.get_extra_info(info)
