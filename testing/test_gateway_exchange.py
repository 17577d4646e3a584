import asyncio
import re

import anyio
import pytest

from beryljunction.platform import HostBounds
from platform_world import event, open_world, read_answer, reset, route

STREAM = {"kind": "streaming", "service": "plain", "target-gap-ms": 400}


class TestRequests:
    def test_request_reaches_its_endpoint_unchanged_but_for_what_the_fleet_sets(self):
        async def run():
            async with open_world(route("/a b/".replace(" ", "%20"))) as world:
                one = await world.add_endpoint("e1")
                await world.known(1)
                path = "/a%20b/x%2Fy/../z?q=1&q=%ff"
                forged = ("X-Tenant: rich", "x-hold: 1", "X-PIN-MS: 9", "X-Other: kept")
                answer = await world.ask(path=path, body=b"\x00\r\n0\r\n\r\n", headers=forged)
            return one, answer

        one, (status, head, body, _) = anyio.run(run)

        assert (status, body) == (200, b"done")
        assert "x-server-signature: signed" in head
        (sent, sent_body), *others = one.requests
        assert not others
        assert sent.startswith("POST /a%20b/x%2Fy/../z?q=1&q=%ff HTTP/1.1\r\n")
        assert sent_body == b"\x00\r\n0\r\n\r\n"
        lines = sent.lower().split("\r\n")
        assert "x-tenant: acme" in lines
        assert "x-expect-instance: e1" in lines
        assert "x-other: kept" in lines
        assert "host: shop.example" in lines
        for name in ("x-hold", "x-pin-ms", "x-credential", "x-tenant: rich"):
            assert name not in sent.lower()
        left = int(re.search(r"x-deadline-ms: (\d+)", sent)[1])
        assert 1_300 < left <= 1_500  # the route's time-out, not the caller's deadline

    def test_chunked_body_is_sent_whole(self):
        async def run():
            async with open_world(route()) as world:
                one = await world.add_endpoint("e1")
                await world.known(1)
                start = world.message().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
                data = start + b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
                return await world.send_to(world.host.callers, data), one

        answer, one = anyio.run(run)

        assert answer[0] == 200
        assert one.requests[0][1] == b"abcdefg"

    def test_listing_a_header_in_connection_cannot_remove_the_request_s_identity(self):
        async def run():
            async with open_world(route()) as world:
                one = await world.add_endpoint("e1")
                await world.known(1)
                listed = ("Connection: X-Request-Id, X-Drop", "X-Drop: 1")
                await world.ask(headers=listed)
            return one

        sent = anyio.run(run).requests[0][0]

        assert "x-request-id: q1" in sent
        assert "x-drop" not in sent

    @pytest.mark.parametrize(
        ("fields", "expected"),
        [
            ({"path": "/nowhere/"}, 404),
            ({"headers": ("X-Credential: other",)}, 400),
            ({"headers": ("Host: two.example",)}, 400),
        ],
        ids=["no-route", "two-keys", "two-hosts"],
    )
    def test_improper_request_reaches_nobody(self, fields, expected):
        async def run():
            async with open_world(route()) as world:
                one = await world.add_endpoint("e1")
                await world.known(1)
                return (await world.ask(**fields))[0], one.requests

        assert anyio.run(run) == (expected, [])


class TestAtMostOnce:
    def test_lost_answer_is_unknown_and_not_sent_again(self):
        """A payment runs and its connection is reset before the answer.

        The caller gets 502, which promises nothing. A 503 would make it pay twice; so would a
        second endpoint.
        """

        async def lose(answer, writer, number):
            reset(writer)

        async def run():
            async with open_world(route(**{"max-attempts": 3})) as world:
                one = await world.add_endpoint("e1", script=lose)
                two = await world.add_endpoint("e2", script=lose)
                await world.known(2)
                return (await world.ask())[0], len(one.requests) + len(two.requests)

        assert anyio.run(run) == (502, 1)

    def test_declined_request_is_refused_truthfully(self):
        async def decline(answer, writer, number):
            writer.write(answer.declined())

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1", script=decline)
                await world.known(1)
                return await world.ask()

        status, head, _, _ = anyio.run(run)

        assert status == 503
        assert 0 < float(re.search(r"retry-after: (\S+)", head)[1]) <= 2.0 / 3

    def test_idempotent_request_goes_to_another_endpoint(self):
        async def fail_first(answer, writer, number):
            if len(answers) == 0:
                answers.append(1)
                reset(writer)
                return
            writer.write(answer.whole())

        answers = []

        async def run():
            free = route(kind="idempotent", **{"max-attempts": 2})
            async with open_world(free) as world:
                for name in ("e1", "e2"):
                    await world.add_endpoint(name, script=fail_first)
                await world.known(2)
                world.entry._state.share("plain")._slack = 5
                return await world.ask()

        assert anyio.run(run)[0] == 200

    def test_address_that_refuses_connections_costs_nothing(self):
        """An endpoint is dead and its record has not lapsed yet.

        Nothing is sent to it, so even a request that may not be repeated goes elsewhere.
        """

        async def run():
            async with open_world(route()) as world:
                dead = await world.add_endpoint("e1")
                dead.server.close()
                await world.add_endpoint("e2")
                await world.known(2)
                return [(await world.ask())[0] for _ in range(6)]

        assert anyio.run(run) == [200] * 6


class TestAnswers:
    @pytest.mark.parametrize("repeat", [False, True], ids=["once", "idempotent"])
    @pytest.mark.parametrize(
        "data",
        [
            lambda answer: answer.whole()[:-2],
            lambda answer: b"HTTP/1.1 banana\r\n\r\n",
            lambda answer: answer.whole().replace(b"q1", b"q0"),
            lambda answer: answer.whole(extra=["content-encoding: gzip"]),
        ],
        ids=["cut", "garbled", "other-request", "encoded"],
    )
    def test_spoiled_answer_is_never_handed_on(self, data, repeat):
        """An endpoint breaks off, sends rubbish, or answers another request.

        The caller must not take that for its own answer: it gets 502.
        """

        async def spoil(answer, writer, number):
            writer.write(data(answer))

        async def run():
            kind = "idempotent" if repeat else "non_idempotent"
            async with open_world(route(kind=kind)) as world:
                await world.add_endpoint("e1", script=spoil)
                await world.known(1)
                return await world.ask()

        status, head, _, _ = anyio.run(run)

        assert status == 502
        assert "x-server-signature" not in head

    def test_what_follows_an_answer_reaches_nobody(self):
        async def twice(answer, writer, number):
            writer.write(answer.whole(body=b"first") + answer.whole(body=b"second"))

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1", script=twice)
                await world.known(1)
                reader, writer = await world.connect()
                bodies = []
                for number in range(3):
                    writer.write(world.message(request_id=f"q{number}"))
                    bodies.append((await read_answer(reader))[2])
                writer.close()
                return bodies

        assert anyio.run(run) == [b"first"] * 3

    def test_answer_without_length_ends_with_its_connection(self):
        async def unframed(answer, writer, number):
            data = answer.whole(body=b"body")
            writer.write(re.sub(rb"content-length: \d+\r\n", b"", data))

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1", script=unframed)
                await world.known(1)
                return await world.ask()

        status, _, body, whole = anyio.run(run)

        assert (status, body, whole) == (200, b"body", True)

    def test_answer_without_length_that_is_reset_is_not_whole(self):
        async def unframed(answer, writer, number):
            data = answer.whole(body=b"body")
            writer.write(re.sub(rb"content-length: \d+\r\n", b"", data))
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1", script=unframed)
                await world.known(1)
                return (await world.ask())[0]

        assert anyio.run(run) == 502

    def test_error_of_an_endpoint_is_handed_on_with_its_signature(self):
        async def fail(answer, writer, number):
            writer.write(answer.whole("500 Internal Server Error", b"broken"))

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1", script=fail)
                await world.known(1)
                return await world.ask()

        status, head, body, _ = anyio.run(run)

        assert (status, body) == (500, b"broken")
        assert "x-server-signature: signed" in head

    def test_endpoint_that_answers_before_the_body_is_through(self):
        """An endpoint refuses a long body by its head, and would read the rest later.

        Were its connection used again, the next request would be taken for the rest of the body.
        """

        async def early(answer, writer, number):
            writer.write(answer.whole("413 Content Too Large", b"no"))

        async def run():
            async with open_world(route()) as world:
                one = await world.add_endpoint("e1", script=early)
                await world.known(1)
                first = await world.ask(body=b"x" * 90_000)
                second = await world.ask(request_id="q2")
                return first[0], second[0], len(one.requests)

        assert anyio.run(run) == (413, 413, 2)


class TestTime:
    def test_route_s_time_out_gets_its_final_answer_at_once(self):
        async def hang(answer, writer, number):
            await asyncio.sleep(5)

        async def run():
            async with open_world(route(**{"timeout-ms": 400})) as world:
                one = await world.add_endpoint("e1", script=hang)
                await world.known(1)
                begun_s = anyio.current_time()
                status = (await world.ask())[0]
                took_s = anyio.current_time() - begun_s
                await anyio.sleep(0.1)
                return status, took_s, len(one.ended)

        status, took_s, ended = anyio.run(run)

        assert status == 504
        assert 0.35 < took_s < 0.6
        assert ended == 1

    def test_caller_who_leaves_ends_the_work(self):
        """A caller closes its connection while its endpoint works.

        The endpoint's connection is reset at once; nothing is sent anywhere after that.
        """

        async def hang(answer, writer, number):
            await asyncio.sleep(5)

        async def run():
            async with open_world(route(kind="idempotent", **{"max-attempts": 2})) as world:
                one = await world.add_endpoint("e1", script=hang)
                await world.known(1)
                _, writer = await world.connect()
                writer.write(world.message())
                await world.until(lambda: _true(one.requests))
                writer.close()
                await world.until(lambda: _true(one.ended), 0.5)
                await anyio.sleep(0.2)
                return len(one.requests), world.entry._state.registry.find("e1").in_flight

        assert anyio.run(run) == (1, 0)

    def test_refused_at_once_when_there_is_no_endpoint(self):
        async def run():
            async with open_world(route()) as world:
                begun_s = anyio.current_time()
                status, head, _, _ = await world.ask()
                return status, anyio.current_time() - begun_s, head

        status, took_s, head = anyio.run(run)

        assert status == 503
        assert took_s < 0.3
        assert "retry-after" in head


async def _true(value):
    return bool(value)


class TestStreams:
    def test_events_are_handed_on_as_they_come(self):
        async def slowly(answer, writer, number):
            writer.write(answer.stream_head())
            for position in (1, 2, 3):
                writer.write(answer.chunk(event(position)))
                await asyncio.sleep(0.1)
            writer.write(b"0\r\n\r\n")

        async def run():
            async with open_world(route("/s/", **STREAM)) as world:
                await world.add_endpoint("e1", script=slowly)
                await world.known(1)
                reader, writer = await world.connect()
                writer.write(world.message("/s/"))
                await reader.readuntil(b"piece1")
                first_s = anyio.current_time()
                await reader.readuntil(b"0\r\n\r\n")
                return anyio.current_time() - first_s

        assert anyio.run(run) > 0.15

    def test_broken_stream_does_not_look_complete(self):
        """An engine dies in the middle of an event of a stream that can't be taken up.

        The caller has whole events only, and a connection that ends without the stream's end.
        """

        async def die(answer, writer, number):
            writer.write(answer.stream_head() + answer.chunk(event(1) + event(2)[:9]))
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        async def run():
            async with open_world(route("/s/", **STREAM)) as world:
                one = await world.add_endpoint("e1", script=die)
                await world.known(1)
                return await world.ask(path="/s/"), len(one.requests)

        (status, _, body, whole), sends = anyio.run(run)

        assert (status, body, whole, sends) == (200, event(1), False, 1)

    def test_stream_that_ends_inside_an_event_is_broken(self):
        async def cut(answer, writer, number):
            data = answer.chunk(event(1) + event(2)[:9]) + b"0\r\n\r\n"
            writer.write(answer.stream_head() + data)

        async def run():
            async with open_world(route("/s/", **STREAM)) as world:
                await world.add_endpoint("e1", script=cut)
                await world.known(1)
                return await world.ask(path="/s/")

        _, _, body, whole = anyio.run(run)

        assert (body, whole) == (event(1), False)

    def test_resumable_stream_is_taken_up_at_another_endpoint(self):
        """An engine dies after two events; another one goes on after the second.

        The caller sees one stream: each event once, one head, a complete end.
        """

        async def die_or_go_on(answer, writer, number):
            writer.write(answer.stream_head())
            resumed = re.search(r"last-event-id: (\d+)", answer.head)
            if resumed is None:
                writer.write(answer.chunk(event(1) + event(2) + event(3)[:5]))
                await writer.drain()
                await asyncio.sleep(0.05)
                reset(writer)
                return
            start = int(resumed[1])
            data = b"".join(event(position) for position in range(start, 6))
            writer.write(answer.chunk(data) + b"0\r\n\r\n")

        async def run():
            fields = {**STREAM, "resume-streams": True, "max-attempts": 2}
            async with open_world(route("/s/", **fields)) as world:
                for name in ("e1", "e2"):
                    await world.add_endpoint(name, script=die_or_go_on)
                await world.known(2)
                world.entry._state.share("plain")._slack = 5
                return await world.ask(path="/s/")

        _, _, body, whole = anyio.run(run)

        assert whole
        assert body == b"".join(event(position) for position in range(1, 6))


class TestEvacuation:
    async def evacuate(self, world, *zones):
        for zone in zones:
            world.put("keyed.op", f"evacuate/{zone}", b"{}")
        await world.until(world.evacuated)

    async def add(self, world, name, zone):
        endpoint = await world.add_endpoint(name)
        world.put("keyed.servers", name, endpoint.record(zone=zone))
        return endpoint

    def test_requests_go_to_other_zones(self):
        async def run():
            async with open_world(route()) as world:
                one, two = await self.add(world, "e1", "a"), await self.add(world, "e2", "b")
                await world.known(2)
                await self.evacuate(world, "a")
                answers = [(await world.ask(request_id=f"q{n}"))[0] for n in range(6)]
                return answers, len(one.requests), len(two.requests)

        assert anyio.run(run) == ([200] * 6, 0, 6)

    def test_request_is_refused_at_once_where_no_zone_is_left(self):
        async def run():
            async with open_world(route()) as world:
                one = await self.add(world, "e1", "a")
                await world.known(1)
                await self.evacuate(world, "a")
                with anyio.fail_after(0.2):
                    answer = await world.ask()
                return answer, one.requests

        (status, head, body, _), requests = anyio.run(run)

        assert (status, body, requests) == (503, b"zones_evacuated\n", [])
        assert "retry-after" in head

    def test_request_that_runs_is_left_alone(self):
        async def slow(answer, writer, number):
            await asyncio.sleep(0.5)
            writer.write(answer.whole())

        async def run():
            async with open_world(route()) as world:
                one = await self.add(world, "e1", "a")
                one.script = slow
                await world.known(1)
                async with anyio.create_task_group() as group:
                    answers = []

                    async def ask():
                        answers.append((await world.ask())[0])

                    group.start_soon(ask)
                    await anyio.sleep(0.1)
                    await self.evacuate(world, "a")
                return answers

        assert anyio.run(run) == [200]


class TestColdEndpoints:
    """An endpoint that has just started gets its share, and a warm one the rest."""

    BOUNDS = HostBounds(cold_overshoot=1.0, cold_slack=0.0)
    # Four requests a second, of which three are shared out among the entries.
    SERVICES = ({"name": "plain", "cold-start-s": 3, "cold-per-s": 4},)

    async def ask_many(self, world, count):
        world.entry._state.cold.note_entries(["entry-1"])
        await anyio.sleep(1.1)
        return [(await world.ask(request_id=f"q{n}"))[0] for n in range(count)]

    def test_the_rest_goes_to_a_warm_one(self):
        async def run():
            async with open_world(bounds=self.BOUNDS, start=False) as world:
                world.configure(route(), services=list(self.SERVICES))
                cold, warm = await world.add_endpoint("e1"), await world.add_endpoint("e2")
                await world.start_entry()
                await world.known(2)
                world.put("keyed.servers", "e1", cold.record(**{"cold-remaining-ms": 60_000}))
                answers = await self.ask_many(world, 16)
                return answers, len(cold.requests), len(warm.requests)

        answers, cold, warm = anyio.run(run)

        assert answers == [200] * 16
        assert 0 < cold <= 3
        assert cold + warm == 16

    def test_what_no_endpoint_bears_is_refused_as_not_run(self):
        async def run():
            async with open_world(bounds=self.BOUNDS, start=False) as world:
                world.configure(route(), services=list(self.SERVICES))
                cold = await world.add_endpoint("e1")
                world.put("keyed.servers", "e1", cold.record(**{"cold-remaining-ms": 60_000}))
                await world.start_entry()
                await world.known(1)
                answers = await self.ask_many(world, 5)
                return answers, len(cold.requests), world.lines.of("refused")

        answers, sent, refused = anyio.run(run)

        assert answers == [200, 200, 200, 503, 503]
        assert sent == 3
        assert all("reason=endpoints_cold" in line for line in refused)
