"""This entry's share of the fleet-wide retry budget."""

import itertools
import math

__all__ = ["RetryShare"]

# Cells of time into which a window is divided.
_CELLS = 50
# A window that contains now, the one before it, and cells that are only partly in them.
_HISTORY = 2 * _CELLS + 2
# Part of the limit that comes from the requests in the window itself; the rest comes from those in
# the window before it.
_SAME_WINDOW_PART = 0.5


class RetryShare:
    """Limits retries to a ratio of this entry's own requests for a service.

    When endpoints fail or refuse many requests, unlimited retries by every entry would overload the
    endpoints that still work. The fleet's limit holds for each window of time: a ratio of the
    requests in it or in the one before it, plus a slack. Each entry keeps, in every window, the
    mean of these two for its own requests, so the sums over all entries keep the ratio too: however
    many are alive, whether or not they know of each other, and however their traffic changes. If
    each entry went by the larger of the two, the sums could exceed it.

    This includes windows that began before this process started. An earlier process of the entry
    may have spent retries in them, and of the requests only those since the start are known.

    The slack on top of the ratio is divided among the entries that may be alive, as far as this one
    knows; until it has read how many they are, it has no part. In a window, the slack belongs to
    the processes that ran when the window began, with a part for those that start in it if the
    fleet is small.

    A retry counts when its endpoint reads it, which may be long after it was sent. Until that is
    known, it counts in every window.

    Counts are kept in cells of time. A cell that is partly in a window counts for the retries in
    it, but not for the requests.

    Args:
        ratio: Retries allowed per request.
        window_s: Sliding window over which requests and retries are counted.
        slack: Retries that all entries together may make on top of the ratio.
        entries: Number of entries that may be alive, including this one; 0 if it isn't known yet.
        started_s: When this process started.
    """

    # The slack is divided by at least this number, since an entry that is new or cut off knows of
    # fewer entries than exist. What this leaves in a smaller fleet is for as many starts.
    _MIN_ENTRIES = 32

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: int,
        entries: int = 1,
        started_s: float = -math.inf,
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._fleet_slack = slack
        self._max_entries = entries
        self._started_s = started_s
        # Totals up to the end of each cell; the last one is the current cell.
        self._last_cell = 0
        self._requests = [0] * _HISTORY
        self._retries = [0] * _HISTORY
        self._unread_retries = 0

    @property
    def unread_retries(self) -> int:
        """Retries that their endpoints may still read."""
        return self._unread_retries

    def note_entries(self, entries: int) -> None:
        """Update the number of entries that may be alive.

        The share never grows, since retries of entries that have left still count in the window.
        """
        self._max_entries = max(self._max_entries, entries)

    def set_limits(self, ratio: float, window_s: float, slack: int) -> None:
        """Replace the limits; what was counted and spent remains."""
        self._ratio, self._fleet_slack = ratio, slack
        if window_s != self._window_s:
            self._change_window(window_s)

    def count_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._advance(now_s)
        self._requests[-1] += 1

    def spend(self, now_s: float) -> bool:
        """Take one retry out of the share, unread as yet; return False when it is used up."""
        if self.left(now_s) < 1.0:
            return False
        self._unread_retries += 1
        return True

    def note_read(self, now_s: float) -> None:
        """Record that a retry was read by its endpoint by now, or won't be."""
        self._advance(now_s)
        self._unread_retries -= 1
        self._retries[-1] += 1

    def left(self, now_s: float) -> float:
        """Return the retries left: the least that any window which contains now allows."""
        self._advance(now_s)
        return min(self._left_since(age) for age in range(_CELLS + 1))

    def _left_since(self, age: int) -> float:
        """Return the retries left in windows that began in the cell of this age."""
        begin = _HISTORY - 1 - age
        requests, retries = self._requests, self._retries
        same = requests[-1] - requests[begin]
        before = requests[begin - 1] - requests[begin - _CELLS]
        mean = _SAME_WINDOW_PART * same + (1.0 - _SAME_WINDOW_PART) * before
        ran = (self._last_cell - age) * self._cell_s >= self._started_s
        spent = retries[-1] - retries[begin - 1] + self._unread_retries
        return self._ratio * mean + self._slack(ran) - spent

    def _slack(self, ran: bool) -> float:
        """Return the part of the slack in a window; `ran`: this process ran when it began."""
        if not self._max_entries:
            return 0.0
        if ran:
            return self._fleet_slack / max(self._MIN_ENTRIES, self._max_entries)
        unused = max(0.0, 1.0 - self._max_entries / self._MIN_ENTRIES)
        return self._fleet_slack * unused / self._MIN_ENTRIES

    @property
    def _cell_s(self) -> float:
        return self._window_s / _CELLS

    def _advance(self, now_s: float) -> None:
        """Begin the cell that contains now."""
        cell = max(self._last_cell, math.floor(now_s / self._cell_s))
        new = min(cell - self._last_cell, _HISTORY)
        self._last_cell = cell
        if new:
            for totals in (self._requests, self._retries):
                totals[:] = totals[new:] + [totals[-1]] * new

    def _change_window(self, window_s: float) -> None:
        """Divide the counts anew; of windows longer than these, only what is known counts."""
        old_cell_s, oldest = self._cell_s, self._last_cell - _HISTORY + 1
        requests, retries = self._requests, self._retries
        self._window_s = window_s
        cells = [
            math.floor((oldest + n + 0.5) * old_cell_s / self._cell_s) for n in range(_HISTORY)
        ]
        self._last_cell = cells[-1]
        self._requests = self._divide(requests, cells)
        self._retries = self._divide(retries, cells)
        self._started_s = max(self._started_s, oldest * old_cell_s)

    def _divide(self, totals: list[int], cells: list[int]) -> list[int]:
        counts = [0] * _HISTORY
        for cell, (before, after) in zip(cells[1:], itertools.pairwise(totals), strict=True):
            place = cell - self._last_cell + _HISTORY - 1
            if place >= 0:
                counts[place] += after - before
        return list(itertools.accumulate(counts))
