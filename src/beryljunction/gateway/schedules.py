"""When an entry is to read the store for itself."""

import abc
import math
from collections.abc import Callable

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.state import EntryState
from beryljunction.platform import Topic
from beryljunction.routing import AgeBound

__all__ = ["ALWAYS_POLL", "FAILED_PAUSE_S", "FanOutSchedule", "PollSchedule"]

# An entry below the readers looks at least so often whether it has become one, or is behind.
_LOOK_S = 0.25
# Pause after a read that failed: short against the seconds after which settings are too old.
FAILED_PAUSE_S = 0.25
_LONGEST_PAUSE_S = 2.0
# A stand-in's first read of a topic after this long without one is logged.
_STANDS_IN_ANEW_S = 5.0
# Rests shorter than this would only be woken up from for nothing.
_LEAST_REST_S = 0.01

Age = Callable[[float], float]


class PollSchedule(abc.ABC):
    """Says when an entry reads the store for itself."""

    @property
    @abc.abstractmethod
    def is_first(self) -> bool:
        """Whether this entry reads all the time; its reads may wait at the store."""

    @property
    @abc.abstractmethod
    def is_reader(self) -> bool:
        """Whether this entry is one of those that wait at the store for changes."""

    @property
    @abc.abstractmethod
    def failed_pause_s(self) -> float:
        """Pause after a read that failed, until the next one looks whether the store is back."""

    @abc.abstractmethod
    async def wait(self, topic: Topic, bound: AgeBound, age_s: Age) -> None:
        """Return once a read is due.

        Args:
            topic: What is to be read.
            bound: How old what is known of it may become.
            age_s: Age at a time of what is known of it.
        """

    @abc.abstractmethod
    async def wait_for_reader(self) -> None:
        """Return once this entry is one of the store's readers."""


class _AlwaysPoll(PollSchedule):
    """Each entry reads for itself all the time."""

    @property
    def is_first(self) -> bool:
        return True

    @property
    def is_reader(self) -> bool:
        return True

    @property
    def failed_pause_s(self) -> float:
        return FAILED_PAUSE_S

    async def wait(self, topic: Topic, bound: AgeBound, age_s: Age) -> None:
        pass

    async def wait_for_reader(self) -> None:
        pass


ALWAYS_POLL: PollSchedule = _AlwaysPoll()


class FanOutSchedule(PollSchedule):
    """The first reader reads all the time, others once what they were told has become old."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._draw = state.random.random()
        self._read_s: dict[Topic, float] = {}

    @property
    def is_first(self) -> bool:
        """Whether this entry reads all the time; its reads may wait at the store."""
        return self._state.fan_out.is_first_reader

    @property
    def is_reader(self) -> bool:
        """Whether this entry is one of those that wait at the store for changes."""
        return self._state.fan_out.is_reader

    @property
    def failed_pause_s(self) -> float:
        """Pause after a read that failed; each reader's is longer than that of the one before."""
        rank = self._state.fan_out.reader_rank
        return min(_LONGEST_PAUSE_S, FAILED_PAUSE_S * (1 + 2 * rank))

    async def wait(self, topic: Topic, bound: AgeBound, age_s: Age) -> None:
        """Return once a read is due."""
        fan_out = self._state.fan_out
        while not fan_out.is_first_reader:
            known_age_s = age_s(boot_time_s())
            left_s = fan_out.ask_after_s(bound.bound_s, self._draw) - known_age_s
            if left_s <= 0.0 or math.isnan(left_s):
                self._note_stand_in(topic, known_age_s)
                return
            await anyio.sleep(max(_LEAST_REST_S, min(left_s, _LOOK_S)))

    def _note_stand_in(self, topic: Topic, known_age_s: float) -> None:
        """Log when this entry begins to read a topic that others read while all is well."""
        now_s = boot_time_s()
        if now_s - self._read_s.get(topic, -math.inf) > _STANDS_IN_ANEW_S:
            age_s = round(known_age_s, 3) if math.isfinite(known_age_s) else None
            self._state.events.write("stands_in", topic=topic.name, age_s=age_s)
        self._read_s[topic] = now_s

    async def wait_for_reader(self) -> None:
        """Return once this entry is one of the store's readers."""
        while not self._state.fan_out.is_reader:
            await anyio.sleep(_LOOK_S)
