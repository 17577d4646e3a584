"""A caller whose bytes are in a server's socket before the server's event loop runs again."""

import asyncio
import socket

__all__ = ["BlockingCaller"]


class BlockingCaller:
    """One connection, written to without the event loop."""

    def __init__(self, address):
        self._sock = socket.create_connection(address, timeout=8.0)

    def send(self, data):
        self._sock.sendall(data)

    async def read_to_end(self):
        return await asyncio.to_thread(self._read_to_end)

    def _read_to_end(self):
        data = b""
        with self._sock:
            try:
                while part := self._sock.recv(65_536):
                    data += part
            except ConnectionResetError:
                data += b"(reset)"
        return data

    def read_now(self, size):
        """Return what has arrived."""
        self._sock.setblocking(False)
        try:
            return self._sock.recv(size)
        except BlockingIOError:
            return b""
