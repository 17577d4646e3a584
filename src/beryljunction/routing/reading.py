"""How fast the engines of a service read prompts, learned from their first tokens."""

import attrs

__all__ = ["ReadingPace"]

# What is assumed before anything was measured, in prompt tokens a millisecond: the slowest engines
# that are known read 38.
_PRIOR_TOKENS_PER_MS = 38.0
# Weight of the assumption, as one measurement would have that reads this many tokens more than the
# mean: a few prompts of thousands of tokens outweigh it.
_PRIOR_TOKENS = 2_000.0
# Weight that is left of a measurement after the next one; the last hundred count.
_KEPT_RATIO = 0.99
# A slope outside of this range is no pace of an engine, but noise of few measurements.
_LEAST_TOKENS_PER_MS = 15.0
_MOST_TOKENS_PER_MS = 400.0
# A first token that took longer waited for something other than its prompt.
_MOST_MS = 2_000.0


@attrs.define
class ReadingPace:
    """Slope of the time to the first token over the prompt tokens that were to be read.

    Load: prompts of hundreds to thousands of tokens, most of them cached, on engines of a make that
    nobody has told. Harm: with a pace that is too low, an engine that reads one long prompt looks
    busy for several times as long as it is, and sessions leave it, to be moved or read elsewhere:
    9 to 35 of 236 to 435 moves of a day (three days, engines that read 112 tokens a ms). Callers
    got no better answers by it there; it keeps one engine's pace from being a constant.

    An exponentially weighted least squares fit with a prior: the network's and the engine's fixed
    times go into the constant, waiting behind other prompts into the noise.
    """

    _weight: float = 0.0
    _tokens: float = 0.0
    _took_ms: float = 0.0
    _square: float = 0.0
    _product: float = 0.0

    def note(self, tokens: int, took_ms: float) -> None:
        """Take in how long a first token took with this many tokens to read."""
        if took_ms > _MOST_MS:
            return
        self._weight = self._weight * _KEPT_RATIO + 1.0
        self._tokens = self._tokens * _KEPT_RATIO + tokens
        self._took_ms = self._took_ms * _KEPT_RATIO + took_ms
        self._square = self._square * _KEPT_RATIO + float(tokens) * tokens
        self._product = self._product * _KEPT_RATIO + tokens * took_ms

    @property
    def tokens_per_ms(self) -> float:
        """Prompt tokens read in a millisecond."""
        prior = _PRIOR_TOKENS * _PRIOR_TOKENS
        square, product = prior, prior / _PRIOR_TOKENS_PER_MS
        if self._weight:
            square += self._square - self._tokens * self._tokens / self._weight
            product += self._product - self._tokens * self._took_ms / self._weight
        if product <= 0.0:
            return _MOST_TOKENS_PER_MS
        return min(_MOST_TOKENS_PER_MS, max(_LEAST_TOKENS_PER_MS, square / product))
