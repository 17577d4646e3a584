"""Relays between an entry and the store, which cut the entry off for a while."""

import asyncio
import contextlib

__all__ = ["Relay"]

_CHUNK_BYTES = 65_536


class Relay:
    """Passes the bytes of each connection on to an address, unless it is cut.

    Attributes:
        refuses: Whether connections are reset while it is cut; otherwise their bytes are held back.
    """

    def __init__(self, target):
        self.target = target
        self.refuses = False
        self.address = None
        self._passes = asyncio.Event()
        self._passes.set()
        self._writers = set()
        self._cuts = 0

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, *address)
        self.address = self._server.sockets[0].getsockname()

    def cut(self, refuses):
        """Stop passing bytes on; cuts may overlap."""
        self._cuts += 1
        self.refuses = self.refuses or refuses
        self._passes.clear()
        if refuses:
            for writer in list(self._writers):
                writer.transport.abort()

    def mend(self):
        """End one cut."""
        self._cuts -= 1
        if not self._cuts:
            self.refuses = False
            self._passes.set()

    async def _serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            ends = {writer, far_writer}
            self._writers |= ends
            try:
                await asyncio.gather(
                    self._carry(reader, far_writer), self._carry(far_reader, writer)
                )
            finally:
                self._writers -= ends
                for end in ends:
                    end.transport.abort()
            return
        writer.transport.abort()

    async def _carry(self, reader, writer):
        while data := await reader.read(_CHUNK_BYTES):
            await self._passes.wait()
            writer.write(data)
            await writer.drain()
        writer.close()
