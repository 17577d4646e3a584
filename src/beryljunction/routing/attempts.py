"""Decides what follows when an attempt at an endpoint did not bring an answer."""

import enum

import attrs

from beryljunction.routing.budget import RetryShare
from beryljunction.routing.fleet import Repeat

__all__ = ["AttemptPlan", "Outcome", "Verdict"]

# Failed connections after which a request is given up. Each costs up to the connect timeout, and
# after four the service is probably gone.
_MAX_CONNECT_FAILURES = 4


class Outcome(enum.Enum):
    """Result of one attempt to send a request to an endpoint.

    Attributes:
        NOT_SENT: No byte was sent.
        DECLINED: The endpoint states that it did not run the request.
        FAILED: The request may have run: the answer is missing, incomplete or unreadable.
        ERRORED: The endpoint ran the request and answered with an error.
    """

    NOT_SENT = "not_sent"
    DECLINED = "declined"
    FAILED = "failed"
    ERRORED = "errored"


class Verdict(enum.Enum):
    """What to do after an attempt.

    Attributes:
        AGAIN: Send the request to another endpoint.
        REFUSE: The request has not run and will not; the caller may retry.
        FAIL: The request may have run; the caller is told that the outcome is unknown.
        DELIVER: Pass on the endpoint's own error response.
    """

    AGAIN = "again"
    REFUSE = "refuse"
    FAIL = "fail"
    DELIVER = "deliver"


@attrs.define
class AttemptPlan:
    """Tracks the attempts of one request and decides whether another one follows.

    Attributes:
        sends: Endpoints that were sent at least one byte of the request.
        may_send_again: Whether retries are enabled.
        may_have_run: Whether any endpoint may have run the request.
    """

    repeat: Repeat
    max_attempts: int
    share: RetryShare
    may_send_again: bool = True
    sends: int = 0
    may_have_run: bool = False
    _connect_failures: int = 0

    def before_send(self, now_s: float) -> bool:
        """Count a send; return False when the retry budget is used up."""
        if self.sends and not self.share.spend(now_s):
            return False
        self.sends += 1
        return True

    def after(self, outcome: Outcome) -> Verdict:
        """Return what to do after an attempt with this outcome.

        A request that may have run is sent again only if its route allows repeats. One that is
        known not to have run is sent to up to `max_attempts` endpoints.
        """
        if outcome is Outcome.NOT_SENT:
            self._connect_failures += 1
            has_attempts_left = self._connect_failures < _MAX_CONNECT_FAILURES
            return Verdict.AGAIN if has_attempts_left else self.give_up()
        if outcome in (Outcome.FAILED, Outcome.ERRORED):
            self.may_have_run = True
        if not self.may_send_again:
            return Verdict.DELIVER if outcome is Outcome.ERRORED else self.give_up()
        may_repeat = outcome is Outcome.DECLINED or self.repeat is not Repeat.NEVER
        if may_repeat and self.sends < self.max_attempts:
            return Verdict.AGAIN
        return Verdict.DELIVER if outcome is Outcome.ERRORED else self.give_up()

    def give_up(self) -> Verdict:
        """Return how to end without an answer: REFUSE only if the request certainly did not run."""
        return Verdict.FAIL if self.may_have_run else Verdict.REFUSE
