"""A simulated fleet whose callers want a retry for most requests, and the limit on its retries."""

import bisect
import itertools
import random

import attrs

RATIO, WINDOW_S, SLACK = 0.2, 10.0, 54
_TICK_S = 0.02


@attrs.define
class Case:
    """What happens to a fleet.

    Attributes:
        entries: Number of entries.
        rate: Requests per second of the fleet.
        starts: Starts of each entry per second; it is away for up to 1.5 s before each.
        herd_s: Interval at which all entries start again; 0 for never.
        stalls: Stalls of each entry per second, of up to 3 s; it reads its requests after them.
        reloads: Whether the limits are set again every second.
        endpoint_stall_s: Stalls of the endpoints that get half of the retries, 2 s apart.
        is_even: Whether traffic is even and most requests fail all the time.
    """

    entries: int = 4
    rate: float = 300.0
    starts: float = 0.0
    herd_s: float = 0.0
    stalls: float = 0.0
    reloads: bool = False
    endpoint_stall_s: float = 0.0
    is_even: bool = False


@attrs.define
class Entry:
    share: object
    reads_s: float = 0.0
    level: float = 1.0
    unread: int = 0


class Fleet:
    """Plays a case; `make` makes the share of an entry that starts at a time."""

    def __init__(self, case, seed, make):
        self.case, self.draw, self.make = case, random.Random(seed), make
        self.entries = [Entry(make(case.entries, -1e6)) for _ in range(case.entries)]
        self.requests, self.retries, self.unread = [], [], []
        self.wanted = 0
        self.fails = case.is_even
        self.now_s = 0.0

    def run(self, seconds):
        for tick in range(int(seconds / _TICK_S)):
            self.now_s = tick * _TICK_S
            self._change(tick)
            self._read()
            for entry in self.entries:
                self._disturb(entry)
                self._serve(entry)
        return self

    def _happens(self, rate):
        return self.draw.random() < rate * _TICK_S

    def _change(self, tick):
        if not self.case.is_even and self._happens(0.3):
            self.fails = not self.fails
        if not self.case.is_even and self._happens(0.7):
            self.draw.choice(self.entries).level = self.draw.choice([0.0, 0.1, 1.0, 3.0])
        herd_ticks = int(self.case.herd_s / _TICK_S)
        if herd_ticks and tick % herd_ticks == 0:
            for entry in self.entries:
                self._start(entry)
        if self.case.reloads and tick % 50 == 0:
            for entry in self.entries:
                entry.share.set_limits(RATIO, WINDOW_S, SLACK)

    def _disturb(self, entry):
        if entry.reads_s > self.now_s:
            return
        if self._happens(self.case.starts):
            self._start(entry)
        elif self._happens(self.case.stalls):
            entry.reads_s = self.now_s + self.draw.uniform(0.2, 3.0)

    def _start(self, entry):
        entry.reads_s = self.now_s + self.draw.uniform(0.05, 1.5)
        entry.unread = 0
        entry.share = self.make(self.case.entries, entry.reads_s)

    def _serve(self, entry):
        mean = self.case.rate / self.case.entries * entry.level * _TICK_S
        arrived = int(mean) + (self.draw.random() < mean % 1)
        self.requests += [self.now_s] * arrived
        entry.unread += arrived
        if entry.reads_s > self.now_s:
            return
        for _ in range(entry.unread):
            entry.share.count_request(self.now_s)
            if self.fails and self.draw.random() < 0.9:
                self.wanted += 1
                if entry.share.spend(self.now_s):
                    self.retries.append(self._arrival_s())
                    self.unread.append((self.retries[-1], entry.share))
        entry.unread = 0
        self._read()

    def _arrival_s(self):
        stall_s = self.case.endpoint_stall_s
        since_s = self.now_s % (stall_s + 2.0)
        if since_s < stall_s and self.draw.random() < 0.5:
            return self.now_s - since_s + stall_s
        return self.now_s

    def _read(self):
        """Let the entries know of the retries that were read by now."""
        for _, share in (row for row in self.unread if row[0] <= self.now_s):
            share.note_read(self.now_s)
        self.unread = [row for row in self.unread if row[0] > self.now_s]

    def most_over(self):
        """Return by how many retries the fleet exceeded its limit in the worst window.

        The requests are those of the window, the one before it or the one half a window before it,
        whichever has most. The worst window begins just before a retry or ends with one.
        """
        requests, retries = sorted(self.requests), sorted(self.retries)

        def over(begin_s):
            asked = max(_count(requests, begin_s - back * WINDOW_S) for back in (0.0, 0.5, 1.0))
            return _count(retries, begin_s) - RATIO * asked - SLACK

        begins = itertools.chain(retries, (end_s - WINDOW_S + 1e-6 for end_s in retries))
        return max((over(begin_s - 1e-9) for begin_s in begins), default=-SLACK)


def _count(times_s, begin_s):
    ends_s = begin_s + WINDOW_S
    return bisect.bisect_right(times_s, ends_s) - bisect.bisect_right(times_s, begin_s)
