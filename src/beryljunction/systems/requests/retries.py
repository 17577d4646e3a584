"""How many retries an entry may make."""

__all__ = ["RetryBudget"]

_BUDGET_SHARE = 0.1
_BUDGET_CAP = 10.0


class RetryBudget:
    """Retries as a share of successes.

    Load: every endpoint full or failing. Harm: each caller's request turns into as many as there
    are candidates, and the retries keep the endpoints full when the demand has gone. Retries that
    are paid for by successes keep the extra load at a tenth; the cap lets a short failure pass
    unseen without saving up for a storm.
    """

    def __init__(self, share: float = _BUDGET_SHARE, cap: float = _BUDGET_CAP) -> None:
        self._share = share
        self._cap = cap
        self._tokens = cap

    def earn(self) -> None:
        """Count a success."""
        self._tokens = min(self._cap, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry out of the budget; False when there is none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
