import contextlib
import json

import anyio
import httpcore
import pytest

from beryljunction.servers import Server, bind_listener, create_client_pool
from beryljunction.standins import CacheChange, EngineFaults, EngineModel, EngineStandIn
from beryljunction.standins.reports import CacheEventFeed, LoadReport
from beryljunction.standins.slots import BatchSlots

FAST = {"decode_token_s": 0.0, "prefill_tokens_per_s": 1e9}


class Client:
    def __init__(self, pool, address):
        self.pool = pool
        self.base = f"http://{address}"

    async def ask(self, method, path, body=None, **headers):
        content = json.dumps(body).encode() if body is not None else b""
        names = [(key.replace("_", "-"), value) for key, value in headers.items()]
        return await self.pool.request(method, self.base + path, headers=names, content=content)

    async def json(self, method, path, body=None):
        return json.loads((await self.ask(method, path, body)).content)

    def stream(self, request_id, tokens):
        body = {"stream": True, "max_tokens": tokens, "prompt_cache_key": "c", "messages": []}
        return self.pool.stream(
            "POST",
            f"{self.base}/v1/chat/completions",
            headers=[("x-request-id", request_id)],
            content=json.dumps(body).encode(),
        )


@contextlib.asynccontextmanager
async def serving(engine):
    async with anyio.create_task_group() as group, create_client_pool() as pool:
        await group.start(engine.run)
        server = Server(engine, bind_listener("127.0.0.1:0"))
        await group.start(server.serve_until_stopped)
        yield Client(pool, server.address)
        group.cancel_scope.cancel()


def events_of(data):
    return [line for line in data.split(b"\n") if line.startswith(b"data: ")]


class TestEngineModel:
    def test_cached_prefix_is_not_computed_again(self):
        model = EngineModel(prefill_tokens_per_s=100.0)

        first_s, _ = model.prefill_s("chat", 1_000)
        second_s, cached = model.prefill_s("chat", 1_200)

        assert (first_s, second_s, cached) == (10.0, 2.0, 1_000)

    def test_full_cache_evicts_the_least_recently_used_chat(self):
        changes = []
        model = EngineModel(cache_tokens=250, on_change=changes.append)

        for chat in ("a", "b", "a", "c"):
            model.prefill_s(chat, 100)

        assert changes[-1] == CacheChange(False, "b", 100)
        assert model.cached_sum_tokens == 200

    def test_tokens_take_longer_in_a_fuller_batch(self):
        model = EngineModel(decode_token_s=0.02, decode_slowdown=0.5)

        assert model.token_s(3) == pytest.approx(0.04)


class TestBatchSlots:
    def test_higher_priority_runs_first_and_equals_in_order_of_arrival(self):
        order = []

        async def work(slots, name, priority):
            async with slots.hold(priority):
                order.append(name)
                await anyio.sleep(0)

        async def run():
            slots = BatchSlots(1)
            async with anyio.create_task_group() as group:
                for name, priority in (("first", 0), ("low", 0), ("high", 5), ("low-2", 0)):
                    group.start_soon(work, slots, name, priority)
            assert slots.running == 0

        anyio.run(run)

        assert order == ["first", "high", "low", "low-2"]


class TestReports:
    def test_events_come_late_and_with_gaps_in_their_numbers(self):
        now = [0.0]
        feed = CacheEventFeed(EngineFaults(event_delay_s=1.0, event_gap_ratio=0.5), lambda: now[0])
        for i in range(20):
            feed.add(CacheChange(True, f"chat-{i}", 10))

        early = feed.after(0)
        now[0] = 1.0
        numbers = [event["sequence"] for event in feed.after(0)]

        assert early == []
        assert 0 < len(numbers) < 20
        assert numbers == sorted(numbers)

    def test_load_lags(self):
        now = [0.0]
        report = LoadReport(EngineFaults(load_lag_s=1.0), lambda: now[0])
        report.add(5, 2)

        before = report.read()
        now[0] = 1.0

        assert before == {"running": 0, "waiting": 0}
        assert report.read() == {"running": 5, "waiting": 2}


class TestEngineStandIn:
    def test_silent_stream_is_resumed_on_a_new_connection(self):
        """An engine's connection goes silent for good while new ones work.

        The reader sees three frames and then nothing. The answer goes on in the engine, so a new
        connection that names the frames already seen gets the rest, each frame once.
        """

        async def run():
            engine = EngineStandIn(EngineModel(**FAST), EngineFaults(silent_ratio=1.0))
            async with serving(engine) as client:
                async with client.stream("r1", 8) as response:
                    seen = b""
                    async for chunk in response.aiter_stream():
                        seen += chunk
                        if len(events_of(seen)) >= 3:
                            break
                count = len(events_of(seen))
                rest = await client.ask("GET", f"/v1/streams/r1?after={count}")
                return events_of(seen) + events_of(rest.content), engine.runs

        events, runs = anyio.run(run)

        assert len(events) == len(set(events)) == 9
        assert events[-1] == b"data: [DONE]"
        assert runs == ["r1"]

    @pytest.mark.parametrize("way", ["cancel", "hang-up"])
    def test_cancelled_answer_gives_its_slot_back(self, way):
        async def run():
            engine = EngineStandIn(EngineModel(decode_token_s=0.01, hangup_grace_s=0.0))
            async with serving(engine) as client:
                async with client.stream("r1", 100_000) as response:
                    await anext(response.aiter_stream())
                    if way == "cancel":
                        await client.ask("POST", "/v1/cancel", {"request_id": "r1"})
                while engine.slots.running:
                    await anyio.sleep(0.005)
                return (await client.ask("GET", "/v1/streams/r1?after=0")).status

        assert anyio.run(run) == 410

    def test_exported_prefix_is_found_cached_where_it_was_imported(self):
        async def run():
            engine = EngineStandIn(EngineModel(**FAST))
            async with serving(engine) as client:
                engine.model.store("chat", 500)
                prefix = await client.json("POST", "/v1/kv/export", {"chat": "chat"})
                engine.model = EngineModel(**FAST)
                await client.json("POST", "/v1/kv/import", prefix)
                return engine.model.cached_tokens("chat")

        assert anyio.run(run) == 500

    def test_answer_to_an_order_can_be_lost_after_its_effect(self):
        async def run():
            engine = EngineStandIn(faults=EngineFaults(lost_order_answer_ratio=1.0))
            async with serving(engine) as client:
                models = {"reel-llm": "v2"}
                order = {"fence": 3, "models": models, "adapters": [], "role": "both"}
                with pytest.raises(httpcore.RemoteProtocolError):
                    await client.ask("PUT", "/v1/orders", order)
                return await client.json("GET", "/v1/state")

        assert anyio.run(run)["models"] == {"reel-llm": "v2"}
