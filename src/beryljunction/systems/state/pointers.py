"""Locations of cached chat prefixes, as known to the sidecar at each chat's home."""

import attrs

from beryljunction.tables import ChatPointer, ChatTable

__all__ = ["ChatDirectory"]

_DEFAULT_LIFE_S = 14_400.0


class ChatDirectory:
    """Tracks which endpoint served each chat last, here or elsewhere.

    A chat may run at another endpoint while its home is over its bound. Without a pointer it would
    return to its home and find nothing cached, or an older and shorter prefix.
    """

    def __init__(
        self, endpoint_id: str = "", life_s: float = _DEFAULT_LIFE_S, chats: ChatTable | None = None
    ) -> None:
        self.endpoint_id = endpoint_id
        self.life_s = life_s
        self.chats = chats if chats is not None else ChatTable()
        self._event_sequence = 0

    def look_up(self, chat_key: int | None, now_s: float) -> ChatPointer | None:
        """Return the pointer to a chat's cached prefix, if there is one.

        A lookup extends the pointer's life, because entries that follow it don't report that back.
        """
        row = None if chat_key is None else self.chats.get(chat_key, now_s)
        if row is not None:
            row.expires_s = now_s + self.life_s
        return row

    def cached_tokens(self, chat_key: int | None, now_s: float) -> int:
        """Return the tokens of a chat's prefix that should be cached here."""
        row = self.look_up(chat_key, now_s)
        return row.tokens if row is not None and row.endpoint_id == self.endpoint_id else 0

    def record_location(
        self, chat_key: int | None, endpoint_id: str, tokens: int, now_s: float
    ) -> None:
        """Store the endpoint that has taken a chat, this one or another."""
        if chat_key is not None:
            self.chats.put(ChatPointer(chat_key, endpoint_id, tokens, now_s + self.life_s))

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Drop the pointers to an endpoint that is gone."""
        self.chats.forget_endpoint(endpoint_id)

    def apply_eviction(self, sequence: int, chat_keys: list[int]) -> None:
        """Apply a cache event of the engine: these chats are no longer cached here.

        Events may be late or missing. After a gap nothing is dropped, since a pointer to an evicted
        prefix costs only one cold prefill at the chat's home, where it would have gone anyway. A
        late event is ignored, because the chats may have run again since.
        """
        if sequence <= self._event_sequence:
            return
        self._event_sequence = sequence
        for chat_key in chat_keys:
            row = self.chats.peek(chat_key)
            if row is not None and row.endpoint_id == self.endpoint_id:
                self.chats.forget(chat_key)

    def newest_pointers(self, limit: int) -> list[ChatPointer]:
        """Return copies of the most recently used pointers, to send to peers on leaving."""
        return [attrs.evolve(row) for row in self.chats.rows()[-limit:]]
