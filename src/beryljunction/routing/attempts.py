"""Decides what follows when an attempt at an endpoint did not bring an answer."""

import enum

import attrs

from beryljunction.routing.budget import RetryShare
from beryljunction.routing.fleet import RepeatPolicy

__all__ = ["AttemptDecision", "AttemptOutcome", "AttemptPlan"]

# Failed connections after which a request is given up. Each costs up to the connect timeout, and
# after four the service is probably gone.
_MAX_CONNECT_FAILURES = 4


class AttemptOutcome(enum.Enum):
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


class AttemptDecision(enum.Enum):
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


@attrs.define(eq=False)
class AttemptPlan:
    """Tracks the attempts of one request and decides whether another one follows.

    Attributes:
        sends: Endpoints that were sent at least one byte of the request.
        may_send_again: Whether retries are enabled.
        may_have_run: Whether any endpoint may have run the request.
    """

    repeat: RepeatPolicy
    max_attempts: int
    share: RetryShare
    may_send_again: bool = True
    sends: int = 0
    may_have_run: bool = False
    _unread_sends: int = 0
    _unread_retries: int = 0
    _connect_failures: int = 0

    def is_in_budget(self, now_s: float) -> bool:
        """Return whether another send would be in the retry budget."""
        return not self.sends or self.share.left(now_s) >= 1.0

    def before_send(self, now_s: float) -> bool:
        """Count a send; return False when the retry budget is used up."""
        if self.sends:
            if not self.share.spend(now_s):
                return False
            self._unread_retries += 1
        self.sends += 1
        self._unread_sends += 1
        return True

    def note_read(self, now_s: float) -> None:
        """Record that an endpoint has read one of the sends, or won't read it any more.

        Whichever send is read first is no retry. So while an earlier one is unread, a retry that
        was read still leaves one to come.
        """
        self._unread_sends -= 1
        if self._unread_retries > self._unread_sends:
            self._unread_retries -= 1
            self.share.note_read(now_s)

    def after(self, outcome: AttemptOutcome) -> AttemptDecision:
        """Return what to do after an attempt with this outcome.

        A request that may have run is sent again only if its route allows repeats. One that is
        known not to have run is sent to up to `max_attempts` endpoints.
        """
        if outcome is AttemptOutcome.NOT_SENT:
            self._connect_failures += 1
            has_attempts_left = self._connect_failures < _MAX_CONNECT_FAILURES
            return AttemptDecision.AGAIN if has_attempts_left else self.give_up()
        if outcome in (AttemptOutcome.FAILED, AttemptOutcome.ERRORED):
            self.may_have_run = True
        if not self.may_send_again:
            return AttemptDecision.DELIVER if outcome is AttemptOutcome.ERRORED else self.give_up()
        may_repeat = outcome is AttemptOutcome.DECLINED or self.repeat is not RepeatPolicy.NEVER
        if may_repeat and self.sends < self.max_attempts:
            return AttemptDecision.AGAIN
        return AttemptDecision.DELIVER if outcome is AttemptOutcome.ERRORED else self.give_up()

    def give_up(self) -> AttemptDecision:
        """Return how to end without an answer: REFUSE only if the request certainly did not run."""
        return AttemptDecision.FAIL if self.may_have_run else AttemptDecision.REFUSE
