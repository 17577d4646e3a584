"""An event loop in virtual time, and connections in memory."""

import asyncio
import collections
import contextlib
import functools
import selectors
import time
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from beryljunction import clocks

__all__ = ["Network", "Side", "VirtualLoop", "virtual_clock"]

_LATENCY_S = 0.001
# The module that the project's clock asks, by its name there.
_CLOCK_SOURCE = "time"


class _NoSelector(selectors.SelectSelector):
    """Waits for nothing; instead the clock jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.loop: VirtualLoop | None = None

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout and self.loop is not None:
            self.loop.now_s += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Time passes only when nothing is left to do.

    Attributes:
        now_s: Time of timers, which stands still while hosts are suspended.
        suspended_s: How long hosts have been suspended so far.
        network: Makes the connections.
    """

    def __init__(self) -> None:
        selector = _NoSelector()
        super().__init__(selector)
        selector.loop = self
        self.now_s = 1_000.0
        self.suspended_s = 0.0
        self.network = Network(self)

    def time(self) -> float:
        """Return the time of timers."""
        return self.now_s

    @property
    def world_s(self) -> float:
        """Time as the rest of the world counts it."""
        return self.now_s + self.suspended_s

    async def create_connection(  # type: ignore[override]
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[asyncio.BaseTransport, asyncio.Protocol]:
        """Connect through the network in memory."""
        return await self.network.connect(factory, (host, port))


@attrs.define
class _Clock:
    """Stands in for the module that the project's clock reads."""

    loop: VirtualLoop
    CLOCK_BOOTTIME: int = time.CLOCK_BOOTTIME

    def clock_gettime(self, _: int) -> float:
        return self.loop.world_s

    def time(self) -> float:
        return self.loop.world_s


@contextlib.contextmanager
def virtual_clock(loop: VirtualLoop) -> Iterator[None]:
    """Let the project's clock follow a loop."""
    setattr(clocks, _CLOCK_SOURCE, _Clock(loop))
    try:
        yield
    finally:
        setattr(clocks, _CLOCK_SOURCE, time)


class _NoSocket:
    """Takes socket options."""

    def setsockopt(self, *_: object) -> None:
        """Do nothing."""

    def getsockopt(self, *_: object) -> bytes:
        """State nothing."""
        return b""


class Side(asyncio.Transport):
    """One end of a connection in memory."""

    def __init__(self, loop: VirtualLoop, protocol: Any) -> None:
        super().__init__()
        self._loop = loop
        self._protocol = protocol
        self.other: Side | None = None
        self._is_closed = False
        self._coming: collections.deque[Callable[[], None]] = collections.deque()

    def _send(self, deliver: Callable[[], None]) -> None:
        """Deliver a little later, in order; timers of one moment run in any order."""
        assert self.other is not None
        self.other._coming.append(deliver)
        self._loop.call_later(_LATENCY_S, self.other._take_next)

    def _take_next(self) -> None:
        self._coming.popleft()()

    def write(self, data: Any) -> None:
        """Let the other end have the bytes a little later."""
        if not self._is_closed and self.other is not None and data:
            self._send(functools.partial(self.other._receive, bytes(data)))

    def _receive(self, data: bytes) -> None:
        if not self._is_closed:
            self._protocol.data_received(data)

    def _end(self, error: Exception | None) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if error is None:
            self._protocol.eof_received()
        self._protocol.connection_lost(error)

    def close(self) -> None:
        """End in an orderly way."""
        self._leave(None)

    def abort(self) -> None:
        """End at once."""
        self._leave(None)

    def reset(self) -> None:
        """End with a reset, which the other end takes for an error."""
        self._leave(ConnectionResetError("reset"))

    def _leave(self, error: Exception | None) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.call_soon(self._protocol.connection_lost, None)
        if self.other is not None:
            self._send(functools.partial(self.other._end, error))

    def write_eof(self) -> None:
        """Do nothing: a close follows."""

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self._is_closed

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a socket that takes options."""
        return _NoSocket() if name == "socket" else default

    def get_write_buffer_size(self) -> int:
        """Return that the other end takes all bytes."""
        return 0

    def pause_reading(self) -> None:
        """Do nothing: buffers of tests are small."""

    def resume_reading(self) -> None:
        """Do nothing."""


class Network:
    """Listeners by address, and addresses that are dark."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self.listeners: dict[tuple[str, int], Callable[[], Any]] = {}
        self.dark: set[tuple[str, int]] = set()

    async def connect(
        self, factory: Callable[[], Any], address: tuple[str, int]
    ) -> tuple[Side, Any]:
        """Return a connected end.

        Raises:
            ConnectionRefusedError: Nobody listens there.
        """
        await asyncio.sleep(_LATENCY_S)
        if address in self.dark:
            await asyncio.sleep(3_600)
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError("nobody listens")
        mine, theirs = factory(), listener()
        near, far = Side(self._loop, mine), Side(self._loop, theirs)
        near.other, far.other = far, near
        theirs.connection_made(far)
        mine.connection_made(near)
        return near, mine
