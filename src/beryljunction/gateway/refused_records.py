"""Records of the store that can't be used, each of which is written to the log once."""

import collections

__all__ = ["RefusedRecords"]

_MAX_KEYS = 1_024
# A key that was refused longer ago than this makes room for another one.
_KEPT_S = 3_600.0


class RefusedRecords:
    """Keys whose record is another writer's, or can't be read.

    Such a record may change at every heartbeat and is read again with every full list. While the
    table is full, further keys are counted each time and not written.

    Attributes:
        count: Records refused since the start of this process.
    """

    def __init__(self) -> None:
        self._refused_s: collections.OrderedDict[tuple[str, str], float] = collections.OrderedDict()
        self.count = 0

    def note(self, event: str, key: str, now_s: float) -> bool:
        """Count a refused record; return whether to write it to the log."""
        row = event, key
        if row in self._refused_s:
            return False
        self.count += 1
        if len(self._refused_s) >= _MAX_KEYS:
            oldest, refused_s = next(iter(self._refused_s.items()))
            if now_s - refused_s < _KEPT_S:
                return False
            del self._refused_s[oldest]
        self._refused_s[row] = now_s
        return True
