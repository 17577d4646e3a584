"""How old an entry's knowledge of the store's records is, and how old it may become."""

import math

import attrs

__all__ = ["STORE", "AgeBound", "Confirmation"]

# Source of a confirmation that this entry's own read of the store gave.
STORE = "store"
# Parts of a bound. What an entry is sent is at most half of the bound old while all is well, and
# entries that stand in for others begin after that (see FanOut).
_READ_RATIO = 0.25
_CONFIRM_RATIO = 0.45
_PUBLISH_RATIO = 0.4
_ANSWER_RATIO = 0.2
# A wait shorter than this part of the interval is not worth a call of its own.
_LEAST_WAIT_RATIO = 0.1


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


@attrs.frozen
class AgeBound:
    """Longest time for which an entry in touch may miss a change of one kind of records.

    Every pace at which such records are read and passed on is a part of this bound, so that
    reading, telling all levels of the fleet and standing in for lost entries fit in it together.

    Attributes:
        bound_s: The bound.
    """

    bound_s: float

    @property
    def read_interval_s(self) -> float:
        """Least time between two reads of the store by one entry, while records keep coming."""
        return self.bound_s * _READ_RATIO

    @property
    def confirm_interval_s(self) -> float:
        """Time between two confirmations that nothing has changed."""
        return self.bound_s * _CONFIRM_RATIO

    def until_confirm_s(self, now_s: float) -> float:
        """Return the time until the next confirmation is due.

        It falls on the same moment for all kinds of one bound, so that one message carries them.
        """
        left_s = self.confirm_interval_s - now_s % self.confirm_interval_s
        is_too_short = left_s < self.confirm_interval_s * _LEAST_WAIT_RATIO
        return left_s + self.confirm_interval_s if is_too_short else left_s

    @property
    def publish_interval_s(self) -> float:
        """How much fresher a confirmation has to be to be passed on without a change."""
        return self.bound_s * _PUBLISH_RATIO

    @property
    def answer_timeout_s(self) -> float:
        """Time that the store gets to answer, on top of what the read waits for."""
        return self.bound_s * _ANSWER_RATIO
