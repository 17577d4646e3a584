import json
import random

import anyio
import attrs
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.events import Events
from beryljunction.gateway.news import News
from beryljunction.gateway.peers import HttpPeerLink, PeerHandler, PeerLink
from beryljunction.gateway.sharing import ShareNews
from beryljunction.gateway.state import EntryState
from beryljunction.platform import HostBounds, HostSettings
from beryljunction.routing import LoadNews, LoadReport, MovedSession, PeerTable
from platform_world import open_world, route
from routing_fakes import endpoint

SESSION = MovedSession(("common", "chat"), ("e1", 7))


def sessions(count):
    return tuple(MovedSession(("common", f"chat{n}"), ("e1", 7)) for n in range(count))


LOAD = LoadNews(("e1", 7), 12, 0.25)


def news(*moved, loads=()):
    return News("b", "1", tuple(moved), tuple(loads))


class TestMessage:
    def test_news_come_back(self):
        told = news(*sessions(3), loads=[LOAD])

        assert News.decode(told.encode()) == told

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
    def test_moved_sessions_that_no_entry_writes_are_an_error(self, rows):
        values = {"host": "b", "life": "1", "loads": [], "moved": rows}

        with pytest.raises(ValueError):
            News.decode(json.dumps(values).encode())

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
    def test_loads_that_no_entry_writes_are_an_error(self, rows):
        values = {"host": "b", "life": "1", "loads": rows, "moved": []}

        with pytest.raises(ValueError):
            News.decode(json.dumps(values).encode())

    @pytest.mark.parametrize("data", [b"", b"[]", b"{}", b"\xff"])
    def test_bytes_that_are_none_are_an_error(self, data):
        with pytest.raises(ValueError):
            News.decode(data)


@attrs.define
class Link(PeerLink):
    told: list = attrs.field(factory=list)
    silent: set = attrs.field(factory=set)

    async def ask(self, address, version, offset):
        return "nothing known"

    async def tell(self, address, news):
        self.told.append((address[0], News.decode(news)))
        return address[0] not in self.silent

    async def report(self, address, crashes):
        return None


def entry_state():
    free = ("127.0.0.1", 1)
    host = HostSettings("me", "zone", "region", free, free, free, HostBounds())
    return EntryState(host, Events("me", "zone"))


class TestShareNews:
    def share(self, *hosts):
        """Return an entry's sharing with these peers, which it has greeted already."""
        self.state, self.link = entry_state(), Link()
        self.moved = self.state.moved
        self.peers = PeerTable(random.Random(1))
        for host in hosts:
            self.peers.put(host, (host, 1))
        share = ShareNews(self.link, self.state, self.peers, "1")
        self.steps(share, len(hosts))
        return share

    def steps(self, share, count):
        async def run():
            for _ in range(count):
                await share.step()

        anyio.run(run)
        told, self.link.told = self.link.told, []
        return [(host, len(news.moved)) for host, news in told if news.moved]

    def test_each_peer_hears_all_once_in_turn(self):
        share = self.share("a", "b")
        for row in sessions(3):
            self.moved.note(row, 0.0)

        assert self.steps(share, 4) == [("a", 3), ("b", 3)]

        self.moved.note(SESSION, 0.0)

        assert self.steps(share, 4) == [("a", 1), ("b", 1)]

    def test_peer_that_starts_again_hears_all_again(self):
        """An entry is killed and starts again; it knows nothing of where sessions are."""
        share = self.share("a", "b")
        self.moved.note(SESSION, 0.0)
        self.steps(share, 2)

        self.peers.put("a", ("a", 1))

        assert self.steps(share, 2) == [("a", 1)]

    def test_entry_that_starts_says_so_to_each_peer(self):
        share = self.share()
        for host in ("a", "b"):
            self.peers.put(host, (host, 1))

        anyio.run(share.step)
        anyio.run(share.step)

        assert [(host, news.life) for host, news in self.link.told] == [("a", "1"), ("b", "1")]

    def test_peer_that_says_it_is_new_hears_all_before_its_record_is_read(self):
        """All entries of a zone are killed and come back.

        Their records in the store are read some seconds later. Until then chats that had moved
        would come in by them and be read again, so their first word is enough.
        """
        share = self.share("a", "b")
        self.moved.note(SESSION, 0.0)
        self.steps(share, 2)

        self.peers.greet("a", "2")

        assert self.steps(share, 2) == [("a", 1)]

        self.peers.greet("a", "2")

        assert self.steps(share, 2) == []

    def test_peer_that_was_cut_off_hears_what_it_missed(self):
        """A link is cut while chats move, and whole again after some seconds.

        Told once, the peer would look for those chats at their homes for as long as they go on,
        and have their prefixes read again.
        """
        share = self.share("a", "b")
        self.link.silent.add("a")
        for row in sessions(3):
            self.moved.note(row, 0.0)

        assert self.steps(share, 4) == [("a", 3), ("b", 3)]

        self.link.silent.clear()
        self.peers.greet("a", "1")

        assert self.steps(share, 4) == [("a", 3)]

    def test_much_that_was_missed_is_told_in_parts(self):
        share = self.share("a")
        for row in sessions(100):
            self.moved.note(row, 0.0)

        assert self.steps(share, 5) == [("a", 32), ("a", 32), ("a", 32), ("a", 4)]

    def test_full_endpoints_are_told_and_emptier_ones_are_not(self):
        share = self.share("a")
        for number, running in enumerate((2, 2, 9)):
            row = self.state.registry.put(endpoint(f"e{number}"), 0.0)
            row.report = LoadReport(running, 1, 0, boot_time_s())

        anyio.run(share.step)

        ((_, told),) = self.link.told
        assert [(load.start[0], load.requests) for load in told.loads] == [("e2", 10)]

    def test_cost_does_not_grow_with_the_number_of_peers(self):
        share = self.share(*(f"h{number}" for number in range(60)))
        self.moved.note(SESSION, 0.0)

        assert len(self.steps(share, 8)) == 8


class TestPeerHandler:
    def test_bad_messages_are_refused_and_good_ones_still_taken(self):
        async def run():
            async with open_world(route()) as world:
                state = world.entry._state
                peers = PeerTable(random.Random(1))
                handler = PeerHandler(state, None, peers)
                server = await world.serve(handler)
                bad = []
                for head, body in (
                    ("POST /v1/news", b"{}"),
                    ("GET /v1/known/x/1", b""),
                    ("GET /else", b""),
                ):
                    data = f"{head} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    bad.append((await world.send_to(server, data + body))[0])
                good = await HttpPeerLink().tell(server, news(SESSION).encode())
                return bad, good, state._warm_placement._warmth._parts["chat"]

        bad, good, known = anyio.run(run)

        assert bad == [400, 404, 404]
        assert good
        assert list(known) == [("e1", 7)]

    def test_peer_that_does_not_answer_costs_a_moment(self):
        async def run():
            async with open_world(route(), start=False) as world:
                world.store.faults.silent = True
                with anyio.fail_after(1.0):
                    dark = await HttpPeerLink().tell(world.store_address, b"{}")
                    gone = await HttpPeerLink().tell(("127.0.0.1", 1), b"{}")
                return dark, gone

        assert anyio.run(run) == (False, False)
