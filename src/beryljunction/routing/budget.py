"""This entry's share of the fleet-wide retry budget."""

import collections

import attrs

__all__ = ["RetryShare"]

_BUCKET_S = 0.5


@attrs.define
class _Bucket:
    start_s: float
    requests: int = 0
    retries: int = 0


class RetryShare:
    """Limits retries to a ratio of this entry's own requests for a service.

    When endpoints fail or refuse many requests, unlimited retries by every entry would overload the
    endpoints that still work. The fleet's limit is a ratio of all requests: if each entry keeps it
    for its own requests, the sum keeps it too, however many entries are alive and whether or not
    they know of each other. The slack on top of the ratio is divided among the entries that may be
    alive.

    Args:
        ratio: Retries allowed per request.
        window_s: Sliding window over which requests and retries are counted.
        slack: Retries that all entries together may make on top of the ratio.
        entries: Number of entries that may be alive, including this one.
    """

    # The slack is divided by at least this number, since an entry that is new or cut off knows of
    # fewer entries than exist. In fleets of up to 29 entries the ratio makes up for the difference.
    _MIN_ENTRIES = 32

    def __init__(self, ratio: float, window_s: float, slack: int, entries: int = 1) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._fleet_slack = slack
        self._slack = slack / max(self._MIN_ENTRIES, entries)
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._requests = 0
        self._retries = 0

    def note_entries(self, entries: int) -> None:
        """Update the number of entries that may be alive.

        The share never grows, since retries of entries that have left still count in the window.
        """
        self._slack = min(self._slack, self._fleet_slack / max(self._MIN_ENTRIES, entries))

    def count_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._bucket(now_s).requests += 1
        self._requests += 1

    def spend(self, now_s: float) -> bool:
        """Take one retry out of the share; return False when it is used up."""
        bucket = self._bucket(now_s)
        if self._retries + 1 > self._requests * self._ratio + self._slack:
            return False
        bucket.retries += 1
        self._retries += 1
        return True

    @property
    def left(self) -> float:
        """Retries left now."""
        return self._requests * self._ratio + self._slack - self._retries

    def _bucket(self, now_s: float) -> _Bucket:
        while self._buckets and self._buckets[0].start_s <= now_s - self._window_s - _BUCKET_S:
            old = self._buckets.popleft()
            self._requests -= old.requests
            self._retries -= old.retries
        if not self._buckets or self._buckets[-1].start_s <= now_s - _BUCKET_S:
            self._buckets.append(_Bucket(now_s))
        return self._buckets[-1]
