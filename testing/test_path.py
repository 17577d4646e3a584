import json

import anyio
import pytest

from beryljunction.local import DEMO_API_KEY, LocalFleet, demo_settings, run_demo
from beryljunction.servers import create_client_pool


class TestDemo:
    def test_every_answer_is_complete_and_runs_once(self):
        result = anyio.run(run_demo)

        assert result.answers_whole + result.refusals == result.answers_total
        assert result.double_runs == 0
        assert result.found_warm > 0


class TestBadInput:
    @pytest.mark.parametrize(
        ("key", "body", "status", "code"),
        [
            pytest.param("wrong", b"{}", 401, "unauthenticated", id="unknown-key"),
            pytest.param(DEMO_API_KEY, b"{", 400, "bad_request", id="not-json"),
            pytest.param(DEMO_API_KEY, b'{"model": 3}', 400, "bad_request", id="wrong-type"),
            pytest.param(
                DEMO_API_KEY,
                b'{"model": "x", "messages": []}',
                404,
                "not_found",
                id="no-such-model",
            ),
        ],
    )
    def test_is_refused_with_an_error_code(self, key, body, status, code):
        async def ask():
            async with anyio.create_task_group() as group, create_client_pool() as pool:
                entry = await LocalFleet(group, demo_settings()).add_entry()
                response = await pool.request(
                    "POST",
                    f"{entry}/v1/chat/completions",
                    headers={"authorization": f"Bearer {key}"},
                    content=body,
                )
                group.cancel_scope.cancel()
                return response

        response = anyio.run(ask)

        error = json.loads(response.content)["error"]
        assert (response.status, error["code"], error["ran"]) == (status, code, "no")
