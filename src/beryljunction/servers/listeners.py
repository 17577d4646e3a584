"""HTTP servers (uvicorn) on listening sockets."""

import asyncio
import contextlib
import logging
import socket
import ssl
from collections.abc import Iterator
from typing import Any

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from beryljunction.errors import StartError
from beryljunction.servers.asgi import Asgi

__all__ = ["Server", "bind"]

# A server that closes idle connections before its clients do would cut a request that is already
# on its way: the caller would get "unknown" for nothing. So servers keep them for longer than the
# 30 s of a client pool (``pools.py``).
_SERVER_KEEPALIVE_S = 75
# A reader whose host died takes no byte and closes nothing. Its run would count as read, and be
# held up by it, until TCP gives up after a quarter of an hour. Heartbeats see to it that there is
# always a byte to take, so half a minute without one taken is a reader that is gone; it may resume.
_UNTAKEN_MS = 30_000
# Far above every limit that a settings tree would set; those are refused with a typed answer.
_MAX_HEAD_BYTES = 262_144


def bind(address: str) -> socket.socket:
    """Bind a listening socket to "ip:port"; port 0 takes a free one.

    Raises:
        StartError: When the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    try:
        listener = socket.create_server((host, int(port)), backlog=2048)
    except (OSError, ValueError) as error:
        raise StartError(f"{address}: expected a free ip:port, got {error}") from error
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNTAKEN_MS)
    return listener


class _ExpectedEnds(logging.Filter):
    """Keeps responses that are left unfinished on purpose out of the error log.

    A reader that was replaced by a new connection, and whatever a process still serves when it is
    cancelled, end without a whole response. Logged as errors they would hide the real ones.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        error = record.exc_info[1] if record.exc_info else None
        is_replaced = record.getMessage().startswith("ASGI callable returned without completing")
        return not is_replaced and not isinstance(error, asyncio.CancelledError)


_EXPECTED_ENDS = _ExpectedEnds()


class _BoundedHeads(HttpToolsProtocol):
    """Closes a connection whose request head does not end.

    The parser keeps what it was sent of a head, however long it gets. A caller that never ends its
    headers would fill the entry's memory before any limit of the settings is looked at.
    """

    # The class above has as many fields as instances can have with a shared table of their names.
    # Two more of the usual kind would give each connection a table of its own, 1.5 KB.
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

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self._is_in_head:
            self._head_bytes += len(data)
            if self._head_bytes > _MAX_HEAD_BYTES:
                self.transport.close()


class Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the process and waits for requests in flight."""

    def __init__(
        self, app: Asgi, listener: socket.socket, tls: ssl.SSLContext | None = None
    ) -> None:
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=_BoundedHeads,
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
        logging.getLogger("uvicorn.error").addFilter(_EXPECTED_ENDS)
        self.listener = listener

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals alone: several servers may share one process."""
        yield

    @property
    def address(self) -> str:
        """The bound "ip:port"."""
        host, port = self.listener.getsockname()[:2]
        return f"{host}:{port}"

    async def run_until_stopped(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until :meth:`stop`; requests in flight are then finished, however long they run."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.serve, [self.listener])
            while not self.started:
                await anyio.sleep(0.005)
            task_status.started()

    def stop(self) -> None:
        """Stop taking connections; serving ends when nothing is in flight."""
        self.should_exit = True
