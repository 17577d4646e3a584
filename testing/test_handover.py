import json
import time

import anyio
import attrs
import pytest

from beryljunction.graceful_stop import GracefulStop
from beryljunction.servers import send_response
from beryljunction.standins import EngineModel, EngineStandIn
from beryljunction.systems import (
    EndpointSelector,
    HandoverLimits,
    HandoverPlanner,
    PlacementQuery,
    TransferResult,
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


def planner_of(**limits):
    return HandoverPlanner("drafter-0", "drafter", "", HandoverLimits(**limits))


class TestHandoverPlanner:
    @pytest.mark.parametrize(
        ("limits", "busy", "keys"),
        [
            pytest.param({}, set(), [3, 2, 1], id="last answered first"),
            pytest.param({}, {3}, [2, 1], id="chat in flight waits"),
            pytest.param({"max_idle_s": 15.0}, set(), [3, 2], id="cold chat stays"),
            pytest.param({"least_tokens": 150}, set(), [3, 2], id="short prefix stays"),
        ],
    )
    def test_plan_selects_chats_that_are_likely_to_return(self, limits, busy, keys):
        prefixes = prefixes_of((3, 300, 30.0), (1, 100, 10.0), (2, 200, 20.0))

        plan = list(planner_of(**limits).plan(prefixes, busy, members_of(3), 30.0))

        assert [transfer.chat_key for transfer in plan] == keys

    def test_successor_is_the_endpoint_that_entries_try_after_this_one_left(self):
        members = members_of(4)
        members.put(Endpoint("drafter-3", "drafter", "ahd-a", "", state=EndpointState.LEAVING))
        prefixes = prefixes_of(*((key, 900, 0.0) for key in range(50)))

        plan = list(planner_of().plan(prefixes, set(), members, 0.0))

        members.remove("drafter-0")
        placement = EndpointSelector(members)
        homes = {k: placement.home(PlacementQuery("drafter", k), 0.0) for k in range(50)}
        assert {t.chat_key: t.successor.endpoint_id for t in plan} == {
            key: home.endpoint_id for key, home in homes.items()
        }

    @pytest.mark.parametrize(
        ("handed", "times", "may_go"),
        [
            pytest.param(TransferResult.TAKEN, 9, True, id="within its bytes"),
            pytest.param(TransferResult.TAKEN, 10, False, id="bytes spent"),
            pytest.param(TransferResult.DECLINED, 20, True, id="declined costs nothing"),
            pytest.param(
                TransferResult.SUCCESSOR_FAILED, 1, False, id="failed successor is left alone"
            ),
            pytest.param(TransferResult.EXPORT_FAILED, 2, True, id="export failed twice"),
            pytest.param(TransferResult.EXPORT_FAILED, 3, False, id="engine does not export"),
        ],
    )
    def test_transfers_stop_at_their_limits(self, handed, times, may_go):
        planner = planner_of(total_bytes=1000, token_bytes=1)
        rows = ((key, 100, 0.0) for key in range(21))
        plan = list(planner.plan(prefixes_of(*rows), set(), members_of(2), 0.0))
        for transfer in plan[:times]:
            planner.started(transfer)
            planner.ended(transfer, handed)

        assert planner.may_start(plan[-1]) is may_go

    def test_no_prefix_is_transferred_twice_until_the_endpoint_serves_again(self):
        planner = planner_of()
        prefixes = prefixes_of((1, 900, 0.0))
        (transfer,) = planner.plan(prefixes, set(), members_of(2), 0.0)
        planner.started(transfer)

        again = list(planner.plan(prefixes, set(), members_of(2), 0.0))
        planner.reset()

        assert (again, len(list(planner.plan(prefixes, set(), members_of(2), 0.0)))) == ([], 1)


@attrs.define(eq=False)
class FaultyEngine:
    """A stand-in engine whose export or import disconnects, hangs or gives an invalid answer."""

    inner: EngineStandIn
    breaks: str = ""
    hangs: str = ""
    invalid_answer: bytes = b""
    calls: list = attrs.field(factory=list)

    async def __call__(self, scope, receive, send):
        path = scope["path"]
        self.calls.append(path)
        if path == self.hangs:
            await anyio.sleep_forever()
        if self.invalid_answer and path in (EXPORT, IMPORT):
            await send_response(send, 200, self.invalid_answer)
            return
        if path == self.breaks:
            head = [(b"content-length", b"100")]
            await send({"type": "http.response.start", "status": 200, "headers": head})
            await send({"type": "http.response.body", "body": b'{"tok', "more_body": True})
            return
        await self.inner(scope, receive, send)


class Fleet:
    """Three endpoints; the first has the prefix of one chat cached and will leave."""

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
        self.leaving.run_manager.prefixes.put(Prefix(self.key, "c", TOKENS, time.monotonic()))
        self.successor_number = self.successor_number_of(self.key)
        return self

    def successor_number_of(self, key):
        """Return the number of the endpoint that is tried next for a chat."""
        placement = EndpointSelector(self.path.endpoints)
        successor = successor_of(placement, PlacementQuery("drafter", key), "drafter-0", 0.0)
        return int(successor.endpoint_id[-1])

    async def stop(self, times=1):
        stop = GracefulStop(self.leaving, drain_delay_s=0.0)
        for _ in range(times):
            stop.request()
        await stop.run()
        self.path.endpoints.remove("drafter-0")

    def pointers(self):
        """Return the endpoints that the other sidecars' pointers for the chat name."""
        rows = [app.admission.pointers.chats.peek(self.key) for app in self.path.sidecars[1:]]
        return [row.endpoint_id for row in rows if row is not None]

    async def ask(self):
        """Continue the chat through an entry; return the cached tokens and the last event."""
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

            assert fleet.pointers() == [f"drafter-{fleet.successor_number}"]
            assert await fleet.ask() == (TOKENS, b"[DONE]")

    async def test_time_of_last_use_is_kept_in_a_transfer(self):
        # Endpoints are replaced one after the other. An abandoned chat must not look recently used
        # at each of them, or it is transferred forever and displaces active ones.
        async with path_of() as path:
            fleet = await Fleet(path).start()
            used_s = time.monotonic() - 500.0
            fleet.leaving.run_manager.prefixes.put(Prefix(fleet.key, "c", TOKENS, used_s))

            await fleet.stop()

            (row,) = path.sidecars[fleet.successor_number].run_manager.prefixes.newest_first()
            assert row.used_s < used_s + 250.0

    async def test_spilled_chat_is_transferred_to_its_home_that_has_a_pointer_here(self):
        async with path_of() as path:
            fleet = await Fleet(path).start()
            home = path.sidecars[fleet.successor_number].admission.pointers
            home.record_location(fleet.key, "drafter-0", TOKENS, time.monotonic())

            await fleet.stop()

            assert fleet.pointers() == [f"drafter-{fleet.successor_number}"]
            assert await fleet.ask() == (TOKENS, b"[DONE]")

    async def test_prefix_of_an_answer_in_flight_is_transferred_after_its_end(self):
        # An answer of the chat is in flight while its endpoint is drained. Its prefix must be
        # transferred after the answer is complete and before the process ends.
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
                fleet.leaving.start_draining()
                await fleet.leaving.prefix_sender.transfer_remaining()
                early = EXPORT in engine.calls
            await fleet.leaving.hand_over()

        assert (early, answers[0].status) == (False, 200)
        assert fleet.pointers() == [f"drafter-{fleet.successor_number}"]

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
        # During a transfer, one of the two engines disconnects or hangs. The stop must still end,
        # and no pointer may name a prefix that is not there, so that the chat starts cold at its
        # next home and gets its whole answer.
        async with path_of(view_with(handover_s=0.3)) as path:
            fleet = await Fleet(path).start()
            place = 0 if fault.pop("at") == 0 else fleet.successor_number
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
    async def test_engine_with_invalid_answers_does_not_end_the_sidecar(self, at, answer):
        async with path_of() as path:
            fleet = await Fleet(path).start()
            fleet.engines[0 if at == "leaving" else fleet.successor_number].invalid_answer = answer

            await fleet.stop()

            assert fleet.pointers() == []
            assert await fleet.ask() == (0, b"[DONE]")

    async def test_successor_that_refuses_gets_no_more_transfers(self):
        # The successor is draining but still in the list, and refuses the prefix without reading
        # it. The stop must continue, and the chat starts cold at the remaining endpoint. Further
        # prefixes for that successor must not even be exported.
        async with path_of() as path:
            fleet = await Fleet(path).start()
            path.sidecars[fleet.successor_number].admission.leaving = True
            fleet.leaving.start_draining()
            await fleet.leaving.prefix_sender.transfer_remaining()
            exports = fleet.engines[0].calls.count(EXPORT)
            for key in (
                key for key in range(20) if fleet.successor_number_of(key) == fleet.successor_number
            ):
                more = Prefix(key, "c", TOKENS, time.monotonic())
                fleet.leaving.run_manager.prefixes.put(more)

            await fleet.stop()

            assert exports == fleet.engines[0].calls.count(EXPORT) == 1
            assert (fleet.pointers(), IMPORT in fleet.engines[fleet.successor_number].calls) == (
                [],
                False,
            )
            assert await fleet.ask() == (0, b"[DONE]")

    async def test_pointer_is_lost_with_a_successor_that_dies_after_the_import(self):
        # The successor has the prefix, and then its host dies. Only its own sidecar had the
        # pointer, so no other sidecar refers the chat to it: the entry's connection is refused, it
        # tries the remaining endpoint, and the caller gets a whole answer from a cold start.
        async with path_of() as path:
            fleet = await Fleet(path).start()
            await fleet.stop()
            taken = fleet.pointers()

            path.endpoints.get(f"drafter-{fleet.successor_number}").address = "127.0.0.1:1"
            answer = await fleet.ask()

        assert (taken, answer) == ([f"drafter-{fleet.successor_number}"], (0, b"[DONE]"))

    async def test_stop_during_a_transfer_waits_no_longer_than_the_settings_allow(self):
        # A transfer hangs during a drain when the process is told to stop, twice. The stop must
        # wait only as long as the settings allow, and the prefix must be exported once.
        async with path_of(view_with(handover_s=0.3, kv_token_bytes=1)) as path:
            fleet = await Fleet(path).start()
            is_frame_too_long = Prefix(fleet.key, "c", 10_000_000, time.monotonic())
            fleet.leaving.run_manager.prefixes.put(is_frame_too_long)
            fleet.engines[0].hangs = EXPORT
            fleet.leaving.admission.leaving = True
            await eventually(lambda: EXPORT in fleet.engines[0].calls)

            await fleet.stop(times=2)

            assert fleet.engines[0].calls.count(EXPORT) == 1
            assert fleet.pointers() == []

    async def test_chat_that_moved_on_during_the_import_keeps_its_newer_pointer(self):
        # During the import of its prefix the chat returns, spills from the successor to a third
        # endpoint and grows there. The older prefix must not replace the newer pointer.
        async with path_of() as path:
            fleet = await Fleet(path).start()
            successor = path.sidecars[fleet.successor_number]
            third = f"drafter-{3 - fleet.successor_number}"
            import_prefix = successor.run_manager.kv.import_prefix

            async def import_after_spill(description):
                successor.admission.pointers.record_location(
                    fleet.key, third, 2 * TOKENS, time.monotonic()
                )
                return await import_prefix(description)

            successor.run_manager.kv.import_prefix = import_after_spill
            await fleet.stop()

            assert fleet.pointers() == [third]

    async def test_nothing_is_transferred_when_the_settings_allow_no_time(self):
        async with path_of(view_with(handover_s=0.0)) as path:
            fleet = await Fleet(path).start()

            await fleet.stop()

            assert EXPORT not in fleet.engines[0].calls
