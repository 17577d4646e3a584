"""Idle timeouts of many open streams, checked by one periodic task.

A timer for each read would be set and cancelled for each frame, thousands of times per second. The
cost of one task that compares the times of the last bytes doesn't depend on the traffic.

The time for which this process was stalled is not counted (see :mod:`beryljunction.timeouts`).
"""

import contextlib
import time
from collections.abc import Iterator

import anyio
import attrs
import httpcore

__all__ = ["IdleTimeout", "IdleTimeouts"]

CHECK_INTERVAL_S = 0.25


@attrs.define(eq=False)
class IdleTimeout:
    """Idle timeout of one connection.

    Attributes:
        last_byte_s: Monotonic time of the last byte received, moved on by stalls since then.
        paused: Set while this side doesn't read, for example because the caller is slow.
        expired: Whether the timeout has expired and the connection was abandoned.
    """

    limit_s: float
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    last_byte_s: float = attrs.field(factory=time.monotonic)
    paused: bool = False
    expired: bool = False

    def reset(self) -> None:
        """Record that bytes were received."""
        self.last_byte_s = time.monotonic()

    def exclude_stall(self, stall_s: float, now_s: float) -> None:
        """Don't count a time in which this process could not read."""
        self.last_byte_s = min(now_s, self.last_byte_s + stall_s)

    def check(self, now_s: float) -> None:
        """Cancel the scope if the connection has been idle for too long."""
        if self.paused:
            self.last_byte_s = now_s
        elif now_s - self.last_byte_s > self.limit_s:
            self.expired = True
            self.scope.cancel()


class IdleTimeouts:
    """All active idle timeouts of one process."""

    def __init__(self) -> None:
        self._open: set[IdleTimeout] = set()
        self._checked_s: float | None = None

    @contextlib.contextmanager
    def add(self, limit_s: float) -> Iterator[IdleTimeout]:
        """Run the block, and cancel it when no byte is received for longer than the limit.

        Raises:
            httpcore.ReadTimeout: When the block was cancelled.
        """
        idle_timeout = IdleTimeout(limit_s)
        self._open.add(idle_timeout)
        try:
            with idle_timeout.scope:
                yield idle_timeout
        finally:
            self._open.discard(idle_timeout)
        if idle_timeout.expired:
            raise httpcore.ReadTimeout(f"expected a byte within {limit_s:g} s, got none")

    def check_all(self, now_s: float) -> None:
        """Check every active timeout; a stall is the time by which this check is late."""
        checked_s, self._checked_s = self._checked_s, now_s
        stall_s = 0.0 if checked_s is None else max(0.0, now_s - checked_s - CHECK_INTERVAL_S)
        for idle_timeout in tuple(self._open):
            idle_timeout.exclude_stall(stall_s, now_s)
            idle_timeout.check(now_s)

    async def run(self) -> None:
        """Check all timeouts periodically, until cancelled."""
        self._checked_s = time.monotonic()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.check_all(time.monotonic())
