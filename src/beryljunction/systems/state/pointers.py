"""Where returning chats have their prefix, as the sidecar at a chat's home knows it."""

import attrs

from beryljunction.tables import ChatPointer, ChatTable

__all__ = ["PointerSystem"]

_DEFAULT_LIFE_S = 14_400.0


class PointerSystem:
    """Remembers the chats that ran here and those that another endpoint took.

    Load: chats whose home was over its bound when they came. Harm: without a pointer they come back
    to their home and find nothing cached, or an older and shorter prefix.
    """

    def __init__(
        self, endpoint_id: str = "", life_s: float = _DEFAULT_LIFE_S, chats: ChatTable | None = None
    ) -> None:
        self.endpoint_id = endpoint_id
        self.life_s = life_s
        self.chats = chats if chats is not None else ChatTable()
        self._event_sequence = 0

    def look_up(self, chat_key: int | None, now_s: float) -> ChatPointer | None:
        """Return where a chat's prefix lies, here or elsewhere, if that is known.

        A pointer that is asked for lives on: entries that followed it tell nothing new.
        """
        row = None if chat_key is None else self.chats.get(chat_key, now_s)
        if row is not None:
            row.expires_s = now_s + self.life_s
        return row

    def cached_tokens(self, chat_key: int | None, now_s: float) -> int:
        """Return the length of a chat's prefix that should be cached here."""
        row = self.look_up(chat_key, now_s)
        return row.tokens if row is not None and row.endpoint_id == self.endpoint_id else 0

    def placed(self, chat_key: int | None, endpoint_id: str, tokens: int, now_s: float) -> None:
        """Remember who has taken a chat, here or elsewhere."""
        if chat_key is not None:
            self.chats.put(ChatPointer(chat_key, endpoint_id, tokens, now_s + self.life_s))

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Drop the pointers to an endpoint that is gone."""
        self.chats.forget_endpoint(endpoint_id)

    def evicted(self, sequence: int, chat_keys: list[int]) -> None:
        """Take in a cache event of the engine: these chats are no longer cached here.

        Events come late and with gaps. A gap loses hints only: a chat that is believed cached and
        is not costs one cold prefill at its home, where it would have gone anyway. So nothing is
        dropped on a gap, and an event that comes late is dropped itself, since the chats may have
        run again in the meantime.
        """
        if sequence <= self._event_sequence:
            return
        self._event_sequence = sequence
        for chat_key in chat_keys:
            row = self.chats.peek(chat_key)
            if row is not None and row.endpoint_id == self.endpoint_id:
                self.chats.forget(chat_key)

    def hand_over(self, limit: int) -> list[ChatPointer]:
        """Return the newest pointers for the peers when this endpoint leaves."""
        return [attrs.evolve(row) for row in self.chats.rows()[-limit:]]
