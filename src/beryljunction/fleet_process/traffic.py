"""Counts the bytes of a process's control traffic on its client connections."""

import ssl
from collections.abc import Callable, Iterable
from typing import Any

import httpcore

from beryljunction.httpcore_backend import UntimedReadBackend

__all__ = ["CountingBackend"]


class CountingBackend(httpcore.AsyncNetworkBackend):
    """An httpcore network backend that counts bytes sent and received.

    The count covers HTTP heads and bodies, without TLS, TCP and IP overhead.
    """

    def __init__(self, count: Callable[[int, int], None]) -> None:
        self._inner = UntimedReadBackend()
        self._count = count

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect; see the base class."""
        stream = await self._inner.connect_tcp(host, port, timeout, local_address, socket_options)
        return _CountingStream(stream, self._count)


class _CountingStream(httpcore.AsyncNetworkStream):
    def __init__(
        self, stream: httpcore.AsyncNetworkStream, count: Callable[[int, int], None]
    ) -> None:
        self._stream = stream
        self._count = count

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        data = await self._stream.read(max_bytes, timeout)
        self._count(0, len(data))
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._count(len(buffer), 0)
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return _CountingStream(stream, self._count)

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)
