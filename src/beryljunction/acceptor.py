"""Accepts connections on a listening socket and stops without dropping any that were made."""

import asyncio
import errno
import socket
import ssl
from collections.abc import Callable

__all__ = ["Acceptor"]

# Connections accepted in one step of the event loop, so that a burst doesn't delay answers.
_MAX_ACCEPTS = 128
_RETRY_S = 1.0
# Linux reports the network errors of a connection that waits to be accepted.
_CONNECTION_ERRORS = frozenset(
    {
        errno.ENETDOWN,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EOPNOTSUPP,
        errno.EPERM,
    }
)
_OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Acceptor:
    """Accepts connections until it is stopped.

    A connection counts from the moment it is accepted. `asyncio.Server` shows one only some steps
    of the event loop later, so that a stop in between misses it, and its close resets the
    connections that callers have made but that were not accepted yet.

    Args:
        sock: Listening socket; the acceptor closes it.
        create_protocol: Returns the protocol of a new connection.
        tls: TLS settings; None for plain connections.
    """

    def __init__(
        self,
        sock: socket.socket,
        create_protocol: Callable[[], asyncio.Protocol],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._sock = sock
        self._create_protocol = create_protocol
        self._tls = tls
        self._loop = asyncio.get_running_loop()
        self._setups: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        sock.setblocking(False)
        self._start()

    @property
    def pending(self) -> int:
        """Number of accepted connections whose protocol is not connected yet."""
        return len(self._setups)

    def stop(self) -> None:
        """Accept the connections that callers have already made, then close the socket."""
        if self._sock.fileno() < 0:
            return
        self._loop.remove_reader(self._sock)
        while self._accept_one():
            pass
        if self._retry is not None:
            self._retry.cancel()
        self._sock.close()

    def release(self) -> socket.socket:
        """Stop accepting without closing the socket; connections go on waiting in its queue."""
        self._loop.remove_reader(self._sock)
        if self._retry is not None:
            self._retry.cancel()
        return self._sock

    def _start(self) -> None:
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
            if error.errno in _CONNECTION_ERRORS:
                return False
            if error.errno not in _OUT_OF_RESOURCES:
                self._report("accept failed", error)
            # The socket stays readable, so accepting again at once would keep the loop busy.
            self._loop.remove_reader(self._sock)
            self._retry = self._loop.call_later(_RETRY_S, self._start)
            return False
        sock.setblocking(False)
        setup = self._loop.create_task(self._set_up(sock))
        self._setups.add(setup)
        setup.add_done_callback(self._setups.discard)
        return True

    async def _set_up(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._create_protocol, sock, ssl=self._tls)
        except OSError:  # Includes failed TLS handshakes.
            sock.close()
        except Exception as error:  # noqa: BLE001
            self._report("a connection was not set up", error)
            sock.close()

    def _report(self, message: str, error: Exception) -> None:
        self._loop.call_exception_handler({"message": message, "exception": error})
