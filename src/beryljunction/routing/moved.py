"""Sessions that this entry has placed where other entries would not look for them."""

import collections

import attrs

__all__ = ["MovedSession", "MovedSessions"]

# Rows that are kept for peers that were not told yet: at 8 messages a second and 64 peers each is
# told every 8 s, in which an entry moves some 100 sessions at most.
_MOST_ROWS = 256
# A session that stays where it is is told again after this time, before peers forget it (30 s).
_TOLD_AGAIN_S = 15.0
_MOST_TOLD = 4_096


@attrs.frozen
class MovedSession:
    """A session whose prefix lies at another endpoint than the first in its rendezvous order.

    Attributes:
        part_ids: Ids of its prompt parts that other requests have too, in order.
        start: Id and birth of the endpoint.
    """

    part_ids: tuple[str, ...]
    start: tuple[str, int]


class MovedSessions:
    """The latest moved sessions, numbered, so that each peer can be told what it has not heard.

    Load: a bound on load or a long read sends a session past its home. Harm: the next entry that
    gets it asks the home, which has to read what lies elsewhere: 150,000 of 190,000 tokens that
    were read again on a quiet day came so.
    """

    def __init__(self) -> None:
        self._rows: collections.deque[MovedSession] = collections.deque(maxlen=_MOST_ROWS)
        self._end = 0
        self._told_s: collections.OrderedDict[MovedSession, float] = collections.OrderedDict()

    @property
    def end(self) -> int:
        """Number of the next row."""
        return self._end

    def note(self, session: MovedSession, now_s: float) -> None:
        """Keep a row for the peers, unless they were told a short while ago."""
        told_s = self._told_s.get(session)
        if told_s is not None and now_s - told_s < _TOLD_AGAIN_S:
            return
        self._told_s[session] = now_s
        self._told_s.move_to_end(session)
        while len(self._told_s) > _MOST_TOLD:
            self._told_s.popitem(last=False)
        self._rows.append(session)
        self._end += 1

    def since(self, number: int) -> tuple[MovedSession, ...]:
        """Return the rows from a number on, as far as they are kept."""
        count = min(len(self._rows), self._end - number)
        return tuple(self._rows)[len(self._rows) - count :] if count > 0 else ()
