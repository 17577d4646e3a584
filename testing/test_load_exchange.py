import contextlib
import random

import anyio
import pytest

from beryljunction.fleet_process.control_middleware import ControlMiddleware
from beryljunction.fleet_process.traffic import CountingBackend
from beryljunction.loads import LoadRow
from beryljunction.servers import Server, bind_listener, create_client_pool, send_response
from beryljunction.sidecar.load_exchange import LoadExchange
from beryljunction.systems import LoadTracker
from beryljunction.wire import PEERS_PATH

KEY = "0123456789abcdef0123456789abcdef"
# At the target a service has 41 endpoints, and a node has this budget for all control traffic.
ENDPOINTS = 41
BUDGET_BYTES_PER_S = 4096


async def nothing_else(scope, receive, send):
    await send_response(send, 404, b"")


class Peer:
    """One sidecar's load exchange behind a real listener, which counts its bytes."""

    def __init__(self, name, version=0):
        self.load = LoadTracker(name, "0a1b2c3d4e5f", rng=random.Random(1))
        self.newer = []
        self.asked_bytes = 0
        self.answered_bytes = 0
        self.pool = create_client_pool(backend=CountingBackend(self.count_asked))
        self.exchange = LoadExchange(
            self.load,
            self.pool,
            KEY,
            lambda: version,
            lambda name, version: self.newer.append((name, version)),
            now_s=lambda: 100.0,
            rng=random.Random(1),
        )
        routes = {PEERS_PATH: self.exchange}
        app = ControlMiddleware(nothing_else, KEY, routes, lambda: None, self.count_answered)
        self.server = Server(app, bind_listener("127.0.0.1:0"))

    def count_asked(self, sent, received):
        self.asked_bytes += sent + received

    def count_answered(self, path, sent, received):
        self.answered_bytes += sent + received

    def know(self, count):
        """Add rows of other endpoints, as in a busy fleet after some minutes."""
        rows = [
            LoadRow(f"reel-llm-{i}", "0a1b2c3d4e5f", 86_400 + i, 17, 3, 123_456, 31.4)
            for i in range(count)
        ]
        self.load.merge(rows, 99.0)


@contextlib.asynccontextmanager
async def peers(*peers):
    async with anyio.create_task_group() as group:
        for peer in peers:
            await group.start(peer.server.serve_until_stopped)
        for peer in peers:
            peer.exchange.set_peers(
                {p.load.endpoint_id: p.server.address for p in peers if p is not peer}
            )
        yield
        for peer in peers:
            await peer.pool.aclose()
            peer.server.stop()


class TestPeerExchange:
    def test_rows_of_other_endpoints_are_passed_on(self):
        async def run():
            first, second, third = (Peer(name) for name in ("a", "b", "c"))
            first.load.note_own(7, 2, 900, 100.0)
            async with peers(first, second, third):
                await first.exchange.send_to("b")
                await second.exchange.send_to("c")
            return third.load.peer("a")

        heard = anyio.run(run)

        assert (heard.row.running, heard.row.waiting) == (7, 2)

    def test_exchange_stays_within_the_control_budget_at_the_target(self):
        async def run():
            first, second = Peer("reel-llm-40"), Peer("reel-llm-41")
            first.know(ENDPOINTS - 1)
            async with peers(first, second):
                for _ in range(10):
                    await first.exchange.send_to("reel-llm-41")
            return first, second

        first, second = anyio.run(run)

        # On average a sidecar sends to one peer and receives from one in each interval.
        bytes_per_interval = (first.asked_bytes + second.answered_bytes) / 10
        assert bytes_per_interval / first.load.interval_s < BUDGET_BYTES_PER_S

    def test_byte_counts_of_both_ends_agree(self):
        async def run():
            first, second = Peer("a"), Peer("b")
            first.know(20)
            async with peers(first, second):
                await first.exchange.send_to("b")
            return first.asked_bytes, second.answered_bytes

        asked, answered = anyio.run(run)

        assert asked == pytest.approx(answered, rel=0.05)

    def test_newer_settings_are_noticed_by_the_sender_and_the_receiver(self):
        async def run():
            old, new = Peer("old", version=3), Peer("new", version=5)
            async with peers(old, new):
                await old.exchange.send_to("new")
                await new.exchange.send_to("old")
            return old.newer, new.newer

        assert anyio.run(run) == ([("new", 5), ("new", 5)], [])

    def test_peer_that_does_not_answer_raises_no_error(self):
        async def run():
            peer = Peer("a")
            peer.exchange.set_peers({"b": "127.0.0.1:1"})
            await peer.exchange.send_to("b")
            await peer.pool.aclose()

        anyio.run(run)

    def test_peer_that_does_not_answer_no_longer_counts(self):
        async def run():
            peer = Peer("a")
            peer.know(2)
            peer.exchange.set_peers({"reel-llm-0": "127.0.0.1:1"})
            await peer.exchange.send_to("reel-llm-0")
            await peer.pool.aclose()
            return peer.load

        load = anyio.run(run)

        assert load.peer("reel-llm-0") is None
        assert load.peer("reel-llm-1") is not None

    def test_endpoint_off_the_list_no_longer_counts(self):
        peer = Peer("a")
        peer.know(2)
        peer.exchange.set_peers({"reel-llm-0": "x:1", "reel-llm-1": "x:2"})

        peer.exchange.set_peers({"reel-llm-1": "x:2"})

        assert peer.load.peer("reel-llm-0") is None
        assert peer.load.peer("reel-llm-1") is not None
        peer.server.listener.close()

    def test_endpoint_with_a_row_counts_before_it_is_listed(self):
        peer = Peer("a")
        peer.exchange.set_peers({"reel-llm-1": "x:2"})
        peer.know(2)

        peer.exchange.set_peers({"reel-llm-1": "x:3"})

        assert peer.load.peer("reel-llm-0") is not None
        peer.server.listener.close()

    def test_message_without_the_fleet_key_changes_nothing(self):
        async def run():
            peer = Peer("a")
            async with peers(peer), create_client_pool() as pool:
                url = f"http://{peer.server.address}{PEERS_PATH}"
                row = b'[["b","1",1,9,0,0,0.0]]'
                refused = await pool.request("POST", url, content=row)
                headers = {"beryl-fleet-key": KEY}
                broken = await pool.request("POST", url, headers=headers, content=b"[[1]]")
            return refused.status, broken.status, len(peer.load.peers)

        assert anyio.run(run) == (401, 400, 0)
