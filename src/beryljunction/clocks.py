"""The clock by which a process judges what it promised to others."""

import time

__all__ = ["boot_time_s", "wall_time_s"]


def boot_time_s() -> float:
    """Return seconds since the host started.

    The monotonic clock stands still while a host is suspended, so a deadline judged by it would
    let a request start long after its caller was told "unknown"; the wall clock can be set back.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time_s() -> float:
    """Return Unix seconds; for what other hosts read, since it can be set back or forward."""
    return time.time()
