"""Detects stalls of the event loop."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

from beryljunction.clocks import boot_time_s

__all__ = ["StallMonitor"]

_INTERVAL_S = 0.1
# Shorter delays are common on a busy machine.
_MIN_STALL_S = 0.1


class StallMonitor:
    """Calls back after each stall of the event loop, before the tasks that it delayed.

    The callback of a timer runs in the first pass of the event loop after a stall. Tasks that wait
    for data or for a timer run in the pass after it.

    Args:
        on_stall: Called with the length of a stall in seconds.
    """

    def __init__(self, on_stall: Callable[[float], None]) -> None:
        self._on_stall = on_stall

    def __enter__(self) -> Self:
        self._loop = asyncio.get_running_loop()
        self._start_timer()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._timer.cancel()

    def _start_timer(self) -> None:
        self._due_s = boot_time_s() + _INTERVAL_S
        self._timer = self._loop.call_later(_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        stall_s = boot_time_s() - self._due_s
        self._start_timer()
        if stall_s >= _MIN_STALL_S:
            self._on_stall(stall_s)
