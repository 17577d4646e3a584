"""An event that resets itself when a waiting task wakes up."""

import anyio

__all__ = ["AutoResetEvent"]


class AutoResetEvent:
    """Event that is cleared when `wait` returns, so that a loop can wait for it repeatedly."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        """Wake the waiting task, or the next task that waits."""
        self._event.set()

    async def wait(self) -> None:
        """Return once `set` has been called since `wait` last returned."""
        await self._event.wait()
        self._event = anyio.Event()
