"""Clock of one sidecar that never goes back, and the validity of times issued by it."""

import enum

__all__ = ["IncarnationClock", "IssueValidity"]

_MS = 1000.0


class IssueValidity(enum.StrEnum):
    """Validity of a time issued by the clock."""

    OPEN = "open"
    CLOSED = "closed"
    EXPIRED = "expired"
    NEVER_ISSUED = "never_issued"


class IncarnationClock:
    """Milliseconds since the start of one incarnation; they never go back.

    Only this clock decides whether tickets and request ids have expired. Entries copy its time from
    the sidecar's last message instead of reading their own clock, so neither a host clock that is
    set back nor an entry with a wrong clock can make an expired ticket valid again. The caller
    passes in CLOCK_BOOTTIME, which keeps running while the process is stopped or the host is
    suspended and can't be set.

    Attributes:
        closed_ms: Tickets and request ids issued up to this time that have no row are refused
            forever.
    """

    def __init__(self, started_s: float, life_s: float) -> None:
        self._started_s = started_s
        self._life_ms = int(life_s * _MS)
        self._latest_ms = 0
        self.closed_ms = -1

    @property
    def life_ms(self) -> int:
        """Milliseconds from issue to expiry."""
        return self._life_ms

    def read_ms(self, now_s: float) -> int:
        """Return the time; if ``now_s`` goes back, the time stays the same until it catches up."""
        self._latest_ms = max(self._latest_ms, int((now_s - self._started_s) * _MS))
        return self._latest_ms

    def issue_ms(self, now_s: float) -> int:
        """Return the issue time for a ticket or stamp; always later than ``closed_ms``."""
        return max(self.read_ms(now_s), self.closed_ms + 1)

    def close(self, now_s: float) -> None:
        """Refuse forever everything that was issued up to now and has no row.

        A full table can't store what it refuses, so this single time stands for all of it. The cost
        is that unused tickets of other requests are refused as "not run" too.
        """
        self.closed_ms = self.issue_ms(now_s)

    def sent_ms(self, issued_ms: int, age_s: float, now_s: float) -> int:
        """Return when a message was sent, in the time of this clock.

        The sender gives the last time that it received from this clock and its age by the sender's
        monotonic clock. So the clocks need not be synchronized, but only run at about the same
        rate, and time that a message spent in a stalled connection or in the socket buffer of a
        paused process counts against its deadline.

        Args:
            issued_ms: Time of this clock that the sender received last.
            age_s: Seconds from then until the message was sent.
            now_s: Current time.
        """
        return min(self.read_ms(now_s), issued_ms + max(0, int(age_s * _MS)))

    def validity_of(self, issued_ms: int, now_s: float) -> IssueValidity:
        """Return the validity of something issued at ``issued_ms`` that has no row."""
        if issued_ms > self.issue_ms(now_s):
            return IssueValidity.NEVER_ISSUED
        if issued_ms + self._life_ms < self.read_ms(now_s):
            return IssueValidity.EXPIRED
        if issued_ms <= self.closed_ms:
            return IssueValidity.CLOSED
        return IssueValidity.OPEN
