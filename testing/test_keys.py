import anyio
import pytest

from beryljunction.errors import SettingsError
from beryljunction.sidecar.keys import KeyClaims
from path_fakes import AUTH, ScriptedEngine, error_of, eventually, path_of

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def note(path, entry, body=b"{}", key="fee-7"):
    headers = [AUTH, ("idempotency-key", key)]
    url = f"{entry}/services/ledger/fees"
    return await path.pool.request("POST", url, headers=headers, content=body)


async def ledger_path(path, count=2):
    """Start a log, endpoints and two entries."""
    model = await path.log()
    engines = [ScriptedEngine() for _ in range(count)]
    for engine in engines:
        await path.sidecar(engine, "ledger")
    return model, engines, [await path.entry(), await path.entry()]


def runs_of(engines):
    return [run for engine in engines for run in engine.runs]


class TestRetention:
    def test_log_that_keeps_records_too_shortly_is_refused_at_the_start(self):
        with pytest.raises(SettingsError) as raised:
            KeyClaims(None, "i", retention_s=60.0)

        assert str(raised.value) == (
            "process.log_retention_s: expected at least 120 seconds, got 60"
        )


class TestIdempotencyKeys:
    async def test_same_key_at_the_same_time_through_two_entries_runs_once(self):
        # A phone loses its connection and sends the fee confirmation again through another entry
        # while the first is under way. Both claim the key on the log; the second is led to the
        # ticket of the first and reads the same run's answer.
        async with path_of() as path:
            _, engines, entries = await ledger_path(path)
            answers = []

            async def ask(entry):
                answers.append(await note(path, entry))

            async with anyio.create_task_group() as group:
                for entry in entries * 2:
                    group.start_soon(ask, entry)
            await ask(entries[0])

        assert [answer.content for answer in answers] == [b'{"whole": true}'] * 5
        assert len(runs_of(engines)) == 1

    async def test_same_key_with_another_body_is_refused(self):
        async with path_of() as path:
            _, engines, entries = await ledger_path(path)
            await note(path, entries[0])
            answer = await note(path, entries[1], b'{"fee": 2}')

        assert (answer.status, error_of(answer)["code"]) == (422, "idempotency_key_reused")
        assert len(runs_of(engines)) == 1

    async def test_new_key_is_not_run_while_the_log_is_down(self):
        async with path_of() as path:
            model, engines, entries = await ledger_path(path)
            model.down = True
            answer = await note(path, entries[0])

        error = error_of(answer)
        assert (answer.status, error["code"]) == (503, "idempotency_store_down")
        assert (error["ran"], error["try_ran"]) == ("unknown", "no")
        assert b"retry-after" in dict(answer.headers)
        assert runs_of(engines) == []

    async def test_known_key_is_answered_while_the_log_is_down(self):
        async with path_of() as path:
            model, engines, entries = await ledger_path(path)
            await note(path, entries[0])
            model.down = True
            answer = await note(path, entries[1])

        assert (answer.status, len(runs_of(engines))) == (200, 1)

    async def test_run_whose_entry_was_lost_is_found_by_its_key(self):
        async with path_of() as path:
            _, engines, entries = await ledger_path(path, count=1)
            engines[0].hold_at = 0
            async with anyio.create_task_group() as group:
                group.start_soon(note, path, entries[0])
                await eventually(lambda: engines[0].runs)
                group.cancel_scope.cancel()
            engines[0].release.set()

            answer = await note(path, entries[1])

        assert (answer.content, len(runs_of(engines))) == (b'{"whole": true}', 1)
