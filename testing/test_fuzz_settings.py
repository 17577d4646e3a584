"""Stateful fuzz of the settings: real followers, publishers and order runners in virtual time."""

import collections
import json
import os
import random

import attrs
import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from beryljunction.engines import (
    EngineControl,
    OrderFenced,
    OrderPeers,
    OrderRunner,
    OrderTaken,
    OrderUnknown,
    TurnLog,
    WorkGate,
)
from beryljunction.platform import AppendUnknown, LogClient, ReadFailed
from beryljunction.settings import (
    CHANGES_STREAM,
    Change,
    Edit,
    FollowSettings,
    PeerSource,
    Read,
    SettingsFollower,
    SettingsReader,
    SettingsTree,
    parse_path,
)
from beryljunction.settings.operating import Invalid, OperatorSession
from beryljunction.standins import EngineOrdersModel, LogModel, LogModelSettings, WeightStoreModel
from beryljunction.systems.orders import Hold, NeedSlot, OrderSystem
from beryljunction.systems.publishing import InForce, Lost, NotPublished, PublishSystem
from beryljunction.systems.rotation import PeerRotation
from beryljunction.tables.orders import Wanted
from virtual_time import Scheduler, sleep

EXAMPLES = int(os.environ.get("BERYL_FUZZ_EXAMPLES", "100"))
STEPS = int(os.environ.get("BERYL_FUZZ_STEPS", "25"))
# A search for a removed safeguard ends at the first history that shows it, mostly within a few
# dozen. The limit is far above that, since what hypothesis draws also depends on the constants in
# the sources: with 100 as the limit, an unrelated change there turned the verdict.
SEARCHED_EXAMPLES = max(EXAMPLES, 2_000)
SEED = os.environ.get("BERYL_FUZZ_SEED")

NODES = ("entry-0", "entry-1", "drafter-0", "drafter-1")
OPERATORS = ("asha", "ravi", "mira")
# Long enough that no history loses every snapshot, which is beyond what the platform promises.
FOLLOW = FollowSettings(poll_s=0.0, pause_s=1.0, retention_s=400.0)
AGREE_S = 5.0
SILENT_S = 2.0
IN_FORCE_S = 9.0
COUNTS = collections.Counter()
LOADED_S = 120.0
EDITS = (
    ("service.drafter.model_version", ("v1", "v2", "v3")),
    ("service.drafter.max_running", (8, 16, 24)),
    ("service.drafter.floor_running", (2, 12, 20)),
    ("region.gj-west.max_running", (10, 30)),
    ("deadline_s", (5.0, 6.0)),
    ("service.drafter.adapters", ([], ["gu"], ["gu", "pa"])),
    ("service.ledger.kind", ("plain",)),
    ("service.ledger.pointer_s", (60.0, 90.0)),
)
START = (
    Edit("service.drafter.kind", "engine"),
    Edit("service.drafter.models", ["drafter"]),
    Edit("service.drafter.model_version", "v1"),
)


read_covers = Read.covers


def covers_as_written(read, path):
    return read_covers(read, parse_path(path))


class Oracle:
    """The accepted records in log order, judged in the plainest way."""

    def __init__(self):
        self.accepted = []
        self.values_at = [{}]
        self.verdicts = {}

    covers = staticmethod(covers_as_written)

    def append(self, record):
        offset, values = record.offset, dict(self.values_at[-1])
        try:
            change = Change.from_data(record.record_id, record.data)
        except ValueError:
            change = None
        if change is not None:
            paths = {edit.path for edit in change.edits}
            since = [p for version, p in self.accepted if version > change.base]
            refused = change.base >= offset or any(
                path in paths or any(self.covers(read, path) for read in change.reads)
                for path in since
            )
            self.verdicts.setdefault(record.record_id, []).append((offset, not refused))
            if not refused:
                self.accepted += [(offset, path) for path in paths]
                for edit in change.edits:
                    values.pop(edit.path, None)
                    if not edit.unset:
                        values[edit.path] = edit.value
        self.values_at.append(values)


@attrs.define(eq=False)
class Node:
    """A process with its reader, and the sidecar's part where there is an engine."""

    name: str
    owner: str
    reader: SettingsReader
    follower: SettingsFollower | None = None
    highest: int = 0
    log_cut: bool = False
    peers_cut: bool = False


class Log(LogClient):
    """The log as one process meets it, with time passing on the way there and back."""

    def __init__(self, world, node=None):
        self.world, self.node = world, node

    async def append(self, stream, record_id, data):
        await sleep(self.world.random.uniform(0.005, 0.05))
        if self.node is not None and self.node.log_cut:
            return AppendUnknown("cut off")
        if self.world.random.random() < self.world.delayed_ratio:
            self.world.scheduler.start(self._late(stream, record_id, data))
            await sleep(2.0)
            return AppendUnknown("late")
        outcome = self.world.append(stream, record_id, data)
        await sleep(self.world.random.uniform(0.005, 0.05))
        return outcome

    async def _late(self, stream, record_id, data):
        await sleep(self.world.random.uniform(2.0, 30.0))
        self.world.append(stream, record_id, data)

    async def read(self, stream, after, limit=500, wait_s=0.0):
        await sleep(self.world.random.uniform(0.005, 0.05))
        if self.world.log.down or (self.node is not None and self.node.log_cut):
            await sleep(self.world.random.uniform(0.0, SILENT_S))
            return ReadFailed("no answer")
        page = self.world.log.read(stream, after, limit, self.world.scheduler.now_s)
        await sleep(self.world.random.uniform(0.005, 0.05))
        return page


class Peers(PeerSource):
    def __init__(self, world, node):
        self.world, self.node = world, node
        self.rotation = PeerRotation(world.random)

    @property
    def pace_s(self):
        return self.rotation.pace_s(self.node.name, NODES)

    async def newer_than(self, version):
        other = self.world.nodes[self.rotation.next(self.node.name, NODES)]
        if self.node.peers_cut or other.peers_cut or other.owner in self.world.scheduler.paused:
            await sleep(0.5)
            return None
        data = other.reader.tree.to_data() if other.reader.version > version else None
        await sleep(self.world.random.uniform(0.005, 0.5))
        if other.reader.version < version:
            other.follower.take(self.node.reader.tree.to_data())
        return data


class Engine(EngineControl):
    def __init__(self, world, model):
        self.world, self.model = world, model
        self.in_hand = False

    async def state(self):
        return self.model.state(self.world.scheduler.now_s)

    async def order(self, order):
        self.in_hand = True
        await sleep(self.world.random.uniform(0.001, 0.3))
        self.in_hand = False
        taken = self.model.order(order, self.world.scheduler.now_s)
        if self.world.random.random() < self.world.lost_orders_ratio:
            await sleep(2.0)
            return OrderUnknown()
        return OrderTaken() if taken else OrderFenced()


class Runners(OrderPeers):
    def __init__(self, world, own):
        self.world, self.own = world, own

    def listed(self):
        return [name for name in self.world.runners if name != self.own]

    async def exchange(self, own):
        await sleep(0.02)
        names = [n for n in self.listed() if n not in self.world.scheduler.paused]
        for name in names:
            self.world.runners[name].hear(own)
        return [self.world.runners[name].row() for name in names]


class OpenGate(WorkGate):
    def set_open(self, is_open):
        pass

    def running(self):
        return 0


class World:
    """A fleet of four nodes, three operators, a log and two kinds of engines."""

    def __init__(self, number):
        self.random = random.Random(number)
        self.scheduler = Scheduler()
        self.log = LogModel(LogModelSettings(retention_s=FOLLOW.retention_s, seed=number))
        self.oracle = Oracle()
        self.records = []
        self.delayed_ratio = self.lost_orders_ratio = 0.0
        self.last_fault_s = 0.0
        self.nodes, self.runners, self.controls = {}, {}, {}
        self.zombies, self.answers = [], []
        self.starts = self.outages = self.long_waits = 0
        store = WeightStoreModel(load_s=3.0)
        self.engines = {
            "drafter-0": EngineOrdersModel(store, checks_fence=True),
            "drafter-1": EngineOrdersModel(store, checks_fence=False),
        }
        self.append(CHANGES_STREAM, "start", Change("start", 0, "asha", START).to_data())
        for name in NODES:
            self.start(name)

    def append(self, stream, record_id, data):
        before = self.log.read(stream, 0, 1, self.scheduler.now_s)
        outcome = self.log.append(stream, record_id, data, self.scheduler.now_s)
        if stream == CHANGES_STREAM and not isinstance(before, ReadFailed):
            page = self.log.read(stream, before.next_offset - 1, 1, self.scheduler.now_s)
            for record in page.records:
                self.oracle.append(record)
                self.records.append((self.scheduler.now_s, record))
        return outcome

    def start(self, name):
        self.starts += 1
        node = Node(name, f"{name}#{self.starts}", SettingsReader("gj-west"))
        self.nodes[name] = node
        clock = lambda: self.scheduler.now_s  # noqa: E731
        rng = random.Random(self.starts)
        follower = SettingsFollower(
            node.reader, Log(self, node), lambda view: None, Peers(self, node), FOLLOW, clock, rng
        )
        node.follower = follower
        for step in (follower.step, follower.peer_step):
            self.scheduler.start(self._loop(step), node.owner)
        if name in self.engines:
            self.controls[name] = Engine(self, self.engines[name])
            runner = OrderRunner(
                name,
                "drafter",
                lambda: node.reader.view,
                self.controls[name],
                Runners(self, name),
                OpenGate(),
                clock,
                rng,
                TurnLog(Log(self, node), "gj-west", "drafter"),
            )
            self.runners[name] = runner
            self.scheduler.start(self._loop(runner.step), node.owner)

    async def _loop(self, step):
        while True:
            pause_s = await step()
            await sleep(pause_s if pause_s is not None else 1.0)

    async def operate(self, name, edits, think_s):
        session = OperatorSession(
            Log(self), name, "", None, lambda: self.scheduler.now_s, sleep, self.random
        )
        if not await session.look():
            return
        await sleep(think_s)
        self.answers.append(
            await session.publish(edits, change_id=f"{name}-{self.random.random()}")
        )

    def live_nodes(self):
        return list(self.nodes.values())

    def check_nodes(self):
        """No reader goes back, and each holds what the accepted records up to its version say."""
        for node in [*self.nodes.values(), *self.zombies]:
            version = node.reader.version
            assert version >= node.highest, f"{node.name} went back"
            if version == node.highest:
                continue
            node.highest = version
            values = {str(p): v for p, v in node.reader.tree.values().items()}
            assert values == self.oracle.values_at[version], f"{node.name} differs at {version}"
            assert node.reader.view.version == version

    def check_in_force(self):
        """A change accepted while all is well is in force everywhere within 9 s."""
        now_s = self.scheduler.now_s
        for appended_s, record in self.records:
            if appended_s > self.last_fault_s + AGREE_S and appended_s + IN_FORCE_S <= now_s:
                assert all(n.reader.version >= record.offset for n in self.nodes.values())

    def check_answers(self):
        for answer in self.answers:
            if isinstance(answer, Invalid):
                continue
            verdicts = self.oracle.verdicts.get(answer.change_id, [])
            accepted = [offset for offset, stands in verdicts if stands]
            assert len(accepted) <= 1
            if isinstance(answer, InForce):
                assert accepted == [answer.version]
            elif isinstance(answer, Lost):
                assert accepted == []
                assert verdicts
            elif isinstance(answer, NotPublished):
                assert verdicts == []

    def wanted(self):
        values = self.oracle.values_at[-1]
        version = values["service.drafter.model_version"]
        adapters = tuple(sorted(values.get("service.drafter.adapters", [])))
        return Wanted({"drafter": version}, adapters, "both", len(self.records))


class SettingsMachine(RuleBasedStateMachine):
    @initialize(number=st.integers(0, 2**32))
    def begin(self, number):
        self.world = World(number)
        self.faults = 0

    def fault(self):
        self.faults += 1
        self.world.last_fault_s = self.world.scheduler.now_s

    def well(self):
        world = self.world
        cut = any(n.log_cut or n.peers_cut for n in world.nodes.values())
        lossy = world.log.settings.lost_answer_ratio or world.log.settings.lost_append_ratio
        return not (world.log.down or world.scheduler.paused or cut or lossy)

    def run_for(self, seconds):
        if not self.well():
            self.world.last_fault_s = self.world.scheduler.now_s + seconds
        self.world.scheduler.run(seconds, self.world.check_nodes)
        self.world.check_in_force()

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0]))
    def wait(self, seconds):
        self.run_for(seconds)

    @precondition(lambda self: self.well() and self.world.long_waits == 0)
    @rule()
    def wait_beyond_snapshots(self):
        self.world.long_waits += 1
        self.run_for(150.0)

    @precondition(lambda self: self.world.long_waits == 0)
    @rule(name=st.sampled_from(NODES))
    def node_sleeps_beyond_the_retention(self, name):
        self.world.long_waits += 1
        self.heal(log_stays_down=False)
        self.change("asha", "pointer_s", self.world.scheduler.now_s + 1.0)
        self.world.scheduler.paused.add(self.world.nodes[name].owner)
        self.run_for(FOLLOW.retention_s + 50.0)
        self.change("ravi", "deadline_s", 6.0)
        self.run_for(1.0)
        self.world.scheduler.resume(self.world.nodes[name].owner)
        self.fault()

    @precondition(lambda self: self.well())
    @rule(name=st.sampled_from(OPERATORS))
    def answer_is_lost_and_the_log_goes_down(self, name):
        self.log_loses_answers(after=1.0, before=0.0)
        self.change(name, "deadline_s", 7.0)
        known = len(self.world.records)
        for _ in range(50):
            if len(self.world.records) == known:
                self.run_for(0.01)
        self.log_goes_down()
        self.run_for(25.0)

    @precondition(lambda self: self.world.log.down and self.world.outages < 2)
    @rule()
    def wait_in_an_outage(self):
        self.world.outages += 1
        self.run_for(25.0)

    @rule(
        names=st.sets(st.sampled_from(OPERATORS), min_size=1),
        data=st.data(),
    )
    def operators_change(self, names, data):
        for name in sorted(names):
            path, values = data.draw(st.sampled_from(EDITS))
            edit = Edit(path, data.draw(st.sampled_from(values)))
            think_s = data.draw(st.sampled_from([0.0, 0.3, 3.0]))
            self.world.scheduler.start(self.world.operate(name, (edit,), think_s))

    @rule()
    def log_goes_down(self):
        self.fault()
        self.world.log.down = True

    @rule()
    def log_comes_up(self):
        self.world.log.down = False

    @rule(after=st.sampled_from([0.0, 0.5]), before=st.sampled_from([0.0, 0.4]))
    def log_loses_answers(self, after, before):
        self.fault()
        log = self.world.log
        log.settings = attrs.evolve(log.settings, lost_answer_ratio=after, lost_append_ratio=before)

    @rule(ratio=st.sampled_from([0.0, 0.5]))
    def appends_arrive_late(self, ratio):
        self.fault()
        self.world.delayed_ratio = ratio

    @rule(ratio=st.sampled_from([0.0, 0.7]))
    def engines_lose_answers(self, ratio):
        self.fault()
        self.world.lost_orders_ratio = ratio

    @rule(name=st.sampled_from(NODES), log=st.booleans(), peers=st.booleans())
    def links_change(self, name, log, peers):
        self.fault()
        self.world.nodes[name].log_cut = log
        self.world.nodes[name].peers_cut = peers

    @rule(name=st.sampled_from(NODES))
    def node_pauses(self, name):
        self.fault()
        self.world.scheduler.paused.add(self.world.nodes[name].owner)

    @rule(name=st.sampled_from(NODES))
    def node_wakes(self, name):
        self.fault()
        self.world.scheduler.resume(self.world.nodes[name].owner)

    @rule(name=st.sampled_from(NODES))
    def node_is_replaced(self, name):
        self.fault()
        self.world.scheduler.kill(self.world.nodes[name].owner)
        self.world.scheduler.paused.discard(self.world.nodes[name].owner)
        self.world.start(name)

    @precondition(lambda self: not self.world.zombies)
    @rule(name=st.sampled_from(("drafter-0", "drafter-1")))
    def paused_sidecar_is_replaced_and_will_wake(self, name):
        self.replace_while_paused(name)

    @precondition(lambda self: not self.world.zombies)
    @rule(name=st.sampled_from(("drafter-0", "drafter-1")))
    def sidecar_is_paused_with_an_order_in_hand(self, name):
        """It wakes after its successor brought the engine to newer settings, and dies for good."""
        self.heal(log_stays_down=False)
        for model_version in ("v4", "v5"):
            self.change("asha", "service.drafter.model_version", model_version)
            for _ in range(300):
                self.world.scheduler.run(0.1, self.world.check_nodes)
                if self.world.controls[name].in_hand:
                    break
            if not self.world.zombies:
                self.replace_while_paused(name)
        self.world.scheduler.run(60.0, self.world.check_nodes)
        zombie = self.world.zombies.pop()
        self.world.scheduler.resume(zombie.owner)
        self.world.scheduler.run(0.5, self.world.check_nodes)
        self.world.scheduler.kill(zombie.owner)

    def change(self, operator, path, value):
        coroutine = self.world.operate(operator, (Edit(path, value),), 0.0)
        self.world.scheduler.start(coroutine)

    def replace_while_paused(self, name):
        self.fault()
        node = self.world.nodes[name]
        self.world.scheduler.paused.add(node.owner)
        self.world.zombies.append(node)
        self.world.start(name)

    @rule()
    def poison_is_published(self):
        self.world.append(CHANGES_STREAM, "poison", {"kind": "change", "edits": 7})

    @rule(data=st.data())
    def record_is_doubled(self, data):
        _, record = data.draw(st.sampled_from(self.world.records))
        self.world.append(CHANGES_STREAM, record.record_id, record.data)

    @invariant()
    def answers_are_true(self):
        self.world.check_answers()

    def teardown(self):
        if not hasattr(self, "world"):
            return
        world = self.world
        self.heal(log_stays_down=world.log.down)
        self.agree()
        self.heal(log_stays_down=False)
        self.agree()
        world.scheduler.run(LOADED_S, world.check_nodes)
        assert {n.reader.version for n in world.live_nodes()} == {len(world.records)}
        world.check_in_force()
        world.check_answers()
        self.check_engines()
        self.check_alarms()
        self.count()

    def count(self):
        """Add up what happened, to see that the histories are worth something."""
        outcomes = (type(answer).__name__ for answer in self.world.answers)
        COUNTS.update(outcomes)
        COUNTS.update(examples=1, faults=self.faults, records=len(self.world.records))
        COUNTS.update(restarts=self.world.starts - len(NODES), zombies=len(self.world.zombies))
        COUNTS["virtual_s"] += int(self.world.scheduler.now_s)
        COUNTS["orders"] += sum(engine.orders for engine in self.world.engines.values())

    def agree(self):
        """All readers have, 5 s later, what the log or, while it is down, any of them holds now.

        A late append may still arrive in these seconds; it is no part of what they agree on.
        """
        world = self.world
        known = len(world.records)
        if world.log.down:
            known = max(node.reader.version for node in world.live_nodes())
        world.scheduler.run(AGREE_S, world.check_nodes)
        reached = [node.reader.version for node in world.live_nodes()]
        assert min(reached) >= known, f"{known} was known 5 s ago, reached: {reached}"

    def heal(self, log_stays_down):
        world = self.world
        world.log.down = log_stays_down
        world.log.settings = attrs.evolve(
            world.log.settings, lost_answer_ratio=0.0, lost_append_ratio=0.0
        )
        world.delayed_ratio = world.lost_orders_ratio = 0.0
        for owner in list(world.scheduler.paused):
            world.scheduler.resume(owner)
        for node in [*world.nodes.values(), *world.zombies]:
            node.log_cut = node.peers_cut = False
        world.last_fault_s = world.scheduler.now_s

    def check_engines(self):
        wanted = self.world.wanted()
        for name, engine in self.world.engines.items():
            state = engine.state(self.world.scheduler.now_s)
            assert state.fulfils(wanted), f"{name}: {state} where {wanted} was wanted"

    def check_alarms(self):
        poison = sum(record.record_id == "poison" for _, record in self.world.records)
        for node in self.world.live_nodes():
            assert node.reader.alarms.forks == 0
            assert node.reader.alarms.poison_records <= poison


def run_histories(examples, phases=(Phase.generate, Phase.shrink)):
    profile = settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        derandomize=SEED is None,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=phases,
        print_blob=False,
    )
    machine = SettingsMachine if SEED is None else seed(int(SEED))(SettingsMachine)
    run_state_machine_as_test(machine, settings=profile)


def without_gap_check(monkeypatch):
    def take_page(reader, page):
        for record in page.records:
            if record.offset > reader.version:
                reader.tree.apply(record)
        reader.caught_up = page.at_end
        reader._resolve()
        return True

    monkeypatch.setattr(SettingsReader, "take_page", take_page)


def without_version_check(monkeypatch):
    def take_snapshot(reader, data):
        reader.tree = SettingsTree.from_data(data)
        reader._resolve()
        return True

    async def newer_than(peers, version):
        return peers.world.nodes[peers.world.random.choice(NODES)].reader.tree.to_data()

    monkeypatch.setattr(SettingsReader, "take_snapshot", take_snapshot)
    monkeypatch.setattr(Peers, "newer_than", newer_than)


def without_conflicts(monkeypatch):
    monkeypatch.setattr(SettingsTree, "_conflicts", lambda tree, change: ())


def without_reads(monkeypatch):
    monkeypatch.setattr(Read, "covers", lambda read, path: False)
    monkeypatch.setattr(Oracle, "covers", staticmethod(covers_as_written))


def without_peers(monkeypatch):
    async def newer_than(peers, version):
        return None

    monkeypatch.setattr(Peers, "newer_than", newer_than)


def without_doubt(monkeypatch):
    """An append without an answer is taken for one that did not happen."""

    def take_append(system, outcome, now_s):
        original(system, outcome, now_s)
        system._maybe_there = False

    original = PublishSystem.take_append
    monkeypatch.setattr(PublishSystem, "take_append", take_append)


def without_read_back(monkeypatch):
    """An order that was given is believed to be in force."""

    def decide(system, wanted, state, now_s):
        if getattr(system, "believed", None) == wanted.fence:
            return Hold("ordered already")
        step = original(system, wanted, state, now_s)
        if not state.is_loading and not isinstance(step, NeedSlot):
            system.believed = wanted.fence
        return step

    original = OrderSystem.decide
    monkeypatch.setattr(OrderSystem, "decide", decide)


class TestSettingsFuzz:
    def test_histories_with_faults_keep_every_promise(self):
        run_histories(EXAMPLES)
        print(json.dumps({**COUNTS, "violations": 0}))

    @pytest.mark.parametrize(
        "remove",
        [
            without_gap_check,
            without_version_check,
            without_conflicts,
            without_reads,
            without_peers,
            without_doubt,
            without_read_back,
        ],
    )
    def test_a_removed_safeguard_is_found(self, remove, monkeypatch):
        remove(monkeypatch)

        with pytest.raises((AssertionError, ExceptionGroup)):
            run_histories(SEARCHED_EXAMPLES, (Phase.generate,))
