import attrs
import pytest

from beryljunction.loads import LoadRow
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.systems import AttemptSystem, GiveUp, RetryBudget, Try
from beryljunction.tables import Endpoint, EndpointState

ROWS = [Endpoint(f"e{i}", "drafter", "z", "") for i in range(8)]


def refusal(code: RefusalCode, ran: Ran = Ran.NO, **fields) -> Refusal:
    return Refusal(code, "", ran, **fields)


def overloaded(number: int, running: int, speed: float = 10.0) -> Refusal:
    load = LoadRow(f"e{number}", "a", 1, running, 0, 0, speed)
    return refusal(RefusalCode.OVERLOADED, load=load)


def attempts(count: int = 8, idempotent: bool = True, share: float = 0.1, **fields):
    return AttemptSystem(ROWS[:count], RetryBudget(share, 2.0), idempotent, **fields)


class TestRestartedSidecar:
    def test_is_asked_once_more_under_its_new_stamp_without_the_budget(self):
        # A service's one sidecar was replaced. The entry's next request names the earlier start
        # and is not run; the answer brings the new stamp, and under it the request runs.
        walk = AttemptSystem(ROWS[:1], RetryBudget(0.0, 0.0), idempotent=True)
        walk.first()
        stale = refusal(RefusalCode.STALE_STAMP, Ran.UNKNOWN)

        again = walk.after(stale, ROWS[0])

        assert again.endpoint == ROWS[0]
        assert again.last_resort
        assert walk.after(stale, ROWS[0]) == GiveUp(stale)


class TestSpill:
    def test_ends_at_the_least_loaded_of_a_few_and_may_wait_there(self):
        walk = attempts()
        walk.first()

        steps = [walk.after(overloaded(i, 20 - i), ROWS[i]) for i in range(4)]

        assert [step.endpoint.endpoint_id for step in steps] == ["e1", "e2", "e3", "e3"]
        assert steps[-1].last_resort
        assert len(steps[-1].loads) == 4

    def test_slow_endpoint_with_few_requests_is_not_the_least_loaded(self):
        walk = attempts(2)
        walk.first()
        walk.after(overloaded(0, 10, speed=2.0), ROWS[0])

        step = walk.after(overloaded(1, 30, speed=10.0), ROWS[1])

        assert step.endpoint.endpoint_id == "e1"

    def test_ends_when_the_last_resort_refuses_too(self):
        # Every endpoint loads a model and refuses whatever comes. Asked again and again, the last
        # resort would keep the entry in an endless walk.
        walk = attempts(2)
        walk.first()

        steps = [walk.after(overloaded(i % 2, 5), ROWS[i % 2]) for i in range(3)]

        assert [type(step) for step in steps] == [Try, Try, GiveUp]

    def test_ends_where_it_may_wait_though_the_last_candidate_is_gone(self):
        # An availability zone is lost, and the endpoints that are left are at their bound. The walk
        # goes on to one that is gone; the caller must not be told of that failure while a live one
        # would let the request wait. No retry is paid for: the budget is empty by then.
        walk = attempts(3, share=0.0)
        walk.first()
        walk.after(overloaded(0, 9), ROWS[0])
        walk.after(overloaded(1, 5), ROWS[1])

        step = walk.after(refusal(RefusalCode.ENDPOINT_FAILED), ROWS[2])

        assert (step.endpoint.endpoint_id, step.last_resort, walk.retries) == ("e1", True, 0)
        assert isinstance(walk.after(refusal(RefusalCode.ENDPOINT_FAILED), ROWS[1]), GiveUp)

    def test_does_not_walk_into_a_suspect_while_a_live_one_would_let_the_request_wait(self):
        # An availability zone is cut off without a word. Each try there would take a connection's
        # timeout, in front of live endpoints that have a place in their queue.
        suspect = attrs.evolve(ROWS[2], state=EndpointState.SUSPECT)
        walk = AttemptSystem([*ROWS[:2], suspect], RetryBudget(0.1, 2.0), True)
        walk.first()
        walk.after(overloaded(0, 9), ROWS[0])

        step = walk.after(overloaded(1, 5), ROWS[1])

        assert (step.endpoint.endpoint_id, step.last_resort) == ("e1", True)

    def test_costs_no_retry_budget(self):
        walk = attempts()
        walk.first()
        walk.after(overloaded(0, 1), ROWS[0])

        assert walk.retries == 0


class TestLeaving:
    def test_costs_no_retry_budget_however_many_endpoints_leave(self):
        # A rack is drained. The lists of the entries lag, so its endpoints refuse for seconds; paid
        # for from the budget, callers would be refused while the rest of the fleet has room.
        walk = attempts()
        walk.first()

        steps = [walk.after(refusal(RefusalCode.LEAVING), row) for row in ROWS[:6]]

        assert all(isinstance(step, Try) for step in steps)
        assert walk.retries == 0


class TestFailover:
    def test_costs_no_retry_budget_where_a_live_candidate_is_left(self):
        # An availability zone is lost, and with it the homes of a third of the chats. Paid for from
        # the budget, a tenth, most of their callers would be refused beside live endpoints.
        walk = attempts(share=0.0)
        walk.first()

        steps = [walk.after(refusal(RefusalCode.ENDPOINT_FAILED), row) for row in ROWS[:3]]

        assert [step.endpoint.endpoint_id for step in steps] == ["e1", "e2", "e3"]

    def test_is_paid_for_after_a_few_or_towards_a_suspect(self):
        # Most of the service is down. Each request that walked through all of it would be a storm.
        suspects = [attrs.evolve(row, state=EndpointState.SUSPECT) for row in ROWS]
        long, short = (
            AttemptSystem(rows, RetryBudget(0.0, 0.0), True) for rows in (ROWS, suspects)
        )
        failed = refusal(RefusalCode.ENDPOINT_FAILED)

        live_steps = [long.first(), *(long.after(failed, row) for row in ROWS[:4])]
        suspect_steps = [short.first(), short.after(failed, suspects[0])]

        assert [type(step) for step in live_steps] == [Try, Try, Try, Try, GiveUp]
        assert [type(step) for step in suspect_steps] == [Try, GiveUp]

    def test_of_a_request_that_may_have_run_is_a_retry(self):
        walk = AttemptSystem(ROWS, RetryBudget(0.0, 0.0), True)
        walk.first()

        step = walk.after(refusal(RefusalCode.ENDPOINT_FAILED, Ran.UNKNOWN), ROWS[0])

        assert isinstance(step, GiveUp)


class TestRetries:
    def test_stop_when_the_budget_is_empty(self):
        walk = attempts()
        walk.first()
        full = refusal(RefusalCode.QUEUE_FULL, retry_after_s=2.0)

        steps = [walk.after(full, row) for row in ROWS[:3]]

        assert [type(step) for step in steps] == [Try, Try, GiveUp]
        assert steps[-1].refusal.retry_after_s == 2.0

    def test_earn_their_budget_from_successes(self):
        budget = RetryBudget(0.1, 2.0)
        while budget.spend():
            pass
        for _ in range(11):
            budget.earn()

        assert budget.spend()
        assert not budget.spend()

    def test_of_work_that_may_not_be_repeated_end_at_an_unknown_outcome(self):
        walk = attempts(idempotent=False)
        walk.first()

        step = walk.after(refusal(RefusalCode.OUTCOME_UNKNOWN, Ran.UNKNOWN), ROWS[0])

        assert isinstance(step, GiveUp)

    def test_refusal_after_an_unknown_try_does_not_say_not_run(self):
        # The first endpoint breaks off in mid-answer, the second refuses and proves that it did
        # not run the request. Passed on as it is, its "no" would be a lie about the first.
        walk = attempts()
        walk.first()
        walk.after(refusal(RefusalCode.OUTCOME_UNKNOWN, Ran.UNKNOWN), ROWS[0])

        step = walk.after(refusal(RefusalCode.DEADLINE), ROWS[1])

        assert step.refusal.ran is Ran.UNKNOWN

    @pytest.mark.parametrize("code", [RefusalCode.DEADLINE, RefusalCode.BAD_REQUEST])
    def test_are_not_made_when_no_endpoint_could_do_better(self, code):
        walk = attempts()
        walk.first()

        assert isinstance(walk.after(refusal(code), ROWS[0]), GiveUp)


class TestPointers:
    def test_are_followed_and_the_home_asked_again_if_they_lead_nowhere(self):
        walk = attempts()
        home = walk.first().endpoint
        moved = refusal(RefusalCode.CHAT_MOVED, pointer="e5")

        step = walk.after(moved, home)
        again = walk.after(refusal(RefusalCode.ENDPOINT_FAILED), step.endpoint)

        assert (step.endpoint.endpoint_id, step.warm) == ("e5", True)
        assert (again.endpoint.endpoint_id, again.ignore_pointer) == ("e0", True)

    def test_to_an_endpoint_that_is_gone_lead_back_to_the_home(self):
        walk = attempts()
        home = walk.first().endpoint

        step = walk.after(refusal(RefusalCode.CHAT_MOVED, pointer="gone"), home)

        assert (step.endpoint.endpoint_id, step.ignore_pointer) == ("e0", True)

    def test_previous_home_is_asked_first_and_only_if_warm(self):
        walk = attempts(previous_home=ROWS[1])

        first = walk.first()
        step = walk.after(refusal(RefusalCode.NOT_WARM), first.endpoint)

        assert (first.endpoint.endpoint_id, first.only_if_warm) == ("e1", True)
        assert step.endpoint.endpoint_id == "e0"

    def test_are_kept_by_the_home_and_the_next_in_order(self):
        walk = attempts()

        assert [row.endpoint_id for row in walk.keepers(ROWS[3])] == ["e0", "e1"]
        assert [row.endpoint_id for row in walk.keepers(ROWS[1])] == ["e0"]
        assert walk.keepers(ROWS[0]) == []

    def test_that_were_followed_are_not_told_again(self):
        walk = attempts()
        walk.after(refusal(RefusalCode.CHAT_MOVED, pointer="e5"), walk.first().endpoint)

        assert walk.keepers(ROWS[5]) == []
