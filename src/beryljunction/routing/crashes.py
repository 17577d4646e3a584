"""Finds the requests that end endpoints, and keeps them from being sent again."""

import collections
import heapq
import math
from collections.abc import Iterable
from typing import Any

import attrs

from beryljunction.routing.rendezvous import rendezvous_rank

__all__ = ["Crash", "CrashTable", "owners_of"]

# Endpoints that may end under a request before it is quarantined.
_MOST_CRASHES = 3
_QUARANTINE_S = 3_600.0
_MOST_DIGESTS = 4_096
# A request that was served so recently doesn't crash endpoints, even if several end at once.
_SERVED_KEPT_S = 10.0
_MOST_SERVED = 256
# Entries that count the crashes of a request for all; two of them may be down.
_OWNERS = 3


@attrs.frozen
class Crash:
    """An endpoint ended while it had a request.

    Attributes:
        digest: Digest of the request.
        start: Id and birth of the endpoint.
    """

    digest: str
    start: tuple[str, int]


@attrs.define
class _Crashes:
    starts: set[tuple[str, int]] = attrs.field(factory=set)
    at_s: float = -math.inf


class CrashTable:
    """Counts endpoints that ended under the same request, and quarantines the request."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[str, _Crashes] = collections.OrderedDict()
        self._quarantined: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._served_s: collections.OrderedDict[str, float] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of quarantined requests."""
        return len(self._quarantined)

    def note_crash(self, crash: Crash, now_s: float) -> bool:
        """Count an ended endpoint; True when the request is quarantined by it."""
        digest = crash.digest
        if now_s - self._served_s.get(digest, -math.inf) <= _SERVED_KEPT_S:
            return False
        row = self._crashes.get(digest)
        if row is None or now_s - row.at_s > _QUARANTINE_S:
            row = self._crashes[digest] = _Crashes()
        row.starts.add(crash.start)
        row.at_s = now_s
        _keep_latest(self._crashes, digest, _MOST_DIGESTS)
        return len(row.starts) >= _MOST_CRASHES and self.quarantine(digest, _QUARANTINE_S, now_s)

    def note_served(self, digest: str, now_s: float) -> bool:
        """Take in that a request was served whole; True when crashes were held against it."""
        self._served_s[digest] = now_s
        _keep_latest(self._served_s, digest, _MOST_SERVED)
        return self.acquit(digest)

    def acquit(self, digest: str) -> bool:
        """Hold no crash against a request any more; True when some were."""
        return self._crashes.pop(digest, None) is not None

    def quarantine(self, digest: str, left_s: float, now_s: float) -> bool:
        """Keep a request from being sent for a while; False when it is already."""
        if self.left_s(digest, now_s) > 0.0:
            return False
        self._quarantined[digest] = now_s + min(left_s, _QUARANTINE_S)
        _keep_latest(self._quarantined, digest, _MOST_DIGESTS)
        return True

    def left_s(self, digest: str, now_s: float) -> float:
        """Return how much longer a request may not be sent; 0 where it may."""
        return max(0.0, self._quarantined.get(digest, -math.inf) - now_s)

    def quarantined(self, now_s: float) -> dict[str, float]:
        """Return how much longer each quarantined request may not be sent."""
        lefts_s = {digest: self.left_s(digest, now_s) for digest in self._quarantined}
        return {digest: left_s for digest, left_s in lefts_s.items() if left_s > 0.0}

    def expire(self, now_s: float) -> list[str]:
        """Drop the requests whose quarantine is over, and return them."""
        over = [digest for digest, until_s in self._quarantined.items() if until_s <= now_s]
        for digest in over:
            del self._quarantined[digest]
        return over


def owners_of(digest: str, hosts: Iterable[str]) -> list[str]:
    """Return the entries that count the crashes of a request; all entries agree on them."""
    return heapq.nsmallest(_OWNERS, hosts, key=lambda host: rendezvous_rank(digest, host))


def _keep_latest(rows: collections.OrderedDict[str, Any], key: str, most: int) -> None:
    rows.move_to_end(key)
    while len(rows) > most:
        rows.popitem(last=False)
