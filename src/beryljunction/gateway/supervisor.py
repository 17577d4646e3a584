"""Runs background tasks again after unexpected exceptions, and reports those of callbacks."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from beryljunction.errors import InvariantError
from beryljunction.gateway.events import EntryEventLog

__all__ = ["Supervisor", "report_callback_faults"]

# Pauses before a task is run again. The longest is short enough for a fault that passes within
# seconds to cost little more than its own time.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 2.0
# A task that ran for this long has recovered from the failure before.
_HEALTHY_S = 10.0


class Supervisor:
    """Starts background tasks and runs each one again after an unexpected exception.

    The pause doubles with each failure and starts over once a task has run for a while. A task that
    returns is not run again. After an InvariantError the process must not go on: it is stopped, as
    by SIGTERM, so that the requests in flight still end whole.

    Args:
        group: The tasks run in this group; its cancellation ends them.
        events: Failures are logged and counted here.
        stop: Starts the shutdown of the process.
    """

    def __init__(
        self, group: anyio.abc.TaskGroup, events: EntryEventLog, stop: Callable[[], None]
    ) -> None:
        self._group = group
        self._events = events
        self._stop = stop

    def start(self, name: str, run: Callable[[], Awaitable[object]]) -> None:
        """Start a task; `run` is called again after a failure, with the same objects."""
        self._group.start_soon(self._run, name, run, name=name)

    async def _run(self, name: str, run: Callable[[], Awaitable[object]]) -> None:
        pause_s = _FIRST_PAUSE_S
        while True:
            started_s = time.monotonic()
            try:
                await run()
                return
            except Exception as error:  # noqa: BLE001
                problem = _problem(error)
                if _has_broken_invariant(error):
                    self._events.write(
                        "invariant_broken", exc_info=True, task=name, problem=problem
                    )
                    self._stop()
                    return
                if time.monotonic() - started_s >= _HEALTHY_S:
                    pause_s = _FIRST_PAUSE_S
                self._events.write(
                    "task_failed", exc_info=True, task=name, problem=problem, pause_s=pause_s
                )
            await anyio.sleep(pause_s)
            pause_s = min(_MAX_PAUSE_S, 2 * pause_s)


def _leaves(error: Exception) -> list[Exception]:
    """Return the exceptions in a group and in the groups within it."""
    if isinstance(error, ExceptionGroup):
        return [leaf for row in error.exceptions for leaf in _leaves(row)]
    return [error]


def _problem(error: Exception) -> str:
    return "; ".join(repr(leaf) for leaf in _leaves(error))


def _has_broken_invariant(error: Exception) -> bool:
    return any(isinstance(leaf, InvariantError) for leaf in _leaves(error))


@contextlib.asynccontextmanager
async def report_callback_faults(events: EntryEventLog) -> AsyncIterator[None]:
    """Log and count exceptions of the event loop's callbacks, which no task receives."""

    def report(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        problem = str(context.get("message")) if error is None else repr(error)
        events.write("callback_failed", exc_info=error or False, problem=problem)

    loop = asyncio.get_running_loop()
    before = loop.get_exception_handler()
    loop.set_exception_handler(report)
    try:
        yield
    finally:
        loop.set_exception_handler(before)
