import anyio
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.wire import (
    ATTACH_PATH,
    CANCEL_PATH,
    OUTCOME_HEADER,
    Attach,
    Cancel,
    Envelope,
)
from path_fakes import ScriptedEngine, error_of, event_data, eventually, path_of, view_with

pytestmark = pytest.mark.anyio
STREAM = Envelope("r1", "jury", "drafter", wait_s=10.0, streamed=True)
PLAIN = Envelope("r1", "jury", "drafter", wait_s=10.0)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def ticket_request(app, ticket=None, request_id="r1", **fields):
    """Return a non-idempotent request with a ticket."""
    ticket = ticket or app.run_manager.tickets.mint("jury", boot_time_s())
    fields.setdefault("heard", current_stamp(app))
    return Envelope(
        request_id, "jury", "drafter", wait_s=10.0, idempotent=False, ticket=ticket, **fields
    )


def current_stamp(app):
    return app.run_manager.tombstones.stamp(boot_time_s()).to_text()


def outcome_of(response):
    return dict(response.headers)[OUTCOME_HEADER].decode()


async def start_and_disconnect(path, envelope, body=b'{"stream": true}'):
    """Start a run and disconnect its reader as soon as the endpoint has the request."""
    engine_runs = len(path.engine.runs)
    async with anyio.create_task_group() as group:
        group.start_soon(path.run, envelope, body)
        await eventually(lambda: len(path.engine.runs) > engine_runs)
        group.cancel_scope.cancel()


class TestAttach:
    async def test_continues_after_the_last_frame_received(self):
        # The reader's connection breaks during the answer. The run continues without a reader. The
        # entry attaches on a new connection and gets each missing frame once.
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=3)
            await path.sidecar(path.engine)
            await start_and_disconnect(path, STREAM)
            path.engine.release.set()

            answer = await path.tell(ATTACH_PATH, Attach("r1", "jury", after=2))

        assert outcome_of(answer) == "stream"
        assert event_data(answer.content) == path.engine.answer()[2:]
        assert path.engine.runs == ["r1"]

    async def test_unknown_run_gets_a_tombstone_that_stops_its_late_arrival(self):
        # The request is delayed in a connection that the entry has given up, and the sidecar
        # answers "not run". When the request arrives late it must not run; the next attempt may.
        async with path_of() as path:
            path.engine = ScriptedEngine()
            app = await path.sidecar(path.engine)

            response = await path.tell(ATTACH_PATH, Attach("r1", "jury", current_stamp(app)))
            late = await path.run(STREAM)
            runs_after_late = list(path.engine.runs)
            second = await path.run(
                Envelope("r1", "jury", "drafter", wait_s=10.0, streamed=True, attempt=1)
            )

        assert (error_of(response)["ran"], error_of(late)["ran"]) == ("no", "no")
        assert runs_after_late == []
        assert event_data(second.content) == path.engine.answer()

    async def test_tombstone_refusal_does_not_deny_another_run_of_the_ticket(self):
        # A fee confirmation runs, and a second attempt under the same ticket has a tombstone when
        # it arrives. Its refusal must not claim that nothing ran under the ticket.
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=0)
            app = await path.sidecar(path.engine)
            first = ticket_request(app)
            await start_and_disconnect(path, first, b"{}")

            await path.tell(ATTACH_PATH, Attach("r2", "jury", current_stamp(app)))
            tombstoned = await path.run(ticket_request(app, first.ticket, "r2"), b"{}")
            path.engine.release.set()
            again = await path.run(ticket_request(app, first.ticket, "r2", attempt=1), b"{}")

        assert error_of(tombstoned)["code"] == "stale_stamp"
        assert (again.content, path.engine.runs) == (b'{"whole": true}', ["r1"])

    @pytest.mark.parametrize("known", ["", "drafter-0/gone/0"], ids=["none", "earlier-start"])
    async def test_outcome_is_unknown_without_proof(self, known):
        # The sidecar restarted after the entry had sent the request. The earlier process may have
        # run it, which this one cannot know.
        async with path_of() as path:
            await path.sidecar(ScriptedEngine())

            response = await path.tell(ATTACH_PATH, Attach("r1", "jury", known))

        assert error_of(response)["ran"] == "unknown"

    async def test_answer_is_pending_until_there_is_something_to_read(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=0)
            await path.sidecar(path.engine)

            first = await path.run(PLAIN, b"{}")
            path.engine.release.set()
            answer = await path.tell(ATTACH_PATH, Attach("r1", "jury"))

        assert (outcome_of(first), outcome_of(answer)) == ("pending", "answer")
        assert (answer.content, path.engine.runs) == (b'{"whole": true}', ["r1"])

    async def test_run_of_another_account_is_not_found(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=1)
            await path.sidecar(path.engine)
            await start_and_disconnect(path, STREAM)

            response = await path.tell(ATTACH_PATH, Attach("r1", "other", resume=True))

        assert error_of(response)["code"] == "not_found"

    async def test_position_before_the_kept_frames_is_refused(self):
        async with path_of(view_with(kept_bytes=200)) as path:
            path.engine = ScriptedEngine(words=40, pad="x" * 50)
            await path.sidecar(path.engine)
            await path.run(STREAM)

            response = await path.tell(ATTACH_PATH, Attach("r1", "jury", after=1, resume=True))

        assert (error_of(response)["code"], error_of(response)["ran"]) == (
            "answer_incomplete",
            "yes",
        )


class TestEndpointFailures:
    async def test_refused_connection_proves_that_the_request_did_not_run(self):
        async with path_of() as path:
            await path.sidecar(None, address="127.0.0.1:1")
            response = await path.run(STREAM)

        assert error_of(response)["ran"] == "no"

    async def test_broken_connection_before_the_answer_leaves_the_outcome_unknown(self):
        async with path_of() as path:
            await path.sidecar(None, address=await path.breaking_endpoint())

            response = await path.run(PLAIN, b"{}")

        assert error_of(response)["ran"] == "unknown"

    @pytest.mark.parametrize("fault", ["silent_at", "break_at"])
    async def test_broken_stream_is_resumed_at_the_engine(self, fault):
        # The engine's connection goes silent or breaks during the answer. The sidecar requests the
        # rest on a new connection, and the reader gets one complete answer.
        async with path_of() as path:
            path.engine = ScriptedEngine(**{fault: 3})
            await path.sidecar(path.engine)

            answer = await path.run(STREAM)

        assert event_data(answer.content) == path.engine.answer()
        assert path.engine.runs == ["r1"]

    async def test_stream_that_the_engine_cannot_resume_ends_with_an_error(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(break_at=3, resumes=False)
            await path.sidecar(path.engine)

            answer = await path.run(STREAM)

        assert event_data(answer.content)[:3] == path.engine.answer()[:3]
        assert b"event: error" in answer.content
        assert b"[DONE]" not in answer.content

    async def test_503_from_the_endpoint_is_forwarded(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(status=503)
            await path.sidecar(path.engine)

            answer = await path.run(PLAIN, b"{}")

        assert (answer.status, outcome_of(answer)) == (503, "answer")
        assert dict(answer.headers)[b"x-own"] == b"kept"


class TestCancel:
    async def test_cancels_a_request_without_stream_at_the_engine(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=0)
            await path.sidecar(path.engine)
            await start_and_disconnect(path, PLAIN, b"{}")

            await path.tell(CANCEL_PATH, Cancel("r1", "jury"))

            await eventually(lambda: path.engine.cancelled == ["r1"])

    async def test_non_idempotent_run_continues_and_its_answer_is_kept(self):
        # The caller of a fee confirmation disconnects while it runs. A cancelled run could leave
        # the fee confirmed and the caller without an answer, so the run continues and a retry gets
        # its answer.
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=0)
            app = await path.sidecar(path.engine)
            first = ticket_request(app)
            await start_and_disconnect(path, first, b"{}")

            await path.tell(CANCEL_PATH, Cancel("r1", "jury"))
            path.engine.release.set()
            answer = await path.run(ticket_request(app, first.ticket, "r2"), b"{}")

        assert answer.content == b'{"whole": true}'
        assert (path.engine.runs, path.engine.cancelled) == (["r1"], [])

    async def test_cancel_of_another_account_is_ignored(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=0)
            await path.sidecar(path.engine)
            await start_and_disconnect(path, PLAIN, b"{}")

            await path.tell(CANCEL_PATH, Cancel("r1", "other"))
            path.engine.release.set()
            answer = await path.tell(ATTACH_PATH, Attach("r1", "jury"))

        assert (answer.content, path.engine.cancelled) == (b'{"whole": true}', [])

    async def test_stream_without_reader_is_cancelled_after_resume_s(self):
        async with path_of(view_with(resume_s=0.3)) as path:
            path.engine = ScriptedEngine(hold_at=3)
            await path.sidecar(path.engine)
            await start_and_disconnect(path, STREAM)

            await eventually(lambda: path.engine.cancelled == ["r1"])


class TestTickets:
    async def test_retry_gets_the_stored_answer(self):
        async with path_of() as path:
            path.engine = ScriptedEngine()
            app = await path.sidecar(path.engine)
            first = ticket_request(app)
            answers = [await path.run(first, b"{}")]
            app.runs.remove(app.runs.get("r1"))

            answers.append(await path.run(ticket_request(app, first.ticket, "r2"), b"{}"))

        assert [answer.content for answer in answers] == [b'{"whole": true}'] * 2
        assert path.engine.runs == ["r1"]

    async def test_retry_gets_the_stored_stream_from_its_first_frame(self):
        async with path_of() as path:
            path.engine = ScriptedEngine()
            app = await path.sidecar(path.engine)
            first = ticket_request(app, streamed=True)
            whole = await path.run(first)
            app.runs.remove(app.runs.get("r1"))

            again = await path.run(ticket_request(app, first.ticket, "r2", streamed=True))

        assert event_data(again.content) == event_data(whole.content) == path.engine.answer()
        assert path.engine.runs == ["r1"]

    async def test_concurrent_retries_read_one_run(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=2)
            app = await path.sidecar(path.engine)
            ticket = app.run_manager.tickets.mint("jury", boot_time_s())
            answers = []

            async def ask(request_id):
                envelope = ticket_request(app, ticket, request_id, streamed=True)
                answers.append(await path.run(envelope))

            async with anyio.create_task_group() as group:
                group.start_soon(ask, "r1")
                group.start_soon(ask, "r2")
                await eventually(lambda: path.engine.runs and app.runs.get("r2"))
                path.engine.release.set()

        assert [event_data(answer.content) for answer in answers] == [path.engine.answer()] * 2
        assert len(path.engine.runs) == 1

    async def test_request_without_ticket_is_refused_before_it_reaches_the_endpoint(self):
        async with path_of() as path:
            path.engine = ScriptedEngine()
            await path.sidecar(path.engine)
            without_ticket = Envelope("r1", "jury", "drafter", wait_s=10.0, idempotent=False)

            response = await path.run(without_ticket, b"{}")

        assert (error_of(response)["code"], error_of(response)["ran"]) == ("ticket_invalid", "no")
        assert path.engine.runs == []

    async def test_refusals_of_a_ticket_name_one_successor(self):
        async with path_of() as path:
            path.engine = ScriptedEngine()
            app = await path.sidecar(path.engine)
            app.start_draining()
            first = ticket_request(app, candidates=("drafter-1/other/5",))

            responses = [await path.run(first, b"{}")]
            responses.append(await path.run(ticket_request(app, first.ticket, "r2"), b"{}"))

        successors = {error_of(answer)["successor"] for answer in responses}
        assert (len(successors), path.engine.runs) == (1, [])


class TestSlowReader:
    async def test_slow_reader_blocks_the_engine_in_bounded_memory(self):
        # A reader reads nothing while the engine produces megabytes. The sidecar buffers no more
        # than its bound and stops reading. When the reader continues, it gets the whole answer.
        view = view_with(kept_bytes=10_000)
        async with path_of(view) as path:
            path.engine = ScriptedEngine(words=2_000, pad="x" * 2_000)
            app = await path.sidecar(path.engine)
            async with path.open_run(STREAM) as answer:
                await eventually(lambda: app.runs.get("r1").log.full)
                kept_bytes = app.runs.get("r1").log.size_bytes
                await answer.aread()

        assert kept_bytes < 2 * 10_000 + 65_536
        assert event_data(answer.content) == path.engine.answer()


class TestHeartbeats:
    async def test_heartbeats_are_sent_on_an_idle_stream(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=3)
            await path.sidecar(path.engine)
            path.group.start_soon(_release_after_delay, path.engine)

            answer = await path.run(STREAM)

        assert b": heartbeat\n\n" in answer.content
        assert event_data(answer.content) == path.engine.answer()


async def _release_after_delay(engine):
    await anyio.sleep(0.5)
    engine.release.set()
