"""Retry budget of an entry."""

__all__ = ["RetryBudget"]

_BUDGET_RATIO = 0.1
_MAX_BUDGET_RETRIES = 10.0


class RetryBudget:
    """Limits retries to a share of successful requests.

    If every endpoint is full or failing, each request would be sent to every candidate, and the
    retries would keep the endpoints full after the demand has dropped. Earning retries from
    successes limits the extra load to a tenth. The cap is enough to hide a short failure but
    prevents a retry storm from a saved-up budget.
    """

    def __init__(self, share: float = _BUDGET_RATIO, cap: float = _MAX_BUDGET_RETRIES) -> None:
        self._share = share
        self._cap = cap
        self._tokens = cap

    def earn(self) -> None:
        """Count a success."""
        self._tokens = min(self._cap, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
