"""Silence limits of many open streams, checked by one ticker.

A timer for each read would be set and taken back for each frame, thousands of times a second. One
ticker that looks at the time of the last byte costs the same whatever flows.
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
    """One connection that must not go silent.

    Attributes:
        heard_s: Monotonic time of the last byte.
        paused: Set while this side itself reads nothing, as with a slow caller.
        fired: Whether the connection was given up for its silence.
    """

    limit_s: float
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    heard_s: float = attrs.field(factory=time.monotonic)
    paused: bool = False
    fired: bool = False

    def heard(self) -> None:
        """Note that bytes came."""
        self.heard_s = time.monotonic()

    def check(self, now_s: float) -> None:
        """Give the connection up if it has been silent for too long."""
        if self.paused:
            self.heard_s = now_s
        elif now_s - self.heard_s > self.limit_s:
            self.fired = True
            self.scope.cancel()


class WatchList:
    """The open watches of one process."""

    def __init__(self) -> None:
        self._open: set[Watch] = set()

    @contextlib.contextmanager
    def watch(self, limit_s: float) -> Iterator[Watch]:
        """Run the block until it ends or is silent for longer than the limit.

        Raises:
            httpcore.ReadTimeout: When it was silent for longer.
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
        """Check every open watch."""
        for watch in tuple(self._open):
            watch.check(now_s)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            self.tick(time.monotonic())
