import pytest

from beryljunction.routing import (
    AttemptDecision,
    AttemptOutcome,
    AttemptPlan,
    RepeatPolicy,
    RetryShare,
)


def plan_of(repeat, max_attempts, retries=20):
    share = RetryShare(0.0, 10.0, slack=32 * retries)
    return AttemptPlan(repeat, max_attempts, share)


class TestAttemptPlan:
    def test_non_repeatable_request_that_may_have_run_is_not_sent_again(self):
        """Guards against a payment that runs twice because the answer to its first run was lost.

        It must not be reported as not run either, since its caller would send it again.
        """
        plan = plan_of(RepeatPolicy.NEVER, max_attempts=3)
        plan.before_send(0.0)

        assert plan.after(AttemptOutcome.FAILED) is AttemptDecision.FAIL

    @pytest.mark.parametrize("repeat", [RepeatPolicy.FREELY, RepeatPolicy.RESUME])
    def test_repeatable_request_is_sent_to_another_endpoint(self, repeat):
        plan = plan_of(repeat, max_attempts=2)
        plan.before_send(0.0)

        assert plan.after(AttemptOutcome.FAILED) is AttemptDecision.AGAIN
        assert plan.before_send(0.0)
        assert plan.after(AttemptOutcome.FAILED) is AttemptDecision.FAIL

    def test_declined_request_is_refused_as_not_run(self):
        plan = plan_of(RepeatPolicy.NEVER, max_attempts=1)
        plan.before_send(0.0)

        assert plan.after(AttemptOutcome.DECLINED) is AttemptDecision.REFUSE

    def test_declined_request_is_sent_again_up_to_max_attempts(self):
        plan = plan_of(RepeatPolicy.NEVER, max_attempts=2)
        plan.before_send(0.0)

        assert plan.after(AttemptOutcome.DECLINED) is AttemptDecision.AGAIN

    def test_request_declined_after_a_failure_may_have_run(self):
        """The first endpoint, whose answer broke off, may have run the request."""
        plan = plan_of(RepeatPolicy.FREELY, max_attempts=2)
        plan.before_send(0.0)
        plan.after(AttemptOutcome.FAILED)
        plan.before_send(0.0)

        assert plan.after(AttemptOutcome.DECLINED) is AttemptDecision.FAIL

    def test_failed_connection_does_not_count_as_an_attempt(self):
        plan = plan_of(RepeatPolicy.NEVER, max_attempts=1)

        decisions = [plan.after(AttemptOutcome.NOT_SENT) for _ in range(4)]

        assert decisions == [AttemptDecision.AGAIN] * 3 + [AttemptDecision.REFUSE]

    def test_error_of_the_last_endpoint_is_delivered(self):
        plan = plan_of(RepeatPolicy.FREELY, max_attempts=2)
        plan.before_send(0.0)
        assert plan.after(AttemptOutcome.ERRORED) is AttemptDecision.AGAIN
        plan.before_send(0.0)

        assert plan.after(AttemptOutcome.ERRORED) is AttemptDecision.DELIVER

    def test_retries_use_up_the_retry_share(self):
        plan = plan_of(RepeatPolicy.FREELY, max_attempts=5, retries=1)

        assert [plan.before_send(0.0) for _ in range(3)] == [True, True, False]


class TestUnreadRetries:
    """Guards against late arrivals that no window of the retry share counts."""

    @staticmethod
    def send(plan, *reads):
        """Send once for each of these; true for a send that is read before the next."""
        for is_read in reads:
            plan.before_send(0.0)
            if is_read:
                plan.note_read(0.0)
        return plan.share.unread_retries

    def plan(self):
        return plan_of(RepeatPolicy.FREELY, max_attempts=4)

    def test_first_send_is_no_retry(self):
        assert self.send(self.plan(), False) == 0

    def test_retry_is_unread_until_it_is_read(self):
        plan = self.plan()

        assert self.send(plan, True, False) == 1
        plan.note_read(0.0)
        assert plan.share.unread_retries == 0

    def test_first_send_that_is_read_after_its_retry_is_the_retry(self):
        plan = self.plan()

        assert self.send(plan, False, True) == 1
        plan.note_read(0.0)
        assert plan.share.unread_retries == 0

    def test_sends_that_are_never_read_stay(self):
        assert self.send(self.plan(), False, False, True, False) == 3
