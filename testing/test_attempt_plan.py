import pytest

from beryljunction.routing import AttemptPlan, Outcome, Repeat, RetryShare, Verdict


def plan_of(repeat, max_attempts, requests=100):
    share = RetryShare(0.2, 10.0, 0)
    for _ in range(requests):
        share.count_request(0.0)
    return AttemptPlan(repeat, max_attempts, share)


class TestAttemptPlan:
    def test_request_that_may_have_run_is_never_sent_again(self):
        """A payment's endpoint runs it and its answer is lost.

        Sent again, it would run twice; called "not run", its caller would send it again.
        """
        plan = plan_of(Repeat.NEVER, max_attempts=3)
        plan.before_send(0.0)

        assert plan.after(Outcome.FAILED) is Verdict.FAIL

    @pytest.mark.parametrize("repeat", [Repeat.FREELY, Repeat.RESUME])
    def test_repeatable_request_goes_on_elsewhere(self, repeat):
        plan = plan_of(repeat, max_attempts=2)
        plan.before_send(0.0)

        assert plan.after(Outcome.FAILED) is Verdict.AGAIN
        assert plan.before_send(0.0)
        assert plan.after(Outcome.FAILED) is Verdict.FAIL

    def test_declined_request_has_not_run(self):
        plan = plan_of(Repeat.NEVER, max_attempts=1)
        plan.before_send(0.0)

        assert plan.after(Outcome.DECLINED) is Verdict.REFUSE

    def test_declined_request_goes_on_within_the_route_s_number(self):
        plan = plan_of(Repeat.NEVER, max_attempts=2)
        plan.before_send(0.0)

        assert plan.after(Outcome.DECLINED) is Verdict.AGAIN

    def test_declined_after_a_failure_is_not_called_not_run(self):
        """The first endpoint broke off, the second declined; the first may have run it."""
        plan = plan_of(Repeat.FREELY, max_attempts=2)
        plan.before_send(0.0)
        plan.after(Outcome.FAILED)
        plan.before_send(0.0)

        assert plan.after(Outcome.DECLINED) is Verdict.FAIL

    def test_connection_that_could_not_be_made_costs_no_attempt(self):
        plan = plan_of(Repeat.NEVER, max_attempts=1)

        verdicts = [plan.after(Outcome.NOT_SENT) for _ in range(4)]

        assert verdicts == [Verdict.AGAIN] * 3 + [Verdict.REFUSE]

    def test_error_of_the_last_endpoint_is_handed_on(self):
        plan = plan_of(Repeat.FREELY, max_attempts=2)
        plan.before_send(0.0)
        assert plan.after(Outcome.ERRORED) is Verdict.AGAIN
        plan.before_send(0.0)

        assert plan.after(Outcome.ERRORED) is Verdict.DELIVER

    def test_second_sends_come_out_of_the_share(self):
        plan = plan_of(Repeat.FREELY, max_attempts=5, requests=5)

        assert [plan.before_send(0.0) for _ in range(3)] == [True, True, False]
