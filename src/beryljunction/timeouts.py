"""Timeouts for waiting on other processes that exclude stalls of this process.

A process stalls when it is paused, gets no processor time or runs one long computation. When it
resumes, overdue timers fire before it has read what arrived in the meantime, so with a plain
deadline every peer that it waits for seems not to have answered.
"""

import asyncio
import contextlib
import math
from collections.abc import Iterator

import anyio

__all__ = ["fail_after", "move_on_after"]

# A timeout is measured by timers in a row. Each is started by the one before, so a stall delays one
# of them only, and the peer has the others to answer in. Opening a connection takes up to four
# passes of the event loop, and each pass fires at most one of the timers.
_MIN_TIMERS = 10
_MAX_INTERVAL_S = 0.1


class _TimerChain:
    """Cancels a scope when the last of its timers has fired."""

    def __init__(self, scope: anyio.CancelScope, limit_s: float) -> None:
        self._scope = scope
        self._left = max(_MIN_TIMERS, math.ceil(limit_s / _MAX_INTERVAL_S))
        self._interval_s = limit_s / self._left
        self._loop = asyncio.get_running_loop()
        self._start_timer()

    def _start_timer(self) -> None:
        self._timer = self._loop.call_later(self._interval_s, self._on_timer)

    def _on_timer(self) -> None:
        self._left -= 1
        if self._left:
            self._start_timer()
        else:
            self._scope.cancel()

    def stop(self) -> None:
        """Stop the pending timer."""
        self._timer.cancel()


@contextlib.contextmanager
def move_on_after(limit_s: float) -> Iterator[anyio.CancelScope]:
    """Cancel the block after this time, of which a stall uses up a tenth and 0.1 s at most.

    Whether it was cancelled is in the scope's `cancelled_caught`.
    """
    with anyio.CancelScope() as scope:
        timers = _TimerChain(scope, limit_s)
        try:
            yield scope
        finally:
            timers.stop()


@contextlib.contextmanager
def fail_after(limit_s: float | None) -> Iterator[None]:
    """Cancel the block as :func:`move_on_after` does; None sets no timeout.

    Raises:
        TimeoutError: The block was cancelled.
    """
    if limit_s is None:
        yield
        return
    with move_on_after(limit_s) as scope:
        yield
    if scope.cancelled_caught:
        raise TimeoutError(f"expected an answer within {limit_s:g} s, got none")
