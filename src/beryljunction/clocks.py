"""Clocks for deadlines that other processes rely on."""

import time

__all__ = ["boot_time_s", "unix_time_s"]


def boot_time_s() -> float:
    """Return seconds since the host started.

    The monotonic clock stops while a host is suspended, so a deadline based on it would let a
    request start long after its caller was told "unknown". The wall clock can be set back.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time_s() -> float:
    """Return Unix time; only for values that other hosts read, since the clock can be changed."""
    return time.time()
