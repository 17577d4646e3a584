"""Events of one process in a bounded ring, ordered over processes by hybrid logical time."""

import collections
import time
from collections.abc import Callable

import attrs

__all__ = ["Event", "HybridClock", "Timeline"]

_RING_EVENTS = 4096


@attrs.frozen(order=True)
class Event:
    """Something that happened in one process.

    Attributes:
        wall_ms: Milliseconds since the epoch, never behind any event that was heard of.
        logical: Orders events of the same millisecond.
    """

    wall_ms: int
    logical: int
    host: str
    availability_zone: str
    kind: str
    request_id: str = ""
    detail: str = ""


class HybridClock:
    """Hybrid logical clock (Kulkarni et al., 2014): wall time that respects causality.

    A wall clock alone would show an answer before its request when two hosts' clocks differ.
    """

    def __init__(self, wall_s: Callable[[], float] = time.time) -> None:
        self._wall_s = wall_s
        self._last = (0, 0)

    def now(self) -> tuple[int, int]:
        """Return the time of a new event."""
        wall_ms = int(self._wall_s() * 1000)
        last_ms, logical = self._last
        self._last = (wall_ms, 0) if wall_ms > last_ms else (last_ms, logical + 1)
        return self._last

    def heard(self, wall_ms: int, logical: int) -> None:
        """Take in the time on a message from another process."""
        self._last = max(self._last, (wall_ms, logical))


class Timeline:
    """The bounded ring of one process's events."""

    def __init__(self, host: str, availability_zone: str, clock: HybridClock | None = None) -> None:
        self.clock = clock if clock is not None else HybridClock()
        self._host = host
        self._zone = availability_zone
        self._ring: collections.deque[Event] = collections.deque(maxlen=_RING_EVENTS)

    def add(self, kind: str, request_id: str = "", detail: str = "") -> None:
        """Record an event."""
        wall_ms, logical = self.clock.now()
        self._ring.append(Event(wall_ms, logical, self._host, self._zone, kind, request_id, detail))

    def events(self, request_id: str | None = None) -> list[Event]:
        """Return the events still held, oldest first, of one request or of all."""
        return [e for e in self._ring if request_id is None or e.request_id == request_id]
