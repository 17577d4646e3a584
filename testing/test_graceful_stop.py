import anyio
import attrs
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.graceful_stop import GracefulStop, Stoppable
from beryljunction.tables import Endpoint
from beryljunction.wire import ATTACH_PATH, DRAIN_PATH, Attach, Drain, Envelope
from path_fakes import (
    AUTH,
    ScriptedEngine,
    chat,
    error_of,
    event_data,
    eventually,
    path_of,
    view_with,
)

pytestmark = pytest.mark.anyio
CHAT = "/v1/chat/completions"
STREAM = Envelope("r1", "jury", "drafter", wait_s=10.0, streamed=True)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeStoppable(Stoppable):
    def __init__(self):
        self.left = 1
        self.steps = []

    @property
    def in_flight(self):
        return self.left

    def start_draining(self):
        self.steps.append("refuse")

    async def hand_over(self):
        self.steps.append("hand_over")


class TestGracefulStop:
    async def test_waits_for_requests_in_flight_then_hands_over_once(self):
        app = FakeStoppable()
        stop = GracefulStop(app, drain_delay_s=0.0)
        async with anyio.create_task_group() as group:
            group.start_soon(stop.run)
            stop.request()
            await anyio.sleep(0.2)
            stop.request()
            before_end = list(app.steps)
            app.left = 0

        assert set(before_end) == {"refuse"}
        assert app.steps == [*before_end, "hand_over"]

    async def test_listener_stays_open_until_nothing_is_in_flight(self):
        # A sidecar gets SIGTERM during a stream, and then the reader's connection fails. The entry
        # must be able to open a new connection to the sidecar to read the rest of the response.
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=2)
            app = await path.sidecar(engine)
            stop = GracefulStop(app, [path.servers[-1]], drain_delay_s=0.0)
            path.group.start_soon(stop.run)
            async with path.open_run(STREAM):
                await eventually(lambda: app.runs.get("r1").log.last_sequence == 2)
            stop.request()
            stop.request()
            engine.release.set()

            answer = await path.tell(ATTACH_PATH, Attach("r1", "jury", after=2))

        assert event_data(answer.content) == engine.answer()[2:]


class TestSidecarStop:
    async def test_refuses_new_requests_as_not_run_and_finishes_those_in_flight(self):
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=0)
            app = await path.sidecar(engine)
            answers = []

            async def run_request():
                ticket = app.run_manager.tickets.mint("jury", boot_time_s())
                heard = app.run_manager.tickets.stamp(boot_time_s()).to_text()
                envelope = attrs.evolve(
                    STREAM, streamed=False, idempotent=False, ticket=ticket, heard=heard
                )
                answers.append(await path.run(envelope, b"{}"))

            async with anyio.create_task_group() as group:
                group.start_soon(run_request)
                await eventually(lambda: engine.runs)
                await path.tell(DRAIN_PATH, Drain())
                refused = await path.run(Envelope("r2", "jury", "drafter", wait_s=1.0))
                in_flight = app.in_flight
                engine.release.set()

        assert (error_of(refused)["code"], error_of(refused)["ran"]) == ("endpoint_leaving", "no")
        assert (answers[0].content, in_flight) == (b'{"whole": true}', 1)

    async def test_run_retained_for_a_resume_counts_as_in_flight(self):
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=2)
            app = await path.sidecar(engine)
            async with path.open_run(STREAM):
                await eventually(lambda: app.runs.get("r1").log.last_sequence == 2)

            app.start_draining()
            await eventually(lambda: app.runs.get("r1").readers == [])

            assert app.in_flight == 1


class TestEntryStop:
    async def test_completes_fifty_open_streams_and_refuses_new_requests(self):
        # An entry gets SIGTERM with 50 open streams, and another one during the stop. Its callers
        # get complete responses; a new request is refused as "not run" with a Retry-After header.
        # On a busy host, opening 50 streams may take longer than the other tests' idle timeout.
        async with path_of(view_with(silence_s=30.0, engine_silence_s=30.0)) as path:
            engine = ScriptedEngine(hold_at=2)
            await path.sidecar(engine)
            entry = await path.entry()
            app = path.entry_app
            stop = GracefulStop(app, [path.servers[-1]], drain_delay_s=0.0)
            answers = []

            async def ask():
                answers.append(
                    await path.pool.request("POST", entry + CHAT, headers=[AUTH], content=chat())
                )

            async with anyio.create_task_group() as group:
                for _ in range(50):
                    group.start_soon(ask)
                await eventually(lambda: app.in_flight == 50)
                group.start_soon(stop.run)
                stop.request()
                stop.request()
                refused = await path.pool.request(
                    "POST", entry + CHAT, headers=[AUTH], content=chat()
                )
                engine.release.set()

        errors = {answer.content for answer in answers if not event_data(answer.content)}
        assert [event_data(answer.content) for answer in answers] == [engine.answer()] * 50, errors
        assert (error_of(refused)["ran"], refused.status) == ("no", 503)
        assert dict(refused.headers)[b"retry-after"] == b"1"

    @pytest.mark.parametrize(
        ("method", "target", "header"),
        [
            pytest.param("GET", "/v1/streams/a.b.c", ("accept", "*/*"), id="resume"),
            pytest.param("POST", CHAT, ("idempotency-key", "k"), id="key"),
            pytest.param("POST", CHAT, ("beryl-ticket", "t"), id="ticket"),
        ],
    )
    async def test_outcome_is_unknown_when_another_entry_may_have_run_it(
        self, method, target, header
    ):
        async with path_of() as path:
            entry = await path.entry()
            path.entry_app.start_draining()
            answer = await path.pool.request(method, entry + target, headers=[AUTH, header])

        assert (error_of(answer)["code"], error_of(answer)["ran"]) == (
            "endpoint_leaving",
            "unknown",
        )


class TestHandOver:
    async def test_next_home_learns_where_chats_are_cached(self):
        # The home of some chats leaves and sends their pointers to their next home, so that the
        # chats don't start cold. Chats cached on the leaving endpoint itself are lost with it.
        async with path_of() as path:
            apps = [await path.sidecar(ScriptedEngine()) for _ in range(3)]
            for app in apps:
                app.members = path.endpoints
            now_s = anyio.current_time()
            for chat_key in range(40):
                apps[0].admission.pointers.record_location(chat_key, "drafter-1", 900, now_s)
            apps[0].admission.pointers.record_location(99, "drafter-0", 900, now_s)

            await apps[0].hand_over()

        known = [
            {row.chat_key: row.endpoint_id for row in app.admission.pointers.chats.rows()}
            for app in apps[1:]
        ]
        assert known[0].keys() | known[1].keys() == set(range(40))
        assert set(known[0].values()) | set(known[1].values()) == {"drafter-1"}

    async def test_unreachable_successor_does_not_delay_the_stop(self):
        async with path_of() as path:
            app = await path.sidecar(ScriptedEngine())
            app.members.put(Endpoint("drafter-8", "drafter", "ahd-a", "127.0.0.1:1"))
            app.admission.pointers.record_location(7, "drafter-8", 900, anyio.current_time())

            await app.hand_over()
