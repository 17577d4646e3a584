"""Protects a process from its first statement to its last against signals and closed descriptors.

Imports as little as possible: until `hold_signals` has run, a signal ends the process silently.
"""

import _thread
import os
import signal
import sys
import time

__all__ = [
    "HANDLED_SIGNALS",
    "PendingStops",
    "hold_signals",
    "ignore_stray_signals",
    "open_standard_descriptors",
    "release_signals",
]

_STOPS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)
HANDLED_SIGNALS = (*_STOPS, signal.SIGHUP)
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
_CHECK_INTERVAL_S = 0.05


class PendingStops:
    """Finds out since when a stop may have been pending, while signals are held.

    The kernel doesn't keep the time of a signal, so a thread checks until `end` is called. Create
    it after `hold_signals`, or the thread gets signals.
    """

    def __init__(self) -> None:
        self._none_until_s = time.monotonic()
        self._has_ended = False
        _thread.start_new_thread(self._run, ())

    def end(self) -> float:
        """Return the monotonic time of the last check that found no stop; call it before a release.

        It is never later than the signal, but earlier by more than an interval if the process
        didn't run.
        """
        self._has_ended = True
        self._check()
        return self._none_until_s

    def _run(self) -> None:
        while not self._has_ended:
            self._check()
            time.sleep(_CHECK_INTERVAL_S)

    def _check(self) -> None:
        now_s = time.monotonic()
        if signal.sigpending().isdisjoint(_STOPS):
            self._none_until_s = now_s


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
