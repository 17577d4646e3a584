"""How old an entry's copy of the store's records is, and how old it may become."""

import math

import attrs

__all__ = ["STORE", "AgeBound", "Confirmation"]

# Source of a confirmation that came from this entry's own read of the store.
STORE = "store"
# Fractions of an age bound. Normally the records that an entry receives are at most half of the
# bound old, and standby readers take over only after that (see FanOut).
_READ_RATIO = 0.25
_CONFIRM_RATIO = 0.45
_PUBLISH_RATIO = 0.4
_ANSWER_TIMEOUT_RATIO = 0.2
# A wait shorter than this fraction of the interval is not worth a call of its own.
_MIN_WAIT_RATIO = 0.1
_USUAL_AGE_RATIO = 0.5


@attrs.define
class Confirmation:
    """Latest time as of which this entry's records of one topic are known to be complete.

    Attributes:
        asked_s: When this or another entry asked the store; minus infinity before the first time.
        source: Host of the entry that forwarded it; "store" for this entry's own read.
    """

    asked_s: float = -math.inf
    source: str = ""

    def confirm(self, asked_s: float, source: str = STORE) -> None:
        """Record a confirmation if it is newer than the known one."""
        if asked_s > self.asked_s:
            self.asked_s = asked_s
            self.source = source

    def age_s(self, now_s: float) -> float:
        """Return the age of the latest confirmation; infinite before the first."""
        return now_s - self.asked_s


@attrs.frozen
class AgeBound:
    """Longest time for which a connected entry may miss a change of one kind of records.

    All intervals for reading and forwarding such records are fractions of this bound, so that
    reading, forwarding through all levels of the fleet and taking over from lost entries fit into
    it together.

    Attributes:
        bound_s: The bound.
    """

    bound_s: float

    @property
    def read_interval_s(self) -> float:
        """Minimum time between two reads of the store by one entry while records keep arriving."""
        return self.bound_s * _READ_RATIO

    @property
    def confirm_interval_s(self) -> float:
        """Time between two confirmations that nothing has changed."""
        return self.bound_s * _CONFIRM_RATIO

    def until_confirm_s(self, now_s: float) -> float:
        """Return the time until the next confirmation is due.

        It is due at the same time for all topics with this bound, so that one message carries them.
        """
        left_s = self.confirm_interval_s - now_s % self.confirm_interval_s
        is_too_short = left_s < self.confirm_interval_s * _MIN_WAIT_RATIO
        return left_s + self.confirm_interval_s if is_too_short else left_s

    @property
    def usual_age_s(self) -> float:
        """Age that the records of a connected entry do not exceed while nothing fails."""
        return self.bound_s * _USUAL_AGE_RATIO

    @property
    def publish_interval_s(self) -> float:
        """How much newer a confirmation must be to be forwarded without a change of records."""
        return self.bound_s * _PUBLISH_RATIO

    @property
    def answer_timeout_s(self) -> float:
        """Time that the store has to answer, on top of the wait that the read asks for."""
        return self.bound_s * _ANSWER_TIMEOUT_RATIO
