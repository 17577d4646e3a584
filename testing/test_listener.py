import time

import anyio
import pytest

from beryljunction.early_listener import open_listener
from beryljunction.gateway.callers import CallerHandler
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.frontend import CallerFrontend
from beryljunction.gateway.listener import Listener
from beryljunction.gateway.state import EntryState
from beryljunction.platform import DeploymentBounds, HostSettings
from beryljunction.routing import CallerLimits
from blocking_caller import BlockingCaller

pytestmark = pytest.mark.anyio
REQUEST = b"GET /one HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def anyio_backend():
    return "asyncio"


class EchoHandler(CallerHandler):
    """Answers each request at once with a body of a given size."""

    def __init__(self, body=b"ok"):
        super().__init__()
        self.limits = CallerLimits()
        self.body = body
        self.targets = []

    def on_request(self, connection, request):
        self.targets.append(request.target)
        connection.answer(200, [], self.body)

    def on_reject(self, status, problem):
        pass


class Fixture:
    def __init__(self, **fields):
        self.handler = EchoHandler(**fields)
        sock = open_listener(("127.0.0.1", 0))
        self.address = sock.getsockname()
        self.listener = Listener(self.handler, sock)

    async def connected(self):
        peer = BlockingCaller(self.address)
        await self.until(1)
        return peer

    async def until(self, connections):
        with anyio.fail_after(5.0):
            while len(self.handler.connections) != connections:
                await anyio.sleep(0.001)

    async def close(self, limit_s=5.0):
        await self.listener.close(time.monotonic() + limit_s)


class TestClose:
    """Guards against requests that a close finds in a socket and drops with it."""

    async def test_connection_that_was_not_accepted_yet_is_served(self):
        served = Fixture()
        peer = BlockingCaller(served.address)
        peer.send(REQUEST)

        await served.close()

        assert (await peer.read_to_end()).endswith(b"ok")

    async def test_connection_being_set_up_counts_as_open(self):
        served = Fixture()
        peer = BlockingCaller(served.address)

        await served.close(limit_s=0.0)

        assert served.listener.open_connections == 1
        await served.close()
        assert await peer.read_to_end() == b""

    async def test_request_that_lies_unread_in_a_kept_connection_is_served(self):
        served = Fixture()
        peer = await served.connected()
        peer.send(REQUEST)

        await served.close()

        assert (await peer.read_to_end()).endswith(b"ok")

    @pytest.mark.parametrize("size", range(1, len(REQUEST)))
    async def test_request_that_is_being_received_is_served(self, size):
        served = Fixture()
        peer = await served.connected()
        peer.send(REQUEST[:size])
        await anyio.sleep(0.01)
        async with anyio.create_task_group() as group:
            group.start_soon(served.close)
            await anyio.sleep(0.12)
            peer.send(REQUEST[size:])

        assert (await peer.read_to_end()).endswith(b"ok")
        assert served.listener.open_connections == 0

    async def test_waits_until_an_answer_is_sent(self):
        body = b"a" * 8_000_000
        served = Fixture(body=body)
        peer = await served.connected()
        peer.send(REQUEST)
        async with anyio.create_task_group() as group:
            group.start_soon(served.close)
            await anyio.sleep(0.2)
            still_open = served.listener.open_connections
            answer = await peer.read_to_end()

        assert still_open == 1
        assert answer.endswith(body)

    async def test_idle_connection_is_closed_and_new_ones_are_refused(self):
        served = Fixture()
        peer = await served.connected()

        await served.close()

        assert await peer.read_to_end() == b""
        with pytest.raises(ConnectionRefusedError):
            BlockingCaller(served.address)

    async def test_request_that_is_never_completed_ends_the_wait_at_its_limit(self):
        served = Fixture()
        peer = await served.connected()
        peer.send(REQUEST[:5])
        await anyio.sleep(0.01)
        began_s = time.monotonic()

        await served.close(limit_s=0.2)

        assert 0.2 <= time.monotonic() - began_s < 2.0
        assert served.listener.open_connections == 1

    async def test_second_close_has_no_effect(self):
        served = Fixture()

        await served.close()
        await served.close()

        assert served.listener.open_connections == 0


class TestIdleTimeout:
    async def test_request_that_lies_unread_at_the_timeout_is_answered(self):
        """Guards against a request that crosses the timeout of its connection and is dropped."""
        sock = open_listener(("127.0.0.1", 0))
        free = ("127.0.0.1", 1)
        host = HostSettings("me", "zone", "region", free, free, free, DeploymentBounds())
        state = EntryState(host, EntryEventLog("me", "zone"))
        async with anyio.create_task_group() as group:
            frontend = CallerFrontend(state, group)
            listener = Listener(frontend, sock)
            caller = BlockingCaller(sock.getsockname())
            with anyio.fail_after(5.0):
                while not frontend.connections:
                    await anyio.sleep(0.001)
            (connection,) = frontend.connections
            caller.send(REQUEST)
            frontend._enforce_timeouts(connection, connection.idle_since_s + 1_000_000.0)
            await listener.close(time.monotonic() + 5.0)

        assert (await caller.read_to_end()).startswith(b"HTTP/1.1 ")
