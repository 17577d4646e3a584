import functools

import anyio
import anyio.abc
import httpcore
import pytest

from beryljunction.httpcore_backend import UntimedReadBackend

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def connect():
    """Return a function that connects to a listener with the given connection handler."""
    async with anyio.create_task_group() as group:

        async def connect_to(serve) -> httpcore.AsyncNetworkStream:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            group.start_soon(listener.serve, serve)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            return await UntimedReadBackend().connect_tcp("127.0.0.1", port)

        yield connect_to
        group.cancel_scope.cancel()


async def send_and_close(stream, *, data: bytes = b"whole"):
    async with stream:
        await stream.send(data)


async def stay_silent(stream):
    await anyio.sleep_forever()


class TestStreamBackend:
    @pytest.mark.parametrize("timeout_s", [None, 5.0], ids=["no-timeout", "timeout"])
    async def test_reads_the_data_and_then_eof(self, connect, timeout_s):
        stream = await connect(functools.partial(send_and_close, data=b"whole"))

        read = [await stream.read(100, timeout_s) for _ in range(2)]

        assert read == [b"whole", b""]

    async def test_read_with_a_timeout_times_out(self, connect):
        stream = await connect(stay_silent)

        with pytest.raises(httpcore.ReadTimeout):
            await stream.read(100, 0.01)

    @pytest.mark.parametrize("timeout_s", [None, 5.0], ids=["no-timeout", "timeout"])
    async def test_read_of_a_closed_connection_raises_httpcore_error(self, connect, timeout_s):
        stream = await connect(stay_silent)
        await stream.aclose()

        with pytest.raises(httpcore.ReadError):
            await stream.read(100, timeout_s)

    async def test_refused_connection_raises_httpcore_error(self):
        with pytest.raises(httpcore.ConnectError):
            await UntimedReadBackend().connect_tcp("127.0.0.1", 1)
