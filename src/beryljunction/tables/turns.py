"""Queue of endpoints that take turns to load, ordered by a stream of the platform's log."""

from typing import Any

import attrs

from beryljunction.stores.log import LogPage, LogRecord

__all__ = ["Turn", "TurnQueue", "end_record", "renew_record", "take_record"]

_TAKE = "take"
_RENEW = "renew"
_END = "end"


def take_record(endpoint_id: str) -> dict[str, Any]:
    """Return the record with which an endpoint takes a turn."""
    return {_TAKE: endpoint_id}


def renew_record(endpoint_id: str) -> dict[str, Any]:
    """Return the record with which an endpoint renews its turn."""
    return {_RENEW: endpoint_id}


def end_record(endpoint_id: str, renewed_at: int) -> dict[str, Any]:
    """Return the record that ends a turn unless it was renewed after ``renewed_at``."""
    return {_END: endpoint_id, "offset": renewed_at}


@attrs.frozen
class Turn:
    """One endpoint's turn.

    Attributes:
        taken_at: Offset of the record that took it, which determines its position.
        renewed_at: Offset of the last record that took or renewed it.
    """

    taken_at: int
    renewed_at: int


class TurnQueue:
    """Turns that were taken and have not ended, oldest first.

    Every reader applies the same records in the same order, so all agree on the turns before a
    given one, whichever hosts they know.

    Attributes:
        read_to: Offset of the last record applied.
    """

    def __init__(self) -> None:
        self.read_to = 0
        self._turns: dict[str, Turn] = {}

    def apply(self, page: LogPage) -> None:
        """Apply a page; a turn ends for all readers when the log has dropped its last record."""
        for record in page.records:
            if record.offset > self.read_to:
                self._apply(record)
                self.read_to = record.offset
        first = page.first_offset
        self._turns = {i: turn for i, turn in self._turns.items() if turn.renewed_at >= first}

    def turn(self, endpoint_id: str) -> Turn | None:
        """Return an endpoint's turn."""
        return self._turns.get(endpoint_id)

    def before(self, endpoint_id: str) -> dict[str, Turn]:
        """Return the turns before an endpoint's own, by endpoint; all turns if it has none."""
        own = self._turns.get(endpoint_id)
        turns = self._turns.items()
        return {i: turn for i, turn in turns if own is None or turn.taken_at < own.taken_at}

    def _apply(self, record: LogRecord) -> None:
        """Apply one record; every reader ignores records of an unknown form."""
        data = record.data if isinstance(record.data, dict) else {}
        taker, renewer, ender = (_string_or_empty(data.get(kind)) for kind in (_TAKE, _RENEW, _END))
        if taker:
            self._turns.setdefault(taker, Turn(record.offset, record.offset))
        elif renewer in self._turns:
            self._turns[renewer] = attrs.evolve(self._turns[renewer], renewed_at=record.offset)
        elif ender in self._turns and self._turns[ender].renewed_at == data.get("offset"):
            del self._turns[ender]


def _string_or_empty(value: Any) -> str:
    return value if isinstance(value, str) else ""
