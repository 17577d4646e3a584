import anyio
import pytest

from beryljunction.errors import SettingsError
from beryljunction.sidecar.keys import KeyClaims
from path_fakes import AUTH, ScriptedEngine, error_of, eventually, path_of

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def send_fee(path, entry, body=b"{}", key="fee-7"):
    headers = [AUTH, ("idempotency-key", key)]
    url = f"{entry}/services/ledger/fees"
    return await path.pool.request("POST", url, headers=headers, content=body)


async def start_ledger_service(path, count=2):
    """Start a log, `count` endpoints of the ledger service and two entries."""
    log = await path.log()
    engines = [ScriptedEngine() for _ in range(count)]
    for engine in engines:
        await path.sidecar(engine, "ledger")
    return log, engines, [await path.entry(), await path.entry()]


def all_runs(engines):
    return [run for engine in engines for run in engine.runs]


class TestRetention:
    def test_too_short_log_retention_is_rejected_at_startup(self):
        with pytest.raises(SettingsError) as raised:
            KeyClaims(None, "i", retention_s=60.0)

        assert str(raised.value) == (
            "process.log_retention_s: expected at least 120 seconds, got 60"
        )


class TestIdempotencyKeys:
    async def test_concurrent_requests_with_one_key_through_two_entries_run_once(self):
        # A caller loses its connection and retries a fee confirmation through another entry while
        # the first request still runs. Both claim the key on the log. The second one gets the
        # ticket of the first and reads the answer of the same run.
        async with path_of() as path:
            _, engines, entries = await start_ledger_service(path)
            answers = []

            async def ask(entry):
                answers.append(await send_fee(path, entry))

            async with anyio.create_task_group() as group:
                for entry in entries * 2:
                    group.start_soon(ask, entry)
            await ask(entries[0])

        assert [answer.content for answer in answers] == [b'{"whole": true}'] * 5
        assert len(all_runs(engines)) == 1

    async def test_used_key_with_another_body_is_refused(self):
        async with path_of() as path:
            _, engines, entries = await start_ledger_service(path)
            await send_fee(path, entries[0])
            answer = await send_fee(path, entries[1], b'{"fee": 2}')

        assert (answer.status, error_of(answer)["code"]) == (422, "idempotency_key_reused")
        assert len(all_runs(engines)) == 1

    async def test_new_key_is_not_run_while_the_log_is_down(self):
        async with path_of() as path:
            log, engines, entries = await start_ledger_service(path)
            log.down = True
            answer = await send_fee(path, entries[0])

        error = error_of(answer)
        assert (answer.status, error["code"]) == (503, "idempotency_store_down")
        assert (error["ran"], error["try_ran"]) == ("unknown", "no")
        assert b"retry-after" in dict(answer.headers)
        assert all_runs(engines) == []

    async def test_settled_key_is_answered_while_the_log_is_down(self):
        async with path_of() as path:
            log, engines, entries = await start_ledger_service(path)
            await send_fee(path, entries[0])
            log.down = True
            answer = await send_fee(path, entries[1])

        assert (answer.status, len(all_runs(engines))) == (200, 1)

    async def test_retry_through_another_entry_finds_the_run_by_its_key(self):
        async with path_of() as path:
            _, engines, entries = await start_ledger_service(path, count=1)
            engines[0].hold_at = 0
            async with anyio.create_task_group() as group:
                group.start_soon(send_fee, path, entries[0])
                await eventually(lambda: engines[0].runs)
                group.cancel_scope.cancel()
            engines[0].release.set()

            answer = await send_fee(path, entries[1])

        assert (answer.content, len(all_runs(engines))) == (b'{"whole": true}', 1)
