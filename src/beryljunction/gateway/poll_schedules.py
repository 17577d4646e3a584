"""Decides when an entry reads the store itself."""

import abc
import math
from collections.abc import Callable

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.state import EntryState
from beryljunction.platform import Topic
from beryljunction.routing import AgeBound

__all__ = ["ALWAYS_POLL", "RETRY_PAUSE_S", "FanOutSchedule", "PollSchedule"]

# An entry checks at least this often whether it has become a reader or its data is too old.
_CHECK_INTERVAL_S = 0.25
# Pause after a failed read; short compared to the seconds after which settings are too old.
RETRY_PAUSE_S = 0.25
_MAX_FAILED_PAUSE_S = 2.0
# A fallback read of a topic is logged if there was none for this long.
_STAND_IN_LOG_GAP_S = 5.0
# Shorter sleeps would only cause needless wakeups.
_MIN_SLEEP_S = 0.01

Age = Callable[[float], float]


class PollSchedule(abc.ABC):
    """Decides when an entry reads the store itself."""

    @property
    @abc.abstractmethod
    def is_first_reader(self) -> bool:
        """Whether this entry reads all the time; the store may hold its reads open."""

    @property
    @abc.abstractmethod
    def is_reader(self) -> bool:
        """Whether this entry is one of those that long poll the store for changes."""

    @property
    @abc.abstractmethod
    def failed_pause_s(self) -> float:
        """Pause after a failed read before the next attempt."""

    @abc.abstractmethod
    async def wait_until_due(self, topic: Topic, bound: AgeBound, age_s: Age) -> None:
        """Return once a read is due.

        Args:
            topic: Topic to be read.
            bound: How old the known data of the topic may become.
            age_s: Returns the age of that data at a given time.
        """

    @abc.abstractmethod
    async def wait_until_reader(self) -> None:
        """Return once this entry is one of the store's readers."""


class _AlwaysPoll(PollSchedule):
    """Makes each entry read the store itself all the time."""

    @property
    def is_first_reader(self) -> bool:
        return True

    @property
    def is_reader(self) -> bool:
        return True

    @property
    def failed_pause_s(self) -> float:
        return RETRY_PAUSE_S

    async def wait_until_due(self, topic: Topic, bound: AgeBound, age_s: Age) -> None:
        pass

    async def wait_until_reader(self) -> None:
        pass


ALWAYS_POLL: PollSchedule = _AlwaysPoll()


class FanOutSchedule(PollSchedule):
    """Lets the first reader read all the time, and others once their data has become old."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._jitter = state.random.random()
        self._last_read_s: dict[Topic, float] = {}

    @property
    def is_first_reader(self) -> bool:
        """Whether this entry reads all the time; the store may hold its reads open."""
        return self._state.fan_out.is_first_reader

    @property
    def is_reader(self) -> bool:
        """Whether this entry is one of those that long poll the store for changes."""
        return self._state.fan_out.is_reader

    @property
    def failed_pause_s(self) -> float:
        """Pause after a failed read; it grows with the rank of the reader."""
        rank = self._state.fan_out.reader_rank
        return min(_MAX_FAILED_PAUSE_S, RETRY_PAUSE_S * (1 + 2 * rank))

    async def wait_until_due(self, topic: Topic, bound: AgeBound, age_s: Age) -> None:
        """Return once a read is due."""
        fan_out = self._state.fan_out
        while not fan_out.is_first_reader:
            known_age_s = age_s(boot_time_s())
            left_s = fan_out.read_after_s(bound.bound_s, self._jitter) - known_age_s
            if left_s <= 0.0 or math.isnan(left_s):
                self._log_stand_in(topic, known_age_s)
                return
            await anyio.sleep(max(_MIN_SLEEP_S, min(left_s, _CHECK_INTERVAL_S)))

    def _log_stand_in(self, topic: Topic, known_age_s: float) -> None:
        """Log when this entry begins to read a topic that another entry normally reads for it."""
        now_s = boot_time_s()
        if now_s - self._last_read_s.get(topic, -math.inf) > _STAND_IN_LOG_GAP_S:
            age_s = round(known_age_s, 3) if math.isfinite(known_age_s) else None
            self._state.events.write("stands_in", topic=topic.name, age_s=age_s)
        self._last_read_s[topic] = now_s

    async def wait_until_reader(self) -> None:
        """Return once this entry is one of the store's readers."""
        while not self._state.fan_out.is_reader:
            await anyio.sleep(_CHECK_INTERVAL_S)
