"""Functions that each disable one safeguard of the settings, for mutation tests."""

from beryljunction.settings import (
    Read,
    SettingsReader,
    SettingsTree,
)
from beryljunction.settings.publishing import PublishSystem
from beryljunction.systems.recovery.orders import Hold, NeedSlot, OrderSystem
from settings_world import NODES, Oracle, Peers, covers_as_written


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

    async def exchange(peers, version):
        return peers.world.nodes[peers.world.random.choice(NODES)].reader.tree.to_data()

    monkeypatch.setattr(SettingsReader, "take_snapshot", take_snapshot)
    monkeypatch.setattr(Peers, "exchange", exchange)


def without_conflicts(monkeypatch):
    monkeypatch.setattr(SettingsTree, "_conflicts", lambda tree, change: ())


def without_reads(monkeypatch):
    monkeypatch.setattr(Read, "covers", lambda read, path: False)
    monkeypatch.setattr(Oracle, "covers", staticmethod(covers_as_written))


def without_peers(monkeypatch):
    async def exchange(peers, version):
        return None

    monkeypatch.setattr(Peers, "exchange", exchange)


def without_doubt(monkeypatch):
    """Treat an append without a response as one that did not happen."""

    def take_append(system, outcome, now_s):
        original(system, outcome, now_s)
        system._may_be_on_log = False

    original = PublishSystem.take_append
    monkeypatch.setattr(PublishSystem, "take_append", take_append)


def without_read_back(monkeypatch):
    """Assume that an order is in force once it was sent."""

    def decide(system, wanted, state, now_s):
        if getattr(system, "believed", None) == wanted.fence:
            return Hold("ordered already")
        step = original(system, wanted, state, now_s)
        if not state.is_loading and not isinstance(step, NeedSlot):
            system.believed = wanted.fence
        return step

    original = OrderSystem.decide
    monkeypatch.setattr(OrderSystem, "decide", decide)
