"""What a stand-in engine tells of itself, late and with gaps: cache events and load."""

import collections
import random
from collections.abc import Callable
from typing import Any

import attrs

from beryljunction.standins.faults import EngineFaults
from beryljunction.standins.model import CacheChange

__all__ = ["CacheEventFeed", "LoadReport"]

_KEPT_EVENTS = 10_000
_KEPT_LOADS = 1_000


@attrs.frozen
class _Numbered:
    sequence: int
    at_s: float
    change: CacheChange


class CacheEventFeed:
    """Numbered cache events; some are never shown, and none before its delay has passed."""

    def __init__(self, faults: EngineFaults, now_s: Callable[[], float]) -> None:
        self._faults = faults
        self._now_s = now_s
        self._random = random.Random(faults.seed)
        self._sequence = 0
        self._events: collections.deque[_Numbered] = collections.deque(maxlen=_KEPT_EVENTS)

    def add(self, change: CacheChange) -> None:
        """Number a change; a gap is a number that no reader ever sees."""
        self._sequence += 1
        if self._random.random() >= self._faults.event_gap_ratio:
            self._events.append(_Numbered(self._sequence, self._now_s(), change))

    def after(self, sequence: int) -> list[dict[str, Any]]:
        """Return the events that may be shown and follow a sequence number."""
        shown_s = self._now_s() - self._faults.event_delay_s
        return [
            {"sequence": event.sequence, **attrs.asdict(event.change)}
            for event in self._events
            if event.sequence > sequence and event.at_s <= shown_s
        ]


class LoadReport:
    """The engine's load as it was some time ago."""

    def __init__(self, faults: EngineFaults, now_s: Callable[[], float]) -> None:
        self._faults = faults
        self._now_s = now_s
        self._past: collections.deque[tuple[float, int, int]] = collections.deque(
            maxlen=_KEPT_LOADS
        )
        self._shown = (0, 0)

    def add(self, running: int, waiting: int) -> None:
        """Note the load of this moment."""
        self._past.append((self._now_s(), running, waiting))

    def read(self) -> dict[str, int]:
        """Return the newest load that is old enough to be shown."""
        shown_s = self._now_s() - self._faults.load_lag_s
        while self._past and self._past[0][0] <= shown_s:
            _, running, waiting = self._past.popleft()
            self._shown = (running, waiting)
        return {"running": self._shown[0], "waiting": self._shown[1]}
