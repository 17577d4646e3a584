"""Rate at which an endpoint starts queued work."""

import math

__all__ = ["DrainMeter"]

_WINDOW_S = 10.0


class DrainMeter:
    """Exponentially weighted rate of started work, in estimated tokens per second."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._since_s: float | None = None
        self._last_s = 0.0

    def note(self, tokens: int, now_s: float) -> None:
        """Record work that starts now."""
        if self._since_s is None:
            self._since_s = self._last_s = now_s
        self._tokens = self._tokens * math.exp((self._last_s - now_s) / _WINDOW_S) + tokens
        self._last_s = now_s

    def tokens_per_s(self, now_s: float) -> float:
        """Return the rate; 0 during the first second."""
        if self._since_s is None or now_s - self._since_s < 1.0:
            return 0.0
        decayed = self._tokens * math.exp((self._last_s - now_s) / _WINDOW_S)
        filled = 1.0 - math.exp((self._since_s - now_s) / _WINDOW_S)
        return decayed / (_WINDOW_S * filled)

    def wait_s(self, tokens: float, share: float, now_s: float) -> float:
        """Return the wait of an account with this share for ``tokens`` of work; 0 if unknown."""
        rate = self.tokens_per_s(now_s)
        return tokens / (rate * share) if rate > 0.0 else 0.0
