"""When the platform's store last answered the fleet, and when it recovered from an outage."""

import math

import attrs

__all__ = ["StoreReachability"]


@attrs.define
class StoreReachability:
    """Tells an outage of the store from a connection problem of a single host.

    While any entry reaches the store, its confirmations arrive here through updates or through
    answers of peers. Records of live endpoints can have expired only if none arrived for as long as
    a record takes to expire. A single host that was rejected and gets through again does not mean
    that the store has recovered.

    Attributes:
        least_outage_s: Shortest outage in which the record of a live endpoint can expire.
        confirmed_s: When this or another entry last asked the store successfully.
        recovered_s: When the store recovered from its last outage; minus infinity before the first.
    """

    least_outage_s: float = 2.0
    confirmed_s: float = -math.inf
    recovered_s: float = -math.inf
    _has_failed_read: bool = False

    def note_failure(self) -> None:
        """Record that a read of this entry failed."""
        self._has_failed_read = True

    def note_answer(self, asked_s: float, now_s: float) -> None:
        """Record that a read of this entry was answered.

        Args:
            asked_s: When the store was asked.
            now_s: When the answer arrived.
        """
        if self._has_failed_read and self._is_recovery(asked_s):
            self.recovered_s = now_s
        self._has_failed_read = False
        self._confirm(asked_s)

    def note_restored(self, now_s: float) -> None:
        """Record that the store was restored from an older copy and may lack live endpoints."""
        self.recovered_s = max(self.recovered_s, now_s)

    def note_update(self, asked_s: float, recovered_s: float | None, now_s: float) -> None:
        """Record what another entry knows.

        Args:
            asked_s: When the store was last asked successfully.
            recovered_s: When the other entry saw the store recover; None if it did not say.
            now_s: When its message arrived.
        """
        if self._is_recovery(asked_s) and (self._has_failed_read or recovered_s is not None):
            self.recovered_s = max(self.recovered_s, now_s if recovered_s is None else recovered_s)
        self._confirm(asked_s)

    def _is_recovery(self, asked_s: float) -> bool:
        return asked_s - self.confirmed_s > self.least_outage_s

    def _confirm(self, asked_s: float) -> None:
        self.confirmed_s = max(self.confirmed_s, asked_s)
