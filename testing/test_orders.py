import os
import random

import anyio
import pytest

from beryljunction.engines import (
    EngineControl,
    HttpEngineControl,
    LoadTurnLog,
    NoEngine,
    OrderFenced,
    OrderTaken,
    OrderUnknown,
    ReconcileLoop,
    RequestGate,
    RolloutPeers,
)
from beryljunction.servers import Server, bind_listener, create_client_pool
from beryljunction.settings import ResolvedSettings, ServiceSettings, WeightSettings
from beryljunction.standins import (
    EngineOrdersModel,
    LogModel,
    LogModelSettings,
    ModelLogClient,
    WeightStoreModel,
)
from beryljunction.standins.orders import answer_engine_orders
from beryljunction.systems.recovery.orders import AwaitRollout, EngineReconciler, NoOrder, Order
from beryljunction.tables.orders import DesiredState, EngineState, Phase

TURN_SEEDS = int(os.environ.get("BERYL_FUZZ_TURNS", "10"))
V2 = DesiredState({"drafter": "v2"}, (), "both", 7)


def view(version, model_version, min_serving=3, parallel_loads=8, adapters=()):
    service = ServiceSettings(
        models=("drafter",),
        model_version=model_version,
        min_serving=min_serving,
        adapters=adapters,
    )
    weights = WeightSettings(parallel_loads=parallel_loads)
    return ResolvedSettings(version=version, services={"drafter": service}, weights=weights)


class Engine(EngineControl):
    def __init__(self, rollout, model):
        self.rollout, self.model = rollout, model
        self.lose_answers = self.silent = False

    async def read_state(self):
        return NoEngine("silent") if self.silent else self.model.state(self.rollout.now_s)

    async def send_order(self, order):
        taken = self.model.order(order, self.rollout.now_s)
        if self.lose_answers:
            return OrderUnknown()
        return OrderTaken() if taken else OrderFenced()


class Gate(RequestGate):
    def __init__(self):
        self.is_open, self.in_flight = True, 0

    def set_open(self, is_open):
        self.is_open = is_open

    def running(self):
        return self.in_flight


class Peers(RolloutPeers):
    def __init__(self, rollout, own):
        self.rollout, self.own = rollout, own
        self.hidden = set()

    def endpoint_ids(self):
        return [i for i in self.rollout.runners if i != self.own and i not in self.hidden]

    async def exchange(self, own):
        peers = [i for i in self.endpoint_ids() if i not in self.rollout.paused]
        for endpoint_id in peers:
            self.rollout.runners[endpoint_id].receive_row(own)
        return [self.rollout.runners[i].own_row() for i in peers]


class Rollout:
    """Engines of one service and their sidecars in virtual time, one step per second each."""

    def __init__(self, count=5, store=None, checks_fence=True, seed=0, has_log=False):
        self.now_s = 0.0
        self.view = view(1, "v1")
        self.log = LogModel()
        self.has_log = has_log
        self.store = store if store is not None else WeightStoreModel()
        self.random = random.Random(seed)
        self.runners, self.gates, self.engines, self.peers = {}, {}, {}, {}
        self.paused = set()
        self.least_serving = count
        for i in range(count):
            self.add(f"drafter-{i}", checks_fence)

    def add(self, endpoint_id, checks_fence):
        model = EngineOrdersModel(self.store, checks_fence, {"drafter": "v1"})
        engine = self.engines[endpoint_id] = Engine(self, model)
        peers = self.peers[endpoint_id] = Peers(self, endpoint_id)
        gate = self.gates[endpoint_id] = Gate()
        clock, rng = (lambda: self.now_s), random.Random(endpoint_id)
        client = ModelLogClient(self.log, clock)
        turns = LoadTurnLog(client, "gj-west", "drafter") if self.has_log else None
        self.runners[endpoint_id] = ReconcileLoop(
            endpoint_id, "drafter", lambda: self.view, engine, peers, gate, clock, rng, turns
        )

    def run(self, seconds):
        for _ in range(seconds):
            self.now_s += 1.0
            order = [i for i in self.runners if i not in self.paused]
            for endpoint_id in self.random.sample(order, len(order)):
                step(self.runners[endpoint_id])
                self.least_serving = min(self.least_serving, self.serving())

    def serving(self):
        """Return the number of engines that serve callers: any version, open, not loading."""
        return sum(
            gate.is_open and "drafter" in self.engines[i].model.models
            for i, gate in self.gates.items()
        )

    def versions(self):
        return [engine.model.models.get("drafter") for engine in self.engines.values()]


def step(runner):
    with pytest.raises(StopIteration):
        runner.step().send(None)


class TestEngineReconciler:
    @pytest.mark.parametrize(
        ("state", "expected"),
        [
            (EngineState({"drafter": "v2"}, fence=7), NoOrder),
            (EngineState({"drafter": "v1"}, fence=9), NoOrder),
            (EngineState({}, loading={"drafter": "v2"}), NoOrder),
            (EngineState({}, loading={"drafter": "v1"}), Order),
            (EngineState({"drafter": "v2", "old": "v1"}), Order),
            (EngineState({"drafter": "v1"}), AwaitRollout),
            (EngineState({"drafter": "v2"}, role="decode"), AwaitRollout),
        ],
        ids=["done", "newer-fence", "loading", "loading-old", "extra", "missing", "role"],
    )
    def test_step_depends_on_the_difference(self, state, expected):
        assert isinstance(EngineReconciler(random.Random(0)).decide(V2, state, 0.0), expected)

    def test_failed_load_is_retried_with_backoff(self):
        reconciler = EngineReconciler(random.Random(0))
        failed = EngineState({}, failed="no such version")
        tries = []
        for second in range(600):
            if isinstance(reconciler.decide(V2, failed, float(second)), AwaitRollout):
                tries.append(second)
                reconciler.ordered(float(second), refused=True)

        pauses = [b - a for a, b in zip(tries, tries[1:], strict=False)]
        assert max(pauses) <= 120
        assert len(tries) < 15


class TestRollout:
    @pytest.mark.parametrize("seed", range(5))
    def test_min_serving_and_the_limit_of_the_store_hold(self, seed):
        rollout = Rollout(seed=seed, store=WeightStoreModel(parallel_loads=2))
        rollout.view = view(2, "v2", min_serving=3, parallel_loads=2)

        rollout.run(300)

        assert rollout.versions() == ["v2"] * 5
        assert rollout.least_serving >= 3
        assert rollout.store.refusals == 0

    def test_no_request_is_cut_however_long_it_runs(self):
        rollout = Rollout()
        for gate in rollout.gates.values():
            gate.in_flight = 1
        rollout.view = view(2, "v2", parallel_loads=1)

        rollout.run(500)

        assert rollout.versions() == ["v1"] * 5
        assert rollout.serving() == 4

    def test_a_store_that_is_slow_for_long_gets_no_second_order(self):
        rollout = Rollout(store=WeightStoreModel(parallel_loads=2, slow_factor=50.0))
        rollout.view = view(2, "v2", parallel_loads=2)

        rollout.run(1000)

        assert rollout.store.peak == 2
        assert sum(engine.model.orders for engine in rollout.engines.values()) == 2
        assert rollout.least_serving >= 3

    def test_rollback_during_a_rollout_keeps_min_serving(self):
        rollout = Rollout()
        rollout.view = view(2, "v2", min_serving=3)
        rollout.run(20)

        rollout.view = view(3, "v1", min_serving=3)
        rollout.run(200)

        assert rollout.versions() == ["v1"] * 5
        assert rollout.least_serving >= 3

    def test_version_that_cannot_be_loaded_stops_one_endpoint_only(self):
        rollout = Rollout()
        rollout.store.parallel_loads = 0
        rollout.view = view(2, "v2", parallel_loads=1)

        rollout.run(600)

        assert rollout.serving() == 4

    def test_endpoints_with_one_sided_lists_load_one_at_a_time(self):
        # Host lists differ for seconds: one endpoint lists all others, but none of them lists it.
        # They must not load at the same time as it, or the service falls below min_serving.
        rollout = Rollout(count=3)
        for endpoint_id, peers in rollout.peers.items():
            peers.hidden = {"drafter-1"} if endpoint_id != "drafter-1" else set()
        rollout.view = view(2, "v2", min_serving=1, parallel_loads=1)

        rollout.run(200)

        assert rollout.versions() == ["v2"] * 3
        assert rollout.store.peak == 1

    def test_endpoints_unlisted_for_seconds_load_one_at_a_time(self):
        rollout = Rollout(count=3)
        for endpoint_id, peers in rollout.peers.items():
            peers.hidden = set(rollout.peers) - {endpoint_id}
        rollout.view = view(2, "v2", min_serving=0, parallel_loads=1)
        rollout.run(4)

        for peers in rollout.peers.values():
            peers.hidden = set()
        rollout.run(200)

        assert rollout.versions() == ["v2"] * 3
        assert rollout.store.peak == 1

    def test_a_silent_endpoint_counts_as_loading_until_the_list_drops_it(self):
        rollout = Rollout(count=3)
        rollout.paused.add("drafter-2")
        rollout.view = view(2, "v2", min_serving=1, parallel_loads=1)
        rollout.run(100)
        waited = rollout.versions()

        for peers in rollout.peers.values():
            peers.hidden = {"drafter-2"}
        rollout.run(100)

        assert waited == ["v1"] * 3
        assert rollout.versions() == ["v2", "v2", "v1"]

    def test_endpoint_that_leaves_during_a_load_sends_no_more_orders(self):
        rollout = Rollout(count=3)
        rollout.view = view(2, "v2", min_serving=1, parallel_loads=1)
        rollout.run(10)
        loading = next(i for i, r in rollout.runners.items() if r.phase is Phase.LOADING)
        orders = rollout.engines[loading].model.orders

        rollout.runners[loading].leaving = True
        rollout.view = view(3, "v3", min_serving=1, parallel_loads=1)
        rollout.run(50)

        assert rollout.engines[loading].model.orders == orders


class TestTurns:
    """Rollouts with turns in the order of the log."""

    @pytest.mark.parametrize("seed", range(5))
    def test_endpoints_that_never_list_each_other_still_load_one_at_a_time(self, seed):
        # For minutes each node's host list lacks a different half of the service. Endpoints that
        # don't know each other must not stop together, or fewer than min_serving would serve.
        rollout = Rollout(count=6, seed=seed, has_log=True)
        for i, peers in enumerate(rollout.peers.values()):
            peers.hidden = {f"drafter-{j}" for j in range(6) if (i + j) % 2}
        rollout.view = view(2, "v2", min_serving=2, parallel_loads=1)

        rollout.run(600)

        assert rollout.versions() == ["v2"] * 6
        assert rollout.store.peak == 1
        assert rollout.least_serving >= 5

    @pytest.mark.parametrize("seed", range(5))
    def test_min_serving_holds_if_the_store_allows_all_loads_at_once(self, seed):
        rollout = Rollout(seed=seed, has_log=True)
        rollout.view = view(2, "v2", min_serving=3, parallel_loads=8)

        rollout.run(400)

        assert rollout.versions() == ["v2"] * 5
        assert rollout.least_serving >= 3

    def test_no_endpoint_stops_serving_while_the_log_is_down(self):
        rollout = Rollout(has_log=True)
        rollout.view = view(2, "v2")
        rollout.log.down = True
        rollout.run(100)
        waited = rollout.versions(), rollout.serving()

        rollout.log.down = False
        rollout.run(400)

        assert waited == (["v1"] * 5, 5)
        assert rollout.versions() == ["v2"] * 5

    def test_empty_engine_loads_even_while_the_log_is_down(self):
        rollout = Rollout(count=3, has_log=True)
        rollout.engines["drafter-1"].model.models.clear()
        rollout.log.down = True

        rollout.run(100)

        assert rollout.versions() == ["v1"] * 3

    def test_a_loader_that_is_paused_keeps_its_turn_until_the_list_drops_it(self):
        # The sidecar of a loading endpoint is paused. The others wait, since its load may continue.
        # When its host leaves the list they end its turn, and after the pause it takes a new one.
        rollout = Rollout(count=3, has_log=True)
        rollout.view = view(2, "v2", min_serving=1, parallel_loads=1)
        while not any(r.phase is Phase.LOADING for r in rollout.runners.values()):
            rollout.run(1)
        paused = next(i for i, r in rollout.runners.items() if r.phase is Phase.LOADING)
        rollout.paused.add(paused)
        rollout.run(100)
        waited = rollout.versions().count("v1")

        for peers in rollout.peers.values():
            peers.hidden = {paused}
        rollout.run(200)
        rollout.paused.clear()
        rollout.run(200)

        assert waited == 2
        assert rollout.versions() == ["v2"] * 3
        assert rollout.least_serving >= 1

    @pytest.mark.parametrize("seed", range(3))
    def test_rollout_completes_despite_lost_answers_of_the_log(self, seed):
        rollout = Rollout(seed=seed, has_log=True)
        rollout.log.settings = LogModelSettings(lost_answer_ratio=0.3, lost_append_ratio=0.3)
        rollout.view = view(2, "v2", min_serving=3, parallel_loads=1)

        rollout.run(900)

        assert rollout.versions() == ["v2"] * 5
        assert rollout.store.peak == 1

    def test_empty_engine_gets_its_turn_behind_one_that_must_keep_serving(self):
        rollout = Rollout(count=3, has_log=True)
        rollout.view = view(2, "v2", min_serving=2, parallel_loads=1)
        rollout.engines["drafter-2"].model.models.clear()

        rollout.run(400)

        assert rollout.versions() == ["v2"] * 3

    @pytest.mark.parametrize("seed", range(TURN_SEEDS))
    def test_limits_hold_under_concurrent_faults(self, seed):
        # Lists lack endpoints, sidecars pause for up to a minute, and the log fails and loses
        # answers. At any time min_serving engines must serve and at most one load may run, and the
        # rollout must complete after the faults end.
        rollout = Rollout(count=6, seed=seed, has_log=True)
        rollout.view = view(2, "v2", min_serving=4, parallel_loads=1)
        rng = random.Random(seed)
        for _ in range(30):
            rollout.log.down = rng.random() < 0.2
            rollout.paused = {i for i in rollout.runners if rng.random() < 0.2}
            for peers in rollout.peers.values():
                peers.hidden = {i for i in rollout.runners if rng.random() < 0.1}
            lost = LogModelSettings(lost_answer_ratio=0.2, lost_append_ratio=0.2, seed=seed)
            rollout.log.settings = lost if rng.random() < 0.5 else LogModelSettings()
            rollout.run(rng.choice((1, 5, 20, 30)))

        rollout.log.down = False
        rollout.log.settings = LogModelSettings()
        rollout.paused.clear()
        for peers in rollout.peers.values():
            peers.hidden = set()
        rollout.run(600)

        assert rollout.versions() == ["v2"] * 6
        assert rollout.store.peak == 1
        assert rollout.least_serving >= 4

    def test_rollout_takes_three_appends_per_endpoint(self):
        rollout = Rollout(count=41, has_log=True, store=WeightStoreModel(load_s=3.0))
        rollout.view = view(2, "v2", min_serving=30, parallel_loads=8)

        rollout.run(600)

        turns = rollout.log.read("turns-gj-west-drafter", 0, 500, rollout.now_s)
        assert rollout.versions() == ["v2"] * 41
        assert turns.next_offset - 1 == 3 * 41


class TestOldOrders:
    @pytest.mark.parametrize("checks_fence", [True, False], ids=["checks", "ignores"])
    def test_stale_order_of_a_replaced_sidecar_is_corrected(self, checks_fence):
        # A sidecar is paused before it sends an order for v1, and a new sidecar in its slot brings
        # the engine to v2. Then the old one sends its order. An engine that checks the fencing
        # token refuses it; one that does not is corrected after the new sidecar's next read.
        rollout = Rollout(count=1, checks_fence=checks_fence)
        rollout.view = view(2, "v2", min_serving=0)
        rollout.run(60)
        engine = rollout.engines["drafter-0"].model

        engine.order(Order({"drafter": "v1"}, (), "both", 1), rollout.now_s)
        rollout.run(90)

        assert engine.models == {"drafter": "v2"}
        assert (engine.orders == 1) is checks_fence

    def test_order_with_a_lost_answer_is_detected_by_reading_the_state(self):
        rollout = Rollout(count=1)
        rollout.engines["drafter-0"].lose_answers = True
        rollout.view = view(2, "v2", min_serving=0, adapters=("gu",))

        rollout.run(120)

        engine = rollout.engines["drafter-0"].model
        assert (engine.models, engine.adapters) == ({"drafter": "v2"}, ("gu",))
        assert engine.orders == 2

    def test_a_silent_engine_gets_no_order(self):
        rollout = Rollout(count=1)
        rollout.engines["drafter-0"].silent = True
        rollout.view = view(2, "v2", min_serving=0)

        rollout.run(60)

        assert rollout.engines["drafter-0"].model.orders == 0


class TestHttpEngineControl:
    def test_orders_and_state_go_over_http(self):
        model = EngineOrdersModel(models={"drafter": "v1"})

        async def app(scope, receive, send):
            await answer_engine_orders(model, 0.0, scope, receive, send)

        async def run():
            server = Server(app, bind_listener("127.0.0.1:0"))
            async with anyio.create_task_group() as group, create_client_pool() as pool:
                await group.start(server.serve_until_stopped)
                control = HttpEngineControl(f"http://{server.address}", pool)
                taken = await control.send_order(Order({"drafter": "v2"}, ("gu",), "decode", 5))
                fenced = await control.send_order(Order({"drafter": "v1"}, (), "both", 4))
                state = await control.read_state()
                group.cancel_scope.cancel()
            return taken, fenced, state

        taken, fenced, state = anyio.run(run)

        assert (taken, fenced) == (OrderTaken(), OrderFenced())
        assert state == EngineState({"drafter": "v2"}, ("gu",), "decode", fence=5)
