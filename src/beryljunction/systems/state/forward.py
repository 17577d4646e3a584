"""Time of one sidecar that only goes forward, and what it says of things issued under it."""

import enum

__all__ = ["ForwardClock", "Window"]

_MS = 1000.0


class Window(enum.StrEnum):
    """Where something issued under a clock's time stands now."""

    OPEN = "open"
    CLOSED = "closed"
    EXPIRED = "expired"
    NEVER_ISSUED = "never_issued"


class ForwardClock:
    """Milliseconds since the start of one incarnation; they never go back.

    Tickets and request ids are judged by this time alone, and entries copy it from the sidecar's
    last message instead of reading a clock of their own. So neither a host clock that is set back
    nor an entry with a wrong clock can make an expired ticket valid again. The shell hands in the
    boot time clock (CLOCK_BOOTTIME): it goes on while the process is stopped and while the host is
    suspended, and nobody sets it.

    Attributes:
        closed_ms: Things issued up to here that left no row are refused for ever.
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
        """Return the time; a clock that was set back stands still until it has caught up."""
        self._latest_ms = max(self._latest_ms, int((now_s - self._started_s) * _MS))
        return self._latest_ms

    def issue_ms(self, now_s: float) -> int:
        """Return the time to put on what is issued now; always later than what was closed."""
        return max(self.read_ms(now_s), self.closed_ms + 1)

    def close(self, now_s: float) -> None:
        """Refuse for ever whatever was issued up to now and left no row.

        A full table can't remember what it refuses. One number remembers it for all of them, at
        the cost of the unused tickets of others, which are refused as "not run" too.
        """
        self.closed_ms = self.issue_ms(now_s)

    def sent_ms(self, issued_ms: int, age_s: float, now_s: float) -> int:
        """Return when a message was sent, by this clock, whoever sent it.

        The sender names the last time that it heard from here and how long ago that was by its own
        monotonic clock. Clocks need not agree for that, only run at about the same rate. So the
        time that a message spent in a silent connection, or in the socket of a process that was
        paused, counts against its deadline.

        Args:
            issued_ms: Time of this clock that the sender heard last.
            age_s: Seconds from then to the sending.
            now_s: Time handed in.
        """
        return min(self.read_ms(now_s), issued_ms + max(0, int(age_s * _MS)))

    def judge(self, issued_ms: int, now_s: float) -> Window:
        """Return where something issued at ``issued_ms`` stands when it left no row."""
        if issued_ms > self.issue_ms(now_s):
            return Window.NEVER_ISSUED
        if issued_ms + self._life_ms < self.read_ms(now_s):
            return Window.EXPIRED
        if issued_ms <= self.closed_ms:
            return Window.CLOSED
        return Window.OPEN
