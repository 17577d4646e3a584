import contextlib
import random

import anyio
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.gossip import Gossip
from beryljunction.gateway.gossip_sender import _SEND_INTERVAL_S as GOSSIP_INTERVAL_S
from beryljunction.gateway.load_datagrams import DATAGRAM_BYTES, decode_loads, encode_loads
from beryljunction.gateway.load_exchange import _SEND_INTERVAL_S, LoadExchange
from beryljunction.gateway.state import EntryState
from beryljunction.platform import DeploymentBounds, HostSettings, InvalidRecord
from beryljunction.routing import (
    LoadReport,
    LoadSample,
    MovedSession,
    PeerTable,
    loads_to_gossip,
    merge_loads,
)
from entry_harness import CapturedLog
from ports import free_ports
from routing_fakes import endpoint, known

# Limit of the control traffic of an entry, and the headers of a message over HTTP.
CONTROL_BYTES_PER_S = 4_096
HTTP_BYTES = 110


def sample(name="e1", requests=5, age_s=0.25, waiting=0):
    return LoadSample((name, 1), requests, age_s, waiting)


class TestLoadDatagram:
    def test_round_trip(self):
        loads = (sample("e1"), sample("e2", requests=9, age_s=1.5, waiting=4))

        assert decode_loads(encode_loads(loads), [known("e1"), known("e2")]) == loads

    def test_loads_of_other_incarnations_are_left_out(self):
        """Guards against the load of a crashed incarnation taken for that of the next one."""
        data = encode_loads([sample("e1"), sample("e2")])
        restarted = known("e1", started_ms=2)

        assert decode_loads(data, [restarted, known("e2")]) == (sample("e2"),)

    def test_values_beyond_their_field_are_capped(self):
        data = encode_loads([sample(requests=10**6, age_s=60.0, waiting=10**5)])

        assert decode_loads(data, [known("e1")]) == (sample("e1", 65_535, 2.55, 255),)

    def test_more_waiting_than_all_requests_is_capped(self):
        data = encode_loads([sample(requests=3, waiting=200)])

        assert decode_loads(data, [known("e1")])[0].waiting == 3

    def test_incarnations_with_one_digest_are_left_out(self, monkeypatch):
        """Guards against the load of one endpoint applied to another."""
        monkeypatch.setattr("beryljunction.gateway.load_datagrams.incarnation_digest", lambda _: 7)

        assert decode_loads(encode_loads([sample()]), [known("e1"), known("e2")]) == ()

    @pytest.mark.parametrize(
        "data",
        [b"", b"BL1x", b"BL2" + bytes(8), b"POST /v1/news HTTP/1.1", b"BL1" + bytes(88)],
        ids=["empty", "cut", "other-version", "http", "too-long"],
    )
    def test_malformed_datagram_is_an_error(self, data):
        rejected = decode_loads(data, [known("e1")])

        assert isinstance(rejected, InvalidRecord)
        assert "expected a datagram of loads" in rejected.problem

    def test_control_traffic_stays_below_its_limit(self):
        """Guards against loads that cost more control traffic than an entry may cause."""
        moved = MovedSession(("0123456789ab", "0123456789ab"), ("i-0123456789", 0))
        gossip = Gossip("front-saskatoon-10", "0123456789ab", (moved,)).encode()
        datagrams = len(encode_loads([sample(f"e{n}") for n in range(30)]))

        assert datagrams + 28 == DATAGRAM_BYTES
        assert (
            DATAGRAM_BYTES / _SEND_INTERVAL_S + (len(gossip) + HTTP_BYTES) / GOSSIP_INTERVAL_S
            <= CONTROL_BYTES_PER_S
        )


class TestLoadExchange:
    def exchange(self, *hosts, address=("127.0.0.1", 1), log=None):
        free = ("127.0.0.1", 1)
        host = HostSettings("me", "zone", "region", free, free, free, DeploymentBounds())
        self.log = CapturedLog()
        self.state = EntryState(host, EntryEventLog("me", "zone", self.log))
        self.peers = PeerTable(random.Random(1))
        for number, name in enumerate(hosts):
            self.peers.put(name, (name, number))
        return LoadExchange(self.state, self.peers, address)

    def report(self, *loads):
        """Set the requests and age of each endpoint's load report."""
        for number, (requests, age_s) in enumerate(loads):
            row = self.state.registry.put(endpoint(f"e{number}"), 0.0)
            row.report = LoadReport(requests, 0, 0, boot_time_s() - age_s)

    def sent_loads(self, *loads):
        """Return the loads sent to one peer, given the requests and age of each endpoint's."""
        exchange = self.exchange("a")
        self.report(*loads)
        message = exchange.next_message()
        samples = decode_loads(message[0], self.state.registry.rows) if message else ()
        return [(load.incarnation_id[0], load.requests) for load in samples]

    def test_low_loads_are_sent_after_high_ones(self):
        """Guards against entries that take the mean load from the loaded endpoints alone."""
        assert self.sent_loads((2, 0.1), (9, 0.1)) == [("e1", 9), ("e0", 2)]

    def test_high_load_is_sent_longer_than_a_low_one(self):
        """Guards against overloaded endpoints that drop out of the messages of a large fleet."""
        low = [(0, 0.2)] * 12

        assert self.sent_loads(*low, (20, 1.0))[0] == ("e12", 20)
        assert len(self.sent_loads(*low)) == 10

    def test_outdated_loads_are_not_sent(self):
        assert self.sent_loads((9, 2.1)) == []

    def test_peers_take_turns(self):
        exchange = self.exchange("a", "b", "c")
        self.report((3, 0.1))

        rounds = [{exchange.next_message()[1][0] for _ in range(3)} for _ in range(4)]

        assert rounds == [{"a", "b", "c"}] * 4

    def test_unresponsive_peer_is_left_out(self):
        """Guards against datagrams to hosts that are gone, while others lack fresh loads."""
        exchange = self.exchange("a", "b")
        self.report((3, 0.1))
        self.peers.note_unresponsive("a", boot_time_s())

        assert {exchange.next_message()[1][0] for _ in range(4)} == {"b"}

    def test_without_peers_nothing_is_sent(self):
        exchange = self.exchange()
        self.report((3, 0.1))

        assert exchange.next_message() is None

    def test_malformed_datagram_is_logged_and_changes_nothing(self):
        exchange = self.exchange("a")
        self.report((3, 0.1))
        exchange.apply(b"\x00" * 40)

        assert len(self.log.of_event("peer_rejected")) == 1
        assert self.state.registry.find("e0").reported_load == 3

    def test_loads_reach_another_entry(self):
        """Guards against entries that fill an endpoint which another one knows to be full."""

        async def run():
            ports = free_ports(stack)
            addresses = [("127.0.0.1", next(ports)) for _ in range(2)]
            ours = self.exchange("b", address=addresses[0])
            self.peers.put("b", addresses[1])
            self.report((9, 0.1))
            theirs = self.exchange("a", address=addresses[1])
            row = self.state.registry.put(endpoint("e0"), 0.0)
            async with anyio.create_task_group() as group:
                group.start_soon(ours.run)
                group.start_soon(theirs.run)
                with anyio.fail_after(5.0):
                    while row.report is None:
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            return row.reported_load

        with contextlib.ExitStack() as stack:
            assert anyio.run(run) == 9

    def test_address_in_use_is_logged_and_tried_again(self):
        async def run():
            async with await anyio.create_udp_socket(local_host="127.0.0.1") as taken:
                address = taken.extra(anyio.abc.SocketAttribute.local_address)
                exchange = self.exchange("a", address=address)
                with anyio.move_on_after(0.3):
                    await exchange.run()

        anyio.run(run)

        assert "EADDRINUSE" in self.log.lines[0] or "in use" in self.log.lines[0]


class TestSendsSinceTheReport:
    """Guards against an engine that looks free to all while it prefills and reports nothing."""

    def views(self):
        rows = [known("e1"), known("e1")]
        for row in rows:
            row.report = LoadReport(4, 0, 0, 10.0)
        return rows

    def share(self, sender, receiver, now_s):
        data = encode_loads(loads_to_gossip([sender], now_s))
        merge_loads([receiver], decode_loads(data, [receiver]), now_s)

    def test_requests_sent_since_a_report_are_added(self):
        ours, theirs = self.views()
        ours.in_flight = 3
        self.share(ours, theirs, 10.2)

        assert theirs.reported_load == 7
        assert theirs.last_report_s == 10.0

    def test_sharing_in_a_circle_adds_nothing(self):
        """Guards against loads that grow with each message about them."""
        ours, theirs = self.views()
        ours.in_flight, theirs.in_flight = 3, 2
        for step in range(20):
            self.share(ours, theirs, 10.2 + 0.01 * step)
            self.share(theirs, ours, 10.2 + 0.01 * step)

        assert max(ours.load(10.2), theirs.load(10.2)) <= 4 + 3 + 2

    def test_lower_number_of_the_same_report_changes_nothing(self):
        ours, theirs = self.views()
        theirs.in_flight = 5
        self.share(ours, theirs, 10.2)

        assert theirs.load_since_report == 9

    def test_copy_that_took_longer_changes_nothing(self):
        """Guards against a delayed copy of a report that looks newer and forgets what was sent."""
        ours, theirs = self.views()
        ours.report = LoadReport(4, 0, 0, 10.03)
        theirs.in_flight = 5
        self.share(ours, theirs, 10.2)

        assert theirs.load_since_report == 9
        assert theirs.last_report_s == 10.0

    def test_later_report_replaces_it(self):
        ours, theirs = self.views()
        theirs.in_flight = 5
        ours.report = LoadReport(2, 0, 0, 10.1)
        self.share(ours, theirs, 10.2)

        assert theirs.reported_load == 2
