"""Events of one process in ring buffers, ordered across processes by hybrid logical time."""

import collections
import time
from collections.abc import Callable, Iterable

import attrs

__all__ = ["HLC_HEADER", "SAMPLED_EVENT_KINDS", "Event", "HybridClock", "Timeline", "merge_events"]

HLC_HEADER = b"beryl-hlc"
# Kinds of events of every successful request. All other kinds are notable, so that a kind missing
# here is never lost by sampling.
SAMPLED_EVENT_KINDS = frozenset(("arrived", "queued", "started", "ended", "answered"))
_RING_EVENTS = 4096
# A host whose clock is a year ahead would advance the clock of every process that it contacts.
# Clocks synchronized by NTP differ by far less, so a timestamp beyond this limit is ignored.
_MAX_CLOCK_AHEAD_MS = 60_000


@attrs.frozen(order=True)
class Event:
    """An event in one process.

    Attributes:
        wall_ms: Milliseconds since the epoch; never less than that of any event received before.
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

    With wall time alone, a response could sort before its request when two hosts' clocks differ.
    """

    def __init__(self, wall_s: Callable[[], float] = time.time) -> None:
        self._wall_s = wall_s
        self._last = (0, 0)

    def now(self) -> tuple[int, int]:
        """Advance the clock and return the time of a new event."""
        wall_ms = int(self._wall_s() * 1000)
        last_ms, logical = self._last
        self._last = (wall_ms, 0) if wall_ms > last_ms else (last_ms, logical + 1)
        return self._last

    def update(self, wall_ms: int, logical: int) -> None:
        """Advance the clock to the timestamp of a message from another process."""
        if wall_ms <= int(self._wall_s() * 1000) + _MAX_CLOCK_AHEAD_MS:
            self._last = max(self._last, (wall_ms, logical))

    def header_value(self) -> bytes:
        """Return the header value with the current time for a message to another process."""
        return b"%d.%d" % self.now()

    def update_from_header(self, stamp: bytes | None) -> None:
        """Advance the clock to the timestamp in a header; invalid values are ignored."""
        wall, _, logical = (stamp or b"").partition(b".")
        if wall.isdigit() and logical.isdigit():
            self.update(int(wall), int(logical))


class Timeline:
    """Ring buffers with the events of one process.

    Ordinary and notable events have separate buffers. At thousands of requests per second the
    ordinary events fill theirs within a minute; operators need to find a refusal for longer.
    """

    def __init__(
        self,
        host: str,
        availability_zone: str,
        clock: HybridClock | None = None,
        ring_events: int = _RING_EVENTS,
    ) -> None:
        self.clock = clock if clock is not None else HybridClock()
        self._host = host
        self._zone = availability_zone
        self._ordinary: collections.deque[Event] = collections.deque(maxlen=ring_events)
        self._notable: collections.deque[Event] = collections.deque(maxlen=ring_events)
        self._listeners: list[Callable[[Event], None]] = []

    def add_listener(self, listener: Callable[[Event], None]) -> None:
        """Register a callback for all further events, for example a log or a metric."""
        self._listeners.append(listener)

    def add(self, kind: str, request_id: str = "", detail: str = "") -> None:
        """Record an event."""
        wall_ms, logical = self.clock.now()
        event = Event(wall_ms, logical, self._host, self._zone, kind, request_id, detail)
        ring = self._ordinary if kind in SAMPLED_EVENT_KINDS else self._notable
        ring.append(event)
        for listener in self._listeners:
            listener(event)

    def events(self, request_id: str | None = None) -> list[Event]:
        """Return the buffered events of one request or of all, oldest first."""
        return merge_events(
            [
                event
                for event in (*self._ordinary, *self._notable)
                if request_id is None or event.request_id == request_id
            ]
        )


def merge_events(*rings: Iterable[Event]) -> list[Event]:
    """Return the events of several processes in one list, oldest first."""
    return sorted(event for ring in rings for event in ring)
