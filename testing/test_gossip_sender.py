import json
import random

import anyio
import attrs
import pytest

from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.gossip import Gossip
from beryljunction.gateway.gossip_sender import GossipSender
from beryljunction.gateway.peers import HttpPeerClient, PeerClient, PeerHandler
from beryljunction.gateway.state import EntryState
from beryljunction.platform import DeploymentBounds, HostSettings, InvalidRecord
from beryljunction.routing import (
    KnownEndpoint,
    LoadReport,
    LoadSample,
    MovedSession,
    PeerTable,
    loads_to_gossip,
    merge_loads,
)
from entry_harness import open_harness, route
from routing_fakes import endpoint

SESSION = MovedSession(("common", "chat"), ("e1", 7))


def sessions(count):
    return tuple(MovedSession(("common", f"chat{n}"), ("e1", 7)) for n in range(count))


LOAD = LoadSample(("e1", 7), 12, 0.25)


def gossip(*moved, loads=()):
    return Gossip("b", "1", tuple(moved), tuple(loads))


class TestMessage:
    def test_round_trip(self):
        message = gossip(*sessions(3), loads=[LOAD])

        assert Gossip.decode(message.encode()) == message

    @pytest.mark.parametrize(
        "rows",
        [
            None,
            [1],
            [["e1"]],
            [["e1", 7]],
            [["e1", "7", "chat"]],
            [["e1", 7, 3]],
            [["e1", 7, "x" * 200]],
            [["e1", 7, *["x"] * 65]],
            [["e1", 7, "chat"]] * 257,
        ],
    )
    def test_invalid_moved_sessions_are_an_error(self, rows):
        values = {"host": "b", "life": "1", "loads": [], "moved": rows}

        assert isinstance(Gossip.decode(json.dumps(values).encode()), InvalidRecord)

    @pytest.mark.parametrize(
        "rows",
        [
            None,
            [1],
            [["e1", 7, 3]],
            [["e1", 7, "3", 0.1]],
            [["e1", 7, -1, 0.1]],
            [["e1", 7, 10**9, 0.1]],
            [["e1", 7, 3, -0.1]],
            [["e1", 7, 3, float("nan")]],
            [["e1", 7, 3, "now"]],
            [["e1", 7, 3, 0.1, 5]],
            [["e1", 7, 3, 0.1]] * 257,
        ],
    )
    def test_invalid_loads_are_an_error(self, rows):
        values = {"host": "b", "life": "1", "loads": rows, "moved": []}

        assert isinstance(Gossip.decode(json.dumps(values).encode()), InvalidRecord)

    @pytest.mark.parametrize("data", [b"", b"[]", b"{}", b"\xff"])
    def test_malformed_message_is_an_error(self, data):
        assert isinstance(Gossip.decode(data), InvalidRecord)


@attrs.define
class FakeClient(PeerClient):
    sent: list = attrs.field(factory=list)
    silent: set = attrs.field(factory=set)

    async def fetch_view(self, address, version, offset):
        return "nothing known"

    async def send_gossip(self, address, gossip):
        self.sent.append((address[0], Gossip.decode(gossip)))
        return address[0] not in self.silent

    async def report_crashes(self, address, crashes):
        return None

    async def exchange_streams(self, address, report):
        return None


def entry_state():
    free = ("127.0.0.1", 1)
    host = HostSettings("me", "zone", "region", free, free, free, DeploymentBounds())
    return EntryState(host, EntryEventLog("me", "zone"))


class TestQueueGossip:
    """Guards against entries that send short prompts to an engine which others saw queueing."""

    def test_waiting_requests_are_sent_with_their_load(self):
        loads = (LoadSample(("e1", 7), 3, 0.5), LoadSample(("e2", 7), 9, 0.25, waiting=4))

        assert Gossip.decode(gossip(loads=loads).encode()).loads == loads

    def test_message_without_queues_is_as_before(self):
        assert b"queues" not in gossip(loads=(LoadSample(("e1", 7), 3, 0.5),)).encode()

    @pytest.mark.parametrize(
        "rows", [7, [[0]], [[0, -1]], [["x", 1]], [[-1, 1]], [[0, 13]], [[0, 1, 2]], [[0, 0.5]]]
    )
    def test_invalid_queues_are_an_error(self, rows):
        values = {"host": "b", "life": "1", "moved": [], "loads": [["e1", 7, 12, 0.2]]}

        assert isinstance(
            Gossip.decode(json.dumps(values | {"queues": rows}).encode()), InvalidRecord
        )

    @pytest.mark.parametrize("entries", [4, 21, 68])
    def test_queue_reaches_many_entries_while_it_lasts(self, entries):
        """Each entry sends one message in 0.125 s, to its peers in turn."""
        draw, now_s = random.Random(1), 10.0
        views = [[KnownEndpoint(endpoint(f"e{n}")) for n in range(40)] for _ in range(entries)]
        for rows in views:
            for row in rows:
                row.report = LoadReport(draw.randrange(8, 30), 0, 0, now_s - 0.05 * draw.random())
        views[0][7].report = LoadReport(5, 2, 0, now_s)
        turns = [draw.sample(range(entries), entries) for _ in views]

        for step in range(4):
            for number, rows in enumerate(views):
                loads = loads_to_gossip(rows, now_s + 0.125 * step)
                merge_loads(views[turns[number][step]], loads, now_s + 0.125 * step)

        informed = sum(rows[7].has_queue(now_s + 0.45) for rows in views)
        assert informed >= min(entries, 8)


class TestGossipSender:
    def sender(self, *hosts):
        """Return a `GossipSender` that has sent the first message to each of these peers."""
        self.state, self.client = entry_state(), FakeClient()
        self.moved = self.state.moved_sessions
        self.peers = PeerTable(random.Random(1))
        for host in hosts:
            self.peers.put(host, (host, 1))
        sender = GossipSender(self.client, self.state, self.peers, "1")
        self.run_steps(sender, len(hosts))
        return sender

    def run_steps(self, sender, count):
        async def run():
            for _ in range(count):
                await sender.step()

        anyio.run(run)
        sent, self.client.sent = self.client.sent, []
        return [(host, len(gossip.moved)) for host, gossip in sent if gossip.moved]

    def test_each_peer_gets_everything_once_in_turn(self):
        sender = self.sender("a", "b")
        for row in sessions(3):
            self.moved.note(row, 0.0)

        assert self.run_steps(sender, 4) == [("a", 3), ("b", 3)]

        self.moved.note(SESSION, 0.0)

        assert self.run_steps(sender, 4) == [("a", 1), ("b", 1)]

    def test_restarted_peer_gets_everything_again(self):
        """Guards against a restarted entry that has lost all session placements."""
        sender = self.sender("a", "b")
        self.moved.note(SESSION, 0.0)
        self.run_steps(sender, 2)

        self.peers.put("a", ("a", 1))

        assert self.run_steps(sender, 2) == [("a", 1)]

    def test_starting_entry_sends_its_incarnation_to_each_peer(self):
        sender = self.sender()
        for host in ("a", "b"):
            self.peers.put(host, (host, 1))

        anyio.run(sender.step)
        anyio.run(sender.step)

        assert [(host, gossip.incarnation) for host, gossip in self.client.sent] == [
            ("a", "1"),
            ("b", "1"),
        ]

    def test_peer_with_a_new_incarnation_gets_everything_before_its_record_is_read(self):
        """Guards against prefilling moved chats again after all entries of a zone restart.

        Their records in the store are read only seconds later, so their first message has to be
        enough to send them all session placements.
        """
        sender = self.sender("a", "b")
        self.moved.note(SESSION, 0.0)
        self.run_steps(sender, 2)

        self.peers.note_incarnation("a", "2")

        assert self.run_steps(sender, 2) == [("a", 1)]

        self.peers.note_incarnation("a", "2")

        assert self.run_steps(sender, 2) == []

    def test_peer_that_was_cut_off_gets_what_it_missed(self):
        """Guards against sending gossip only once, although the link is down for some seconds.

        The peer would send the moved chats to their default endpoints for as long as they last, and
        their prefixes would be prefilled again.
        """
        sender = self.sender("a", "b")
        self.client.silent.add("a")
        for row in sessions(3):
            self.moved.note(row, 0.0)

        assert self.run_steps(sender, 4) == [("a", 3), ("b", 3)]

        self.client.silent.clear()
        self.peers.note_incarnation("a", "1")

        assert self.run_steps(sender, 4) == [("a", 3)]

    def test_large_backlog_is_sent_in_parts(self):
        sender = self.sender("a")
        for row in sessions(100):
            self.moved.note(row, 0.0)

        assert self.run_steps(sender, 5) == [("a", 32), ("a", 32), ("a", 32), ("a", 4)]

    def test_number_of_messages_does_not_grow_with_the_number_of_peers(self):
        sender = self.sender(*(f"h{number}" for number in range(60)))
        self.moved.note(SESSION, 0.0)

        assert len(self.run_steps(sender, 8)) == 8


class TestPeerHandler:
    def test_invalid_messages_are_rejected_and_valid_ones_accepted(self):
        async def run():
            async with open_harness(route()) as harness:
                state = harness.entry._state
                peers = PeerTable(random.Random(1))
                handler = PeerHandler(state, None, peers)
                server = await harness.serve(handler)
                bad = []
                for head, body in (
                    ("POST /v1/news", b"{}"),
                    ("GET /v1/known/x/1", b""),
                    ("GET /else", b""),
                ):
                    data = f"{head} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    bad.append((await harness.send_to(server, data + body))[0])
                good = await HttpPeerClient().send_gossip(server, gossip(SESSION).encode())
                return bad, good, state._warm_placement._prefixes._parts["chat"]

        bad, good, known = anyio.run(run)

        assert bad == [400, 404, 404]
        assert good
        assert list(known) == [("e1", 7)]

    def test_peer_that_does_not_answer_costs_only_the_timeout(self):
        async def run():
            async with open_harness(route(), start=False) as harness:
                harness.store.faults.silent = True
                with anyio.fail_after(1.0):
                    silent = await HttpPeerClient().send_gossip(harness.store_address, b"{}")
                    refused = await HttpPeerClient().send_gossip(("127.0.0.1", 1), b"{}")
                return silent, refused

        assert anyio.run(run) == (False, False)
