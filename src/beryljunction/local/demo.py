"""Demo: sends returning chats and non-idempotent calls while endpoints are replaced."""

import collections
import json
import statistics
import time

import anyio
import anyio.abc
import attrs
import httpcore

from beryljunction.local.demo_settings import DEMO_API_KEY, demo_settings
from beryljunction.local.fleet import LocalFleet
from beryljunction.servers import create_client_pool

__all__ = ["DemoResult", "print_demo", "run_demo"]

_MODELS = ("reel-llm", "drafter")
_PLAIN_SERVICE = "ledger"
_ENTRIES = 2
_ENDPOINTS_PER_SERVICE = 3
_CHATS = 16
_TURNS_PER_CHAT = 10
_CALLS = 80
_PROMPT_CHARS = 8_000
_TURN_CHARS = 400
_ANSWER_TOKENS = 20
# Pause between the turns of a chat; long enough that the chats span the replacement of endpoints.
_TURN_PAUSE_S = 0.6
_CALL_INTERVAL_S = 0.12
_CALL_WORK_S = 0.3
_REPLACE_AFTER_S = 1.5
_HEADERS = [("authorization", f"Bearer {DEMO_API_KEY}"), ("content-type", "application/json")]


@attrs.define
class DemoResult:
    """What the callers of the demo received.

    Attributes:
        returning: Turns after the first of a chat that were answered whole.
        found_warm: Those of them that found a part of their prompt cached.
        calls: Non-idempotent calls that were sent.
        runs: Runs of those calls on all endpoints, including replaced ones.
        double_runs: Runs of a call after its first; calls are identified by their bodies.
        refusals: Error responses stating that the request has not run.
        broken: One line for each response that was neither whole nor such a refusal.
    """

    answers_total: int = 0
    answers_whole: int = 0
    returning: int = 0
    found_warm: int = 0
    calls: int = 0
    runs: int = 0
    double_runs: int = 0
    refusals: int = 0
    broken: list[str] = attrs.field(factory=list)
    first_token_s: list[float] = attrs.field(factory=list)

    @property
    def cut_in_flight(self) -> int:
        """Number of requests with neither a whole response nor a refusal that says "not run"."""
        return self.answers_total - self.answers_whole - self.refusals

    @property
    def found_warm_ratio(self) -> float:
        """Share of returning turns that found their prefix cached, from 0 to 1."""
        return self.found_warm / max(1, self.returning)

    @property
    def kept_promises(self) -> bool:
        """Whether no response was cut and no call ran twice."""
        return self.cut_in_flight == 0 and self.double_runs == 0

    def to_json(self) -> str:
        """Return the figures as one JSON object."""
        return json.dumps(
            {
                "answers_whole": self.answers_whole,
                "answers_total": self.answers_total,
                "found_warm_ratio": round(self.found_warm_ratio, 4),
                "double_runs": self.double_runs,
                "cut_in_flight": self.cut_in_flight,
            }
        )


async def run_demo() -> DemoResult:
    """Start a fleet and send requests to it while endpoints are shut down and replaced."""
    result = DemoResult()
    async with anyio.create_task_group() as group, create_client_pool() as pool:
        fleet = LocalFleet(group, demo_settings())
        for service in fleet.view.services:
            for number in range(_ENDPOINTS_PER_SERVICE):
                await fleet.add_endpoint(f"{service}-{number}", service)
        for _ in range(_ENTRIES):
            await fleet.add_entry()
        await fleet.wait_until_ready()
        for plain in fleet.plain_services:
            plain.work_s = _CALL_WORK_S
        await _send_requests(_Callers(pool, fleet, result))
        _count_runs(fleet, result)
        await fleet.stop()
        group.cancel_scope.cancel()
    return result


async def _send_requests(callers: "_Callers") -> None:
    async with anyio.create_task_group() as group:
        for number in range(_CHATS):
            group.start_soon(callers.chat, number)
        group.start_soon(callers.calls, group)
        await anyio.sleep(_REPLACE_AFTER_S)
        for endpoint_id, service in (
            ("drafter-1", "drafter"),
            (f"{_PLAIN_SERVICE}-1", _PLAIN_SERVICE),
        ):
            group.start_soon(_replace_endpoint, callers.fleet, endpoint_id, service)


async def _replace_endpoint(fleet: LocalFleet, endpoint_id: str, service: str) -> None:
    """Remove an endpoint while it has requests in flight and start another under the same id."""
    await fleet.remove_endpoint(endpoint_id)
    await fleet.add_endpoint(endpoint_id, service)


def _count_runs(fleet: LocalFleet, result: DemoResult) -> None:
    times: collections.Counter[str] = collections.Counter()
    for plain in fleet.plain_services:
        times.update(plain.times)
    result.runs = times.total()
    result.double_runs = sum(count - 1 for count in times.values())


class _Callers:
    """Sends requests to the entries in turn, as a load balancer would."""

    def __init__(
        self, pool: httpcore.AsyncConnectionPool, fleet: LocalFleet, result: DemoResult
    ) -> None:
        self.fleet = fleet
        self._pool = pool
        self._result = result
        self._sent = 0

    async def chat(self, number: int) -> None:
        """Send the turns of one chat, each with the whole conversation so far."""
        prompt = f"dossier {number} " + "x" * _PROMPT_CHARS
        for turn in range(_TURNS_PER_CHAT):
            prompt += f" turn {turn} " + "y" * _TURN_CHARS
            body = {
                "model": _MODELS[number % len(_MODELS)],
                "stream": True,
                "max_tokens": _ANSWER_TOKENS,
                "prompt_cache_key": f"chat-{number}",
                "messages": [{"role": "user", "content": prompt}],
            }
            await self._send_turn(json.dumps(body).encode(), is_returning=turn > 0)
            await anyio.sleep(_TURN_PAUSE_S)

    async def calls(self, group: anyio.abc.TaskGroup) -> None:
        """Send calls that must not run twice, each with a unique body."""
        for number in range(_CALLS):
            group.start_soon(self._call, number)
            await anyio.sleep(_CALL_INTERVAL_S)

    async def _call(self, number: int) -> None:
        result = self._result
        result.answers_total += 1
        result.calls += 1
        url = f"{self._next_entry()}/services/{_PLAIN_SERVICE}/notes"
        body = json.dumps({"disbursement": number}).encode()
        try:
            response = await self._pool.request("POST", url, headers=_HEADERS, content=body)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            result.broken.append(f"call {number}: {type(error).__name__}")
            return
        if response.status == 200:
            result.answers_whole += 1
        else:
            self._record_refusal(response.content)

    async def _send_turn(self, body: bytes, is_returning: bool) -> None:
        result = self._result
        result.answers_total += 1
        url = f"{self._next_entry()}/v1/chat/completions"
        started_s = time.monotonic()
        data = b""
        try:
            async with self._pool.stream("POST", url, headers=_HEADERS, content=body) as response:
                async for chunk in response.aiter_stream():
                    if not data:
                        result.first_token_s.append(time.monotonic() - started_s)
                    data += chunk
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            result.broken.append(f"chat: {type(error).__name__}")
            return
        if response.status == 200:
            self._record_response(data, is_returning)
        else:
            self._record_refusal(data)

    def _record_response(self, data: bytes, is_returning: bool) -> None:
        result = self._result
        events = [line[6:] for line in data.split(b"\n") if line.startswith(b"data: ")]
        if len(events) != _ANSWER_TOKENS + 1 or events[-1] != b"[DONE]":
            result.broken.append(f"chat: {len(events)} events, the last {events[-1:]}")
            return
        result.answers_whole += 1
        if is_returning:
            cached = json.loads(events[0])["usage"]["prompt_tokens_details"]["cached_tokens"]
            result.returning += 1
            result.found_warm += cached > 0

    def _record_refusal(self, data: bytes) -> None:
        """Count a refusal; an error that does not say "not run" counts as a broken response."""
        error = json.loads(data)["error"]
        if error["ran"] == "no":
            self._result.refusals += 1
        else:
            self._result.broken.append(f"{error['code']}: {error['message']}")

    def _next_entry(self) -> str:
        self._sent += 1
        return self.fleet.entry_urls[self._sent % len(self.fleet.entry_urls)]


def print_demo(result: DemoResult) -> None:
    """Print the results as a table, then as one JSON object."""
    first_ms = sorted(value * 1000 for value in result.first_token_s)
    p95_ms = first_ms[int(0.95 * (len(first_ms) - 1))]
    cached_text = f"{result.found_warm} of {result.returning} ({result.found_warm_ratio:.0%})"
    rows = [
        ("responses whole", f"{result.answers_whole} of {result.answers_total}"),
        ("returning turns, prefix cached", cached_text),
        ("time to first token, median", f"{statistics.median(first_ms):.0f} ms"),
        ("time to first token, p95", f"{p95_ms:.0f} ms"),
        ("runs of non-idempotent calls", f"{result.runs} of {result.calls} calls"),
        ("non-idempotent calls run twice", str(result.double_runs)),
        ("refused, not run", str(result.refusals)),
        ("cut in flight", str(result.cut_in_flight)),
    ]
    for name, value in rows:
        print(f"{name:32} {value}")
    for line in result.broken:
        print(f"broken: {line}")
    print(result.to_json())
