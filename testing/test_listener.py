import asyncio
import errno
import socket
import time

import anyio
import pytest

from beryljunction.early_listener import open_listener
from beryljunction.gateway import listener as listener_module
from beryljunction.gateway.callers import CallerHandler
from beryljunction.gateway.listener import Listener
from beryljunction.routing import CallerLimits

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


class Peer:
    """A blocking client; what it sends is in the server's socket before the event loop runs."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, timeout=5.0)

    def send(self, data):
        self.sock.sendall(data)

    def _read(self):
        data = b""
        try:
            while part := self.sock.recv(65_536):
                data += part
        except ConnectionResetError:
            data += b"(reset)"
        self.sock.close()
        return data

    async def read_to_end(self):
        return await asyncio.to_thread(self._read)


class Fixture:
    def __init__(self, **fields):
        self.handler = EchoHandler(**fields)
        sock = open_listener(("127.0.0.1", 0))
        self.address = sock.getsockname()
        self.listener = Listener(self.handler, sock)

    async def connected(self):
        peer = Peer(self.address)
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
        peer = Peer(served.address)
        peer.send(REQUEST)

        await served.close()

        assert (await peer.read_to_end()).endswith(b"ok")

    async def test_connection_being_set_up_counts_as_open(self):
        served = Fixture()
        peer = Peer(served.address)

        served.listener.stop_accepting()

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
            Peer(served.address)

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


class TestAccept:
    async def test_accepts_again_after_it_ran_out_of_descriptors(self, monkeypatch):
        """Guards against an entry that takes no more callers after a moment without descriptors."""
        monkeypatch.setattr(listener_module, "_ACCEPT_RETRY_S", 0.05)
        served = Fixture()
        served.listener._sock = failing = FailingSocket(served.listener._sock)
        peer = Peer(served.address)
        with anyio.fail_after(5.0):
            while not failing.failures:
                await anyio.sleep(0.001)
        failing.is_failing = False
        await served.until(1)
        peer.send(REQUEST)
        await served.close()

        assert (await peer.read_to_end()).endswith(b"ok")


class FailingSocket:
    """A listening socket whose accept fails for lack of descriptors."""

    def __init__(self, sock):
        self._sock = sock
        self.is_failing = True
        self.failures = 0

    def accept(self):
        if self.is_failing:
            self.failures += 1
            raise OSError(errno.EMFILE, "too many open files")
        return self._sock.accept()

    def fileno(self):
        return self._sock.fileno()

    def close(self):
        self._sock.close()
