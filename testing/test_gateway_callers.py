import anyio
import pytest

from platform_world import open_world, read_answer, route

PREFIX = b"POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q1\r\nX-Credential: key\r\n"


def exchange(data, more=b""):
    """Return the answers to raw bytes, and what reached the endpoint."""

    async def run():
        async with open_world(route()) as world:
            one = await world.add_endpoint("e1")
            await world.known(1)
            reader, writer = await world.connect()
            writer.write(data)
            answers = [await read_answer(reader)]
            if more:
                writer.write(more)
                answers.append(await read_answer(reader))
            writer.close()
            return [answer[0] for answer in answers], [head for head, _ in one.requests]

    return anyio.run(run)


class TestSmuggling:
    """A caller hides a request in another one, by a length that two parsers read differently.

    An endpoint that took the hidden part for a request would run one that no caller is known to
    have sent, past every check of its key. Whatever is ambiguous is answered 400, and nothing of
    it is sent on.
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
            "folded",
            "nul",
            "bad-chunk",
            "upgrade",
        ],
    )
    def test_ambiguous_request_reaches_nobody(self, lines):
        statuses, sent = exchange(PREFIX + lines)

        assert statuses == [400]
        assert sent == []

    def test_request_inside_a_body_stays_a_body(self):
        inner = b"POST /pay/2 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q9\r\n\r\n"

        statuses, sent = exchange(PREFIX + b"Content-Length: %d\r\n\r\n" % len(inner) + inner)

        assert statuses == [200]
        assert len(sent) == 1
        assert "q9" not in sent[0]


class TestLimits:
    def test_headers_above_the_limit(self):
        statuses, sent = exchange(PREFIX + b"X-Long: " + b"a" * 5_000 + b"\r\n\r\n")

        assert (statuses, sent) == ([431], [])

    def test_declared_body_above_the_limit(self):
        statuses, sent = exchange(PREFIX + b"Content-Length: 100001\r\n\r\n")

        assert (statuses, sent) == ([413], [])

    def test_chunked_body_above_the_limit(self):
        chunk = b"4000\r\n" + b"a" * 0x4000 + b"\r\n"

        statuses, sent = exchange(PREFIX + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 8)

        assert (statuses, sent) == ([413], [])

    def test_headers_that_do_not_end_in_time(self):
        statuses, sent = exchange(PREFIX)

        assert (statuses, sent) == ([408], [])


class TestConnections:
    def test_requests_behind_each_other_are_answered_in_order(self):
        one = PREFIX + b"Content-Length: 0\r\n\r\n"

        statuses, sent = exchange(one + one.replace(b"q1", b"q2"), more=b" ")

        assert statuses == [200, 200]
        assert ["q1" in sent[0], "q2" in sent[1]] == [True, True]

    def test_caller_that_waits_for_a_go_ahead_gets_it(self):
        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1")
                await world.known(1)
                reader, writer = await world.connect()
                writer.write(PREFIX + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
                interim = await reader.readuntil(b"\r\n\r\n")
                writer.write(b"ok")
                return interim, (await read_answer(reader))[0]

        interim, status = anyio.run(run)

        assert interim.startswith(b"HTTP/1.1 100 ")
        assert status == 200

    def test_connection_is_kept_for_longer_than_callers_use_it(self):
        """Callers use a connection again that was idle for up to four fifths of the limit, 2.4 s.

        One closed before would lose the request that crosses the close.
        """

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1")
                await world.known(1)
                reader, writer = await world.connect()
                statuses = []
                for pause_s in (0.0, 2.4):
                    await anyio.sleep(pause_s)
                    writer.write(world.message())
                    statuses.append((await read_answer(reader))[0])
                with anyio.fail_after(6):
                    assert await reader.read() == b""
                return statuses

        assert anyio.run(run) == [200, 200]

    def test_caller_that_speaks_http_10_gets_a_closed_connection(self):
        data = PREFIX.replace(b"HTTP/1.1", b"HTTP/1.0") + b"Content-Length: 0\r\n\r\n"

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1")
                await world.known(1)
                reader, writer = await world.connect()
                writer.write(data)
                answer = await read_answer(reader)
                return answer, await reader.read()

        (status, head, _, _), rest = anyio.run(run)

        assert (status, rest) == (200, b"")
        assert "connection: close" in head
