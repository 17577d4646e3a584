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


def note(app, ticket=None, request_id="r1", **fields):
    """Return a request that may not run twice, under a ticket."""
    ticket = ticket or app.keeper.tickets.mint("jury", boot_time_s())
    fields.setdefault("heard", heard(app))
    return Envelope(
        request_id, "jury", "drafter", wait_s=10.0, idempotent=False, ticket=ticket, **fields
    )


def heard(app):
    return app.keeper.tombstones.stamp(boot_time_s()).to_text()


def outcome(response):
    return dict(response.headers)[OUTCOME_HEADER].decode()


async def start(path, envelope, body=b'{"stream": true}'):
    """Send a run whose reader breaks off as soon as the endpoint has it."""
    engine_runs = len(path.engine.runs)
    async with anyio.create_task_group() as group:
        group.start_soon(path.run, envelope, body)
        await eventually(lambda: len(path.engine.runs) > engine_runs)
        group.cancel_scope.cancel()


class TestAttach:
    async def test_goes_on_after_the_last_sequence_that_was_seen(self):
        # The reader's connection breaks in mid-answer. The run goes on without a reader; the
        # entry attaches on a new connection and gets the frames it has not seen, once each.
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=3)
            await path.sidecar(path.engine)
            await start(path, STREAM)
            path.engine.release.set()

            answer = await path.tell(ATTACH_PATH, Attach("r1", "jury", after=2))

        assert outcome(answer) == "stream"
        assert event_data(answer.content) == path.engine.answer()[2:]
        assert path.engine.runs == ["r1"]

    async def test_of_a_run_that_never_came_leaves_a_tombstone_for_its_late_arrival(self):
        # The entry's bytes are stuck in a connection that it has given up. The sidecar says "not
        # run"; when the bytes arrive after all, that must stay true, but the next try may start.
        async with path_of() as path:
            path.engine = ScriptedEngine()
            app = await path.sidecar(path.engine)

            said = await path.tell(ATTACH_PATH, Attach("r1", "jury", heard(app)))
            late = await path.run(STREAM)
            runs_after_late = list(path.engine.runs)
            second = await path.run(
                Envelope("r1", "jury", "drafter", wait_s=10.0, streamed=True, attempt=1)
            )

        assert (error_of(said)["ran"], error_of(late)["ran"]) == ("no", "no")
        assert runs_after_late == []
        assert event_data(second.content) == path.engine.answer()

    async def test_leaves_the_ticket_of_a_buried_try_unjudged(self):
        # A fee confirmation runs; the caller's second try under its ticket is buried before it
        # arrives. Its refusal must not say that nothing under the ticket ran.
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=0)
            app = await path.sidecar(path.engine)
            first = note(app)
            await start(path, first, b"{}")

            await path.tell(ATTACH_PATH, Attach("r2", "jury", heard(app)))
            buried = await path.run(note(app, first.ticket, "r2"), b"{}")
            path.engine.release.set()
            again = await path.run(note(app, first.ticket, "r2", attempt=1), b"{}")

        assert error_of(buried)["code"] == "stale_stamp"
        assert (again.content, path.engine.runs) == (b'{"whole": true}', ["r1"])

    @pytest.mark.parametrize("known", ["", "drafter-0/gone/0"], ids=["none", "earlier-life"])
    async def test_says_unknown_when_it_can_not_prove_more(self, known):
        # The sidecar started anew since the entry sent the request: the earlier life may have run
        # it, and nobody here can tell.
        async with path_of() as path:
            await path.sidecar(ScriptedEngine())

            said = await path.tell(ATTACH_PATH, Attach("r1", "jury", known))

        assert error_of(said)["ran"] == "unknown"

    async def test_says_pending_while_there_is_nothing_to_read(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=0)
            await path.sidecar(path.engine)

            first = await path.run(PLAIN, b"{}")
            path.engine.release.set()
            answer = await path.tell(ATTACH_PATH, Attach("r1", "jury"))

        assert (outcome(first), outcome(answer)) == ("pending", "answer")
        assert (answer.content, path.engine.runs) == (b'{"whole": true}', ["r1"])

    async def test_of_another_account_learns_nothing(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=1)
            await path.sidecar(path.engine)
            await start(path, STREAM)

            said = await path.tell(ATTACH_PATH, Attach("r1", "other", resume=True))

        assert error_of(said)["code"] == "not_found"

    async def test_before_the_frames_that_are_kept_is_a_typed_error(self):
        async with path_of(view_with(kept_bytes=200)) as path:
            path.engine = ScriptedEngine(words=40, pad="x" * 50)
            await path.sidecar(path.engine)
            await path.run(STREAM)

            said = await path.tell(ATTACH_PATH, Attach("r1", "jury", after=1, resume=True))

        assert (error_of(said)["code"], error_of(said)["ran"]) == ("answer_incomplete", "yes")


class TestEndpointFailures:
    async def test_no_connection_proves_that_it_did_not_run(self):
        async with path_of() as path:
            await path.sidecar(None, address="127.0.0.1:1")
            said = await path.run(STREAM)

        assert error_of(said)["ran"] == "no"

    async def test_break_before_the_answer_leaves_it_unknown(self):
        async with path_of() as path:
            await path.sidecar(None, address=await path.breaking_endpoint())

            said = await path.run(PLAIN, b"{}")

        assert error_of(said)["ran"] == "unknown"

    @pytest.mark.parametrize("fault", ["silent_at", "break_at"])
    async def test_stream_is_resumed_at_the_engine(self, fault):
        # The engine's connection goes silent, or ends, before the answer does. The sidecar asks
        # the engine for the rest on a new connection; the reader sees one whole answer.
        async with path_of() as path:
            path.engine = ScriptedEngine(**{fault: 3})
            await path.sidecar(path.engine)

            answer = await path.run(STREAM)

        assert event_data(answer.content) == path.engine.answer()
        assert path.engine.runs == ["r1"]

    async def test_stream_that_the_engine_can_not_resume_ends_in_an_error(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(break_at=3, resumes=False)
            await path.sidecar(path.engine)

            answer = await path.run(STREAM)

        assert event_data(answer.content)[:3] == path.engine.answer()[:3]
        assert b"event: error" in answer.content
        assert b"[DONE]" not in answer.content

    async def test_own_503_of_the_endpoint_is_its_answer(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(status=503)
            await path.sidecar(path.engine)

            answer = await path.run(PLAIN, b"{}")

        assert (answer.status, outcome(answer)) == (503, "answer")
        assert dict(answer.headers)[b"x-own"] == b"kept"


class TestCancel:
    async def test_ends_unstreamed_work_at_the_engine(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=0)
            await path.sidecar(path.engine)
            await start(path, PLAIN, b"{}")

            await path.tell(CANCEL_PATH, Cancel("r1", "jury"))

            await eventually(lambda: path.engine.cancelled == ["r1"])

    async def test_leaves_a_run_that_may_not_be_repeated_and_keeps_its_answer(self):
        # The caller of a fee confirmation hangs up while it runs. Cutting it would leave the fee
        # confirmed and its caller without an answer, so the run ends and its retry is answered.
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=0)
            app = await path.sidecar(path.engine)
            first = note(app)
            await start(path, first, b"{}")

            await path.tell(CANCEL_PATH, Cancel("r1", "jury"))
            path.engine.release.set()
            answer = await path.run(note(app, first.ticket, "r2"), b"{}")

        assert answer.content == b'{"whole": true}'
        assert (path.engine.runs, path.engine.cancelled) == (["r1"], [])

    async def test_of_another_account_is_ignored(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=0)
            await path.sidecar(path.engine)
            await start(path, PLAIN, b"{}")

            await path.tell(CANCEL_PATH, Cancel("r1", "other"))
            path.engine.release.set()
            answer = await path.tell(ATTACH_PATH, Attach("r1", "jury"))

        assert (answer.content, path.engine.cancelled) == (b'{"whole": true}', [])

    async def test_stream_without_reader_is_cancelled_after_its_time_for_a_resume(self):
        async with path_of(view_with(resume_s=0.3)) as path:
            path.engine = ScriptedEngine(hold_at=3)
            await path.sidecar(path.engine)
            await start(path, STREAM)

            await eventually(lambda: path.engine.cancelled == ["r1"])


class TestTickets:
    async def test_finished_answer_is_given_to_a_retry_through_any_entry(self):
        async with path_of() as path:
            path.engine = ScriptedEngine()
            app = await path.sidecar(path.engine)
            first = note(app)
            answers = [await path.run(first, b"{}")]
            app.runs.remove(app.runs.get("r1"))

            answers.append(await path.run(note(app, first.ticket, "r2"), b"{}"))

        assert [answer.content for answer in answers] == [b'{"whole": true}'] * 2
        assert path.engine.runs == ["r1"]

    async def test_stream_is_given_again_from_its_first_frame(self):
        async with path_of() as path:
            path.engine = ScriptedEngine()
            app = await path.sidecar(path.engine)
            first = note(app, streamed=True)
            whole = await path.run(first)
            app.runs.remove(app.runs.get("r1"))

            again = await path.run(note(app, first.ticket, "r2", streamed=True))

        assert event_data(again.content) == event_data(whole.content) == path.engine.answer()
        assert path.engine.runs == ["r1"]

    async def test_two_retries_read_one_run(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=2)
            app = await path.sidecar(path.engine)
            ticket = app.keeper.tickets.mint("jury", boot_time_s())
            answers = []

            async def ask(request_id):
                envelope = note(app, ticket, request_id, streamed=True)
                answers.append(await path.run(envelope))

            async with anyio.create_task_group() as group:
                group.start_soon(ask, "r1")
                group.start_soon(ask, "r2")
                await eventually(lambda: path.engine.runs and app.runs.get("r2"))
                path.engine.release.set()

        assert [event_data(answer.content) for answer in answers] == [path.engine.answer()] * 2
        assert len(path.engine.runs) == 1

    async def test_without_a_ticket_is_refused_before_the_endpoint_sees_a_byte(self):
        async with path_of() as path:
            path.engine = ScriptedEngine()
            await path.sidecar(path.engine)
            bare = Envelope("r1", "jury", "drafter", wait_s=10.0, idempotent=False)

            said = await path.run(bare, b"{}")

        assert (error_of(said)["code"], error_of(said)["ran"]) == ("ticket_invalid", "no")
        assert path.engine.runs == []

    async def test_refused_work_is_led_to_one_successor(self):
        async with path_of() as path:
            path.engine = ScriptedEngine()
            app = await path.sidecar(path.engine)
            app.refuse_new()
            first = note(app, candidates=("drafter-1/other/5",))

            said = [await path.run(first, b"{}")]
            said.append(await path.run(note(app, first.ticket, "r2"), b"{}"))

        successors = {error_of(answer)["successor"] for answer in said}
        assert (len(successors), path.engine.runs) == (1, [])


class TestSlowReader:
    async def test_holds_the_engine_back_in_bounded_memory(self):
        # A reader takes nothing while the engine produces megabytes. The sidecar keeps no more
        # than its bound and stops reading; when the reader goes on, the answer is whole.
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
    async def test_flow_on_a_quiet_stream(self):
        async with path_of() as path:
            path.engine = ScriptedEngine(hold_at=3)
            await path.sidecar(path.engine)
            path.group.start_soon(_release_later, path.engine)

            answer = await path.run(STREAM)

        assert b": heartbeat\n\n" in answer.content
        assert event_data(answer.content) == path.engine.answer()


async def _release_later(engine):
    await anyio.sleep(0.5)
    engine.release.set()
