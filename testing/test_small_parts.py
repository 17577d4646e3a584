"""Messages that come in very small parts, whole or without end."""

import asyncio
import contextlib
import time

import anyio
import pytest

from beryljunction.gateway.calls import EndpointUnreachable, open_call
from beryljunction.gateway.eventstream import EventSplitter
from beryljunction.gateway.peers import HttpPeerClient
from beryljunction.platform import FLEET_CONFIG, HttpStore, Unavailable
from entry_harness import event, open_harness, read_answer, route

# Half of what callers may be kept waiting; the endpoints of the tests run in the same loop.
MAX_PAUSE_S = 0.25
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"


class LoopPauses:
    """Measures for how long the event loop doesn't run, in processor time."""

    def __init__(self):
        self.longest_s = 0.0

    async def __aenter__(self):
        self._task = asyncio.ensure_future(self._run())
        await asyncio.sleep(0)
        return self

    async def __aexit__(self, *_):
        self._task.cancel()

    async def _run(self):
        while True:
            begun_s = time.thread_time()
            await asyncio.sleep(0.001)
            self.longest_s = max(self.longest_s, time.thread_time() - begun_s)


def chunks(size, total=65_536):
    return (b"%x\r\n%b\r\n" % (size, b"\xff" * size)) * (total // (size + 5))


def endless(head, again):
    """Return an endpoint's script that writes bytes until its connection is closed."""

    async def script(answer, writer, number):
        with contextlib.suppress(ConnectionError):
            writer.write(head(answer))
            while not writer.transport.is_closing():
                writer.write(again)
                await writer.drain()
                await asyncio.sleep(0)

    return script


def stream_head(answer):
    return answer.stream_head()


class TestEventSplitter:
    @pytest.mark.parametrize("size", [1, 64])
    def test_time_grows_with_the_bytes_and_not_with_the_parts(self, size):
        """Guards against splitting an incomplete event again at each part of it."""
        splitter = EventSplitter()
        part = b"e" * size
        begun_s = time.process_time()
        for _ in range(500_000 // size):
            splitter.feed(part)

        assert time.process_time() - begun_s < 1.0
        assert splitter.incomplete_event == b"e" * (500_000 // size * size)

    @pytest.mark.parametrize("size", [1, 2, 3, 7])
    def test_parts_of_any_size_give_the_same_events(self, size):
        data = event(1) + b"\n\n" + event(2) + b"data: \n\n\n" + event(3) + b"id: 4\n"
        whole, splitter = EventSplitter(), EventSplitter()
        expected = whole.feed(data)
        events = []
        for start in range(0, len(data), size):
            events += splitter.feed(data[start : start + size])

        assert events == expected
        assert [row.event_id for row in events] == [1, None, 2, None, 3]
        assert splitter.incomplete_event == whole.incomplete_event == b"id: 4\n"


class TestAnswersOfEndpoints:
    @pytest.mark.parametrize("kind", ["streaming", "idempotent"])
    @pytest.mark.parametrize(
        "again",
        [chunks(64), chunks(1), b"2\r\n\n\n\r\n" * 8_000, b"10000\r\n" + b"\n" * 65_536 + b"\r\n"],
        ids=["64-bytes", "1-byte", "empty-events", "large-chunks-of-empty-events"],
    )
    def test_answer_without_end_does_not_hold_others_up(self, kind, again):
        """Guards against one endless answer that stops an entry for seconds."""

        async def run():
            fast = route("/sound/", service="plain", **{"timeout-ms": 1_000})
            slow = route(service="engine", kind=kind, **{"timeout-ms": 3_000})
            async with open_harness(slow, fast) as harness:
                await harness.add_endpoint("e1", "engine", endless(stream_head, again))
                await harness.add_endpoint("p1")
                await harness.wait_for_endpoints(2)
                async with LoopPauses() as pauses:
                    request = asyncio.ensure_future(harness.send_request(method="GET"))
                    while not request.done():
                        answer = await harness.send_request(path="/sound/")
                        assert answer[0] == 200
                return pauses.longest_s, await request

        longest_s, answer = anyio.run(run)

        assert longest_s < MAX_PAUSE_S
        assert answer[0] == 502 or not answer[3]

    def test_report_in_small_parts_is_read(self):
        """Guards against summing up all parts of a report at each of them."""

        async def run():
            async with serve_chunks(1, 60_000) as address:
                async with LoopPauses() as pauses:
                    with await open_call(address, is_head=False) as call:
                        report = await call.fetch(b"GET /beryljunction/report HTTP/1.1\r\n\r\n")
                return pauses.longest_s, report

        longest_s, report = anyio.run(run)

        assert report == b"\xff" * 60_000
        assert longest_s < MAX_PAUSE_S

    def test_report_without_end_is_given_up(self):
        async def run():
            async with serve_chunks(1, None) as address:
                async with LoopPauses() as pauses:
                    with (
                        await open_call(address, is_head=False) as call,
                        pytest.raises(EndpointUnreachable),
                    ):
                        await call.fetch(b"GET /beryljunction/report HTTP/1.1\r\n\r\n")
                return pauses.longest_s

        assert anyio.run(run) < MAX_PAUSE_S

    def test_large_answer_in_small_parts_is_whole(self):
        async def run():
            async with open_harness(route(**{"timeout-ms": 20_000})) as harness:

                async def script(answer, writer, number):
                    writer.write(answer.stream_head())
                    for _ in range(30):
                        writer.write((b"40\r\n" + b"b" * 64 + b"\r\n") * 1_000)
                        await writer.drain()
                    writer.write(b"0\r\n\r\n")

                await harness.add_endpoint("e1", script=script)
                await harness.wait_for_endpoints(1)
                headers = ("X-Other: 1",)
                async with LoopPauses() as pauses:
                    answer = await harness.send_request(headers=headers)
                return pauses.longest_s, answer

        longest_s, answer = anyio.run(run)

        assert (answer[0], answer[2], answer[3]) == (200, b"b" * 64 * 30_000, True)
        assert longest_s < MAX_PAUSE_S


@contextlib.asynccontextmanager
async def serve_bytes(head, again, count):
    """Yield the address of a server that answers with `count` times the same bytes; None: endless.

    Each answer ends with the last chunk.
    """

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head)
                written = 0
                while not writer.transport.is_closing() and written != count:
                    writer.write(again)
                    written += 1
                    await writer.drain()
                    await asyncio.sleep(0)
                writer.write(b"0\r\n\r\n")
                await reader.read()
            finally:
                writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


def serve_chunks(size, total):
    """Serve a body of `total` bytes, or without end, in chunks of a size."""
    batch = 1_000
    again = b"%x\r\n%b\r\n" % (size, b"\xff" * size) * batch
    count = None if total is None else total // (size * batch)
    return serve_bytes(b"HTTP/1.1 200 OK\r\n" + CHUNKED, again, count)


async def read_store(address):
    async with HttpStore(address) as store:
        answer = await store.read(FLEET_CONFIG, 0, 0)
        return None if isinstance(answer, Unavailable) else answer


async def read_newest(address):
    async with HttpStore(address) as store:
        answer = await store.read_newest(FLEET_CONFIG)
        return None if isinstance(answer, Unavailable) else answer


async def read_view(address):
    answer = await HttpPeerClient().fetch_view(address, 1, 0)
    return None if isinstance(answer, str) else answer


async def report_crashes(address):
    return await HttpPeerClient().report_crashes(address, b"{}")


class TestAnswersOfStoreAndEntries:
    @pytest.mark.parametrize("read", [read_store, read_newest, read_view, report_crashes])
    @pytest.mark.parametrize(
        ("head", "again"),
        [
            (b"HTTP/1.1 200 OK\r\n" + CHUNKED, b"1\r\n\xff\r\n" * 10_000),
            (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000),
        ],
        ids=["1-byte", "interim-answers"],
    )
    def test_answer_without_end_is_given_up(self, read, head, again):
        """Guards against an answer, asked for by the entry itself, that stops it."""

        async def run():
            async with serve_bytes(head, again, None) as address, LoopPauses() as pauses:
                with anyio.fail_after(20.0):
                    answer = await read(address[:2])
            return pauses.longest_s, answer

        longest_s, answer = anyio.run(run)

        assert answer is None
        assert longest_s < MAX_PAUSE_S


class TestRequestsOfCallers:
    @staticmethod
    def request(lines):
        start = "POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q1\r\n"
        return f"{start}X-Credential: key\r\n".encode() + lines

    async def send(self, harness, data):
        reader, writer = await harness.connect()
        with contextlib.closing(writer):
            writer.write(data)
            return await asyncio.wait_for(read_answer(reader), 5.0)

    @pytest.mark.parametrize("size", [1, 64])
    def test_body_in_small_parts_is_forwarded_whole(self, size):
        async def run():
            async with open_harness(route()) as harness:
                one = await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                body = (b"%x\r\n%b\r\n" % (size, b"b" * size)) * (90_000 // size)
                data = self.request(CHUNKED) + body + b"0\r\n\r\n"
                async with LoopPauses() as pauses:
                    answer = await self.send(harness, data)
                return pauses.longest_s, answer[0], one.requests[0][1]

        longest_s, status, sent = anyio.run(run)

        assert (status, sent) == (200, b"b" * (90_000 // size * size))
        assert longest_s < MAX_PAUSE_S

    def test_body_above_the_limit_is_rejected_once(self):
        """Guards against an answer and a log line for each part above the limit."""

        async def run():
            async with open_harness(route()) as harness:
                data = self.request(CHUNKED) + b"1\r\nb\r\n" * 200_000
                async with LoopPauses() as pauses:
                    answer = await self.send(harness, data)
                    await asyncio.sleep(0.2)
                lines = [harness.lines.of_event(name) for name in ("rejected", "fault")]
                return pauses.longest_s, answer[0], [len(row) for row in lines]

        longest_s, status, lines = anyio.run(run)

        assert (status, lines) == (413, [1, 0])
        assert longest_s < MAX_PAUSE_S

    @pytest.mark.parametrize(
        "first",
        [
            request(b"X-Other: "),
            request(CHUNKED + b"4;"),
            request(CHUNKED + b"0\r\nt: "),
            b"GET /",
            b"",
        ],
        ids=["header", "chunk-extension", "trailer", "target", "blank-lines"],
    )
    def test_head_without_end_is_rejected(self, first):
        """Guards against an entry that one caller fills with a message that has no end."""

        async def run():
            async with open_harness(route()) as harness:
                reader, writer = await harness.connect()
                answer = asyncio.ensure_future(read_answer(reader))
                written = 0
                with contextlib.closing(writer), contextlib.suppress(ConnectionError):
                    writer.write(first)
                    while written < 5_000_000 and not answer.done():
                        writer.write((b"a" if first else b"\r\n") * 32_768)
                        written += 32_768
                        await writer.drain()
                        await asyncio.sleep(0)
                return (await asyncio.wait_for(answer, 5.0))[0], written

        status, written = anyio.run(run)

        assert status in (400, 431)
        assert written < 5_000_000
