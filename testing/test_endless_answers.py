"""Answers whose bytes come without end, in a head or a body, until the caller closes."""

import asyncio
import contextlib
import time

import anyio
import httpcore
import pytest

from beryljunction.gateway.calls import EndpointUnreachable, open_call
from beryljunction.gateway.peers import HttpPeerClient
from beryljunction.gateway.update_client import HttpUpdateClient
from beryljunction.platform import FLEET_CONFIG, HttpStore, Unavailable
from beryljunction.response_body import read_body
from entry_harness import SIGNATURE, event, open_harness, route

# What an entry may hold for one answer: socket buffers, a read of 256 KB and the limit of a head.
MAX_MEMORY_BYTES = 24_000_000
CHUNKED = "transfer-encoding: chunked"


def head(answer, *lines):
    lines = ["HTTP/1.1 200 OK", f"x-request-id: {answer.request_id}", SIGNATURE, *lines]
    return "\r\n".join(lines).encode() + b"\r\n"


HEADS = {
    "status-line": lambda answer: (b"HTTP/1.1 200 ", b"O" * 65_536),
    "header": lambda answer: (head(answer) + b"x-a: ", b"a" * 65_536),
    "headers": lambda answer: (head(answer), b"x-a: b\r\n" * 8_000),
    "interim-answers": lambda answer: (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000),
    "no-answer": lambda answer: (b"", b"\x00\x01\xff" * 20_000),
}
BODIES = {
    "chunk-size": lambda answer: (head(answer, CHUNKED) + b"\r\n", b"0" * 65_536),
    "chunk-extension": lambda answer: (head(answer, CHUNKED) + b"\r\n4;", b"e" * 65_536),
    "trailers": lambda answer: (head(answer, CHUNKED) + b"\r\n0\r\n", b"t: u\r\n" * 10_000),
}


def resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4_096


class Endless:
    """An endpoint's script that writes the same bytes until its connection is closed."""

    def __init__(self, shape):
        self.shape = shape
        self.closed_s = None

    async def __call__(self, answer, writer, number):
        first, again = self.shape(answer)
        with contextlib.suppress(ConnectionError):
            writer.write(first)
            while True:
                writer.write(again)
                await writer.drain()
                await asyncio.sleep(0)
                if writer.transport.is_closing():
                    break
        self.closed_s = time.monotonic()


async def watch_memory(peaks):
    while True:
        peaks.append(resident_bytes())
        await asyncio.sleep(0.01)


async def ask(shape, kind="idempotent", sound=0):
    """Return the answer, its time, the memory that it took, and the answers of sound requests."""
    async with open_harness(
        route(service="engine", kind=kind, **{"timeout-ms": 4_000}),
        route("/sound/", service="plain"),
    ) as harness:
        endless = Endless(shape)
        await harness.add_endpoint("e1", "engine", endless)
        await harness.add_endpoint("p1")
        await harness.wait_for_endpoints(2)
        peaks = [resident_bytes()]
        watch = asyncio.ensure_future(watch_memory(peaks))
        begun_s = time.monotonic()
        request = asyncio.ensure_future(harness.send_request(method="GET"))
        others = [await harness.send_request(path="/sound/") for _ in range(sound)]
        answer = await request
        took_s = time.monotonic() - begun_s
        for _ in range(100):
            if endless.closed_s is not None:
                break
            await asyncio.sleep(0.01)
        watch.cancel()
        assert endless.closed_s is not None
        return answer, took_s, max(peaks) - peaks[0], others


class TestHead:
    @pytest.mark.parametrize("name", HEADS)
    def test_it_ends_at_once_with_bounded_memory(self, name):
        """Guards against an entry that one endpoint fills with the head of one answer."""
        answer, took_s, grown_bytes, _ = anyio.run(ask, HEADS[name])

        assert answer[0] == 502
        assert took_s < 1.0
        assert grown_bytes < MAX_MEMORY_BYTES

    def test_other_requests_go_on(self):
        """Guards against an entry that reads one endless answer and serves nobody else."""
        _, _, _, others = anyio.run(ask, HEADS["headers"], "idempotent", 5)

        assert [row[0] for row in others] == [200] * 5


class TestBody:
    @pytest.mark.parametrize("name", BODIES)
    @pytest.mark.parametrize("kind", ["idempotent", "streaming"])
    def test_framing_ends_at_once_with_bounded_memory(self, name, kind):
        """Guards against chunk sizes, extensions and trailers without end."""
        answer, took_s, grown_bytes, _ = anyio.run(ask, BODIES[name], kind)

        assert answer[0] == 502 or not answer[3]
        assert took_s < 1.0
        assert grown_bytes < MAX_MEMORY_BYTES

    def test_bytes_past_a_whole_answer_close_the_connection(self):
        shape = lambda answer: (answer.whole(), b"z" * 65_536)  # noqa: E731
        answer, took_s, grown_bytes, _ = anyio.run(ask, shape)

        assert (answer[0], answer[2], answer[3]) == (200, b"done", True)
        assert took_s < 1.0
        assert grown_bytes < MAX_MEMORY_BYTES

    def test_event_without_end_breaks_the_stream_off(self):
        def shape(answer):
            return answer.stream_head(False) + event(1) + b"data: ", b"e" * 65_536

        answer, took_s, grown_bytes, _ = anyio.run(ask, shape, "streaming")

        assert (answer[0], answer[3]) == (200, False)
        assert took_s < 1.0
        assert grown_bytes < MAX_MEMORY_BYTES

    def test_chunked_answer_with_many_small_parts_is_whole(self):
        """Guards against taking the framing of a long stream for bytes without end."""
        body = b"".join(event(number) for number in range(20_000))

        async def run():
            async with open_harness(route(service="engine", kind="streaming")) as harness:

                async def script(answer, writer, number):
                    chunks = (answer.chunk(event(row)) for row in range(20_000))
                    writer.write(answer.stream_head() + b"".join(chunks) + b"0\r\n\r\n")

                await harness.add_endpoint("e1", "engine", script)
                await harness.wait_for_endpoints(1)
                return await harness.send_request()

        answer = anyio.run(run)

        assert (answer[0], answer[2], answer[3]) == (200, body, True)


@contextlib.asynccontextmanager
async def endless_server(first, again):
    """Yield the address of a server whose answers have no end, and when they were closed."""
    closed = []

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            while not writer.transport.is_closing():
                writer.write(again)
                await writer.drain()
                await asyncio.sleep(0)
        closed.append(True)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname(), closed
    finally:
        server.close()


BODY = (b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 65_536)
HEADERS = (b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n" * 8_000)
TRAILERS = (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"t: u\r\n" * 9_000)


async def report(address):
    with await open_call(address, is_head=False) as call:
        try:
            return await call.fetch(b"GET /beryljunction/report HTTP/1.1\r\n\r\n")
        except EndpointUnreachable:
            return None


async def read_store(address):
    answer = await HttpStore(address).read(FLEET_CONFIG, 0, 0)
    return None if isinstance(answer, Unavailable) else answer


async def read_view(address):
    answer = await HttpPeerClient().fetch_view(address, 1, 0)
    return None if isinstance(answer, str) else answer


async def report_crashes(address):
    return await HttpPeerClient().report_crashes(address, b"{}")


async def send_update(address):
    return await HttpUpdateClient().send_update(address, b"{}")


class TestOtherAnswers:
    """Answers of endpoints to reports, of the store and of other entries."""

    @pytest.mark.parametrize("parts", [BODY, HEADERS, TRAILERS], ids=["body", "head", "trailers"])
    @pytest.mark.parametrize(
        "read",
        [report, read_store, read_view, report_crashes, send_update],
        ids=lambda f: f.__name__,
    )
    def test_read_ends_with_bounded_memory_and_a_closed_connection(self, read, parts):
        """Guards against an entry that is filled by an answer which it asked for itself."""

        async def run():
            async with endless_server(*parts) as (address, closed):
                peaks = [resident_bytes()]
                watch = asyncio.ensure_future(watch_memory(peaks))
                begun_s = time.monotonic()
                answer = await read(address[:2])
                took_s = time.monotonic() - begun_s
                for _ in range(100):
                    if closed:
                        break
                    await asyncio.sleep(0.01)
                watch.cancel()
                return answer, took_s, max(peaks) - peaks[0], closed

        answer, took_s, grown_bytes, closed = anyio.run(run)

        assert answer is None
        assert took_s < 2.5
        assert grown_bytes < 3 * MAX_MEMORY_BYTES
        assert closed

    def test_body_at_the_limit_is_read(self):
        class Response:
            async def aiter_stream(self):
                yield b"aa"
                yield b"bb"

        assert anyio.run(read_body, Response(), 4) == b"aabb"
        with pytest.raises(httpcore.RemoteProtocolError, match="at most 3 bytes"):
            anyio.run(read_body, Response(), 3)
