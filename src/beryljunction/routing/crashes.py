"""Detects requests that crash endpoints and quarantines them."""

import collections
import math
from typing import Any

import attrs

__all__ = ["Crash", "CrashTable"]

# Number of endpoints ended under a request at which it is quarantined.
_QUARANTINE_CRASHES = 3
_QUARANTINE_S = 3_600.0
_MAX_DIGESTS = 4_096
# A request served this recently is not blamed for crashes, even if several endpoints end at once.
_SERVED_TTL_S = 10.0
_MAX_SERVED = 256


@attrs.frozen
class Crash:
    """An endpoint ended while it was handling a request.

    Attributes:
        digest: Digest of the request.
        incarnation_id: Id and start time of the endpoint.
    """

    digest: str
    incarnation_id: tuple[str, int]


@attrs.define
class _CrashCount:
    incarnation_ids: set[tuple[str, int]] = attrs.field(factory=set)
    at_s: float = -math.inf


class CrashTable:
    """Counts the endpoints that ended under the same request and quarantines the request."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[str, _CrashCount] = collections.OrderedDict()
        self._quarantined: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._served_s: collections.OrderedDict[str, float] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of quarantined requests."""
        return len(self._quarantined)

    def note_crash(self, crash: Crash, now_s: float) -> bool:
        """Count an ended endpoint; return True if this quarantines the request."""
        digest = crash.digest
        if now_s - self._served_s.get(digest, -math.inf) <= _SERVED_TTL_S:
            return False
        row = self._crashes.get(digest)
        if row is None or now_s - row.at_s > _QUARANTINE_S:
            row = self._crashes[digest] = _CrashCount()
        row.incarnation_ids.add(crash.incarnation_id)
        row.at_s = now_s
        _evict_oldest(self._crashes, digest, _MAX_DIGESTS)
        return len(row.incarnation_ids) >= _QUARANTINE_CRASHES and self.quarantine(
            digest, _QUARANTINE_S, now_s
        )

    def note_served(self, digest: str, now_s: float) -> bool:
        """Record that a request was fully served; return True if it had counted crashes."""
        self._served_s[digest] = now_s
        _evict_oldest(self._served_s, digest, _MAX_SERVED)
        return self.discard_crashes(digest)

    def discard_crashes(self, digest: str) -> bool:
        """Discard the crashes counted for a request; return True if there were any."""
        return self._crashes.pop(digest, None) is not None

    def quarantine(self, digest: str, left_s: float, now_s: float) -> bool:
        """Block a request for a while; return False if it is already blocked."""
        if self.remaining_s(digest, now_s) > 0.0:
            return False
        self._quarantined[digest] = now_s + min(left_s, _QUARANTINE_S)
        _evict_oldest(self._quarantined, digest, _MAX_DIGESTS)
        return True

    def remaining_s(self, digest: str, now_s: float) -> float:
        """Return the remaining quarantine of a request; 0 if it is not quarantined."""
        return max(0.0, self._quarantined.get(digest, -math.inf) - now_s)

    def quarantined(self, now_s: float) -> dict[str, float]:
        """Return the remaining quarantine of each quarantined request."""
        remaining_s = {digest: self.remaining_s(digest, now_s) for digest in self._quarantined}
        return {digest: left_s for digest, left_s in remaining_s.items() if left_s > 0.0}

    def expire(self, now_s: float) -> list[str]:
        """Remove the requests whose quarantine has ended and return them."""
        expired = [digest for digest, until_s in self._quarantined.items() if until_s <= now_s]
        for digest in expired:
            del self._quarantined[digest]
        return expired


def _evict_oldest(rows: collections.OrderedDict[str, Any], key: str, most: int) -> None:
    rows.move_to_end(key)
    while len(rows) > most:
        rows.popitem(last=False)
