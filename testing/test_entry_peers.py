import json
import random

import anyio
import attrs
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.early_listener import open_listener
from beryljunction.gateway import config_watcher, peers, state, store_view
from beryljunction.gateway.config_watcher import ConfigWatcher
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.peers import PeerClient, PeerConfirmation
from beryljunction.gateway.process import EntryProcess
from beryljunction.gateway.registration import Registration
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.store_view import StoreView, local_store_view
from beryljunction.gateway.updates import ZoneUpdate
from beryljunction.platform import (
    DeploymentBounds,
    HostSettings,
    InvalidRecord,
    Record,
    Unavailable,
    WriteOutcome,
)
from beryljunction.platform.store import Store
from beryljunction.routing import PeerTable, should_ask_peers
from beryljunction.servers import Server, bind_listener
from beryljunction.standins import PlatformStoreStandIn
from entry_harness import CapturedLog, open_harness, route

FAST = DeploymentBounds(revocation_ms=3_000)
CONFIG = json.dumps({"version": 3, "routes": [], "services": [], "tenants": []}).encode()
KNOWN = StoreView(3, 0.5, 0.7, ZoneUpdate(9, ("a",)), b'{"\xff', 7, (Record("e1", b"\x00\xfe"),))


class TestKnown:
    @pytest.mark.parametrize("known", [KNOWN, attrs.evolve(KNOWN, config=None, endpoints=None)])
    def test_round_trip_keeps_any_bytes_and_never_lowers_the_age(self, known):
        again = StoreView.decode(known.encode())

        assert attrs.evolve(again, age_s=0.5, endpoints_age_s=0.7) == known
        assert again.age_s > known.age_s
        assert again.endpoints_age_s > known.endpoints_age_s

    @pytest.mark.parametrize(
        "change",
        [
            {"age_s": -1},
            {"age_s": "NaN"},
            {"endpoints_age_s": -1},
            {"version": "x"},
            {"endpoints": [1]},
            {"config": 4},
        ],
    )
    def test_invalid_field_is_an_error(self, change):
        values = json.loads(KNOWN.encode()) | change

        assert isinstance(StoreView.decode(json.dumps(values).encode()), InvalidRecord)

    @pytest.mark.parametrize("data", [b"", b"[]", b"{}", b"\xff"])
    def test_malformed_message_is_an_error(self, data):
        assert isinstance(StoreView.decode(data), InvalidRecord)


class TestShouldAskPeers:
    @pytest.mark.parametrize(
        ("age_s", "needs"), [(1.6, False), (2.0, True), (9.0, True), (float("inf"), False)]
    )
    def test_peers_are_asked_once_the_store_seems_unreachable(self, age_s, needs):
        assert should_ask_peers(age_s, 5.0) is needs


class TestPeerTable:
    def table(self, *hosts):
        table = PeerTable(random.Random(1))
        table.replace({host: (host, 1) for host in hosts})
        return table

    def test_peer_that_helped_is_preferred_until_it_fails(self):
        table = self.table("a", "b", "c")
        table.note("b", has_helped=True, now_s=0.0)

        assert {table.choose(0.0)[0] for _ in range(20)} == {"b"}

        table.note("b", has_helped=False, now_s=0.0)

        assert "b" not in {table.choose(1.0)[0] for _ in range(40)}
        assert "b" in {table.choose(3.0)[0] for _ in range(40)}

    def test_no_peer_is_chosen_when_all_are_skipped_or_removed(self):
        table = self.table("a")
        table.note("a", has_helped=False, now_s=0.0)

        assert table.choose(1.0) is None

        table.remove("a")

        assert table.choose(9.0) is None

    def test_peer_that_missed_a_message_is_still_asked(self):
        """Guards against skipping the only peer because it missed one message.

        A busy peer misses a message, and then the store rejects this entry. With no other peer to
        ask, the entry would refuse its callers for the next two seconds.
        """
        table = self.table("a")
        table.note_unresponsive("a", now_s=0.0)

        assert not table.is_responsive("a", 1.0)
        assert table.choose(1.0)[0] == "a"

    def test_oldest_entries_are_dropped_when_the_table_is_full(self):
        table = self.table(*(f"h{number}" for number in range(70)))

        assert len(table) == 64
        assert "h0" not in {table.choose(0.0)[0] for _ in range(500)}


class NoStore(Store):
    async def read(self, topic, offset, wait_ms):
        return Unavailable("cut")

    async def read_newest(self, topic):
        return Unavailable("cut")

    async def put(self, topic, key, value):
        return WriteOutcome.NOT_DONE


class Entry(PeerClient):
    """An entry without sockets that read the settings at time 0 and has been cut off since."""

    def __init__(self, name, lines):
        host = HostSettings(name, "a", "r", ("", 1), ("", 2), ("", 3), DeploymentBounds())
        self.state = EntryState(host, EntryEventLog(name, "a", lines))
        self.config = ConfigWatcher(NoStore(), self.state)
        self.endpoints = EndpointWatcher(NoStore(), self.state)
        self.config.apply_from_peer("other", 3, CONFIG, 0.0)
        self.endpoints.apply_from_peer(1, ())
        self.state.lease.confirm(0.0)
        self.config._asked_s = 0.0
        self.table = PeerTable(random.Random(1))
        self.table.put("other", ("other", 1))

    def ask_peer(self, other):
        self.other = other
        self.peers = PeerConfirmation(self, self.state, self.config, self.endpoints, self.table)

    async def fetch_view(self, address, version, offset):
        store_view = local_store_view(self.other.state, self.other.endpoints, version, offset)
        return StoreView.decode(store_view.encode()) if store_view is not None else "nothing known"

    async def send_gossip(self, address, moved):
        return False

    async def report_crashes(self, address, crashes):
        return None

    async def exchange_streams(self, address, report):
        return None


class TestAge:
    def test_entries_that_are_all_cut_off_do_not_keep_settings_in_force(self, monkeypatch):
        """Guards against entries that renew each other's settings without the store.

        No entry reaches the store, and each keeps asking the other. If an answer lost its age, a
        revoked key would be accepted forever.
        """
        now = [0.0]
        for module in (peers, store_view, config_watcher, state):
            monkeypatch.setattr(module, "boot_time_s", lambda: now[0])
        one, two = Entry("one", CapturedLog()), Entry("two", CapturedLog())
        one.ask_peer(two)
        two.ask_peer(one)

        async def run():
            ages = []
            for step in range(12):
                now[0] = 0.5 * step
                await one.peers.step()
                await two.peers.step()
                ages.append((one.state.lease.age_s(now[0]), two.state.lease.age_s(now[0])))
            return ages

        assert anyio.run(run) == [(0.5 * step, 0.5 * step) for step in range(12)]
        assert not one.state.lease.allows_keys(5.0)

    def test_settings_that_are_older_than_the_peers_are_not_confirmed(self, monkeypatch):
        """A peer has a newer version that can't be decoded here; its age is that version's."""
        for module in (peers, store_view):
            monkeypatch.setattr(module, "boot_time_s", lambda: 3.0)
        one, two = Entry("one", CapturedLog()), Entry("two", CapturedLog())
        two.config.apply_from_peer("other", 8, CONFIG.replace(b"3", b"8"), 0.0)
        two.state.lease.confirm(2.9)
        two.state.config_record = b"unreadable"
        one.ask_peer(two)

        anyio.run(one.peers.step)

        assert one.state.config.version == 3
        assert one.state.lease.age_s(3.0) == 3.0


@attrs.define
class Pair:
    """A harness with a second entry, which uses the same store with separate faults."""

    harness: object
    store: PlatformStoreStandIn
    host: HostSettings

    async def send_request(self, **fields):
        return (
            await self.harness.send_to(self.host.callers, self.harness.request_bytes(**fields))
        )[0]


async def start_pair(harness):
    addresses = [("127.0.0.1", next(harness.ports)) for _ in range(4)]
    store = PlatformStoreStandIn(harness.store.model)
    server = Server(store, bind_listener("127.0.0.1:0"))
    await harness.group.start(server.serve_until_stopped)
    store_address = ("127.0.0.1", int(server.address.rpartition(":")[2]))
    host = attrs.evolve(
        harness.host,
        host="entry-2",
        callers=addresses[0],
        probes=addresses[1],
        store=store_address,
        peers=addresses[2],
    )
    first = attrs.evolve(
        harness.host, host="entry-3", callers=("127.0.0.1", 0), probes=("127.0.0.1", 0)
    )
    first = attrs.evolve(first, peers=addresses[3])
    for settings in (first, host):
        process = EntryProcess(settings, EntryEventLog(settings.host, "a", harness.lines))
        harness.group.start_soon(process.run)
    pair = Pair(harness, store, host)

    async def are_registered():
        rows = harness.store.model.newest("keyed.entries", "", 0.0)[0]
        return len(rows) == 2

    await harness.wait_until(are_registered)
    await anyio.sleep(0.3)
    return pair


class TestCutOff:
    @pytest.mark.parametrize("fault", ["busy", "silent"])
    def test_callers_are_served_while_the_store_rejects_one_host(self, fault):
        """Guards against refusing callers while the store rejects just this host.

        The outage lasts longer than the settings' maximum age. The entry asks a peer, from which
        it also gets a new endpoint and a new route.
        """

        async def run():
            async with open_harness(route(), bounds=FAST) as harness:
                await harness.add_endpoint("e1")
                pair = await start_pair(harness)
                setattr(pair.store.faults, fault, True)
                await anyio.sleep(4.0)
                before = await pair.send_request()
                harness.configure(route("/new/", service="other"))
                await harness.add_endpoint("e2", service="other")
                await anyio.sleep(1.5)
                after = await pair.send_request(path="/new/1", request_id="q2")

                async def is_logged():
                    return harness.lines.of_event("settings_by_peer")

                # A long poll that the store never answers ends 11 s after it began.
                await harness.wait_until(is_logged)
                return before, after, harness.lines.of_event("settings_by_peer")

        before, after, lines = anyio.run(run)

        assert (before, after) == (200, 200)
        assert len(lines) == 1

    def test_key_revoked_meanwhile_is_refused(self):
        """Guards against accepting a revoked key while the store rejects this host.

        The peer learns of the revocation at once and includes it in its next answer, so no request
        with that key is sent after the limit.
        """

        async def run():
            async with open_harness(route(), bounds=FAST) as harness:
                one = await harness.add_endpoint("e1")
                pair = await start_pair(harness)
                pair.store.faults.busy = True
                await anyio.sleep(2.5)
                harness.configure(route(), tenants=[{"name": "acme", "api-keys": ["other"]}])
                await anyio.sleep(1.0)
                sends = len(one.requests)
                return await pair.send_request(), len(one.requests) - sends

        assert anyio.run(run) == (401, 0)

    def test_peer_address_in_use_does_not_stop_the_entry(self):
        """Another process has the port for peers; the entry must serve callers all the same."""

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                taken = open_listener(("127.0.0.1", 0))
                host = attrs.evolve(
                    harness.host,
                    callers=("127.0.0.1", next(harness.ports)),
                    probes=("127.0.0.1", 0),
                    peers=taken.getsockname(),
                )
                process = EntryProcess(host, EntryEventLog("entry-2", "a", harness.lines))
                harness.group.start_soon(process.run)
                await anyio.sleep(0.3)
                status = (await harness.send_to(host.callers, harness.request_bytes()))[0]
                return status, harness.lines.of_event("peers_unavailable")

        status, lines = anyio.run(run)

        assert status == 200
        assert "expected a free address" in lines[0]


class TestFleetSize:
    def test_retry_budget_is_divided_among_all_entries_not_just_peers(self):
        """Guards against dividing the retry budget among only the peers that an entry keeps.

        In a fleet of a hundred entries, the sum of the shares would exceed the fleet's budget.
        """
        entry = Entry("e", CapturedLog())
        bounds = attrs.evolve(entry.state.bounds, repeat_slack=54)
        entry.state.apply_bounds(bounds)
        announcing = Registration(NoStore(), entry.state, entry.table, ("127.0.0.1", 1))
        records = [Record(f"h{number}", b"127.0.0.1:9") for number in range(99)]

        announcing._apply_snapshot(records)
        after_s = boot_time_s() + 2 * bounds.repeat_window_s
        before = entry.state.retry_share("engine").left(after_s)
        announcing._apply_changes([Record("h99", b"127.0.0.1:9"), Record("h0", None)])

        assert len(entry.table) == 64
        assert before == 54 / 100
        assert entry.state.retry_share("engine").left(after_s) == 54 / 100


class TestTransferFromStore:
    @pytest.mark.parametrize(("now_s", "is_asked"), [(2.5, False), (3.1, True)])
    def test_peer_is_not_asked_for_settings_that_are_arriving(self, monkeypatch, now_s, is_asked):
        """Guards against two transfers of the same settings that share a slow link.

        A response of the store that stalls must not keep the entry from asking.
        """
        for module in (peers, store_view, config_watcher, state):
            monkeypatch.setattr(module, "boot_time_s", lambda: now_s)
        one, two = Entry("one", CapturedLog()), Entry("two", CapturedLog())
        two.state.lease.confirm(now_s - 0.1)
        two.endpoints.confirm_up_to(1, now_s - 0.1, "store")
        one.ask_peer(two)
        monkeypatch.setattr(one.config, "is_receiving", lambda: True)

        anyio.run(one.peers.step)

        assert (one.state.lease.age_s(now_s) < 1.0) is is_asked
