import asyncio
import json

import anyio
import attrs
import pytest

from beryljunction.entry import sidecar_client
from beryljunction.servers import read_body
from beryljunction.settings import LimitSettings
from beryljunction.streams import FrameNumberer, StreamId
from beryljunction.tables import Endpoint
from beryljunction.wire import (
    ATTACH_PATH,
    ENVELOPE_HEADER,
    OUTCOME_HEADER,
    STREAM_HEADER,
    Attach,
    Envelope,
    decode,
)
from path_fakes import (
    AUTH,
    OTHER_KEY,
    ScriptedEngine,
    chat,
    error_of,
    event_data,
    eventually,
    path_of,
    view_with,
)
from stalls import run_with_stall

pytestmark = pytest.mark.anyio
CHAT = "/v1/chat/completions"


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def send_request(path, entry, target=CHAT, *, method="POST", headers=(AUTH,), body=None):
    content = chat() if body is None else body
    return await path.pool.request(method, entry + target, headers=list(headers), content=content)


async def send_slowly(path, entry, size_bytes):
    """Send the first bytes of a chunked body that is never completed."""

    async def parts():
        yield b"x" * size_bytes
        await anyio.sleep_forever()

    headers = [AUTH, ("transfer-encoding", "chunked")]
    await path.pool.request("POST", entry + CHAT, headers=headers, content=parts())


def last_event_id(body: bytes) -> bytes:
    return [line[4:] for line in body.split(b"\n") if line.startswith(b"id: ")][-1]


class TestRequestChecks:
    @pytest.mark.parametrize(
        ("target", "headers", "body", "status"),
        [
            pytest.param(CHAT, [("authorization", "Bearer wrong")], b"{}", 401, id="key"),
            pytest.param(CHAT, [("authorization", "caller-key")], b"{}", 401, id="no-bearer"),
            pytest.param(CHAT, [AUTH], b"[1]", 400, id="not-an-object"),
            pytest.param(CHAT, [AUTH], chat(max_tokens=True), 400, id="wrong-type"),
            pytest.param(CHAT, [AUTH], chat(model="none"), 404, id="model"),
            pytest.param("/v2", [AUTH], b"", 404, id="path"),
            pytest.param("/services/drafter/x", [AUTH], b"", 404, id="not-a-plain-service"),
            pytest.param("/v1/streams/x", [AUTH], b"", 400, id="stream-id"),
            pytest.param(CHAT, [AUTH], b"x" * 2_000, 413, id="long-body"),
            pytest.param(CHAT, [AUTH, ("x-long", "x" * 2_000)], b"", 413, id="long-headers"),
        ],
    )
    async def test_bad_input_is_refused_as_not_run(self, target, headers, body, status):
        limits = LimitSettings(body_bytes=1_000, header_bytes=1_000)
        async with path_of(view_with(limits=limits)) as path:
            answer = await send_request(
                path, await path.entry(), target, headers=headers, body=body
            )

        error = error_of(answer)
        assert (answer.status, error["ran"]) == (status, "no")
        assert error["type"] == "invalid_request_error"
        assert error["message"]

    async def test_endless_request_head_closes_the_connection(self):
        async with path_of() as path:
            host, _, port = (await path.entry()).removeprefix("http://").rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as caller:
                await caller.send(b"POST /v1/chat/completions HTTP/1.1\r\nx-long: ")
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await send_forever(caller)

    async def test_request_over_the_connection_limit_gets_retry_after(self):
        async with path_of(view_with(limits=LimitSettings(connections=0))) as path:
            answer = await send_request(path, await path.entry())

        assert (answer.status, error_of(answer)["ran"]) == (503, "no")
        assert dict(answer.headers)[b"retry-after"] == b"1"

    @pytest.mark.parametrize("header", ["content-length", "transfer-encoding"])
    @pytest.mark.parametrize(
        ("names", "ran", "try_ran"),
        [((), "no", None), ((("idempotency-key", "fee-7"),), "unknown", "no")],
        ids=["first", "with-a-key"],
    )
    async def test_upload_limit_refuses_only_the_account_that_exceeds_its_share(
        self, header, names, ran, try_ran
    ):
        # One account has an unfinished upload. Its next upload would exceed the account's share of
        # the limit and is refused before it is read; another account's request runs.
        limits = LimitSettings(body_bytes=800, upload_bytes=1_000)
        async with path_of(view_with(limits=limits)) as path, anyio.create_task_group() as group:
            await path.sidecar(ScriptedEngine())
            entry = await path.entry()
            group.start_soon(send_slowly, path, entry, 700)
            await eventually(lambda: path.entry_app.uploads.reserved_bytes == 700)
            length = (
                ("content-length", "600") if header == "content-length" else (header, "chunked")
            )
            refused = await send_request(
                path, entry, headers=[AUTH, length, *names], body=b"x" * 600
            )
            other = await send_request(
                path, entry, headers=[("authorization", f"Bearer {OTHER_KEY}")]
            )
            group.cancel_scope.cancel()

        error = error_of(refused)
        assert (refused.status, error["code"]) == (503, "overloaded")
        assert (error["ran"], error.get("try_ran")) == (ran, try_ran)
        assert b"retry-after" in dict(refused.headers)
        assert other.status == 200

    async def test_models_are_listed_as_chat_clients_expect(self):
        async with path_of() as path:
            answer = await send_request(path, await path.entry(), "/v1/models", method="GET")

        listed = json.loads(answer.content)
        assert (listed["object"], [row["id"] for row in listed["data"]]) == ("list", ["drafter"])

    async def test_plain_service_receives_method_path_headers_and_body(self):
        async with path_of() as path:
            engine = ScriptedEngine(status=503)
            await path.sidecar(engine, "ledger")
            headers = [AUTH, ("x-tag", "a"), ("accept", "text/plain")]

            answer = await send_request(
                path,
                await path.entry(),
                "/services/ledger/notes?of=7",
                method="PUT",
                headers=headers,
                body=b"note",
            )

        method, target, passed, body = engine.calls[0]
        assert (method, target, body) == ("PUT", "/notes", b"note")
        assert (passed[b"x-tag"], passed[b"accept"]) == (b"a", b"text/plain")
        assert b"authorization" not in passed
        assert (answer.status, dict(answer.headers)[b"x-own"]) == (503, b"kept")


async def send_forever(stream):
    while True:
        await stream.send(b"x" * 10_000)


class ScriptedSidecar:
    """Sends the next script's frames on each connection; records where attaches resume."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.asked_after = []

    async def __call__(self, scope, receive, send):
        body = await read_body(receive, 100_000)
        headers = dict(scope["headers"])
        if scope["path"] == ATTACH_PATH:
            attach = decode(body, Attach)
            self.asked_after.append(attach.after)
            name = StreamId("drafter-0", "life", attach.request_id)
        else:
            envelope = decode(headers[ENVELOPE_HEADER], Envelope)
            name = StreamId("drafter-0", "life", envelope.request_id)
        frames = FrameNumberer(name).add_ids([b"data: a", b"data: b", b"data: c", b"data: [DONE]"])
        head = [(OUTCOME_HEADER, b"stream"), (STREAM_HEADER, str(name).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": head})
        for number in self.scripts.pop(0):
            data = frames[number - 1]
            await send({"type": "http.response.body", "body": data, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


class TestAnswerRecovery:
    @pytest.mark.parametrize(
        ("scripts", "asked_after"),
        [
            pytest.param([[1, 1, 2, 1, 3, 2, 4]], [], id="duplicated-and-late"),
            pytest.param([[1, 3, 4], [1, 2, 3, 4]], [1], id="gap-is-requested-again"),
            pytest.param([[1, 2], [3, 4]], [2], id="end-without-the-last-frame"),
            pytest.param([[], [], [1, 2, 3, 4]], [0, 0], id="empty-connections-first"),
        ],
    )
    async def test_frames_reach_the_caller_in_order_and_once(self, scripts, asked_after):
        async with path_of() as path:
            sidecar = ScriptedSidecar(*scripts)
            address = await path.serve(sidecar)
            path.endpoints.put(Endpoint("drafter-0", "drafter", "ahd-a", address))

            answer = await send_request(path, await path.entry())

        assert event_data(answer.content) == [b"a", b"b", b"c", b"[DONE]"]
        assert sidecar.asked_after == asked_after

    async def test_repeatedly_incomplete_stream_ends_with_an_error(self):
        async with path_of() as path:
            address = await path.serve(ScriptedSidecar([1], [1], [1], [1]))
            path.endpoints.put(Endpoint("drafter-0", "drafter", "ahd-a", address))

            answer = await send_request(path, await path.entry())

        assert b"[DONE]" not in answer.content
        assert b"event: error" in answer.content

    async def test_silent_connection_is_replaced(self):
        # A device between entry and sidecar drops its state of the open connection: no byte passes
        # on it any more, while new connections work. The entry must notice the silence and reattach
        # after the last frame, so that the caller reads a complete answer on one connection.
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=3)
            app = await path.sidecar(engine, proxy=True)
            entry = await path.entry()
            async with path.pool.stream(
                "POST", entry + CHAT, headers=[AUTH], content=chat()
            ) as answer:
                await eventually(lambda: app.runs and next(iter(app.runs)).log.last_sequence == 3)
                path.hole.freeze()
                engine.release.set()
                body = await answer.aread()

        assert event_data(body) == engine.answer()
        assert (len(engine.runs), path.hole.connections) == (1, 2)

    async def test_idle_connections_are_dropped_after_one_goes_silent(self):
        # A device that drops its state of the stream's connection drops the idle ones too. If the
        # entry reattached on idle connections, each would stay silent, and after three of them it
        # would give up the answer.
        async with path_of() as path:
            engine = ScriptedEngine()
            app = await path.sidecar(engine, proxy=True)
            entry = await path.entry()
            async with anyio.create_task_group() as group:
                for _ in range(12):
                    group.start_soon(send_request, path, entry)
            engine.hold_at = 3
            async with path.pool.stream(
                "POST", entry + CHAT, headers=[AUTH], content=chat()
            ) as answer:
                request_id = dict(answer.headers)[b"beryl-request-id"].decode()
                await eventually(lambda: app.runs.get(request_id).log.last_sequence == 3)
                path.hole.freeze()
                engine.release.set()
                body = await answer.aread()

        assert event_data(body) == engine.answer()

    async def test_silence_before_the_answer_does_not_run_the_request_again(self):
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=0)
            await path.sidecar(engine, "ledger", proxy=True)
            entry = await path.entry()
            answers = []

            async def note():
                answers.append(await send_request(path, entry, "/services/ledger/n", body=b"{}"))

            async with anyio.create_task_group() as group:
                group.start_soon(note)
                await eventually(lambda: engine.runs)
                path.hole.freeze()
                await eventually(lambda: path.hole.connections > 1)
                engine.release.set()

        assert (answers[0].status, len(engine.runs)) == (200, 1)

    async def test_stream_that_the_engine_breaks_off_ends_with_an_error(self):
        async with path_of() as path:
            engine = ScriptedEngine(break_at=3, resumes=False)
            await path.sidecar(engine)
            answer = await send_request(path, await path.entry())

        *events, last = event_data(answer.content)
        assert events == engine.answer()[:3]
        assert json.loads(last)["error"]["ran"] == "yes"

    async def test_unreachable_sidecar_leaves_the_outcome_unknown(self):
        # The sidecar becomes permanently unreachable after the request was sent. Whether it ran
        # can't be determined any more, and the error must say so.
        async with path_of(view_with(silence_s=0.4)) as path:
            engine = ScriptedEngine(hold_at=0)
            app = await path.sidecar(engine, "ledger", proxy=True)
            entry = await path.entry()
            answers = []

            async def note():
                answers.append(await send_request(path, entry, "/services/ledger/n", body=b"{}"))

            async with anyio.create_task_group() as group:
                group.start_soon(note)
                await eventually(lambda: engine.runs)
                path.endpoints.get("ledger-0").address = "127.0.0.1:1"
                path.hole.freeze()

        error = error_of(answers[0])
        assert (error["code"], error["ran"]) == ("outcome_unknown", "unknown")
        assert (len(engine.runs), len(app.runs)) == (1, 1)


class TestStall:
    @pytest.mark.parametrize("passes", [5, 11, 14, 17, 25, 30])
    async def test_requests_are_served_although_the_process_stalls(self, passes):
        """Guards against taking a stall of this process for silence of its peers.

        Entry, sidecar and engine run in one event loop. The number of its passes before the stall
        determines what the requests wait for meanwhile.
        """
        async with path_of() as path:
            engine = ScriptedEngine()
            await path.sidecar(engine)
            entry = await path.entry()
            requests = asyncio.gather(*[send_request(path, entry) for _ in range(20)])
            answers = await run_with_stall(requests, 1.5, passes=passes)

        assert [event_data(answer.content) for answer in answers] == [engine.answer()] * 20

    @pytest.mark.parametrize("passes", [2, 4, 6, 8, 10, 12, 14, 16])
    async def test_ticket_is_granted_although_the_process_stalls(self, passes, monkeypatch):
        """Guards against refusing tickets because sidecars seemed not to answer."""
        monkeypatch.setattr(sidecar_client, "_CONTROL_TIMEOUT_S", 0.3)
        async with path_of() as path:
            await path.sidecar(ScriptedEngine(), "ledger")
            entry = await path.entry()
            request = send_request(path, entry, "/v1/tickets", body=b'{"service": "ledger"}')
            answer = await run_with_stall(request, 1.0, passes=passes)

        assert answer.status == 200


class TestReportedOutcome:
    async def test_refusal_after_an_attempt_of_unknown_outcome_is_unknown(self):
        # The first endpoint breaks off without an answer, so the request may have run there. The
        # next one refuses it as not run. The caller must be told that it may have run.
        async with path_of() as path:
            for _ in range(2):
                await path.sidecar(ScriptedEngine(), address=await path.breaking_endpoint())
            entry = await path.entry()
            path.sidecars[0].start_draining()
            answers = [await send_request(path, entry, body=chat(stream=False)) for _ in range(6)]

        said = {error_of(answer)["ran"] for answer in answers}
        assert said == {"unknown"}


class TestResume:
    async def test_another_entry_continues_after_the_last_event(self):
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=2)
            await path.sidecar(engine)
            first, second = await path.entry(), await path.entry()
            async with path.pool.stream(
                "POST", first + CHAT, headers=[AUTH], content=chat()
            ) as broken:
                stream_id = dict(broken.headers)[b"beryl-stream-id"].decode()
                seen = b""
                async for chunk in broken.aiter_stream():
                    seen += chunk
                    if len(event_data(seen)) == 2:
                        break
            engine.release.set()

            rest = await send_request(
                path,
                second,
                f"/v1/streams/{stream_id}",
                method="GET",
                headers=[AUTH, ("last-event-id", last_event_id(seen))],
                body=b"",
            )

        assert event_data(seen) + event_data(rest.content) == engine.answer()
        assert len(engine.runs) == 1

    async def test_stream_of_another_account_is_not_found(self):
        async with path_of() as path:
            engine = ScriptedEngine()
            await path.sidecar(engine)
            entry = await path.entry()
            stream_id = dict((await send_request(path, entry)).headers)[b"beryl-stream-id"].decode()

            answer = await send_request(
                path,
                entry,
                f"/v1/streams/{stream_id}",
                method="GET",
                headers=[("authorization", f"Bearer {OTHER_KEY}")],
                body=b"",
            )

        assert (answer.status, b"word" in answer.content) == (404, False)

    async def test_stream_of_an_earlier_incarnation_is_not_mixed_with_a_later_run(self):
        # A caller's connection breaks after two events. The sidecar is replaced, and a late copy of
        # the request runs there with the same id. The events of that run have matching numbers but
        # other content, so the caller must not get them as the rest of its answer.
        async with path_of() as path:
            await path.sidecar(ScriptedEngine())
            entry = await path.entry()
            stream_id = dict((await send_request(path, entry)).headers)[b"beryl-stream-id"].decode()
            endpoint_id, _, request_id = stream_id.rsplit(".", 2)
            earlier = f"{endpoint_id}.earlier.{request_id}"
            headers = [AUTH, ("last-event-id", f"{earlier}.2")]
            rest = await send_request(
                path, entry, f"/v1/streams/{earlier}", method="GET", headers=headers
            )

        assert (rest.status, error_of(rest)["ran"]) == (404, "unknown")
        assert b"word" not in rest.content


class TestTickets:
    async def test_same_ticket_through_two_entries_runs_once(self):
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=0)
            await path.sidecar(engine, "ledger")
            entries = [await path.entry(), await path.entry()]
            granted = await send_request(
                path, entries[0], "/v1/tickets", body=b'{"service": "ledger"}'
            )
            headers = [AUTH, ("beryl-ticket", json.loads(granted.content)["ticket"])]
            answers = []

            async def note(entry):
                answers.append(
                    await send_request(
                        path, entry, "/services/ledger/n", headers=headers, body=b"{}"
                    )
                )

            async with anyio.create_task_group() as group:
                for entry in entries:
                    group.start_soon(note, entry)
                await eventually(lambda: engine.runs)
                engine.release.set()
            await note(entries[1])

        assert [answer.content for answer in answers] == [b'{"whole": true}'] * 3
        assert len(engine.runs) == 1

    async def test_leaving_endpoint_passes_each_request_on_once(self):
        async with path_of() as path:
            engines = [ScriptedEngine(), ScriptedEngine()]
            sidecars = [await path.sidecar(engine, "ledger") for engine in engines]
            entry = await path.entry()
            for _ in range(4):
                await send_request(path, entry, "/services/ledger/n", body=b"{}")
            before = sum(len(engine.runs) for engine in engines)
            sidecars[0].start_draining()
            gone = len(engines[0].runs)

            answers = [
                await send_request(path, entry, "/services/ledger/n", body=b"{}") for _ in range(6)
            ]

        assert [answer.status for answer in answers] == [200] * 6
        assert len(engines[0].runs) == gone
        assert len(engines[1].runs) + gone == before + 6

    async def test_entry_without_stamps_skips_a_leaving_endpoint(self):
        # A newly started entry sends its first calls to a leaving sidecar. It has no stamp of
        # another sidecar to name as successor, so the ticket is burned without one. The caller must
        # not get "not run" while the other endpoint has room.
        async with path_of() as path:
            engines = [ScriptedEngine(), ScriptedEngine()]
            sidecars = [await path.sidecar(engine, "ledger") for engine in engines]
            sidecars[0].start_draining()

            entries = [await path.entry() for _ in range(6)]
            answers = [
                await send_request(path, one, "/services/ledger/n", body=b"{}") for one in entries
            ]

        assert [answer.status for answer in answers] == [200] * 6
        assert [len(engine.runs) for engine in engines] == [0, 6]

    async def test_ticket_of_another_service_is_refused(self):
        async with path_of() as path:
            engine = ScriptedEngine()
            await path.sidecar(engine)
            await path.sidecar(engine, "ledger")
            entry = await path.entry()
            granted = await send_request(path, entry, "/v1/tickets", body=b'{"service": "drafter"}')
            headers = [AUTH, ("beryl-ticket", json.loads(granted.content)["ticket"])]

            answer = await send_request(
                path, entry, "/services/ledger/n", headers=headers, body=b"{}"
            )

        assert (error_of(answer)["code"], error_of(answer)["ran"]) == ("ticket_invalid", "no")
        assert engine.runs == []


class TestIdlePeriod:
    @pytest.mark.parametrize(
        ("service", "target"),
        [
            pytest.param("drafter", CHAT, id="may-be-repeated"),
            pytest.param("ledger", "/services/ledger/n", id="may-not-be-repeated"),
        ],
    )
    async def test_first_request_after_an_idle_hour_is_not_refused(self, service, target):
        # An endpoint gets no request for an hour, so the entry's stamp of its sidecar is an hour
        # old. The next request must not be mistaken for one that was sent an hour ago.
        async with path_of() as path:
            engine = ScriptedEngine()
            app = await path.sidecar(engine, service)
            entry = await path.entry()
            await send_request(path, entry, target)
            pass_time(path, app, 3_600.0)

            answer = await send_request(path, entry, target)

        events = [event.kind for event in path.entry_app.timeline.events()]
        assert (answer.status, len(engine.runs)) == (200, 2)
        assert "try_refused" not in events


def pass_time(path, app, elapsed_s):
    """Shift the clocks of sidecar and entry as if time had passed."""
    for system in (app.run_manager.tickets, app.run_manager.tombstones):
        system.clock._started_s -= elapsed_s
    stamps = path.entry_app._sidecars._last_stamps
    for endpoint_id, row in stamps.items():
        stamps[endpoint_id] = attrs.evolve(row, received_s=row.received_s - elapsed_s)


class TestDisconnect:
    async def test_cancels_an_unstreamed_request(self):
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=0)
            await path.sidecar(engine)
            entry = await path.entry()
            async with anyio.create_task_group() as group:
                group.start_soon(lambda: send_request(path, entry, body=chat(stream=False)))
                await eventually(lambda: engine.runs)
                group.cancel_scope.cancel()

            await eventually(lambda: engine.cancelled == engine.runs)


class TestRouteHint:
    async def test_hint_routes_to_the_named_endpoint(self):
        async with path_of() as path:
            engines = [ScriptedEngine() for _ in range(6)]
            for engine in engines:
                await path.sidecar(engine)
            entry = await path.entry()

            for i in range(6):
                hint = ("beryl-route-hint", f"drafter-{i}")
                await send_request(
                    path, entry, headers=[AUTH, hint], body=chat(prompt_cache_key="c")
                )

        assert [len(engine.runs) for engine in engines] == [1] * 6
