"""Prefixes that an engine has cached, under the names by which it exports them."""

from collections import OrderedDict

import attrs

__all__ = ["Prefix", "PrefixTable"]

# 333 bytes a row with an id of 36 letters, 553 with one of 256: 1.4 to 2.3 MB of the 64. At the
# target a sidecar sees 12,600 chats; those that came last are the ones that are worth moving.
_DEFAULT_CAPACITY = 4096


@attrs.frozen
class Prefix:
    """One chat's cached prefix.

    Attributes:
        chat_id: The engine's own name of the chat.
        tokens: Estimated length.
        used_s: Monotonic time of the last answer, here or where it was handed on from.
    """

    chat_key: int
    chat_id: str
    tokens: int
    used_s: float


class PrefixTable:
    """Bounded table of prefixes; the one that was put longest ago makes room for a new one."""

    def __init__(self, capacity: int = _DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._rows: OrderedDict[int, Prefix] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def put(self, row: Prefix) -> None:
        """Insert or replace the prefix of a chat."""
        self._rows[row.chat_key] = row
        self._rows.move_to_end(row.chat_key)
        if len(self._rows) > self._capacity:
            self._rows.popitem(last=False)

    def newest_first(self) -> list[Prefix]:
        """Return all prefixes, most recently used first."""
        return sorted(self._rows.values(), key=lambda row: row.used_s, reverse=True)
