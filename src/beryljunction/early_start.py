"""Protects a process from its first statement to its last against signals and closed descriptors.

Imports as little as possible: until `hold_signals` has run, a signal ends the process silently.
"""

import os
import signal
import sys

__all__ = [
    "HANDLED_SIGNALS",
    "hold_signals",
    "ignore_stray_signals",
    "open_standard_descriptors",
    "release_signals",
]

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT, signal.SIGHUP)
# Nothing here uses these, but their default action ends the process. Others may belong to a
# library that was loaded into it.
_STRAY_SIGNALS = (
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
)


def hold_signals() -> None:
    """Keep the handled signals pending until `release_signals`, or until the process has ended."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def release_signals() -> None:
    """Deliver the handled signals, and those that are pending at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def ignore_stray_signals() -> None:
    """Ignore signals that would end the process although nobody means that by them."""
    for number in _STRAY_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def open_standard_descriptors() -> None:
    """Open the null device for those of the descriptors 0 to 2 that were closed.

    Sockets would get their numbers, and what a library writes to standard error would go to a
    caller.
    """
    if None not in (sys.stdin, sys.stdout, sys.stderr):
        return
    descriptor = os.open(os.devnull, os.O_RDWR)
    while descriptor <= 2:
        descriptor = os.open(os.devnull, os.O_RDWR)
    os.close(descriptor)
