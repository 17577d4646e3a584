"""The main job in one run: returning chats and non-idempotent calls while an endpoint goes."""

import json
import statistics
import time

import anyio
import attrs
import httpcore

from beryljunction.local.demo_view import DEMO_KEY, demo_view
from beryljunction.local.fleet import LocalFleet
from beryljunction.servers import client_pool

__all__ = ["DemoResult", "run_demo"]

_CHATS = 12
_TURNS = 5
_PROMPT_CHARS = 4_000
_ANSWER_TOKENS = 12
_HEADERS = [("authorization", f"Bearer {DEMO_KEY}"), ("content-type", "application/json")]


@attrs.define
class DemoResult:
    """What the callers of the demo saw."""

    answers_total: int = 0
    answers_whole: int = 0
    returning: int = 0
    found_warm: int = 0
    double_runs: int = 0
    refusals: int = 0
    first_token_s: list[float] = attrs.field(factory=list)

    def to_json(self) -> str:
        """Return the figures as one JSON object."""
        return json.dumps(
            {
                "answers_whole": self.answers_whole,
                "answers_total": self.answers_total,
                "found_warm_ratio": round(self.found_warm / max(1, self.returning), 4),
                "double_runs": self.double_runs,
                "cut_in_flight": self.answers_total - self.answers_whole - self.refusals,
            }
        )


async def run_demo() -> DemoResult:
    """Start a fleet, send the work, take an endpoint away and bring it back."""
    result = DemoResult()
    async with anyio.create_task_group() as group, client_pool() as pool:
        fleet = LocalFleet(group, demo_view())
        for service in ("reel-llm", "drafter"):
            for i in range(3):
                await fleet.add_endpoint(f"{service}-{i}", service)
        await fleet.add_endpoint("ledger-0", "ledger")
        for _ in range(2):
            await fleet.add_entry()
        async with anyio.create_task_group() as callers:
            for i in range(_CHATS):
                callers.start_soon(_chat, pool, fleet, i, result)
                callers.start_soon(_note, pool, fleet, i, result)
            await anyio.sleep(0.6)
            fleet.remove_endpoint("drafter-1")
            await anyio.sleep(0.6)
            await fleet.add_endpoint("drafter-1", "drafter")
        runs = [run for local in fleet.local.values() for run in local.app.runs]
        result.double_runs = len(runs) - len(set(runs))
        group.cancel_scope.cancel()
    return result


async def _chat(
    pool: httpcore.AsyncConnectionPool, fleet: LocalFleet, number: int, result: DemoResult
) -> None:
    service = ("reel-llm", "drafter")[number % 2]
    prompt = "x" * _PROMPT_CHARS
    for turn in range(_TURNS):
        prompt += f" turn {turn} " + "y" * 200
        body = {
            "model": service,
            "stream": True,
            "max_tokens": _ANSWER_TOKENS,
            "prompt_cache_key": f"chat-{number}",
            "messages": [{"role": "user", "content": prompt}],
        }
        entry = fleet.entries[(number + turn) % len(fleet.entries)]
        await _ask_stream(pool, entry, body, turn > 0, result)
        await anyio.sleep(0.05)


async def _ask_stream(
    pool: httpcore.AsyncConnectionPool,
    entry: str,
    body: dict[str, object],
    returning: bool,
    result: DemoResult,
) -> None:
    started_s = time.monotonic()
    result.answers_total += 1
    data = b""
    async with pool.stream(
        "POST", f"{entry}/v1/chat/completions", headers=_HEADERS, content=json.dumps(body).encode()
    ) as response:
        async for chunk in response.aiter_stream():
            if not data:
                result.first_token_s.append(time.monotonic() - started_s)
            data += chunk
    if response.status != 200:
        result.refusals += 1
        return
    events = [line[6:] for line in data.split(b"\n") if line.startswith(b"data: ")]
    result.answers_whole += len(events) == _ANSWER_TOKENS + 1 and events[-1] == b"[DONE]"
    if returning:
        cached = json.loads(events[0])["usage"]["prompt_tokens_details"]["cached_tokens"]
        result.returning += 1
        result.found_warm += cached > 0


async def _note(
    pool: httpcore.AsyncConnectionPool, fleet: LocalFleet, number: int, result: DemoResult
) -> None:
    await anyio.sleep(0.1 * number)
    entry = fleet.entries[number % len(fleet.entries)]
    result.answers_total += 1
    response = await pool.request(
        "POST", f"{entry}/services/ledger/notes", headers=_HEADERS, content=b"{}"
    )
    result.answers_whole += response.status == 200
    result.refusals += response.status != 200


def print_demo(result: DemoResult) -> None:
    """Print the table that a person reads, then one JSON object."""
    rows = [
        ("answers whole", f"{result.answers_whole} of {result.answers_total}"),
        ("returning chats found warm", f"{result.found_warm} of {result.returning}"),
        ("median time to first token", f"{statistics.median(result.first_token_s) * 1000:.0f} ms"),
        ("non-idempotent calls run twice", str(result.double_runs)),
        ("refusals", str(result.refusals)),
    ]
    for name, value in rows:
        print(f"{name:32} {value}")
    print(result.to_json())
