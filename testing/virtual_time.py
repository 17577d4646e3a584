"""Runs coroutines in virtual time; a coroutine sleeps by yielding a number of seconds."""

import heapq
import itertools


class Sleep:
    def __init__(self, seconds):
        self.seconds = seconds

    def __await__(self):
        yield self.seconds


async def sleep(seconds):
    await Sleep(seconds)


class Scheduler:
    """Runs coroutines in order of wake-up time; those of a paused owner are suspended."""

    def __init__(self):
        self.now_s = 0.0
        self.paused = set()
        self._heap = []
        self._parked = []
        self._numbers = itertools.count()

    def start(self, coroutine, owner=None, at_s=None):
        wake_s = self.now_s if at_s is None else at_s
        heapq.heappush(self._heap, (wake_s, next(self._numbers), coroutine, owner))

    def resume(self, owner):
        self.paused.discard(owner)
        for coroutine, parked_owner in self._parked:
            if parked_owner == owner:
                self.start(coroutine, owner)
        self._parked = [row for row in self._parked if row[1] != owner]

    def cancel(self, owner):
        for *_, coroutine, row_owner in self._heap:
            if row_owner == owner:
                coroutine.close()
        self._heap = [row for row in self._heap if row[3] != owner]
        self._parked = [row for row in self._parked if row[1] != owner]
        heapq.heapify(self._heap)

    def run(self, seconds, after_each=lambda: None):
        until_s = self.now_s + seconds
        while self._heap and self._heap[0][0] <= until_s:
            wake_s, _, coroutine, owner = heapq.heappop(self._heap)
            self.now_s = max(self.now_s, wake_s)
            if owner in self.paused:
                self._parked.append((coroutine, owner))
                continue
            try:
                pause_s = coroutine.send(None)
            except StopIteration:
                continue
            finally:
                after_each()
            self.start(coroutine, owner, self.now_s + pause_s)
        self.now_s = until_s
