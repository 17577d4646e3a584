"""When a node publishes a snapshot of the settings."""

import random

__all__ = ["SnapshotSchedule"]

# Load: every node of the fleet may publish, and the log takes a few hundred appends a second.
# Harm: no snapshot before the old one is dropped, and a new host can't start; or 1,050 at once.
# Each node waits from one to two eighths of the retention after the newest snapshot that it knows
# and looks before it publishes, so the first of N timers publishes after about 1 + 1/N eighths and
# the rest find its snapshot. Even a lone node, which learns of a snapshot up to two eighths late,
# publishes the next at an age of four: half of the retention is left for outages of the log.
_PERIODS_PER_RETENTION = 8
_RETRY_S = 5.0


class SnapshotSchedule:
    """One node's jittered timer."""

    def __init__(self, retention_s: float, rng: random.Random, now_s: float) -> None:
        self._period_s = retention_s / _PERIODS_PER_RETENTION
        self._rng = rng
        self.due_s = 0.0
        self.seen(now_s)

    def due(self, now_s: float) -> bool:
        """Whether to look for a newer snapshot and, without one, publish."""
        return now_s >= self.due_s

    def seen(self, now_s: float) -> None:
        """Wait anew: somebody's snapshot was found, or the own one was published."""
        self.due_s = now_s + self._period_s * (1.0 + self._rng.random())

    def failed(self, now_s: float) -> None:
        """Try again soon: the log was down or at its limit."""
        self.due_s = now_s + _RETRY_S * (0.5 + self._rng.random())
