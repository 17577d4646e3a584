import anyio
import attrs
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.stops import GracefulStop, Stoppable
from beryljunction.tables import Endpoint
from beryljunction.wire import ATTACH_PATH, DRAIN_PATH, Attach, Drain, Envelope
from path_fakes import AUTH, ScriptedEngine, chat, error_of, event_data, eventually, path_of

pytestmark = pytest.mark.anyio
CHAT = "/v1/chat/completions"
STREAM = Envelope("r1", "jury", "drafter", wait_s=10.0, streamed=True)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakePart(Stoppable):
    def __init__(self):
        self.left = 1
        self.steps = []

    @property
    def in_flight(self):
        return self.left

    def refuse_new(self):
        self.steps.append("refuse")

    async def hand_over(self):
        self.steps.append("hand_over")


class TestGracefulStop:
    async def test_waits_for_what_is_in_flight_then_hands_over_once(self):
        part = FakePart()
        stop = GracefulStop(part, settle_s=0.0)
        async with anyio.create_task_group() as group:
            group.start_soon(stop.run)
            stop.request()
            await anyio.sleep(0.2)
            stop.request()
            before_end = list(part.steps)
            part.left = 0

        assert set(before_end) == {"refuse"}
        assert part.steps == [*before_end, "hand_over"]

    async def test_listener_stays_open_until_nothing_is_in_flight(self):
        # SIGTERM comes while a stream runs, and its reader's connection breaks after that. The
        # entry must reach the sidecar on a new connection, or the answer would be cut.
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=2)
            app = await path.sidecar(engine)
            stop = GracefulStop(app, [path.servers[-1]], settle_s=0.0)
            path.group.start_soon(stop.run)
            async with path.open_run(STREAM):
                await eventually(lambda: app.runs.get("r1").log.last == 2)
            stop.request()
            stop.request()
            engine.release.set()

            answer = await path.tell(ATTACH_PATH, Attach("r1", "jury", after=2))

        assert event_data(answer.content) == engine.answer()[2:]


class TestSidecarStop:
    async def test_new_work_is_refused_as_not_run_and_work_in_flight_ends(self):
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=0)
            app = await path.sidecar(engine)
            answers = []

            async def note():
                ticket = app.keeper.tickets.mint("jury", boot_time_s())
                heard = app.keeper.tickets.stamp(boot_time_s()).to_text()
                envelope = attrs.evolve(
                    STREAM, streamed=False, idempotent=False, ticket=ticket, heard=heard
                )
                answers.append(await path.run(envelope, b"{}"))

            async with anyio.create_task_group() as group:
                group.start_soon(note)
                await eventually(lambda: engine.runs)
                await path.tell(DRAIN_PATH, Drain())
                refused = await path.run(Envelope("r2", "jury", "drafter", wait_s=1.0))
                in_flight = app.in_flight
                engine.release.set()

        assert (error_of(refused)["code"], error_of(refused)["ran"]) == ("endpoint_leaving", "no")
        assert (answers[0].content, in_flight) == (b'{"whole": true}', 1)

    async def test_run_that_is_kept_for_a_resume_is_in_flight(self):
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=2)
            app = await path.sidecar(engine)
            async with path.open_run(STREAM):
                await eventually(lambda: app.runs.get("r1").log.last == 2)

            app.refuse_new()
            await eventually(lambda: app.runs.get("r1").readers == [])

            assert app.in_flight == 1


class TestEntryStop:
    async def test_fifty_open_streams_end_whole_and_new_work_is_told_to_go_elsewhere(self):
        # An entry gets SIGTERM with 50 streams open, and a second one during the stop. Its callers
        # read whole answers; a new caller is told "not run" and when to ask again, elsewhere.
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=2)
            await path.sidecar(engine)
            entry = await path.entry()
            app = path.entry_app
            stop = GracefulStop(app, [path.servers[-1]], settle_s=0.0)
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

        assert [event_data(answer.content) for answer in answers] == [engine.answer()] * 50
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
    async def test_claims_nothing_of_what_another_entry_may_have_run(self, method, target, header):
        async with path_of() as path:
            entry = await path.entry()
            path.entry_app.refuse_new()
            answer = await path.pool.request(method, entry + target, headers=[AUTH, header])

        assert (error_of(answer)["code"], error_of(answer)["ran"]) == (
            "endpoint_leaving",
            "unknown",
        )


class TestHandOver:
    async def test_chats_that_lie_elsewhere_are_found_by_the_next_home(self):
        # The home of some chats leaves. Their next home is told where they lie, so that they do
        # not start cold there; what lay on the leaving endpoint is gone with its cache.
        async with path_of() as path:
            apps = [await path.sidecar(ScriptedEngine()) for _ in range(3)]
            for app in apps:
                app.members = path.endpoints
            now_s = anyio.current_time()
            for chat_key in range(40):
                apps[0].admission.pointers.placed(chat_key, "drafter-1", 900, now_s)
            apps[0].admission.pointers.placed(99, "drafter-0", 900, now_s)

            await apps[0].hand_over()

        known = [
            {row.chat_key: row.endpoint_id for row in app.admission.pointers.chats.rows()}
            for app in apps[1:]
        ]
        assert known[0].keys() | known[1].keys() == set(range(40))
        assert set(known[0].values()) | set(known[1].values()) == {"drafter-1"}

    async def test_heir_that_is_gone_does_not_hold_the_stop_up(self):
        async with path_of() as path:
            app = await path.sidecar(ScriptedEngine())
            app.members.put(Endpoint("drafter-8", "drafter", "ahd-a", "127.0.0.1:1"))
            app.admission.pointers.placed(7, "drafter-8", 900, anyio.current_time())

            await app.hand_over()
