"""A model engine in virtual time: prefill, continuous batching, prefix cache."""

import heapq
from collections import OrderedDict

import attrs

__all__ = ["EngineCosts", "FakeEngine"]


@attrs.frozen
class EngineCosts:
    """What work costs at an engine.

    Attributes:
        token_s: Time between tokens of an answer that runs alone.
        batch_token_s: Time that each further answer in the batch adds.
    """

    max_running: int = 128
    prefill_tokens_per_s: float = 20_000.0
    token_s: float = 0.02
    batch_token_s: float = 0.00015
    cache_tokens: int = 1_500_000


class FakeEngine:
    """Processor sharing: each running answer gains tokens at a speed that falls with the batch.

    Attributes:
        slowdown: Factor on all times.
        events: Cache events, each the chats that were evicted.
    """

    def __init__(self, costs: EngineCosts) -> None:
        self.costs = costs
        self.slowdown = 1.0
        self.running = 0
        self.tokens = 0.0
        self.evicted: list[str] = []
        self._decoding: list[tuple[float, str]] = []
        self._clock_tokens = 0.0
        self._last_s = 0.0
        self._prefill_free_s = 0.0
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0

    def start(self, chat: str | None, prompt_tokens: int, now_s: float) -> tuple[float, int]:
        """Begin a prefill; return when it ends and how many tokens were found cached."""
        self.advance(now_s)
        self.running += 1
        cached = min(self._cache.get(chat, 0), prompt_tokens) if chat else 0
        cold_s = (prompt_tokens - cached) / self.costs.prefill_tokens_per_s * self.slowdown
        self._prefill_free_s = max(now_s, self._prefill_free_s) + cold_s
        return self._prefill_free_s, cached

    def decode(self, request_id: str, output_tokens: int, now_s: float) -> None:
        """Begin the answer of a request whose prefill has ended."""
        self.advance(now_s)
        heapq.heappush(self._decoding, (self._clock_tokens + output_tokens, request_id))

    def keep(self, chat: str, tokens: int) -> None:
        """Cache a chat's prefix; the least recently used chats make room."""
        self._cached_tokens += tokens - self._cache.get(chat, 0)
        self._cache[chat] = tokens
        self._cache.move_to_end(chat)
        while self._cached_tokens > self.costs.cache_tokens and len(self._cache) > 1:
            name, freed = self._cache.popitem(last=False)
            self._cached_tokens -= freed
            self.evicted.append(name)

    def advance(self, now_s: float) -> None:
        """Let the time pass."""
        gained = (now_s - self._last_s) / self._interval_s()
        self._clock_tokens += gained
        self.tokens += gained * len(self._decoding)
        self._last_s = now_s

    def next_end_s(self) -> float | None:
        """Return when the next answer ends if nothing changes before."""
        if not self._decoding:
            return None
        left = max(0.0, self._decoding[0][0] - self._clock_tokens)
        return self._last_s + left * self._interval_s()

    def pop_ended(self) -> list[str]:
        """Return the answers that have ended by now."""
        ended = []
        while self._decoding and self._decoding[0][0] <= self._clock_tokens + 1e-6:
            ended.append(heapq.heappop(self._decoding)[1])
            self.running -= 1
        return ended

    def _interval_s(self) -> float:
        costs = self.costs
        return (costs.token_s + costs.batch_token_s * self.running) * self.slowdown
