"""When the platform's store last answered the fleet, and when it came back from an outage."""

import math

import attrs

__all__ = ["StoreContact"]


@attrs.define
class StoreContact:
    """Tells an outage of the store from the trouble of a single host.

    While any entry reaches the store, its confirmations arrive here through updates or answers to
    questions. Only when none arrived for as long as a record takes to expire can records of live
    endpoints have expired. A host that was rejected alone and gets through again is no return.

    Attributes:
        least_outage_s: Shortest outage in which the record of a live endpoint can expire.
        confirmed_s: When the store was last asked with success, by this entry or another one.
        regained_s: When the store came back from its last outage; minus infinity before the first.
    """

    least_outage_s: float = 2.0
    confirmed_s: float = -math.inf
    regained_s: float = -math.inf
    _has_failed: bool = False

    def note_failure(self) -> None:
        """Take in that a read of this entry failed."""
        self._has_failed = True

    def note_answer(self, asked_s: float, now_s: float) -> None:
        """Take in that a read of this entry was answered.

        Args:
            asked_s: When the store was asked.
            now_s: When the answer came.
        """
        if self._has_failed and self._is_return(asked_s):
            self.regained_s = now_s
        self._has_failed = False
        self._confirm(asked_s)

    def note_restored(self, now_s: float) -> None:
        """Take in that the store came back from an older copy; it may lack live endpoints."""
        self.regained_s = max(self.regained_s, now_s)

    def note_update(self, asked_s: float, regained_s: float | None, now_s: float) -> None:
        """Take in what another entry knows.

        Args:
            asked_s: When the store was last asked with success.
            regained_s: When the other entry saw the store come back; None where it did not say.
            now_s: When its word came.
        """
        if self._is_return(asked_s) and (self._has_failed or regained_s is not None):
            self.regained_s = max(self.regained_s, now_s if regained_s is None else regained_s)
        self._confirm(asked_s)

    def _is_return(self, asked_s: float) -> bool:
        return asked_s - self.confirmed_s > self.least_outage_s

    def _confirm(self, asked_s: float) -> None:
        self.confirmed_s = max(self.confirmed_s, asked_s)
