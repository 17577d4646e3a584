"""Prefill rate of a service's engines, learned from their times to the first token."""

import attrs

__all__ = ["PrefillRate"]

# Prior in prompt tokens per millisecond: the rate of the slowest known engines.
_PRIOR_TOKENS_PER_MS = 38.0
# Weight of the prior: that of one sample with this many tokens more than the mean. A few prompts of
# thousands of tokens outweigh it.
_PRIOR_WEIGHT_TOKENS = 2_000.0
# Factor on the weight of all samples with each new one; about the last hundred count.
_DECAY_FACTOR = 0.99
# A slope outside this range is noise from few samples, not the rate of an engine.
_MIN_TOKENS_PER_MS = 15.0
_MAX_TOKENS_PER_MS = 400.0
# A first token that took longer was waiting for something other than its prompt.
_MAX_FIRST_TOKEN_MS = 2_000.0


@attrs.define
class PrefillRate:
    """Slope of the time to the first token over the number of uncached prompt tokens.

    Prompts have hundreds to thousands of tokens, most of them cached, and the type of the engines
    is not configured. If the rate is assumed too low, an engine that prefills one long prompt looks
    busy for several times as long as it is, and sessions are moved off it and fetched or recomputed
    elsewhere: 9 to 35 of 236 to 435 moves a day (three days, engines with 112 tokens per ms).
    Learning the rate did not improve the answers to callers there; it avoids a constant that holds
    for one type of engine only.

    The rate is an exponentially weighted least squares fit with a prior. Fixed times of the network
    and the engine go into the intercept, waiting behind other prompts into the noise.
    """

    _sum_weight: float = 0.0
    _sum_tokens: float = 0.0
    _sum_ms: float = 0.0
    _sum_square: float = 0.0
    _sum_product: float = 0.0

    def note(self, tokens: int, took_ms: float) -> None:
        """Add the time to the first token for this number of uncached tokens."""
        if took_ms > _MAX_FIRST_TOKEN_MS:
            return
        self._sum_weight = self._sum_weight * _DECAY_FACTOR + 1.0
        self._sum_tokens = self._sum_tokens * _DECAY_FACTOR + tokens
        self._sum_ms = self._sum_ms * _DECAY_FACTOR + took_ms
        self._sum_square = self._sum_square * _DECAY_FACTOR + float(tokens) * tokens
        self._sum_product = self._sum_product * _DECAY_FACTOR + tokens * took_ms

    @property
    def tokens_per_ms(self) -> float:
        """Prompt tokens prefilled per millisecond."""
        prior = _PRIOR_WEIGHT_TOKENS * _PRIOR_WEIGHT_TOKENS
        square, product = prior, prior / _PRIOR_TOKENS_PER_MS
        if self._sum_weight:
            square += self._sum_square - self._sum_tokens * self._sum_tokens / self._sum_weight
            product += self._sum_product - self._sum_tokens * self._sum_ms / self._sum_weight
        if product <= 0.0:
            return _MAX_TOKENS_PER_MS
        return min(_MAX_TOKENS_PER_MS, max(_MIN_TOKENS_PER_MS, square / product))
