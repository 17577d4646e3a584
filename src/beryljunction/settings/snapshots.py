"""Schedules when a process publishes a snapshot of the settings."""

import random

__all__ = ["SnapshotSchedule"]

# A new host can't start if the log drops the last snapshot before there is a newer one. Every
# process may publish, but 1,050 at once are too many for a log that takes a few hundred appends a
# second. Each process waits for one to two eighths of the retention after the newest snapshot that
# it knows, and checks for a newer one before it publishes. So the first of N timers publishes after
# about 1 + 1/N eighths, and the others find its snapshot. Even a single process, which may notice a
# snapshot two eighths late, publishes the next when the last is four eighths old at most: half of
# the retention is left for outages of the log.
_PERIODS_PER_RETENTION = 8
_RETRY_S = 5.0


class SnapshotSchedule:
    """Timer with jitter of one process."""

    def __init__(self, retention_s: float, rng: random.Random, now_s: float) -> None:
        self._period_s = retention_s / _PERIODS_PER_RETENTION
        self._rng = rng
        self.due_s = 0.0
        self.restart(now_s)

    def is_due(self, now_s: float) -> bool:
        """Return whether to check for a newer snapshot and, if there is none, publish one."""
        return now_s >= self.due_s

    def restart(self, now_s: float) -> None:
        """Restart the timer, after a newer snapshot was found or published."""
        self.due_s = now_s + self._period_s * (1.0 + self._rng.random())

    def schedule_retry(self, now_s: float) -> None:
        """Schedule a retry, after the log was down or at its rate limit."""
        self.due_s = now_s + _RETRY_S * (0.5 + self._rng.random())
