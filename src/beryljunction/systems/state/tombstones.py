"""Which requests arrived at a sidecar, and which must never arrive any more.

An entry whose connection broke asks the sidecar about its request. "Never seen" alone proves
nothing: the request may still be on its way. So the answer "not run" leaves a tombstone that a
late arrival meets.
"""

import enum

import attrs

from beryljunction.systems.state.forward import ForwardClock, Window
from beryljunction.tables import Stamp

__all__ = ["Arrival", "Asked", "TombstoneLimits", "TombstoneSystem"]


class Arrival(enum.StrEnum):
    """What a sidecar does with a request that arrives.

    Only a fresh one may run. A duplicate belongs to the run that is here already. Buried and
    closed ones never ran and never will (``ran: "no"``); of one that is too old nothing is known.
    """

    FRESH = "fresh"
    DUPLICATE = "duplicate"
    BURIED = "buried"
    CLOSED = "closed"
    TOO_OLD = "too_old"


class Asked(enum.StrEnum):
    """What a sidecar says about a request that is asked for."""

    SEEN = "seen"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


_LEFT_NO_ROW = frozenset((Window.OPEN, Window.CLOSED))


@attrs.frozen
class TombstoneLimits:
    """Bounds of what is remembered.

    Attributes:
        life_s: Time for which arrivals and tombstones are remembered. An entry asks within the
            silence limit (seconds), so a few minutes leave room for pauses.
        max_rows: Requests remembered. At the target a sidecar gets 11.4 requests a second, so two
            minutes of them are some 1,400; the rest is for bursts.
    """

    life_s: float = 120.0
    max_rows: int = 16_384


class TombstoneSystem:
    """Remembers request ids; what it forgets it refuses, by the age of the stamp that came along.

    The stamp is the sidecar's own, copied by the entry, so no wall clock takes part. A request
    without a stamp can't be told late from new: it is taken when it arrives first, and "not run" is
    never said of it. One with the stamp of another start is refused by the ledger, or, when it may
    be repeated, by :meth:`names_earlier_start`.
    """

    def __init__(
        self,
        endpoint_id: str,
        incarnation: str,
        started_s: float,
        limits: TombstoneLimits | None = None,
    ) -> None:
        self.limits = limits if limits is not None else TombstoneLimits()
        self.clock = ForwardClock(started_s, self.limits.life_s)
        self._name = (endpoint_id, incarnation)
        self._rows: dict[str, tuple[int, bool]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def stamp(self, now_s: float) -> Stamp:
        """Return what entries copy onto their requests."""
        return Stamp(*self._name, self.clock.issue_ms(now_s))

    def arrive(self, request_id: str, heard: Stamp | None, age_s: float, now_s: float) -> Arrival:
        """Decide on a request that arrives, and remember it.

        Args:
            request_id: Id of one try; the next try has another.
            heard: Stamp that the entry heard last before it sent the request.
            age_s: Seconds from then to the sending, by the entry's monotonic clock.
            now_s: Time handed in.
        """
        self._forget_old(now_s)
        row = self._rows.get(request_id)
        if row is not None:
            return Arrival.BURIED if row[1] else Arrival.DUPLICATE
        if heard is None or not self._is_ours(heard):
            return Arrival.FRESH if self._remember(request_id, False, now_s) else Arrival.TOO_OLD
        window = self._window(heard, age_s, now_s)
        if window is Window.OPEN and self._remember(request_id, False, now_s):
            return Arrival.FRESH
        return Arrival.CLOSED if window in _LEFT_NO_ROW else Arrival.TOO_OLD

    def names_earlier_start(self, heard: Stamp | None) -> bool:
        """Whether a request was sent to a process that stood here before.

        That one may have run it, or have said "not run" of it and be gone with its tombstone. A
        late copy that was taken as new would make that "not run" false. So it is not run; its
        sender, if it still waits, sends it again under the stamp that it hears now.
        """
        return heard is not None and not self._is_ours(heard)

    def ask(self, request_id: str, heard: Stamp | None, age_s: float, now_s: float) -> Asked:
        """Say what is known of a request; "not run" buries it.

        Stamp and age are those that the request was sent with, so that this answer and the one to
        a late arrival go by the same time of sending.
        """
        self._forget_old(now_s)
        row = self._rows.get(request_id)
        if row is not None:
            return Asked.NOT_RUN if row[1] else Asked.SEEN
        if heard is None or not self._is_ours(heard):
            return Asked.UNKNOWN
        window = self._window(heard, age_s, now_s)
        if window is Window.OPEN:
            self._remember(request_id, True, now_s)
        return Asked.NOT_RUN if window in _LEFT_NO_ROW else Asked.UNKNOWN

    def _window(self, heard: Stamp, age_s: float, now_s: float) -> Window:
        """Judge the time of sending; an entry may not have heard from here for many minutes."""
        return self.clock.judge(self.clock.sent_ms(heard.issued_ms, age_s, now_s), now_s)

    def _remember(self, request_id: str, buried: bool, now_s: float) -> bool:
        """Insert a row, or close the clock when none is free: it then stands for the row.

        To drop the oldest row in its place would make a request that ran look like one that never
        arrived, and the answer "not run" false.
        """
        if len(self._rows) >= self.limits.max_rows:
            self.clock.close(now_s)
            return False
        self._rows[request_id] = (self.clock.issue_ms(now_s) + self.clock.life_ms, buried)
        return True

    def _forget_old(self, now_s: float) -> None:
        now_ms = self.clock.read_ms(now_s)
        while self._rows:
            request_id, (expires_ms, _) = next(iter(self._rows.items()))
            if expires_ms >= now_ms:
                return
            del self._rows[request_id]

    def _is_ours(self, stamp: Stamp) -> bool:
        return (stamp.endpoint_id, stamp.incarnation) == self._name
