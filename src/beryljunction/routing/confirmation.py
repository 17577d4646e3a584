"""How old an entry's knowledge of one kind of the store's records is, and who vouched for it."""

import math

import attrs

__all__ = ["STORE", "Confirmation"]

# Source of a confirmation that this entry's own read of the store gave.
STORE = "store"


@attrs.define
class Confirmation:
    """The latest moment as of which the records of one topic are known to be complete here.

    Attributes:
        asked_s: When the store was asked, by this entry or another one; minus infinity before
            the first time.
        source: Host of the entry that passed it on; "store" for this entry's own read.
    """

    asked_s: float = -math.inf
    source: str = ""

    def confirm(self, asked_s: float, source: str = STORE) -> None:
        """Take in a confirmation; an earlier one changes nothing."""
        if asked_s > self.asked_s:
            self.asked_s = asked_s
            self.source = source

    def age_s(self, now_s: float) -> float:
        """Return the age of the latest confirmation; infinite before the first."""
        return now_s - self.asked_s
