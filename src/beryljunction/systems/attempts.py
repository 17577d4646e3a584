"""What the entry does next with a request after each try."""

import attrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.tables import Endpoint

__all__ = ["AttemptSystem", "GiveUp", "RetryBudget", "Step", "Try"]

_BUDGET_SHARE = 0.1
_BUDGET_CAP = 50.0


class RetryBudget:
    """Retries as a share of successes.

    When every endpoint is full or failing, each caller's request would turn into as many as there
    are candidates. Retries that are paid for by successes keep the extra load at a tenth.
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


@attrs.frozen
class Try:
    """Offer the request to this endpoint.

    Attributes:
        last_resort: No other candidate is left; the endpoint may let the request wait.
    """

    endpoint: Endpoint
    warm: bool
    last_resort: bool


@attrs.frozen
class GiveUp:
    """Tell the caller, at once."""

    refusal: Refusal


Step = Try | GiveUp


class AttemptSystem:
    """Walks one request through its candidates."""

    def __init__(self, candidates: list[Endpoint], budget: RetryBudget, idempotent: bool) -> None:
        self._left = list(candidates)
        self._budget = budget
        self._idempotent = idempotent
        self._first = True

    def first(self) -> Step:
        """Return the first step."""
        if not self._left:
            return GiveUp(
                Refusal(
                    RefusalCode.NO_ENDPOINT,
                    "expected a live endpoint of the service, found none; retry later",
                    Ran.NO,
                    1.0,
                )
            )
        return self._try()

    def after(self, refusal: Refusal) -> Step:
        """Return the step after a try that ended in a refusal or failure.

        A try whose outcome is unknown is repeated only when the request is idempotent.
        """
        may_repeat = refusal.ran is Ran.NO or self._idempotent
        if refusal.retry_after_s is None and refusal.code is RefusalCode.DEADLINE:
            may_repeat = False
        if not may_repeat or not self._left:
            return GiveUp(refusal)
        if refusal.code is not RefusalCode.OVERLOADED and not self._budget.spend():
            return GiveUp(refusal)
        if refusal.pointer is not None:
            self._left.sort(key=lambda row: row.endpoint_id != refusal.pointer)
        return self._try(warm=refusal.pointer is not None)

    def _try(self, warm: bool = False) -> Try:
        endpoint = self._left.pop(0)
        first, self._first = self._first, False
        return Try(endpoint, warm=first or warm, last_resort=not self._left)
