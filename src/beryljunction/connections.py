"""Connections of httpcore whose reads set no timer where no timeout was asked for.

httpcore's own stream enters a timeout scope and an exception map around every read, also without
a timeout. For an open stream that is a third of what a read costs beside the system call, and
kilobytes that each waiting read holds. Our streams have their silence limits from one ticker
(:mod:`beryljunction.watches`), so their reads go without. All else is left to httpcore.
"""

import ssl
from collections.abc import Iterable
from typing import Any

import anyio
import anyio.abc
import httpcore

from beryljunction.errors import InvariantError

__all__ = ["StreamBackend"]


class StreamBackend(httpcore.AsyncNetworkBackend):
    """httpcore's backend for anyio, with streams that are cheap to wait on."""

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
        """Connect; see the base class."""
        inner = await self._inner.connect_tcp(host, port, timeout, local_address, socket_options)
        return _Stream(inner)


class _Stream(httpcore.AsyncNetworkStream):
    """Reads from anyio's stream itself when there is no timeout.

    The library has no public name for that stream. Its version is pinned, and with another one that
    keeps it elsewhere the first connection of any test fails here.
    """

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        source = getattr(inner, "_stream", None)
        if not isinstance(source, anyio.abc.ByteStream):
            raise InvariantError(f"expected httpcore to keep a byte stream, got {source!r}")
        self._source = source

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
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
        return _Stream(await self._inner.start_tls(ssl_context, server_hostname, timeout))

    def get_extra_info(self, info: str) -> Any:
        return self._inner.get_extra_info(info)
