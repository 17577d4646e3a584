"""What a stand-in engine costs and caches, without a clock, a socket or a random number."""

from collections import OrderedDict
from collections.abc import Callable

import attrs

__all__ = ["CacheChange", "EngineModel"]


@attrs.frozen
class CacheChange:
    """A prefix that was stored in, or evicted from, the cache of an engine."""

    stored: bool
    chat: str
    tokens: int


@attrs.define
class EngineModel:
    """An engine's speeds and the memory of its prefix cache.

    Attributes:
        decode_slowdown: Share by which each further running request lengthens a token's time.
        batch_limit: Requests that are decoded together; further ones wait in the engine.
        cache_tokens: Tokens that the prefix cache holds; least recently used chats go first.
        kv_tokens_per_s: Speed at which a cached prefix is exported or imported.
        hangup_grace_s: Time that an answer goes on without a reader. A reader that lost its
            connection needs it to come back; a caller who is gone is cancelled by its own path.
        on_change: Told of every prefix that is stored or evicted.
    """

    prefill_tokens_per_s: float = 20_000.0
    decode_token_s: float = 0.02
    decode_slowdown: float = 0.02
    batch_limit: int = 32
    cache_tokens: int = 400_000
    kv_tokens_per_s: float = 400_000.0
    hangup_grace_s: float = 2.0
    on_change: Callable[[CacheChange], None] | None = None
    _cache: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    _cached_sum: int = 0

    @property
    def cached_sum_tokens(self) -> int:
        """Tokens that the cache holds now."""
        return self._cached_sum

    def prefill_s(self, chat: str, prompt_tokens: int) -> tuple[float, int]:
        """Return the time to the first token and the tokens found cached; caches the prompt."""
        cached = min(self.cached_tokens(chat), prompt_tokens)
        self.store(chat, prompt_tokens)
        return (prompt_tokens - cached) / self.prefill_tokens_per_s, cached

    def token_s(self, running: int) -> float:
        """Return the time for one token while so many requests are decoded together."""
        return self.decode_token_s * (1.0 + self.decode_slowdown * max(0, running - 1))

    def transfer_s(self, tokens: int) -> float:
        """Return the time to export or import a cached prefix."""
        return tokens / self.kv_tokens_per_s

    def cached_tokens(self, chat: str) -> int:
        """Return the length of a chat's cached prefix."""
        return self._cache.get(chat, 0)

    def store(self, chat: str, tokens: int) -> None:
        """Cache a prefix and evict what no longer fits; work without a chat is not cached."""
        if not chat:
            return
        self._cached_sum += tokens - self.cached_tokens(chat)
        self._cache[chat] = tokens
        self._cache.move_to_end(chat)
        self._changed(CacheChange(True, chat, tokens))
        while len(self._cache) > 1 and self._cached_sum > self.cache_tokens:
            evicted, evicted_tokens = self._cache.popitem(last=False)
            self._cached_sum -= evicted_tokens
            self._changed(CacheChange(False, evicted, evicted_tokens))

    def _changed(self, change: CacheChange) -> None:
        if self.on_change is not None:
            self.on_change(change)
