import asyncio

import anyio
import pytest

from beryljunction.acceptor import Acceptor
from beryljunction.servers import Server, bind_listener, listeners
from blocking_caller import BlockingCaller

pytestmark = pytest.mark.anyio
HEAD = b"POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
REQUEST = HEAD + b"body"


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def echo(scope, receive, send):
    body = (await receive())["body"]
    while len(body) < 4:
        body += (await receive())["body"]
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def stop_under(parts, is_connected=True):
    """Stop a server around the second of two parts; return what the caller reads."""
    server = Server(echo, bind_listener("127.0.0.1:0"))
    async with anyio.create_task_group() as group:
        await group.start(server.serve_until_stopped)
        caller = BlockingCaller(server.listener.getsockname())
        if is_connected:
            await anyio.sleep(0.02)
        caller.send(parts[0])
        if is_connected and parts[1]:
            await anyio.sleep(0.02)
        server.stop()
        if parts[1]:
            await anyio.sleep(0.25)
            caller.send(parts[1])
        with anyio.fail_after(6.0):
            return await caller.read_to_end()


class TestStop:
    """Guards against requests that a stopping server finds in a socket and drops with it."""

    @pytest.mark.parametrize("size", [1, 20, len(HEAD) - 1, len(HEAD), len(REQUEST) - 1])
    async def test_request_that_is_being_received_is_served(self, size):
        assert (await stop_under([REQUEST[:size], REQUEST[size:]])).endswith(b"body")

    @pytest.mark.parametrize("is_connected", [False, True])
    async def test_request_that_lies_unread_is_served(self, is_connected, monkeypatch):
        monkeypatch.setattr(Server, "main_loop", _no_ticks)

        assert (await stop_under([REQUEST, b""], is_connected)).endswith(b"body")

    async def test_idle_connection_is_closed(self):
        assert await stop_under([b"", b""]) == b""

    async def test_stalled_head_ends_the_wait_at_its_limit(self, monkeypatch):
        monkeypatch.setattr(listeners, "_HEAD_TIMEOUT_S", 0.3)

        assert await stop_under([REQUEST[:9], b""]) == b""

    async def test_stalled_handshake_ends_the_wait_at_its_limit(self, monkeypatch):
        async def stall(acceptor, sock):
            await asyncio.sleep(30.0)

        monkeypatch.setattr(Acceptor, "_set_up", stall)
        monkeypatch.setattr(listeners, "_HEAD_TIMEOUT_S", 0.3)
        server = Server(echo, bind_listener("127.0.0.1:0"))
        with anyio.fail_after(3.0):
            async with anyio.create_task_group() as group:
                await group.start(server.serve_until_stopped)
                BlockingCaller(server.listener.getsockname())
                server.stop()

        assert server._acceptor.pending == 1


async def _no_ticks(self):
    """Notice a stop at once; the regular loop looks for one every 0.1 s."""
    while not self.should_exit:
        await asyncio.sleep(0)


class TestIdleTimeout:
    async def test_request_that_lies_unread_at_the_timeout_is_served(self):
        """Guards against a request that crosses the timeout of its connection and is dropped."""
        server = Server(echo, bind_listener("127.0.0.1:0"))
        async with anyio.create_task_group() as group:
            await group.start(server.serve_until_stopped)
            caller = BlockingCaller(server.listener.getsockname())
            with anyio.fail_after(5.0):
                while not server.server_state.connections:
                    await anyio.sleep(0.001)
            (connection,) = server.server_state.connections
            caller.send(REQUEST)
            connection.timeout_keep_alive_handler()
            server.stop()

        assert (await caller.read_to_end()).endswith(b"body")
