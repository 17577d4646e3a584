"""HTTP servers (uvicorn) on listening sockets."""

import asyncio
import contextlib
import logging
import socket
import ssl
import time
from collections.abc import Iterator
from typing import Any

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from beryljunction.acceptor import Acceptor
from beryljunction.errors import StartError
from beryljunction.servers.asgi import Asgi
from beryljunction.sockets import is_readable

__all__ = ["Server", "bind_listener"]

# Longer than the 30 s of a client pool (``pools.py``). A server that closes idle connections
# before its clients do could drop a request in transit, and the caller would get "unknown"
# needlessly.
_SERVER_KEEPALIVE_S = 75
# A reader whose host crashed acknowledges no data and doesn't close its connection. Its run would
# count as being read, and would block on it, until TCP times out after 15 minutes. Heartbeats
# ensure that there is always data in flight, so a reader that acknowledges nothing for 30 s is
# gone; it may resume later.
_TCP_USER_TIMEOUT_MS = 30_000
# A stop waits this long for TLS handshakes and the rest of a request's headers; a stalled caller
# would block it.
_HEAD_TIMEOUT_S = 5.0
_CLOSE_POLL_INTERVAL_S = 0.05
# Far above any limit in the settings; requests over those limits get a typed error response.
_MAX_HEAD_BYTES = 262_144


def bind_listener(address: str) -> socket.socket:
    """Return a listening socket bound to "ip:port"; port 0 selects a free port.

    Raises:
        StartError: When the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    try:
        listener = socket.create_server((host, int(port)), backlog=2048)
    except (OSError, ValueError) as error:
        raise StartError(f"{address}: expected a free ip:port, got {error}") from error
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
    return listener


class _IncompleteResponseFilter(logging.Filter):
    """Drops log records about responses that are left incomplete on purpose.

    Responses end incomplete when a new connection replaces a reader, or when the process is
    cancelled while serving. Logging these as errors would hide real errors.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        error = record.exc_info[1] if record.exc_info else None
        is_replaced = record.getMessage().startswith("ASGI callable returned without completing")
        return not is_replaced and not isinstance(error, asyncio.CancelledError)


_INCOMPLETE_RESPONSE_FILTER = _IncompleteResponseFilter()


class _LimitedHeaderProtocol(HttpToolsProtocol):
    """Closes a connection whose request headers are too long.

    The parser buffers headers without a limit. A client that never ends its headers would exhaust
    the entry's memory before any limit of the settings is checked.
    """

    # The base class already has the maximum number of attributes for a key-sharing instance dict.
    # Two more attributes in the dict would cost each connection a dict of its own, 1.5 KB.
    __slots__ = ("_head_bytes", "_is_in_head")

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._is_in_head = True
        self._head_bytes = 0

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._is_in_head = True
        self._head_bytes = 0

    def on_headers_complete(self) -> None:
        self._is_in_head = False
        super().on_headers_complete()

    @property
    def is_receiving(self) -> bool:
        """Whether part of a request's headers was received, or bytes wait to be read."""
        is_in_head = self._is_in_head and self._head_bytes > 0
        return is_in_head or is_readable(self.transport.get_extra_info("socket"))

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, unless a request has just arrived on it."""
        if not self.is_receiving:
            super().timeout_keep_alive_handler()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self._is_in_head:
            self._head_bytes += len(data)
            if self._head_bytes > _MAX_HEAD_BYTES:
                self.transport.close()


class Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers and waits for requests in flight."""

    def __init__(
        self, app: Asgi, listener: socket.socket, tls: ssl.SSLContext | None = None
    ) -> None:
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=_LimitedHeaderProtocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=_SERVER_KEEPALIVE_S,
            server_header=False,
            date_header=False,
            ssl_context_factory=None if tls is None else lambda *_: tls,
            proxy_headers=False,
        )
        super().__init__(config)
        self.stopped = anyio.Event()
        logging.getLogger("uvicorn.error").addFilter(_INCOMPLETE_RESPONSE_FILTER)
        self.listener = listener

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers, because several servers may share one process."""
        yield

    @property
    def address(self) -> str:
        """The bound "ip:port"."""
        host, port = self.listener.getsockname()[:2]
        return f"{host}:{port}"

    async def serve_until_stopped(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until :meth:`stop`, then finish the requests in flight, without a time limit."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.serve, [self.listener])
            while not self.started:
                await anyio.sleep(0.005)
            task_status.started()
        self.stopped.set()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Accept connections; their number is then known from the moment they are accepted."""
        config = self.config
        self.servers = []
        self._acceptor = Acceptor(self.listener, self._create_protocol, config.ssl)
        self.started = True

    def _create_protocol(self) -> asyncio.Protocol:
        return _LimitedHeaderProtocol(
            config=self.config, server_state=self.server_state, app_state=self.lifespan.state
        )

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop accepting, and close each connection once no request is received or answered."""
        self._acceptor.stop()
        ends_s = time.monotonic() + _HEAD_TIMEOUT_S
        connections = self.server_state.connections
        while True:
            is_late = time.monotonic() >= ends_s
            for connection in list(connections):
                assert isinstance(connection, _LimitedHeaderProtocol)
                if is_late or not connection.is_receiving:
                    connection.shutdown()
            if not connections and (is_late or not self._acceptor.pending):
                break
            await anyio.sleep(_CLOSE_POLL_INTERVAL_S)
        await super().shutdown(sockets)

    def stop(self) -> None:
        """Stop accepting connections; the server exits when no request is in flight."""
        self.should_exit = True
