"""Bounds what all connections of a process buffer together."""

import abc
import math
from collections.abc import Callable

__all__ = ["HEADER_OVERHEAD_BYTES", "BufferMemory", "BufferOwner"]

# What a stored header takes beside its bytes: two objects of bytes, and the pair of them.
HEADER_OVERHEAD_BYTES = 150

# Part of the limit from which buffers that can wait for their reader are kept small.
_TIGHT_RATIO = 0.5
_TIGHT_DIVISOR = 8
# Part of the limit that requests which are being served may take, if they are large.
_PINNED_RATIO = 0.5
# Connections that buffer less than this part of the limit are neither refused nor given up.
_SMALL_RATIO = 1 / 2048


class BufferOwner(abc.ABC):
    """A connection that buffers bytes."""

    @abc.abstractmethod
    def give_up_buffers(self) -> None:
        """Free the buffers, and end what they were for."""


class BufferMemory:
    """Counts what the connections of a process buffer, and keeps the sum within a limit.

    Limits of single connections don't bound their sum. When the sum reaches its limit, the
    connections that buffer most are given up, so that the many that buffer little go on, whoever is
    at fault. Those that buffer very little are never given up.

    Attributes:
        limit_bytes: Limit of the sum.
        on_give_up: Called with the bytes that a connection gave up.
    """

    def __init__(
        self,
        limit_bytes: float = math.inf,
        on_give_up: Callable[[int], None] = lambda _: None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.on_give_up = on_give_up
        self._sizes: dict[BufferOwner, int] = {}
        self._pinned_bytes = 0
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are buffered now."""
        return self._held_bytes

    def limit_buffer(self, usual_bytes: int) -> int:
        """Return the limit of one buffer whose writer can wait: smaller while memory is scarce."""
        is_tight = self._held_bytes > _TIGHT_RATIO * self.limit_bytes
        return usual_bytes // _TIGHT_DIVISOR if is_tight else usual_bytes

    def hold(self, owner: BufferOwner, size_bytes: int) -> None:
        """Set what a connection buffers; beyond the limit, the largest ones are given up."""
        self._held_bytes += size_bytes - self._sizes.get(owner, 0)
        if size_bytes:
            self._sizes[owner] = size_bytes
        else:
            self._sizes.pop(owner, None)
        self._shrink()

    def can_pin(self, size_bytes: int) -> bool:
        """Return whether there is memory for what can't be given up any more."""
        if size_bytes <= _SMALL_RATIO * self.limit_bytes:
            return True
        return self._pinned_bytes + size_bytes <= _PINNED_RATIO * self.limit_bytes

    def pin(self, size_bytes: int) -> None:
        """Count bytes of a request that is being served, which can't be given up."""
        self._pinned_bytes += size_bytes
        self._held_bytes += size_bytes
        self._shrink()

    def unpin(self, size_bytes: int) -> None:
        """Count them no more."""
        self._pinned_bytes -= size_bytes
        self._held_bytes -= size_bytes

    def _shrink(self) -> None:
        while self._held_bytes > self.limit_bytes and self._sizes:
            owner = max(self._sizes, key=self._sizes.__getitem__)
            if self._sizes[owner] <= _SMALL_RATIO * self.limit_bytes:
                return
            size_bytes = self._sizes.pop(owner)
            self._held_bytes -= size_bytes
            self.on_give_up(size_bytes)
            owner.give_up_buffers()
