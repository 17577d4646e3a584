"""Functions that each disable one safeguard of the settings, for mutation tests."""

from beryljunction.settings import (
    ReadDependency,
    SettingsState,
    SettingsTree,
)
from beryljunction.settings.publishing import PublishStateMachine
from beryljunction.systems.recovery.orders import AwaitRollout, EngineReconciler, NoOrder
from settings_simulation import NODES, Oracle, Peers, covers_as_written


def without_gap_check(monkeypatch):
    def apply_page(state, page):
        for record in page.records:
            if record.offset > state.version:
                state.tree.apply(record)
        state.caught_up = page.is_last
        state._resolve()
        return True

    monkeypatch.setattr(SettingsState, "apply_page", apply_page)


def without_version_check(monkeypatch):
    def apply_snapshot(state, data):
        state.tree = SettingsTree.from_data(data)
        state._resolve()
        return True

    async def exchange(peers, version):
        return peers.simulation.nodes[peers.simulation.random.choice(NODES)].state.tree.to_data()

    monkeypatch.setattr(SettingsState, "apply_snapshot", apply_snapshot)
    monkeypatch.setattr(Peers, "exchange", exchange)


def without_conflicts(monkeypatch):
    monkeypatch.setattr(SettingsTree, "_conflicts", lambda tree, change: ())


def without_reads(monkeypatch):
    monkeypatch.setattr(ReadDependency, "covers", lambda read, path: False)
    monkeypatch.setattr(Oracle, "covers", staticmethod(covers_as_written))


def without_peers(monkeypatch):
    async def exchange(peers, version):
        return None

    monkeypatch.setattr(Peers, "exchange", exchange)


def without_unknown_appends(monkeypatch):
    """Treat an append without a response as one that did not happen."""

    def on_append_outcome(machine, outcome, now_s):
        original(machine, outcome, now_s)
        machine._may_be_on_log = False

    original = PublishStateMachine.on_append_outcome
    monkeypatch.setattr(PublishStateMachine, "on_append_outcome", on_append_outcome)


def without_read_back(monkeypatch):
    """Assume that an order is in force once it was sent."""

    def decide(system, wanted, state, now_s):
        if getattr(system, "believed", None) == wanted.fence:
            return NoOrder("ordered already")
        step = original(system, wanted, state, now_s)
        if not state.is_loading and not isinstance(step, AwaitRollout):
            system.believed = wanted.fence
        return step

    original = EngineReconciler.decide
    monkeypatch.setattr(EngineReconciler, "decide", decide)
