"""Rows that an entry has yet to send to other entries."""

import collections
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.auto_reset_event import AutoResetEvent
from beryljunction.routing import FanOut

__all__ = ["Outbox"]

_Row = TypeVar("_Row")
# Unsent rows are dropped after this time: the receiver has ended, or will read the store.
_PENDING_TTL_S = 30.0
_MAX_ROWS_PER_MESSAGE = 64


class Outbox(Generic[_Row]):
    """Unsent rows by receiving host, each once.

    Attributes:
        changed: Set when there is something to send.

    Args:
        fan_out: The known entries; rows for other hosts are dropped.
    """

    def __init__(self, fan_out: FanOut) -> None:
        self._fan_out = fan_out
        self._pending: dict[str, dict[_Row, float]] = collections.defaultdict(dict)
        self.changed = AutoResetEvent()

    def add(self, host: str, row: _Row) -> None:
        """Add a row for a host."""
        self._pending[host][row] = boot_time_s()
        self.changed.set()

    def discard(self, host: str, is_obsolete: Callable[[_Row], bool]) -> None:
        """Drop the unsent rows for a host that are obsolete."""
        rows = self._pending[host]
        for row in [row for row in rows if is_obsolete(row)]:
            del rows[row]

    def next_rows(self, host: str) -> list[_Row]:
        """Return the rows of the next message to a host; none if there is nothing to send."""
        now_s = boot_time_s()
        rows = self._pending.get(host, {})
        for row, noted_s in list(rows.items()):
            if now_s - noted_s > _PENDING_TTL_S:
                del rows[row]
        return list(rows)[:_MAX_ROWS_PER_MESSAGE]

    def mark_sent(self, host: str, rows: Iterable[_Row]) -> None:
        """Record that a host has received rows."""
        pending = self._pending.get(host, {})
        for row in rows:
            pending.pop(row, None)

    def hosts(self) -> list[str]:
        """Return the hosts of known entries for which there are unsent rows."""
        for host in [host for host in self._pending if host not in self._fan_out]:
            del self._pending[host]
        return [host for host, rows in self._pending.items() if rows]
