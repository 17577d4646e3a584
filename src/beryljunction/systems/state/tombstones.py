"""Records of requests that arrived at a sidecar, and tombstones for those it must refuse.

An entry whose connection broke asks the sidecar whether its request ran. If the sidecar has not
seen the request, it may still be on its way. So the sidecar stores a tombstone with the answer
"not run", and refuses the request if it arrives later.
"""

import enum

import attrs

from beryljunction.systems.state.incarnation_clock import IncarnationClock, IssueValidity
from beryljunction.tables import Stamp

__all__ = ["Arrival", "OutcomeAnswer", "RequestTombstones", "TombstoneLimits"]


class Arrival(enum.StrEnum):
    """Result of the check of an arriving request.

    Only a fresh request may run. A duplicate belongs to a request that is already here. Buried
    requests (with a tombstone) and closed ones never ran and never will (``ran: "no"``). For a
    request that is too old the outcome is unknown.
    """

    FRESH = "fresh"
    DUPLICATE = "duplicate"
    BURIED = "buried"
    CLOSED = "closed"
    TOO_OLD = "too_old"


class OutcomeAnswer(enum.StrEnum):
    """A sidecar's answer to the question whether a request ran."""

    SEEN = "seen"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


_NOT_RUN_VALIDITIES = frozenset((IssueValidity.OPEN, IssueValidity.CLOSED))


@attrs.frozen
class TombstoneLimits:
    """Limits of the table.

    Attributes:
        life_s: Time for which arrivals and tombstones are stored. An entry asks within the silence
            limit (seconds), so a few minutes leave room for pauses.
        max_rows: Most requests stored. At the target load a sidecar gets 11.4 requests per second,
            about 1,400 in two minutes; the rest is for bursts.
    """

    life_s: float = 120.0
    max_rows: int = 16_384


class RequestTombstones:
    """Stores request ids; a request that is older than the stored ones is refused.

    The age of a request comes from its stamp, which the entry copied from this sidecar, so no wall
    clock is involved. Without a stamp a late request can't be told from a new one: it is accepted
    on its first arrival, and the answer about it is never "not run". A request with a stamp of
    another incarnation is refused by the ledger or, if it is idempotent, by
    :meth:`has_other_incarnation`.
    """

    def __init__(
        self,
        endpoint_id: str,
        incarnation: str,
        started_s: float,
        limits: TombstoneLimits | None = None,
    ) -> None:
        self.limits = limits if limits is not None else TombstoneLimits()
        self.clock = IncarnationClock(started_s, self.limits.life_s)
        self._identity = (endpoint_id, incarnation)
        self._rows: dict[str, tuple[int, bool]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def stamp(self, now_s: float) -> Stamp:
        """Return the stamp that entries copy into their requests."""
        return Stamp(*self._identity, self.clock.issue_ms(now_s))

    def arrive(self, request_id: str, heard: Stamp | None, age_s: float, now_s: float) -> Arrival:
        """Check an arriving request and store its id.

        Args:
            request_id: Id of one try; the next try has another.
            heard: Stamp that the entry received last before it sent the request.
            age_s: Age of that stamp when the request was sent, by the entry's monotonic clock.
            now_s: Current time.
        """
        self._remove_expired(now_s)
        row = self._rows.get(request_id)
        if row is not None:
            return Arrival.BURIED if row[1] else Arrival.DUPLICATE
        if heard is None or not self._is_ours(heard):
            return Arrival.FRESH if self._remember(request_id, False, now_s) else Arrival.TOO_OLD
        validity = self._sent_validity(heard, age_s, now_s)
        if validity is IssueValidity.OPEN and self._remember(request_id, False, now_s):
            return Arrival.FRESH
        return Arrival.CLOSED if validity in _NOT_RUN_VALIDITIES else Arrival.TOO_OLD

    def has_other_incarnation(self, heard: Stamp | None) -> bool:
        """Whether a request was sent to an earlier incarnation of this sidecar.

        The earlier process may have run it, or have answered "not run" and lost the tombstone in
        its restart. If a late copy ran now, that answer would be false, so it is refused. A sender
        that still waits resends it with the stamp from the refusal.
        """
        return heard is not None and not self._is_ours(heard)

    def query_outcome(
        self, request_id: str, heard: Stamp | None, age_s: float, now_s: float
    ) -> OutcomeAnswer:
        """Return what is known of a request; the answer "not run" stores a tombstone.

        Stamp and age are those sent with the request, so that this answer and the check of a late
        arrival use the same sending time.
        """
        self._remove_expired(now_s)
        row = self._rows.get(request_id)
        if row is not None:
            return OutcomeAnswer.NOT_RUN if row[1] else OutcomeAnswer.SEEN
        if heard is None or not self._is_ours(heard):
            return OutcomeAnswer.UNKNOWN
        validity = self._sent_validity(heard, age_s, now_s)
        if validity is IssueValidity.OPEN:
            self._remember(request_id, True, now_s)
        return OutcomeAnswer.NOT_RUN if validity in _NOT_RUN_VALIDITIES else OutcomeAnswer.UNKNOWN

    def _sent_validity(self, heard: Stamp, age_s: float, now_s: float) -> IssueValidity:
        """Return the validity of the sending time; the stamp itself may be many minutes old."""
        return self.clock.validity_of(self.clock.sent_ms(heard.issued_ms, age_s, now_s), now_s)

    def _remember(self, request_id: str, buried: bool, now_s: float) -> bool:
        """Insert a row; if the table is full, close the clock, which then stands for the row.

        If the oldest row were dropped instead, a request that ran would look like one that never
        arrived, and the answer "not run" would be false.
        """
        if len(self._rows) >= self.limits.max_rows:
            self.clock.close(now_s)
            return False
        self._rows[request_id] = (self.clock.issue_ms(now_s) + self.clock.life_ms, buried)
        return True

    def _remove_expired(self, now_s: float) -> None:
        now_ms = self.clock.read_ms(now_s)
        while self._rows:
            request_id, (expires_ms, _) = next(iter(self._rows.items()))
            if expires_ms >= now_ms:
                return
            del self._rows[request_id]

    def _is_ours(self, stamp: Stamp) -> bool:
        return (stamp.endpoint_id, stamp.incarnation) == self._identity
