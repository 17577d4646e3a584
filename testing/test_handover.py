import json
import time

import anyio
import attrs
import pytest

from beryljunction.servers import respond
from beryljunction.standins import EngineModel, EngineStandIn
from beryljunction.stops import GracefulStop
from beryljunction.systems import (
    Handed,
    HandoverLimits,
    HandoverSystem,
    PlacementQuery,
    PlacementSystem,
    chat_key_of,
    successor_of,
)
from beryljunction.tables import Endpoint, EndpointState, EndpointTable, Prefix, PrefixTable
from beryljunction.wire import Envelope
from path_fakes import AUTH, chat, event_data, eventually, path_of, view_with

pytestmark = pytest.mark.anyio
EXPORT, IMPORT = "/v1/kv/export", "/v1/kv/import"
TOKENS = 900


@pytest.fixture
def anyio_backend():
    return "asyncio"


def members_of(count):
    return EndpointTable(
        Endpoint(f"drafter-{i}", "drafter", "ahd-a", f"127.0.0.1:{i + 1}") for i in range(count)
    )


def prefixes_of(*rows):
    table = PrefixTable()
    for chat_key, tokens, used_s in rows:
        table.put(Prefix(chat_key, f"chat-{chat_key}", tokens, used_s))
    return table


def system_of(**limits):
    return HandoverSystem("drafter-0", "drafter", "", HandoverLimits(**limits))


class TestHandoverSystem:
    @pytest.mark.parametrize(
        ("limits", "busy", "keys"),
        [
            pytest.param({}, set(), [3, 2, 1], id="last answered first"),
            pytest.param({}, {3}, [2, 1], id="chat in flight waits"),
            pytest.param({"hot_s": 15.0}, set(), [3, 2], id="cold chat stays"),
            pytest.param({"least_tokens": 150}, set(), [3, 2], id="short prefix stays"),
        ],
    )
    def test_plan_takes_what_is_likely_to_return(self, limits, busy, keys):
        prefixes = prefixes_of((3, 300, 30.0), (1, 100, 10.0), (2, 200, 20.0))

        plan = list(system_of(**limits).plan(prefixes, busy, members_of(3), 30.0))

        assert [transfer.chat_key for transfer in plan] == keys

    def test_successor_is_whom_entries_ask_when_this_endpoint_is_gone(self):
        members = members_of(4)
        members.put(Endpoint("drafter-3", "drafter", "ahd-a", "", state=EndpointState.LEAVING))
        prefixes = prefixes_of(*((key, 900, 0.0) for key in range(50)))

        plan = list(system_of().plan(prefixes, set(), members, 0.0))

        members.remove("drafter-0")
        placement = PlacementSystem(members)
        homes = {k: placement.home(PlacementQuery("drafter", k), 0.0) for k in range(50)}
        assert {t.chat_key: t.successor.endpoint_id for t in plan} == {
            key: home.endpoint_id for key, home in homes.items()
        }

    @pytest.mark.parametrize(
        ("handed", "times", "may_go"),
        [
            pytest.param(Handed.TAKEN, 9, True, id="within its bytes"),
            pytest.param(Handed.TAKEN, 10, False, id="bytes spent"),
            pytest.param(Handed.DECLINED, 20, True, id="declined costs nothing"),
            pytest.param(Handed.SUCCESSOR_FAILED, 1, False, id="failed successor is left alone"),
            pytest.param(Handed.EXPORT_FAILED, 2, True, id="export failed twice"),
            pytest.param(Handed.EXPORT_FAILED, 3, False, id="engine does not export"),
        ],
    )
    def test_transfers_stop_at_their_limits(self, handed, times, may_go):
        system = system_of(total_bytes=1000, token_bytes=1)
        rows = ((key, 100, 0.0) for key in range(21))
        plan = list(system.plan(prefixes_of(*rows), set(), members_of(2), 0.0))
        for transfer in plan[:times]:
            system.started(transfer)
            system.ended(transfer, handed)

        assert system.may_go(plan[-1]) is may_go

    def test_no_prefix_is_handed_on_twice_until_the_endpoint_works_again(self):
        system = system_of()
        prefixes = prefixes_of((1, 900, 0.0))
        (transfer,) = system.plan(prefixes, set(), members_of(2), 0.0)
        system.started(transfer)

        again = list(system.plan(prefixes, set(), members_of(2), 0.0))
        system.reset()

        assert (again, len(list(system.plan(prefixes, set(), members_of(2), 0.0)))) == ([], 1)


@attrs.define(eq=False)
class FaultyEngine:
    """A stand-in engine whose export or import breaks off, or never answers."""

    inner: EngineStandIn
    breaks: str = ""
    hangs: str = ""
    nonsense: bytes = b""
    calls: list = attrs.field(factory=list)

    async def __call__(self, scope, receive, send):
        path = scope["path"]
        self.calls.append(path)
        if path == self.hangs:
            await anyio.sleep_forever()
        if self.nonsense and path in (EXPORT, IMPORT):
            await respond(send, 200, self.nonsense)
            return
        if path == self.breaks:
            head = [(b"content-length", b"100")]
            await send({"type": "http.response.start", "status": 200, "headers": head})
            await send({"type": "http.response.body", "body": b'{"tok', "more_body": True})
            return
        await self.inner(scope, receive, send)


class Fleet:
    """Three endpoints; the first has the prefix of one chat cached and is to leave."""

    def __init__(self, path):
        self.path = path
        self.engines = []
        self.key = chat_key_of("jury", "c")

    async def start(self):
        for _ in range(3):
            engine = FaultyEngine(EngineStandIn(EngineModel(decode_token_s=0.001)))
            await self.path.group.start(engine.inner.run)
            app = await self.path.sidecar(engine)
            app.members = self.path.endpoints
            self.engines.append(engine)
        self.leaving = self.path.sidecars[0]
        self.engines[0].inner.model.store("c", TOKENS)
        self.leaving.keeper.prefixes.put(Prefix(self.key, "c", TOKENS, time.monotonic()))
        self.heir = self.heir_of(self.key)
        return self

    def heir_of(self, key):
        """Return the number of the endpoint that is asked next for a chat."""
        placement = PlacementSystem(self.path.endpoints)
        heir = successor_of(placement, PlacementQuery("drafter", key), "drafter-0", 0.0)
        return int(heir.endpoint_id[-1])

    async def stop(self, times=1):
        stop = GracefulStop(self.leaving, settle_s=0.0)
        for _ in range(times):
            stop.request()
        await stop.run()
        self.path.endpoints.remove("drafter-0")

    def pointers(self):
        """Return where the others say that the chat lies."""
        rows = [app.admission.pointers.chats.peek(self.key) for app in self.path.sidecars[1:]]
        return [row.endpoint_id for row in rows if row is not None]

    async def ask(self):
        """Come back to the chat through an entry; return the cached tokens and the last event."""
        entry = await self.path.entry()
        body = chat(prompt_cache_key="c", max_tokens=3, pad="x" * 4000)
        url = entry + "/v1/chat/completions"
        answer = await self.path.pool.request("POST", url, headers=[AUTH], content=body)
        events = event_data(answer.content)
        return json.loads(events[0])["usage"]["prompt_tokens_details"]["cached_tokens"], events[-1]


class TestPrefixHandover:
    async def test_returning_chat_is_found_warm_at_the_successor(self):
        async with path_of() as path:
            fleet = await Fleet(path).start()

            await fleet.stop()

            assert fleet.pointers() == [f"drafter-{fleet.heir}"]
            assert await fleet.ask() == (TOKENS, b"[DONE]")

    async def test_chat_is_no_younger_where_it_was_handed_to(self):
        # Endpoints are replaced one after the other. A chat that nobody comes back to must not
        # look new at each of them, or it is handed on for ever and takes the place of live ones.
        async with path_of() as path:
            fleet = await Fleet(path).start()
            used_s = time.monotonic() - 500.0
            fleet.leaving.keeper.prefixes.put(Prefix(fleet.key, "c", TOKENS, used_s))

            await fleet.stop()

            (row,) = path.sidecars[fleet.heir].keeper.prefixes.newest_first()
            assert row.used_s < used_s + 250.0

    async def test_spilled_chat_is_handed_to_its_home_which_pointed_here(self):
        async with path_of() as path:
            fleet = await Fleet(path).start()
            home = path.sidecars[fleet.heir].admission.pointers
            home.placed(fleet.key, "drafter-0", TOKENS, time.monotonic())

            await fleet.stop()

            assert fleet.pointers() == [f"drafter-{fleet.heir}"]
            assert await fleet.ask() == (TOKENS, b"[DONE]")

    async def test_answer_in_flight_goes_first(self):
        # The chat's own answer runs while its endpoint is drained. Its prefix stays until the
        # answer is whole, and is handed on then, before the process ends.
        async with path_of() as path:
            fleet = await Fleet(path).start()
            engine = fleet.engines[0]
            names = {"chat_key": fleet.key, "chat_id": "c", "prompt_tokens": TOKENS}
            envelope = Envelope("r1", "jury", "drafter", 9.0, **names)
            body = chat(stream=False, prompt_cache_key="c", max_tokens=3, pad="x" * 4000)
            answers = []

            async def ask():
                answers.append(await path.run(envelope, body))

            async with anyio.create_task_group() as group, engine.inner.slots.hold(0):
                group.start_soon(ask)
                await eventually(lambda: engine.inner.runs)
                fleet.leaving.refuse_new()
                await fleet.leaving.handover.finish()
                early = EXPORT in engine.calls
            await fleet.leaving.hand_over()

        assert (early, answers[0].status) == (False, 200)
        assert fleet.pointers() == [f"drafter-{fleet.heir}"]

    @pytest.mark.parametrize(
        "fault",
        [
            pytest.param({"at": 0, "breaks": EXPORT}, id="export breaks off halfway"),
            pytest.param({"at": 1, "breaks": IMPORT}, id="import breaks off halfway"),
            pytest.param({"at": 0, "hangs": EXPORT}, id="export never answers"),
            pytest.param({"at": 1, "hangs": IMPORT}, id="import never answers"),
        ],
    )
    async def test_failed_transfer_costs_a_cold_prefill_and_no_answer(self, fault):
        # The endpoint leaves and its chat's prefix is on the way when one of the two engines
        # breaks off or goes silent. The stop ends all the same; nobody points to a prefix that is
        # not there, so the chat comes back to its next home, starts cold and gets its whole answer.
        async with path_of(view_with(handover_s=0.3)) as path:
            fleet = await Fleet(path).start()
            place = 0 if fault.pop("at") == 0 else fleet.heir
            for name, kv_path in fault.items():
                setattr(fleet.engines[place], name, kv_path)

            await fleet.stop()

            assert fleet.pointers() == []
            assert await fleet.ask() == (0, b"[DONE]")

    @pytest.mark.parametrize("at", ["leaving", "successor"])
    @pytest.mark.parametrize(
        "answer",
        [b"\xff", b"[" * 60_000, b'{"tokens": Infinity}', b'{"tokens": -1}', b"x" * 70_000],
        ids=["not text", "too deep", "no number", "negative", "too long"],
    )
    async def test_engine_that_answers_nonsense_does_not_end_the_sidecar(self, at, answer):
        async with path_of() as path:
            fleet = await Fleet(path).start()
            fleet.engines[0 if at == "leaving" else fleet.heir].nonsense = answer

            await fleet.stop()

            assert fleet.pointers() == []
            assert await fleet.ask() == (0, b"[DONE]")

    async def test_successor_that_refuses_is_left_alone(self):
        # The successor was drained a moment ago and the list does not show it yet. It refuses the
        # prefix unread; the stop goes on, and the chat starts cold at the endpoint that is left.
        # What more there would be for that successor is not even exported.
        async with path_of() as path:
            fleet = await Fleet(path).start()
            path.sidecars[fleet.heir].admission.leaving = True
            fleet.leaving.refuse_new()
            await fleet.leaving.handover.finish()
            exports = fleet.engines[0].calls.count(EXPORT)
            for key in (key for key in range(20) if fleet.heir_of(key) == fleet.heir):
                more = Prefix(key, "c", TOKENS, time.monotonic())
                fleet.leaving.keeper.prefixes.put(more)

            await fleet.stop()

            assert exports == fleet.engines[0].calls.count(EXPORT) == 1
            assert (fleet.pointers(), IMPORT in fleet.engines[fleet.heir].calls) == ([], False)
            assert await fleet.ask() == (0, b"[DONE]")

    async def test_successor_that_dies_after_the_import_takes_its_pointer_with_it(self):
        # The successor has the prefix and then its host dies. Only its own sidecar knew, so no
        # other one sends the chat after it: the entry finds the connection refused, goes on to the
        # endpoint that is left, and the caller gets a whole answer from a cold start.
        async with path_of() as path:
            fleet = await Fleet(path).start()
            await fleet.stop()
            taken = fleet.pointers()

            path.endpoints.get(f"drafter-{fleet.heir}").address = "127.0.0.1:1"
            answer = await fleet.ask()

        assert (taken, answer) == ([f"drafter-{fleet.heir}"], (0, b"[DONE]"))

    async def test_stop_during_a_transfer_does_not_wait_for_it_longer_than_it_may(self):
        # A drain has begun a transfer that hangs when the process is told to stop, twice. The stop
        # waits as long as the settings allow and ends; the prefix was asked for once.
        async with path_of(view_with(handover_s=0.3, kv_token_bytes=1)) as path:
            fleet = await Fleet(path).start()
            overlong = Prefix(fleet.key, "c", 10_000_000, time.monotonic())
            fleet.leaving.keeper.prefixes.put(overlong)
            fleet.engines[0].hangs = EXPORT
            fleet.leaving.admission.leaving = True
            await eventually(lambda: EXPORT in fleet.engines[0].calls)

            await fleet.stop(times=2)

            assert fleet.engines[0].calls.count(EXPORT) == 1
            assert fleet.pointers() == []

    async def test_chat_that_moved_on_during_the_import_keeps_its_newer_pointer(self):
        # While its prefix is being imported the chat comes back, spills from the successor to a
        # third endpoint and grows there. The older prefix must not take the pointer back.
        async with path_of() as path:
            fleet = await Fleet(path).start()
            heir = path.sidecars[fleet.heir]
            third = f"drafter-{3 - fleet.heir}"
            kv_take = heir.keeper.kv.take

            async def spill_meanwhile(description):
                heir.admission.pointers.placed(fleet.key, third, 2 * TOKENS, time.monotonic())
                return await kv_take(description)

            heir.keeper.kv.take = spill_meanwhile
            await fleet.stop()

            assert fleet.pointers() == [third]

    async def test_nothing_is_handed_on_when_the_settings_allow_no_time(self):
        async with path_of(view_with(handover_s=0.0)) as path:
            fleet = await Fleet(path).start()

            await fleet.stop()

            assert EXPORT not in fleet.engines[0].calls
