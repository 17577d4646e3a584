"""What a running process has used, read from the kernel's accounts."""

import os
import pathlib

import attrs

__all__ = ["Usage", "usage_of"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_UTIME = 11
_STIME = 12


@attrs.frozen
class Usage:
    """Processor time since the start and resident memory now.

    Attributes:
        cpu_s: User and system time, in steps of the kernel's tick (10 ms on most machines).
    """

    cpu_s: float
    resident_bytes: int


def usage_of(pid: int) -> Usage:
    """Return the usage of a process.

    Raises:
        OSError: When the process is gone.
    """
    proc = pathlib.Path("/proc") / str(pid)
    # The name in parentheses may hold spaces, so fields are counted from its end.
    fields = (proc / "stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[_UTIME]) + int(fields[_STIME])) / _TICKS_PER_S
    resident = int((proc / "statm").read_text().split()[1]) * _PAGE_BYTES
    return Usage(cpu_s, resident)
