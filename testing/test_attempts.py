import attrs
import pytest

from beryljunction.loads import LoadRow
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.systems import GiveUp, RequestAttempts, RetryBudget, Try
from beryljunction.tables import Endpoint, EndpointState

ROWS = [Endpoint(f"e{i}", "drafter", "z", "") for i in range(8)]


def refusal(code: RefusalCode, ran: ExecutionStatus = ExecutionStatus.NO, **fields) -> Refusal:
    return Refusal(code, "", ran, **fields)


def overloaded(number: int, running: int, speed: float = 10.0) -> Refusal:
    load = LoadRow(f"e{number}", "a", 1, running, 0, 0, speed)
    return refusal(RefusalCode.OVERLOADED, load=load)


def attempts(count: int = 8, idempotent: bool = True, share: float = 0.1, **fields):
    return RequestAttempts(ROWS[:count], RetryBudget(share, 2.0), idempotent, **fields)


class TestRestartedSidecar:
    def test_is_tried_once_more_with_its_new_stamp_without_the_budget(self):
        # The only sidecar of a service was replaced. The entry's next request has a stamp of the
        # earlier incarnation and is refused; the refusal has the new stamp, with which it runs.
        request_attempts = RequestAttempts(ROWS[:1], RetryBudget(0.0, 0.0), idempotent=True)
        request_attempts.first()
        stale = refusal(RefusalCode.STALE_STAMP, ExecutionStatus.UNKNOWN)

        again = request_attempts.after(stale, ROWS[0])

        assert again.endpoint == ROWS[0]
        assert again.last_resort
        assert request_attempts.after(stale, ROWS[0]) == GiveUp(stale)


class TestSpill:
    def test_ends_at_the_least_loaded_of_the_tried_endpoints_which_may_queue(self):
        request_attempts = attempts()
        request_attempts.first()

        steps = [request_attempts.after(overloaded(i, 20 - i), ROWS[i]) for i in range(4)]

        assert [step.endpoint.endpoint_id for step in steps] == ["e1", "e2", "e3", "e3"]
        assert steps[-1].last_resort
        assert len(steps[-1].loads) == 4

    def test_slow_endpoint_with_few_requests_is_not_the_least_loaded(self):
        request_attempts = attempts(2)
        request_attempts.first()
        request_attempts.after(overloaded(0, 10, speed=2.0), ROWS[0])

        step = request_attempts.after(overloaded(1, 30, speed=10.0), ROWS[1])

        assert step.endpoint.endpoint_id == "e1"

    def test_ends_when_the_last_resort_refuses_too(self):
        # Every endpoint is loading a model and refuses all requests. If the last resort were tried
        # again after its refusal, the entry would loop forever.
        request_attempts = attempts(2)
        request_attempts.first()

        steps = [request_attempts.after(overloaded(i % 2, 5), ROWS[i % 2]) for i in range(3)]

        assert [type(step) for step in steps] == [Try, Try, GiveUp]

    def test_returns_to_an_endpoint_with_a_queue_if_the_last_candidate_is_gone(self):
        # An availability zone is lost, and the remaining endpoints are at their bound. The last try
        # fails at a lost endpoint. The caller must not get this failure while a live endpoint would
        # queue the request. The retry budget is empty by then, so none is charged.
        request_attempts = attempts(3, share=0.0)
        request_attempts.first()
        request_attempts.after(overloaded(0, 9), ROWS[0])
        request_attempts.after(overloaded(1, 5), ROWS[1])

        step = request_attempts.after(refusal(RefusalCode.ENDPOINT_FAILED), ROWS[2])

        assert (step.endpoint.endpoint_id, step.last_resort, request_attempts.retries) == (
            "e1",
            True,
            0,
        )
        assert isinstance(
            request_attempts.after(refusal(RefusalCode.ENDPOINT_FAILED), ROWS[1]), GiveUp
        )

    def test_does_not_try_a_suspect_while_a_live_endpoint_may_queue_the_request(self):
        # An availability zone is unreachable. Each try there would take a connect timeout, while
        # live endpoints have space in their queue.
        suspect = attrs.evolve(ROWS[2], state=EndpointState.SUSPECT)
        request_attempts = RequestAttempts([*ROWS[:2], suspect], RetryBudget(0.1, 2.0), True)
        request_attempts.first()
        request_attempts.after(overloaded(0, 9), ROWS[0])

        step = request_attempts.after(overloaded(1, 5), ROWS[1])

        assert (step.endpoint.endpoint_id, step.last_resort) == ("e1", True)

    def test_costs_no_retry_budget(self):
        request_attempts = attempts()
        request_attempts.first()
        request_attempts.after(overloaded(0, 1), ROWS[0])

        assert request_attempts.retries == 0


class TestLeaving:
    def test_costs_no_retry_budget_however_many_endpoints_leave(self):
        # A rack is drained, and the entries' lists lag, so its endpoints refuse requests for
        # seconds. If these tries were charged to the budget, callers would be refused while the
        # rest of the fleet has room.
        request_attempts = attempts()
        request_attempts.first()

        steps = [request_attempts.after(refusal(RefusalCode.LEAVING), row) for row in ROWS[:6]]

        assert all(isinstance(step, Try) for step in steps)
        assert request_attempts.retries == 0


class TestFailover:
    def test_costs_no_retry_budget_where_a_live_candidate_is_left(self):
        # An availability zone with the homes of a third of the chats is lost. If failovers were
        # charged to the budget of a tenth, most of their callers would be refused despite live
        # endpoints.
        request_attempts = attempts(share=0.0)
        request_attempts.first()

        steps = [
            request_attempts.after(refusal(RefusalCode.ENDPOINT_FAILED), row) for row in ROWS[:3]
        ]

        assert [step.endpoint.endpoint_id for step in steps] == ["e1", "e2", "e3"]

    def test_is_charged_after_three_failures_or_for_a_suspect(self):
        # Most of the service is down. Requests that try all endpoints would be a retry storm.
        suspects = [attrs.evolve(row, state=EndpointState.SUSPECT) for row in ROWS]
        long, short = (
            RequestAttempts(rows, RetryBudget(0.0, 0.0), True) for rows in (ROWS, suspects)
        )
        failed = refusal(RefusalCode.ENDPOINT_FAILED)

        live_steps = [long.first(), *(long.after(failed, row) for row in ROWS[:4])]
        suspect_steps = [short.first(), short.after(failed, suspects[0])]

        assert [type(step) for step in live_steps] == [Try, Try, Try, Try, GiveUp]
        assert [type(step) for step in suspect_steps] == [Try, GiveUp]

    def test_of_a_request_that_may_have_run_is_a_retry(self):
        request_attempts = RequestAttempts(ROWS, RetryBudget(0.0, 0.0), True)
        request_attempts.first()

        step = request_attempts.after(
            refusal(RefusalCode.ENDPOINT_FAILED, ExecutionStatus.UNKNOWN), ROWS[0]
        )

        assert isinstance(step, GiveUp)


class TestRetries:
    def test_stop_when_the_budget_is_empty(self):
        request_attempts = attempts()
        request_attempts.first()
        full = refusal(RefusalCode.QUEUE_FULL, retry_after_s=2.0)

        steps = [request_attempts.after(full, row) for row in ROWS[:3]]

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

    def test_of_non_idempotent_requests_end_at_an_unknown_outcome(self):
        request_attempts = attempts(idempotent=False)
        request_attempts.first()

        step = request_attempts.after(
            refusal(RefusalCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN), ROWS[0]
        )

        assert isinstance(step, GiveUp)

    def test_refusal_after_an_unknown_try_does_not_say_not_run(self):
        # The first endpoint disconnects during the answer, and the second refuses without running
        # the request. Its "not run" must not reach the caller, because the first may have run it.
        request_attempts = attempts()
        request_attempts.first()
        request_attempts.after(
            refusal(RefusalCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN), ROWS[0]
        )

        step = request_attempts.after(refusal(RefusalCode.DEADLINE), ROWS[1])

        assert step.refusal.ran is ExecutionStatus.UNKNOWN

    @pytest.mark.parametrize("code", [RefusalCode.DEADLINE, RefusalCode.BAD_REQUEST])
    def test_are_not_made_when_no_endpoint_could_do_better(self, code):
        request_attempts = attempts()
        request_attempts.first()

        assert isinstance(request_attempts.after(refusal(code), ROWS[0]), GiveUp)


class TestPointers:
    def test_are_followed_and_the_home_tried_again_if_they_are_stale(self):
        request_attempts = attempts()
        home = request_attempts.first().endpoint
        moved = refusal(RefusalCode.CHAT_MOVED, pointer="e5")

        step = request_attempts.after(moved, home)
        again = request_attempts.after(refusal(RefusalCode.ENDPOINT_FAILED), step.endpoint)

        assert (step.endpoint.endpoint_id, step.warm) == ("e5", True)
        assert (again.endpoint.endpoint_id, again.ignore_pointer) == ("e0", True)

    def test_to_an_endpoint_that_is_gone_lead_to_another_try_at_the_home(self):
        request_attempts = attempts()
        home = request_attempts.first().endpoint

        step = request_attempts.after(refusal(RefusalCode.CHAT_MOVED, pointer="gone"), home)

        assert (step.endpoint.endpoint_id, step.ignore_pointer) == ("e0", True)

    def test_previous_home_is_asked_first_and_only_if_warm(self):
        request_attempts = attempts(previous_home=ROWS[1])

        first = request_attempts.first()
        step = request_attempts.after(refusal(RefusalCode.NOT_WARM), first.endpoint)

        assert (first.endpoint.endpoint_id, first.only_if_warm) == ("e1", True)
        assert step.endpoint.endpoint_id == "e0"

    def test_are_stored_by_the_home_and_the_next_in_order(self):
        request_attempts = attempts()

        assert [row.endpoint_id for row in request_attempts.pointer_holders(ROWS[3])] == [
            "e0",
            "e1",
        ]
        assert [row.endpoint_id for row in request_attempts.pointer_holders(ROWS[1])] == ["e0"]
        assert request_attempts.pointer_holders(ROWS[0]) == []

    def test_that_were_followed_are_not_sent_again(self):
        request_attempts = attempts()
        request_attempts.after(
            refusal(RefusalCode.CHAT_MOVED, pointer="e5"), request_attempts.first().endpoint
        )

        assert request_attempts.pointer_holders(ROWS[5]) == []
