import json
import random

import anyio
import attrs
import pytest

from beryljunction.gateway.moved import decode_moved, encode_moved
from beryljunction.gateway.peers import HttpPeerLink, PeerHandler, PeerLink
from beryljunction.gateway.sharing import ShareMoved
from beryljunction.routing import MovedSession, MovedSessions, PeerTable
from platform_world import open_world, route

SESSION = MovedSession(("common", "chat"), ("e1", 7))


def sessions(count):
    return tuple(MovedSession(("common", f"chat{n}"), ("e1", 7)) for n in range(count))


class TestMessage:
    def test_sessions_come_back(self):
        assert decode_moved(encode_moved(sessions(3))) == sessions(3)

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
    def test_message_that_no_entry_writes_is_an_error(self, rows):
        with pytest.raises(ValueError):
            decode_moved(json.dumps({"moved": rows}).encode())

    @pytest.mark.parametrize("data", [b"", b"[]", b"{}", b"\xff"])
    def test_bytes_that_are_none_are_an_error(self, data):
        with pytest.raises(ValueError):
            decode_moved(data)


@attrs.define
class Link(PeerLink):
    told: list = attrs.field(factory=list)

    async def ask(self, address, version, offset):
        return "nothing known"

    async def tell(self, address, moved):
        self.told.append((address[0], len(decode_moved(moved))))
        return True


class TestShareMoved:
    def share(self, *hosts):
        self.moved, self.link = MovedSessions(), Link()
        self.peers = PeerTable(random.Random(1))
        for host in hosts:
            self.peers.put(host, (host, 1))
        return ShareMoved(self.link, self.moved, self.peers)

    def steps(self, share, count):
        async def run():
            for _ in range(count):
                await share.step()

        anyio.run(run)
        told, self.link.told = self.link.told, []
        return told

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

    def test_cost_does_not_grow_with_the_number_of_peers(self):
        share = self.share(*(f"h{number}" for number in range(60)))
        self.moved.note(SESSION, 0.0)

        assert len(self.steps(share, 8)) == 8


class TestPeerHandler:
    def test_bad_messages_are_refused_and_good_ones_still_taken(self):
        async def run():
            async with open_world(route()) as world:
                state = world.entry._state
                handler = PeerHandler(state, None)
                server = await world.serve(handler)
                bad = []
                for head, body in (
                    ("POST /v1/moved", b"{}"),
                    ("GET /v1/known/x/1", b""),
                    ("GET /else", b""),
                ):
                    data = f"{head} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    bad.append((await world.send_to(server, data + body))[0])
                good = await HttpPeerLink().tell(server, encode_moved((SESSION,)))
                return bad, good, state._warm._warmth._parts["chat"]

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
