import re
import socket
import threading
import time

import anyio
import pytest

from entry_harness import open_harness, read_answer, route

PREFIX = b"POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q1\r\nX-Credential: key\r\n"


def send_raw(data, more=b""):
    """Send raw bytes; return the answers' status codes and the heads that reached the endpoint."""

    async def run():
        async with open_harness(route()) as harness:
            one = await harness.add_endpoint("e1")
            await harness.wait_for_endpoints(1)
            reader, writer = await harness.connect()
            writer.write(data)
            answers = [await read_answer(reader)]
            if more:
                writer.write(more)
                answers.append(await read_answer(reader))
            writer.close()
            return [answer[0] for answer in answers], [head for head, _ in one.requests]

    return anyio.run(run)


class TestSmuggling:
    """Request smuggling: a request whose length two parsers interpret differently.

    An endpoint that parsed the hidden part as a request would run it without any check of its API
    key. Ambiguous requests must be answered with 400, and no part of them forwarded.
    """

    @pytest.mark.parametrize(
        "lines",
        [
            b"Content-Length: 4\r\nContent-Length: 40\r\n\r\nabcd",
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
            b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
            b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
            b"Content-Length: +4\r\n\r\nabcd",
            b"Content-Length: 4, 4\r\n\r\nabcd",
            b"Content-Length: " + b"9" * 400 + b"\r\n\r\nabcd",
            b"Content-Length: " + b"9" * 5_000 + b"\r\n\r\nabcd",
            b"Content-Length: NaN\r\n\r\nabcd",
            b"Content-Length: \xd9\xa4\r\n\r\nabcd",
            b"X-Folded: a\r\n Content-Length: 0\r\n\r\n",
            b"X-Bad\x00: a\r\nContent-Length: 0\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
            b"Upgrade: h2c\r\nConnection: upgrade\r\nContent-Length: 0\r\n\r\n",
        ],
        ids=[
            "two-lengths",
            "length-and-chunks",
            "chunks-and-length",
            "unknown-coding",
            "identity-last",
            "space-before-colon",
            "signed-length",
            "length-list",
            "length-of-400-digits",
            "length-of-5000-digits",
            "length-nan",
            "length-in-other-digits",
            "folded",
            "nul",
            "bad-chunk",
            "upgrade",
        ],
    )
    def test_ambiguous_request_is_rejected_and_not_forwarded(self, lines):
        statuses, sent = send_raw(PREFIX + lines)

        assert statuses == [400]
        assert sent == []

    def test_request_inside_a_body_is_not_parsed(self):
        inner = b"POST /pay/2 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q9\r\n\r\n"

        statuses, sent = send_raw(PREFIX + b"Content-Length: %d\r\n\r\n" % len(inner) + inner)

        assert statuses == [200]
        assert len(sent) == 1
        assert "q9" not in sent[0]


class TestLimits:
    def test_headers_above_the_limit_are_rejected(self):
        statuses, sent = send_raw(PREFIX + b"X-Long: " + b"a" * 5_000 + b"\r\n\r\n")

        assert (statuses, sent) == ([431], [])

    def test_content_length_above_the_limit_is_rejected(self):
        statuses, sent = send_raw(PREFIX + b"Content-Length: 100001\r\n\r\n")

        assert (statuses, sent) == ([413], [])

    def test_chunked_body_above_the_limit_is_rejected(self):
        chunk = b"4000\r\n" + b"a" * 0x4000 + b"\r\n"

        statuses, sent = send_raw(PREFIX + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 8)

        assert (statuses, sent) == ([413], [])

    def test_incomplete_headers_time_out(self):
        statuses, sent = send_raw(PREFIX)

        assert (statuses, sent) == ([408], [])


class TestConnections:
    def test_pipelined_requests_are_answered_in_order(self):
        one = PREFIX + b"Content-Length: 0\r\n\r\n"

        statuses, sent = send_raw(one + one.replace(b"q1", b"q2"), more=b" ")

        assert statuses == [200, 200]
        assert ["q1" in sent[0], "q2" in sent[1]] == [True, True]

    def test_expect_100_continue_gets_an_interim_response(self):
        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                reader, writer = await harness.connect()
                writer.write(PREFIX + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
                interim = await reader.readuntil(b"\r\n\r\n")
                writer.write(b"ok")
                return interim, (await read_answer(reader))[0]

        interim, status = anyio.run(run)

        assert interim.startswith(b"HTTP/1.1 100 ")
        assert status == 200

    def test_idle_connection_stays_open_while_callers_may_reuse_it(self):
        """Callers reuse connections that were idle for up to four fifths of the timeout, 2.4 s.

        A connection closed earlier would lose a request that is sent at the same moment.
        """

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                reader, writer = await harness.connect()
                statuses = []
                for pause_s in (0.0, 2.4):
                    await anyio.sleep(pause_s)
                    writer.write(harness.request_bytes())
                    statuses.append((await read_answer(reader))[0])
                with anyio.fail_after(6):
                    assert await reader.read() == b""
                return statuses

        assert anyio.run(run) == [200, 200]

    def test_http_10_connection_is_closed_after_the_answer(self):
        data = PREFIX.replace(b"HTTP/1.1", b"HTTP/1.0") + b"Content-Length: 0\r\n\r\n"

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                reader, writer = await harness.connect()
                writer.write(data)
                answer = await read_answer(reader)
                return answer, await reader.read()

        (status, head, _, _), rest = anyio.run(run)

        assert (status, rest) == (200, b"")
        assert "connection: close" in head


class TestUnreadRequests:
    """The process stalls for 0.7 s; a request arrives in its socket meanwhile."""

    def send_in_stall(self, after_s, deadline_ms, timeout_ms=4_000):
        """Return the answer's status and the deadline that the endpoint got; None if none."""
        lines = b"Content-Length: 0\r\nX-Deadline-Ms: %d\r\n\r\n" % deadline_ms

        async def run():
            async with open_harness(route(**{"timeout-ms": timeout_ms})) as harness:
                one = await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                with socket.create_connection(harness.host.callers) as caller:
                    await anyio.sleep(0.1)
                    threading.Timer(after_s, caller.sendall, [PREFIX + lines]).start()
                    time.sleep(0.7)
                    caller.settimeout(5)
                    answer = await anyio.to_thread.run_sync(caller.recv, 100)
                return answer, [head for head, _ in one.requests]

        answer, sent = anyio.run(run)
        lefts = [int(re.search(r"x-deadline-ms: (\d+)", head.lower())[1]) for head in sent]
        return int(answer.split()[1]), lefts[0] if lefts else None

    def test_deadline_counts_the_time_in_the_socket(self):
        """Guards against an endpoint that works on for a caller who has left."""
        status, left_ms = self.send_in_stall(after_s=0.0, deadline_ms=2_000)

        assert status == 200
        assert 500 < left_ms <= 1_350

    def test_request_whose_deadline_has_passed_is_not_sent(self):
        assert self.send_in_stall(after_s=0.0, deadline_ms=500) == (503, None)

    def test_request_that_arrives_at_the_end_of_a_stall_keeps_its_deadline(self):
        """Guards against refusals of requests that came just before the stall ended."""
        status, left_ms = self.send_in_stall(after_s=0.6, deadline_ms=500)

        assert status == 200
        assert left_ms > 200

    def test_timeout_of_the_route_begins_when_the_request_is_read(self):
        status, left_ms = self.send_in_stall(after_s=0.0, deadline_ms=3_000, timeout_ms=600)

        assert status == 200
        assert left_ms > 300
