"""Simulated fleet in virtual time for the settings fuzz test, with an oracle."""

import collections
import random

import attrs

from beryljunction.engines import (
    EngineControl,
    LoadTurnLog,
    OrderFenced,
    OrderTaken,
    OrderUnknown,
    ReconcileLoop,
    RequestGate,
    RolloutPeers,
)
from beryljunction.settings import (
    CHANGES_STREAM,
    Change,
    Edit,
    FollowerSettings,
    PeerSource,
    ReadDependency,
    SettingsFollower,
    SettingsState,
    parse_path,
)
from beryljunction.settings.operator_session import InvalidChange, OperatorSession
from beryljunction.settings.peer_rotation import PeerRotation
from beryljunction.settings.publishing import ChangeRefused, InForce, NotPublished
from beryljunction.standins import EngineOrdersModel, LogModel, LogModelSettings, WeightStoreModel
from beryljunction.stores import AppendUnknown, LogClient, ReadFailed
from beryljunction.tables.orders import DesiredState
from virtual_time import Scheduler, sleep

NODES = ("entry-0", "entry-1", "drafter-0", "drafter-1")
OPERATORS = ("asha", "ravi", "mira")
# Long enough that a snapshot always remains; the platform does not promise more.
FOLLOW = FollowerSettings(poll_s=0.0, pause_s=1.0, retention_s=400.0)
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


read_covers = ReadDependency.covers


def covers_as_written(read, path):
    return read_covers(read, parse_path(path))


class Oracle:
    """Reference model that computes the verdicts and the values after each record."""

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
            newer_paths = [p for version, p in self.accepted if version > change.base]
            refused = change.base >= offset or any(
                path in paths or any(self.covers(read, path) for read in change.reads)
                for path in newer_paths
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
    """A simulated process with its settings state."""

    name: str
    owner: str
    state: SettingsState
    follower: SettingsFollower | None = None
    highest: int = 0
    log_cut: bool = False
    peers_cut: bool = False


class Log(LogClient):
    """The log as one process sees it, with latency in both directions."""

    def __init__(self, simulation, node=None):
        self.simulation, self.node = simulation, node

    async def append(self, stream, record_id, data):
        await sleep(self.simulation.random.uniform(0.005, 0.05))
        if self.node is not None and self.node.log_cut:
            return AppendUnknown("cut off")
        if self.simulation.random.random() < self.simulation.delayed_ratio:
            self.simulation.scheduler.start(self._append_later(stream, record_id, data))
            await sleep(2.0)
            return AppendUnknown("late")
        outcome = self.simulation.append(stream, record_id, data)
        await sleep(self.simulation.random.uniform(0.005, 0.05))
        return outcome

    async def _append_later(self, stream, record_id, data):
        await sleep(self.simulation.random.uniform(2.0, 30.0))
        self.simulation.append(stream, record_id, data)

    async def read(self, stream, after, limit=500, wait_s=0.0):
        await sleep(self.simulation.random.uniform(0.005, 0.05))
        if self.simulation.log.down or (self.node is not None and self.node.log_cut):
            await sleep(self.simulation.random.uniform(0.0, SILENT_S))
            return ReadFailed("no answer")
        page = self.simulation.log.read(stream, after, limit, self.simulation.scheduler.now_s)
        await sleep(self.simulation.random.uniform(0.005, 0.05))
        return page


class Peers(PeerSource):
    def __init__(self, simulation, node):
        self.simulation, self.node = simulation, node
        self.rotation = PeerRotation(simulation.random)

    @property
    def exchange_interval_s(self):
        return self.rotation.exchange_interval_s(self.node.name, NODES)

    async def exchange(self, version):
        other = self.simulation.nodes[self.rotation.next_peer(self.node.name, NODES)]
        if (
            self.node.peers_cut
            or other.peers_cut
            or other.owner in self.simulation.scheduler.paused
        ):
            await sleep(0.5)
            return None
        data = other.state.tree.to_data() if other.state.version > version else None
        await sleep(self.simulation.random.uniform(0.005, 0.5))
        if other.state.version < version:
            other.follower.apply_snapshot(self.node.state.tree.to_data())
        return data


class Engine(EngineControl):
    def __init__(self, simulation, model):
        self.simulation, self.model = simulation, model
        self.in_hand = False

    async def read_state(self):
        return self.model.state(self.simulation.scheduler.now_s)

    async def send_order(self, order):
        self.in_hand = True
        await sleep(self.simulation.random.uniform(0.001, 0.3))
        self.in_hand = False
        taken = self.model.order(order, self.simulation.scheduler.now_s)
        if self.simulation.random.random() < self.simulation.lost_orders_ratio:
            await sleep(2.0)
            return OrderUnknown()
        return OrderTaken() if taken else OrderFenced()


class FakeOrderPeers(RolloutPeers):
    def __init__(self, simulation, own):
        self.simulation, self.own = simulation, own

    def endpoint_ids(self):
        return [name for name in self.simulation.runners if name != self.own]

    async def exchange(self, own):
        await sleep(0.02)
        names = [n for n in self.endpoint_ids() if n not in self.simulation.scheduler.paused]
        for name in names:
            self.simulation.runners[name].receive_row(own)
        return [self.simulation.runners[name].own_row() for name in names]


class OpenGate(RequestGate):
    def set_open(self, is_open):
        pass

    def running(self):
        return 0


class FleetSimulation:
    """A fleet of four processes, three operators, a log and two kinds of engines."""

    def __init__(self, number):
        self.random = random.Random(number)
        self.scheduler = Scheduler()
        self.log = LogModel(LogModelSettings(retention_s=FOLLOW.retention_s, seed=number))
        self.oracle = Oracle()
        self.records = []
        self.delayed_ratio = self.lost_orders_ratio = 0.0
        self.last_fault_s = 0.0
        self.nodes, self.runners, self.controls = {}, {}, {}
        self.replaced_nodes, self.answers = [], []
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
        node = Node(name, f"{name}#{self.starts}", SettingsState("gj-west"))
        self.nodes[name] = node
        clock = lambda: self.scheduler.now_s  # noqa: E731
        rng = random.Random(self.starts)
        follower = SettingsFollower(
            node.state, Log(self, node), lambda view: None, Peers(self, node), FOLLOW, clock, rng
        )
        node.follower = follower
        for step in (follower.step, follower.poll_peer):
            self.scheduler.start(self._loop(step), node.owner)
        if name in self.engines:
            self.controls[name] = Engine(self, self.engines[name])
            runner = ReconcileLoop(
                name,
                "drafter",
                lambda: node.state.view,
                self.controls[name],
                FakeOrderPeers(self, name),
                OpenGate(),
                clock,
                rng,
                LoadTurnLog(Log(self, node), "gj-west", "drafter"),
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
        if not await session.sync():
            return
        await sleep(think_s)
        self.answers.append(
            await session.publish(edits, change_id=f"{name}-{self.random.random()}")
        )

    def live_nodes(self):
        return list(self.nodes.values())

    def check_nodes(self):
        """Check that no version decreases, and each tree equals the oracle's at its version."""
        for node in [*self.nodes.values(), *self.replaced_nodes]:
            version = node.state.version
            assert version >= node.highest, f"version of {node.name} decreased"
            if version == node.highest:
                continue
            node.highest = version
            values = {str(p): v for p, v in node.state.tree.values().items()}
            assert (
                values == self.oracle.values_at[version]
            ), f"tree of {node.name} differs from the oracle at version {version}"
            assert node.state.view.version == version

    def check_in_force(self):
        """Check that a change appended without faults is in force everywhere within 9 s."""
        now_s = self.scheduler.now_s
        for appended_s, record in self.records:
            if appended_s > self.last_fault_s + AGREE_S and appended_s + IN_FORCE_S <= now_s:
                assert all(n.state.version >= record.offset for n in self.nodes.values())

    def check_answers(self):
        for answer in self.answers:
            if isinstance(answer, InvalidChange):
                continue
            verdicts = self.oracle.verdicts.get(answer.change_id, [])
            accepted = [offset for offset, is_accepted in verdicts if is_accepted]
            assert len(accepted) <= 1
            if isinstance(answer, InForce):
                assert accepted == [answer.version]
            elif isinstance(answer, ChangeRefused):
                assert accepted == []
                assert verdicts
            elif isinstance(answer, NotPublished):
                assert verdicts == []

    def wanted(self):
        values = self.oracle.values_at[-1]
        version = values["service.drafter.model_version"]
        adapters = tuple(sorted(values.get("service.drafter.adapters", [])))
        return DesiredState({"drafter": version}, adapters, "both", len(self.records))
