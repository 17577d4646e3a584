"""Accepts connections on one address and closes them without dropping a received request."""

import asyncio
import errno
import socket
import time

import anyio

from beryljunction.gateway.callers import CallerConnection, CallerHandler

__all__ = ["Listener"]

# Connections accepted in one step of the event loop, so that a burst doesn't delay answers.
_MAX_ACCEPTS = 128
_ACCEPT_RETRY_S = 1.0
_OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
_CLOSE_POLL_INTERVAL_S = 0.05


class Listener:
    """Accepts connections for a handler until it is closed.

    A connection counts from the moment it is accepted, unlike with `asyncio.Server`, whose
    connections become visible only some steps of the event loop later. A close must not miss them.

    Args:
        handler: Serves the requests of the connections.
        sock: Listening socket; the listener closes it.
    """

    def __init__(self, handler: CallerHandler, sock: socket.socket) -> None:
        self._handler = handler
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self._setups: set[asyncio.Task[object]] = set()
        self._retry: asyncio.TimerHandle | None = None
        sock.setblocking(False)
        self._start_accepting()

    @property
    def open_connections(self) -> int:
        """Number of connections, including those that are being set up."""
        return len(self._setups) + len(self._handler.connections)

    async def close(self, ends_s: float) -> None:
        """Stop accepting, close each connection once it is idle, and wait until all are closed.

        Args:
            ends_s: Monotonic time at which to return although connections are still open.
        """
        self.stop_accepting()
        while True:
            self._handler.close_idle()
            if not self.open_connections or time.monotonic() >= ends_s:
                return
            await anyio.sleep(_CLOSE_POLL_INTERVAL_S)

    def stop_accepting(self) -> None:
        """Close the listening socket.

        Connections that callers have already made are accepted first: closing the socket would
        reset them, with the requests that they may carry.
        """
        if self._sock.fileno() < 0:
            return
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._sock)
        while self._accept_one():
            pass
        self._sock.close()

    def _start_accepting(self) -> None:
        self._retry = None
        self._loop.add_reader(self._sock, self._accept)

    def _accept(self) -> None:
        for _ in range(_MAX_ACCEPTS):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept the next connection; return whether there was one."""
        try:
            sock, _ = self._sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            if error.errno not in _OUT_OF_RESOURCES:
                raise
            # The socket stays readable, so accepting again at once would keep the loop busy.
            self._loop.remove_reader(self._sock)
            self._retry = self._loop.call_later(_ACCEPT_RETRY_S, self._start_accepting)
            return False
        sock.setblocking(False)
        setup = self._loop.create_task(self._set_up(sock))
        self._setups.add(setup)
        setup.add_done_callback(self._setups.discard)
        return True

    async def _set_up(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: CallerConnection(self._handler), sock)
        except OSError:
            sock.close()
