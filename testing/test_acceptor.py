import asyncio
import errno
import socket

import anyio
import pytest

from beryljunction import acceptor as acceptor_module
from beryljunction.acceptor import Acceptor
from beryljunction.early_listener import open_listener

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Greeting(asyncio.Protocol):
    def connection_made(self, transport):
        transport.write(b"hello")
        transport.close()


class FailingSocket:
    """A listening socket whose accept fails at first, by default for lack of descriptors."""

    def __init__(self, sock, number=errno.EMFILE):
        self._sock = sock
        self._number = number
        self.failures_left = 2

    def accept(self):
        if self.failures_left:
            self.failures_left -= 1
            raise OSError(self._number, "injected")
        return self._sock.accept()

    def fileno(self):
        return self._sock.fileno()

    def setblocking(self, is_blocking):
        self._sock.setblocking(is_blocking)

    def close(self):
        self._sock.close()


def connect(sock):
    return socket.create_connection(sock.getsockname(), timeout=5.0)


class TestStop:
    async def test_connection_that_was_not_accepted_yet_is_served(self):
        """Guards against a stop that resets the connections in the backlog."""
        sock = open_listener(("127.0.0.1", 0))
        acceptor = Acceptor(sock, Greeting)
        callers = [connect(sock) for _ in range(200)]

        acceptor.stop()

        assert acceptor.pending == 200
        assert [await asyncio.to_thread(one.recv, 9) for one in callers] == [b"hello"] * 200
        assert acceptor.pending == 0

    async def test_new_connections_are_refused(self):
        sock = open_listener(("127.0.0.1", 0))
        address = sock.getsockname()
        acceptor = Acceptor(sock, Greeting)

        acceptor.stop()
        acceptor.stop()

        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)

    async def test_lack_of_descriptors_at_the_stop_does_not_reopen_the_socket(self, monkeypatch):
        """Guards against a retry of the accept on the closed socket."""
        monkeypatch.setattr(acceptor_module, "_RETRY_S", 0.02)
        errors = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        sock = open_listener(("127.0.0.1", 0))
        with connect(sock):
            Acceptor(FailingSocket(sock), Greeting).stop()
            await anyio.sleep(0.1)

        assert errors == []


class TestAccept:
    async def test_accepts_again_after_it_ran_out_of_descriptors(self, monkeypatch):
        """Guards against a listener that stays closed after a moment without descriptors."""
        monkeypatch.setattr(acceptor_module, "_RETRY_S", 0.02)
        sock = open_listener(("127.0.0.1", 0))
        failing = FailingSocket(sock)
        acceptor = Acceptor(failing, Greeting)
        with connect(sock) as caller, anyio.fail_after(5.0):
            greeting = await asyncio.to_thread(caller.recv, 9)
        acceptor.stop()

        assert (greeting, failing.failures_left) == (b"hello", 0)

    @pytest.mark.parametrize(
        ("number", "reports"), [(errno.EBADMSG, 2), (errno.ENETDOWN, 0), (errno.EPROTO, 0)]
    )
    async def test_accepts_again_after_any_error(self, number, reports, monkeypatch):
        """Guards against an error that is raised in each step of the event loop."""
        monkeypatch.setattr(acceptor_module, "_RETRY_S", 0.02)
        errors = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        sock = open_listener(("127.0.0.1", 0))
        acceptor = Acceptor(FailingSocket(sock, number), Greeting)
        with connect(sock) as caller, anyio.fail_after(5.0):
            greeting = await asyncio.to_thread(caller.recv, 9)
        acceptor.stop()

        assert greeting == b"hello"
        assert len(errors) == reports

    async def test_stop_goes_on_after_an_error(self):
        """Guards against a stop that leaves the socket open and resets who waits."""
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        sock = open_listener(("127.0.0.1", 0))
        acceptor = Acceptor(FailingSocket(sock, errno.EBADMSG), Greeting)
        acceptor.stop()

        assert sock.fileno() == -1

    async def test_connection_whose_protocol_fails_is_closed(self):
        """Guards against a caller that waits on a connection which nobody serves."""
        errors, protocols = [], [Greeting]
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        sock = open_listener(("127.0.0.1", 0))
        acceptor = Acceptor(sock, lambda: protocols.pop()())
        with anyio.fail_after(5.0), connect(sock) as first, connect(sock) as second:
            answers = [await asyncio.to_thread(one.recv, 9) for one in (first, second)]
        acceptor.stop()

        assert sorted(answers) == [b"", b"hello"]
        assert len(errors) == 1
