import random
import sys

import pytest

from beryljunction.loads import LoadRow
from beryljunction.outcomes import ExecutionStatus, RefusalCode
from beryljunction.systems import (
    AdmissionController,
    AdmissionLimits,
    AdmissionQueued,
    AdmissionRefused,
    AdmissionStarted,
    ChatDirectory,
    LoadTracker,
)
from beryljunction.tables import SidecarRequest


def admission(peer_running: int | None = None, **limits) -> AdmissionController:
    values = {"max_running": 16, "quantum_tokens": 1_000, "reserve_share": 0.0, **limits}
    controller = AdmissionController(
        AdmissionLimits(**values), LoadTracker("e0", "a"), ChatDirectory("e0"), random.Random(1)
    )
    if peer_running is not None:
        controller.load.merge(
            [LoadRow(f"e{i}", "a", 1, peer_running, 0, 9_999) for i in (1, 2)], 0.0
        )
    return controller


def work(number: int, account: str = "a", now_s: float = 0.0, **fields) -> SidecarRequest:
    values = {"deadline_s": now_s + 5.0, "output_tokens": 100, **fields}
    return SidecarRequest(f"r{number}", account, now_s, **values)


def started(controller: AdmissionController, now_s: float) -> list[str]:
    return [d.request_id for d in controller.tick(now_s) if isinstance(d, AdmissionStarted)]


class TestOffer:
    def test_admitted_request_starts_even_if_the_tick_is_late(self):
        # A busy event loop ticks some milliseconds after the offer. A request with no time to wait
        # would be refused although there is room, and would needlessly try the next endpoint.
        controller = admission()

        assert isinstance(controller.offer(work(1), 0.0), AdmissionQueued)
        assert started(controller, 0.05) == ["r1"]

    def test_cold_request_above_the_bound_is_refused_at_once(self):
        controller = admission(peer_running=4)
        for i in range(4):
            controller.offer(work(i), 0.0)
        controller.tick(0.0)

        decision = controller.offer(work(9), 0.0)

        assert isinstance(decision, AdmissionRefused)
        assert decision.refusal.code is RefusalCode.OVERLOADED
        assert decision.refusal.ran is ExecutionStatus.NO
        assert decision.refusal.load.running == 4

    def test_cold_request_is_refused_from_a_tenth_below_the_mean_and_a_warm_one_admitted(self):
        # The bound is 1.25 times a mean of 10, and 9 requests run. The cold request is refused, so
        # that its slot stays free for a chat whose prefix is cached here.
        controller = admission(peer_running=10)
        controller.pointers.record_location(7, "e0", 10_000, 0.0)
        for i in range(9):
            controller.offer(work(i, last_resort=True), 0.0)
        controller.tick(0.0)

        assert isinstance(controller.offer(work(8), 0.0), AdmissionRefused)
        assert isinstance(
            controller.offer(work(9, chat_key=7, prompt_tokens=10_000), 0.0), AdmissionQueued
        )
        assert "r9" in started(controller, 0.0)

    def test_warm_request_waits_no_longer_than_the_prefill_that_it_saves(self):
        controller = admission(peer_running=4)
        controller.pointers.record_location(7, "e0", 10_000, 0.0)
        for i in range(8):
            controller.offer(work(i, last_resort=True), 0.0)
        controller.tick(0.0)

        decision = controller.offer(work(9, chat_key=7, prompt_tokens=10_000), 0.0)

        assert isinstance(decision, AdmissionQueued)
        assert [d for d in controller.tick(0.49) if d.request_id == "r9"] == []
        [refused] = [d for d in controller.tick(0.51) if d.request_id == "r9"]
        assert refused.refusal.code is RefusalCode.OVERLOADED

    def test_chat_that_moved_is_refused_with_a_pointer_unless_it_is_ignored(self):
        controller = admission()
        controller.pointers.record_location(7, "e2", 100, 0.0)

        decision = controller.offer(work(1, chat_key=7), 0.0)

        assert decision.refusal.code is RefusalCode.CHAT_MOVED
        assert decision.refusal.pointer == "e2"
        assert isinstance(
            controller.offer(work(2, chat_key=7, ignore_pointer=True), 0.0), AdmissionQueued
        )

    def test_only_if_warm_is_refused_where_the_chat_is_not_cached(self):
        decision = admission().offer(work(1, chat_key=7, only_if_warm=True), 0.0)

        assert decision.refusal.code is RefusalCode.NOT_WARM

    def test_leaving_endpoint_refuses_new_requests_and_serves_waiting_ones(self):
        controller = admission(max_running=1)
        controller.offer(work(1, last_resort=True), 0.0)
        controller.offer(work(2, last_resort=True), 0.0)
        controller.tick(0.0)

        controller.leaving = True

        assert controller.offer(work(3), 0.0).refusal.code is RefusalCode.LEAVING
        controller.finish("r1")
        assert started(controller, 1.0) == ["r2"]


class TestCancelled:
    def test_request_that_is_offered_again_may_wait_its_full_time(self):
        # The entry cancels a waiting request and offers it again as the last resort. The expiry of
        # the first wait must not end the second one.
        controller = admission(max_running=1)
        controller.offer(work(1, last_resort=True), 0.0)
        controller.tick(0.0)
        controller.offer(work(2, last_resort=True, deadline_s=2.0), 0.0)
        controller.finish("r2")
        controller.offer(work(2, last_resort=True, now_s=1.0, deadline_s=30.0), 1.0)

        assert controller.tick(5.0) == []
        controller.finish("r1")
        assert started(controller, 5.0) == ["r2"]


class TestSaturation:
    def fill(
        self, controller: AdmissionController, count: int, now_s: float
    ) -> list[AdmissionRefused]:
        offers = [work(i, now_s=now_s, last_resort=True) for i in range(count)]
        decisions = [controller.offer(offer, now_s) for offer in offers]
        return [decision for decision in decisions if isinstance(decision, AdmissionRefused)]

    def test_queue_of_an_account_is_bounded_and_the_refusal_has_a_retry_delay(self):
        controller = admission(max_waiting_per_account=10)

        refused = self.fill(controller, 30, 0.0)

        assert len(refused) == 20
        assert {r.refusal.code for r in refused} == {RefusalCode.QUEUE_FULL}
        times = [r.refusal.retry_after_s for r in refused]
        assert min(times) >= 0.2
        assert len(set(times)) > 15

    def test_request_whose_wait_would_exceed_its_deadline_is_refused_at_once(self):
        # The engine starts one request of 100 tokens per second, so a queue of five takes the whole
        # deadline. A sixth request would be refused only after five seconds.
        controller = admission(max_running=1)
        for second in range(20):
            controller.offer(work(100 + second, now_s=second, last_resort=True), second)
            started(controller, second)
            controller.finish(f"r{100 + second}")
        controller.offer(work(0, now_s=20.0, last_resort=True), 20.0)
        controller.tick(20.0)

        refused = self.fill(controller, 12, 20.0)

        assert 5 <= len(refused) <= 10

    def test_no_request_starts_too_late_for_its_deadline(self):
        controller = admission(max_running=1)
        controller.offer(work(1, last_resort=True), 0.0)
        controller.tick(0.0)
        controller.offer(work(2, last_resort=True, prompt_tokens=20_000), 0.0)
        controller.finish("r1")

        [decision] = controller.tick(4.0)

        assert decision.refusal.code is RefusalCode.DEADLINE
        assert decision.refusal.ran is ExecutionStatus.NO


class TestFairness:
    def test_surging_account_does_not_delay_a_small_one(self):
        # One account sends 60 requests, then another sends one, which would wait behind all of them
        # in a single queue.
        controller = admission(max_running=4, max_waiting_per_account=60, reserve_share=0.25)
        for i in range(60):
            controller.offer(work(i, "large", last_resort=True), 0.0)
        first = started(controller, 0.0)
        controller.finish(first[0])
        controller.offer(work(99, "small", 1.0, last_resort=True), 1.0)

        assert started(controller, 1.0)[0] == "r99"

    @pytest.mark.parametrize("weight", [1.0, 3.0], ids=["equal", "triple"])
    def test_started_work_is_proportional_to_the_weights(self, weight):
        controller = admission(max_running=1, max_waiting_per_account=200, max_waiting=400)
        controller.weights = {"heavy": weight}
        for i in range(150):
            controller.offer(work(i, "heavy", last_resort=True, deadline_s=999.0), 0.0)
            controller.offer(work(1_000 + i, "light", last_resort=True, deadline_s=999.0), 0.0)
        counts = {"heavy": 0, "light": 0}
        for tick in range(120):
            [request_id] = started(controller, tick * 0.01)
            counts[controller.requests.get(request_id).account] += 1
            controller.finish(request_id)

        assert counts["heavy"] / counts["light"] == pytest.approx(weight, rel=0.3)

    def test_long_requests_are_charged_for_their_tokens(self):
        controller = admission(max_running=1, max_waiting_per_account=99)
        for i in range(40):
            controller.offer(work(i, "long", output_tokens=4_000, last_resort=True), 0.0)
            controller.offer(work(100 + i, "short", output_tokens=400, last_resort=True), 0.0)
        short = 0
        for tick in range(33):
            [request_id] = started(controller, tick * 0.01)
            short += controller.requests.get(request_id).account == "short"
            controller.finish(request_id)

        assert short >= 27

    def test_higher_priority_of_the_same_account_goes_first(self):
        controller = admission(max_running=1)
        controller.offer(work(1, last_resort=True), 0.0)
        controller.offer(work(2, last_resort=True, priority=5), 0.0)

        assert started(controller, 0.0) == ["r2"]

    def test_cancelled_request_frees_its_slot(self):
        controller = admission(max_running=1)
        for i in (1, 2, 3):
            controller.offer(work(i, last_resort=True), 0.0)
        controller.finish("r1")

        assert started(controller, 0.0) == ["r2"]
        assert controller.requests.waiting_count == 1


class TestTickCost:
    @pytest.mark.parametrize("waiting", [10, 1_000], ids=["few", "many"])
    def test_cost_of_a_tick_does_not_grow_with_waiting_requests_or_known_chats(self, waiting):
        # A tick that scanned the queue or the chats would use the sidecar's whole CPU core at the
        # target load. The test counts Python function calls, which are the same on every machine.
        controller = admission(max_running=1, max_waiting=2_000, max_waiting_per_account=2_000)
        for chat in range(waiting):
            controller.pointers.record_location(chat, "e0", 10, 0.0)
            controller.offer(work(chat, f"a{chat % 10}", last_resort=True), 0.0)
        controller.tick(0.0)
        calls = []

        sys.setprofile(lambda frame, event, _: event == "call" and calls.append(frame))
        controller.tick(0.05)
        sys.setprofile(None)

        assert len(calls) < 30
