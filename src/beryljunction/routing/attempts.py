"""What follows after a request was sent to an endpoint and did not get its answer."""

import enum

import attrs

from beryljunction.routing.budget import RetryShare
from beryljunction.routing.fleet import Repeat

__all__ = ["AttemptPlan", "Outcome", "Verdict"]

# Endpoints whose connection failed that one request walks through; each costs up to the connect
# time-out, and after three more it is likely that the service is gone.
_MOST_CONNECT_FAILURES = 4


class Outcome(enum.Enum):
    """How sending a request to an endpoint ended.

    Attributes:
        NOT_SENT: No byte went out.
        DECLINED: The endpoint says that it did not run the request.
        FAILED: It may have run: no answer, or one that broke off or can't be read.
        ERRORED: It ran, and the endpoint's own answer is an error.
    """

    NOT_SENT = "not_sent"
    DECLINED = "declined"
    FAILED = "failed"
    ERRORED = "errored"


class Verdict(enum.Enum):
    """What is to be done.

    Attributes:
        AGAIN: Send it to another endpoint.
        REFUSE: It has not run and will not; the caller may come back.
        FAIL: It may have run; the caller is told that nothing is known.
        DELIVER: Hand on the endpoint's own error.
    """

    AGAIN = "again"
    REFUSE = "refuse"
    FAIL = "fail"
    DELIVER = "deliver"


@attrs.define
class AttemptPlan:
    """Follows one request through its sends.

    Attributes:
        sends: Endpoints that got at least one byte of the request.
        may_send_again: Whether second sends are switched on.
        may_have_run: Whether any of them may have run it.
    """

    repeat: Repeat
    max_attempts: int
    share: RetryShare
    may_send_again: bool = True
    sends: int = 0
    may_have_run: bool = False
    _connect_failures: int = 0

    def before_send(self, now_s: float) -> bool:
        """Count a send; False when the fleet's share of second sends is used up."""
        if self.sends and not self.share.spend(now_s):
            return False
        self.sends += 1
        return True

    def after(self, outcome: Outcome) -> Verdict:
        """Return what follows.

        A request that may have run is sent again only where running twice does no harm. One that is
        known not to have run is sent on within the route's number of endpoints.
        """
        if outcome is Outcome.NOT_SENT:
            self._connect_failures += 1
            may_go_on = self._connect_failures < _MOST_CONNECT_FAILURES
            return Verdict.AGAIN if may_go_on else self.give_up()
        if outcome in (Outcome.FAILED, Outcome.ERRORED):
            self.may_have_run = True
        if not self.may_send_again:
            return Verdict.DELIVER if outcome is Outcome.ERRORED else self.give_up()
        may_repeat = outcome is Outcome.DECLINED or self.repeat is not Repeat.NEVER
        if may_repeat and self.sends < self.max_attempts:
            return Verdict.AGAIN
        return Verdict.DELIVER if outcome is Outcome.ERRORED else self.give_up()

    def give_up(self) -> Verdict:
        """Return how to end without an answer; "not run" only where that is certain."""
        return Verdict.FAIL if self.may_have_run else Verdict.REFUSE
