"""Listens on one address and closes its connections without dropping a received request."""

import socket
import time

import anyio

from beryljunction.acceptor import Acceptor
from beryljunction.gateway.callers import CallerConnection, CallerHandler

__all__ = ["Listener"]

_CLOSE_POLL_INTERVAL_S = 0.05


class Listener:
    """Accepts connections for a handler until it is closed.

    Args:
        handler: Serves the requests of the connections.
        sock: Listening socket; the listener closes it.
    """

    def __init__(self, handler: CallerHandler, sock: socket.socket) -> None:
        self._handler = handler
        self._acceptor = Acceptor(sock, lambda: CallerConnection(handler))

    @property
    def open_connections(self) -> int:
        """Number of connections, including those that are being set up."""
        return self._acceptor.pending + len(self._handler.connections)

    def release(self) -> socket.socket:
        """Stop accepting and return the open socket; connections that were accepted are kept."""
        return self._acceptor.release()

    async def close(self, ends_s: float) -> None:
        """Stop accepting, close each connection once it is idle, and wait until all are closed.

        Args:
            ends_s: Monotonic time at which to return although connections are still open.
        """
        self._acceptor.stop()
        while True:
            self._handler.close_idle()
            if not self.open_connections or time.monotonic() >= ends_s:
                return
            await anyio.sleep(_CLOSE_POLL_INTERVAL_S)
