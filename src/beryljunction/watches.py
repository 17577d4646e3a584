"""Idle timeouts of many open streams, checked by one periodic task.

A timer for each read would be set and cancelled for each frame, thousands of times per second. The
cost of one task that compares the times of the last bytes doesn't depend on the traffic.
"""

import contextlib
import time
from collections.abc import Iterator

import anyio
import attrs
import httpcore

__all__ = ["Watch", "WatchList"]

TICK_S = 0.25


@attrs.define(eq=False)
class Watch:
    """Idle timeout of one connection.

    Attributes:
        heard_s: Monotonic time of the last byte received.
        paused: Set while this side doesn't read, for example because the caller is slow.
        fired: Whether the timeout has expired and the connection was abandoned.
    """

    limit_s: float
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    heard_s: float = attrs.field(factory=time.monotonic)
    paused: bool = False
    fired: bool = False

    def heard(self) -> None:
        """Record that bytes were received."""
        self.heard_s = time.monotonic()

    def check(self, now_s: float) -> None:
        """Cancel the scope if the connection has been idle for too long."""
        if self.paused:
            self.heard_s = now_s
        elif now_s - self.heard_s > self.limit_s:
            self.fired = True
            self.scope.cancel()


class WatchList:
    """All active idle timeouts of one process."""

    def __init__(self) -> None:
        self._open: set[Watch] = set()

    @contextlib.contextmanager
    def watch(self, limit_s: float) -> Iterator[Watch]:
        """Run the block, and cancel it when no byte is received for longer than the limit.

        Raises:
            httpcore.ReadTimeout: When the block was cancelled.
        """
        watch = Watch(limit_s)
        self._open.add(watch)
        try:
            with watch.scope:
                yield watch
        finally:
            self._open.discard(watch)
        if watch.fired:
            raise httpcore.ReadTimeout(f"expected a byte within {limit_s:g} s, got none")

    def tick(self, now_s: float) -> None:
        """Check every active timeout."""
        for watch in tuple(self._open):
            watch.check(now_s)

    async def run(self) -> None:
        """Check all timeouts periodically, until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            self.tick(time.monotonic())
