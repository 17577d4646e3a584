"""Prefixes that an engine has cached, with the chat ids under which it exports them."""

from collections import OrderedDict

import attrs

__all__ = ["Prefix", "PrefixTable"]

# A row takes 333 bytes with a chat id of 36 characters and 553 with one of 256, so the table takes
# 1.4 to 2.3 MB of the 64 MB. At the target a sidecar sees 12,600 chats, of which only the latest
# are worth transferring.
_DEFAULT_CAPACITY = 4096


@attrs.frozen
class Prefix:
    """One chat's cached prefix.

    Attributes:
        chat_id: The engine's id of the chat.
        tokens: Estimated length.
        used_s: Monotonic time of the last answer, here or at the endpoint it was transferred from.
    """

    chat_key: int
    chat_id: str
    tokens: int
    used_s: float


class PrefixTable:
    """Bounded table of prefixes; when it is full, the prefix stored longest ago is evicted."""

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
