from beryljunction.routing import AttemptPlan, KnownEndpoint, RepeatPolicy, RetryShare, UnreadSends
from routing_fakes import endpoint


def plan_with_retry():
    """Return a plan whose first send was read, and whose retry wasn't yet."""
    plan = AttemptPlan(RepeatPolicy.FREELY, 3, RetryShare(0.0, 10.0, slack=64))
    plan.before_send(0.0)
    plan.note_read(0.0)
    plan.before_send(0.0)
    return plan


class TestUnreadSends:
    """Guards against retries that endpoints read after their callers have given up."""

    def test_retry_stays_unread_after_its_connection_was_closed(self):
        plan, unread = plan_with_retry(), UnreadSends()
        unread.add(KnownEndpoint(endpoint("a")), plan, sent_s=0.0, now_s=1.0)

        unread.expire(50.0)

        assert plan.share.unread_retries == 1

    def test_answer_to_a_later_request_shows_that_it_was_read(self):
        plan, unread, known = plan_with_retry(), UnreadSends(), KnownEndpoint(endpoint("a"))
        unread.add(known, plan, sent_s=5.0, now_s=6.0)

        unread.note_answer(known, 5.0, 9.0)
        unread.note_answer(KnownEndpoint(endpoint("b")), 8.0, 9.0)
        assert plan.share.unread_retries == 1
        unread.note_answer(known, 8.0, 9.0)
        assert plan.share.unread_retries == 0

    def test_endpoint_that_never_answers_again_is_forgotten(self):
        plan, unread = plan_with_retry(), UnreadSends()
        unread.add(KnownEndpoint(endpoint("a")), plan, sent_s=0.0, now_s=1.0)

        unread.expire(62.0)

        assert plan.share.unread_retries == 0

    def test_endpoint_is_marked_until_it_has_read_what_it_was_sent(self):
        plan, unread, known = plan_with_retry(), UnreadSends(), KnownEndpoint(endpoint("a"))
        unread.add(known, plan, sent_s=5.0, now_s=6.0)
        unread.end_attempt(known, plan)
        assert known.unread == {plan}

        unread.note_answer(known, 8.0, 9.0)

        assert known.unread == set()

    def test_attempt_that_was_not_given_up_unread_leaves_no_mark(self):
        plan, unread, known = plan_with_retry(), UnreadSends(), KnownEndpoint(endpoint("a"))
        known.unread.add(plan)

        unread.end_attempt(known, plan)

        assert known.unread == set()
