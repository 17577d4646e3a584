"""Signals that come before the program of a process handles them."""

import subprocess
import sys

import pytest

PROGRAM = """
import os, signal, sys, time
from beryljunction.early_start import PendingStops, hold_signals

hold_signals()
pending_stops = PendingStops()
time.sleep(1.5)
signalled_s = time.monotonic()
for name in sys.argv[1:]:
    os.kill(os.getpid(), signal.Signals[name])
time.sleep(0.5)
print(signalled_s - pending_stops.end())
"""


class TestPendingStops:
    @staticmethod
    def pending_s(*names):
        """Return how long before a signal a stop may have come; negative if after it."""
        command = [sys.executable, "-c", PROGRAM, *names]
        return float(subprocess.run(command, capture_output=True, check=True).stdout)

    @pytest.mark.parametrize("names", [("SIGTERM",), ("SIGINT",), ("SIGHUP", "SIGQUIT")])
    def test_stop_counts_from_shortly_before_its_signal(self, names):
        """Guards against a grace period that counts from the start, or from too late."""
        assert 0.0 <= self.pending_s(*names) < 1.0

    def test_reload_is_no_stop(self):
        """Guards against a stop that counts from a reload before it."""
        assert self.pending_s("SIGHUP") <= -0.5
