import anyio
import attrs
import pytest

from beryljunction.settings import parse_leaves, resolve
from beryljunction.settings.validation import tree_from_leaves
from beryljunction.standins import EngineModel, EngineStandIn
from beryljunction.wire import Envelope
from path_fakes import ScriptedEngine, chat, eventually, path_of, view_with

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def view_of(max_running=16, **priorities):
    """Return settings in which accounts override the priority of the model service."""
    view = view_with(max_running=max_running, floor_running=max_running)
    own = view.services["drafter"]
    rows = {(a, "drafter"): attrs.evolve(own, priority=p) for a, p in priorities.items()}
    return attrs.evolve(view, account_services=rows)


class Callers:
    """Send requests to one sidecar and record in which order the responses end."""

    def __init__(self, path):
        self.path = path
        self.ended = []

    async def ask(self, name, account, tokens):
        envelope = Envelope(name, account, "drafter", wait_s=20.0, output_tokens=tokens)
        await self.path.run(envelope, chat(stream=False, max_tokens=tokens))
        self.ended.append(name)


async def sidecar_of(path, batch_limit):
    engine = EngineStandIn(EngineModel(decode_token_s=0.0005, batch_limit=batch_limit))
    await path.group.start(engine.run)
    await path.sidecar(engine)
    return engine


class TestPriority:
    async def test_urgent_request_runs_before_long_ones_that_wait_in_a_full_engine(self):
        # The engine's batch is full, and long requests of one account wait in its queue. Without
        # priorities, short requests of another account would wait until all of them have run. The
        # long requests must still complete.
        async with path_of(view_of(other=-5)) as path:
            engine = await sidecar_of(path, batch_limit=1)
            callers = Callers(path)
            async with anyio.create_task_group() as group, engine.slots.hold(0):
                for i in range(3):
                    group.start_soon(callers.ask, f"draft-{i}", "other", 50)
                await eventually(lambda: engine.slots.waiting == 3)
                for i in range(3):
                    group.start_soon(callers.ask, f"note-{i}", "jury", 2)
                await eventually(lambda: engine.slots.waiting == 6)

        assert {name[:4] for name in callers.ended[:3]} == {"note"}
        assert len(callers.ended) == 6

    async def test_low_priority_is_not_starved_by_continuous_high_priority_requests(self):
        # One account saturates the engine with short urgent requests. The long request of another
        # account keeps its share of the sidecar's slots, so that it is started in the engine too.
        async with path_of(view_of(max_running=4, jury=100)) as path:
            await sidecar_of(path, batch_limit=2)
            callers = Callers(path)

            async def flood(worker):
                number = 0
                while "draft" not in callers.ended:
                    await callers.ask(f"note-{worker}-{number}", "jury", 4)
                    number += 1

            async with anyio.create_task_group() as group:
                for worker in range(8):
                    group.start_soon(flood, worker)
                await eventually(lambda: len(callers.ended) > 8)
                group.start_soon(callers.ask, "draft", "other", 40)

        assert "draft" in callers.ended

    @pytest.mark.parametrize(
        ("service", "account", "sent"),
        [
            pytest.param("drafter", "jury", b"7", id="value of the account"),
            pytest.param("drafter", "other", b"0", id="value of the service"),
            pytest.param("ledger", "jury", None, id="plain service gets none"),
        ],
    )
    async def test_engine_gets_the_priority_in_force(self, service, account, sent):
        async with path_of(view_of(jury=7)) as path:
            engine = ScriptedEngine()
            await path.sidecar(engine, service)

            await path.run(Envelope("r1", account, service, wait_s=5.0), b"{}")

        assert engine.calls[0][2].get(b"x-priority") == sent

    def test_account_inherits_or_overrides_the_priority_of_the_service(self):
        data = {
            "priority": 1,
            "service": {"drafter": {"kind": "engine", "priority": 2}},
            "account": {
                "jury": {"key_sha256": "a" * 64, "service": {"drafter": {"priority": 9}}},
                "other": {"key_sha256": "b" * 64},
            },
        }
        leaves, problems = parse_leaves(data)

        view, unusable = resolve(tree_from_leaves(leaves), "gj-west")

        found = {name: view.service_for("drafter", name).priority for name in ("jury", "other")}
        assert (found, problems, unusable) == ({"jury": 9, "other": 2}, [], [])
