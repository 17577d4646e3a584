"""What callers see after an endpoint leaves, with and without prefixes handed on.

One process, real HTTP on loopback, engines with the stand-in's costs: a cold prefill runs at 20,000
tokens a second, an export or import at 400,000. Both fleets get the same chats and return times.
"""

import json
import random
import statistics
import time

import anyio
import attrs
import httpcore

from beryljunction.entry.response_writer import ROUTE_HINT_HEADER
from beryljunction.local import DEMO_API_KEY, LocalFleet, demo_settings
from beryljunction.servers import create_client_pool
from beryljunction.settings import ResolvedSettings

__all__ = ["HandoverFigures", "HandoverLoad", "measure_handover"]

_SERVICE = "drafter"
_ENDPOINTS = 3
_LEAVING = "drafter-1"
_PARALLEL = 8
_TOKEN_CHARS = 4
_ANSWER_TOKENS = 8
_LONG_TOKENS = 150
_HEADERS = [("authorization", f"Bearer {DEMO_API_KEY}"), ("content-type", "application/json")]


@attrs.frozen
class HandoverLoad:
    """The load of one measurement.

    Attributes:
        prompt_tokens: Length of each chat when it returns.
        long_answers: Answers that are in flight at the endpoint when it leaves.
        return_s: Time over which the chats return, evenly at random.
    """

    chats: int = 90
    prompt_tokens: int = 6_000
    long_answers: int = 4
    return_s: float = 6.0
    seed: int = 1


@attrs.define
class HandoverFigures:
    """What the callers of one fleet saw; returns count only chats that lay on the endpoint.

    Attributes:
        stop_s: Time from the order to stop to the end of the process.
    """

    handed_on: bool
    returned: int = 0
    found_warm: int = 0
    answers_total: int = 0
    answers_whole: int = 0
    first_token_ms: list[float] = attrs.field(factory=list)
    stop_s: float = 0.0

    @property
    def found_warm_ratio(self) -> float:
        """Share of the returns that found their prefix cached."""
        return self.found_warm / max(1, self.returned)

    def to_dict(self) -> dict[str, object]:
        """Return the figures as plain values."""
        first_ms = sorted(self.first_token_ms)
        return {
            "handed_on": self.handed_on,
            "returned": self.returned,
            "found_warm_ratio": round(self.found_warm_ratio, 4),
            "first_token_p50_ms": round(statistics.median(first_ms), 1),
            "first_token_p95_ms": round(first_ms[int(0.95 * (len(first_ms) - 1))], 1),
            "answers_whole": self.answers_whole,
            "answers_total": self.answers_total,
            "stop_s": round(self.stop_s, 2),
        }


async def measure_handover(load: HandoverLoad) -> list[HandoverFigures]:
    """Take an endpoint away from two fleets, one of which hands prefixes on."""
    return [await _measure(load, handed_on) for handed_on in (False, True)]


async def _measure(load: HandoverLoad, handed_on: bool) -> HandoverFigures:
    figures = HandoverFigures(handed_on)
    async with anyio.create_task_group() as group, create_client_pool() as pool:
        fleet = LocalFleet(group, _view(handed_on))
        for number in range(_ENDPOINTS):
            await fleet.add_endpoint(f"{_SERVICE}-{number}", _SERVICE)
        entry = await fleet.add_entry()
        await fleet.wait_until_ready()
        run = _Run(load, pool, fleet, entry, figures)
        await run.warm_up()
        await run.leave_and_return()
        await fleet.stop()
        group.cancel_scope.cancel()
    return figures


def _view(handed_on: bool) -> ResolvedSettings:
    """Return settings by which the stop does not wait long for callers that are done."""
    view = demo_settings()
    service = attrs.evolve(view.services[_SERVICE], resume_s=1.0)
    if not handed_on:
        service = attrs.evolve(service, handover_s=0.0)
    return attrs.evolve(view, services={_SERVICE: service})


class _Run:
    """The callers of one fleet."""

    def __init__(
        self,
        load: HandoverLoad,
        pool: httpcore.AsyncConnectionPool,
        fleet: LocalFleet,
        entry: str,
        figures: HandoverFigures,
    ) -> None:
        self._load = load
        self._pool = pool
        self._fleet = fleet
        self._entry = entry
        self._figures = figures
        self._random = random.Random(load.seed)
        self._there: list[int] = []

    async def warm_up(self) -> None:
        """Have each chat answered once and note which lie on the endpoint that is to leave."""
        limiter = anyio.CapacityLimiter(_PARALLEL)

        async def first(number: int) -> None:
            async with limiter:
                place, _, _ = await self._ask(f"chat-{number}", number, _ANSWER_TOKENS)
                if place == _LEAVING.encode():
                    self._there.append(number)

        async with anyio.create_task_group() as group:
            for number in range(self._load.chats):
                group.start_soon(first, number)

    async def leave_and_return(self) -> None:
        """Take the endpoint away under long answers; the chats come back meanwhile and after."""
        async with anyio.create_task_group() as group:
            for number in self._there[: self._load.long_answers]:
                group.start_soon(self._ask, f"chat-{number}", number, _LONG_TOKENS)
            await anyio.sleep(0.5)
            group.start_soon(self._take_away)
            for number in self._there[self._load.long_answers :]:
                group.start_soon(self._come_back, number, self._random.random())

    async def _take_away(self) -> None:
        started_s = time.monotonic()
        await self._fleet.remove_endpoint(_LEAVING)
        self._figures.stop_s = time.monotonic() - started_s

    async def _come_back(self, number: int, moment: float) -> None:
        await anyio.sleep(moment * self._load.return_s)
        _, cached, first_s = await self._ask(f"chat-{number}", number, _ANSWER_TOKENS)
        self._figures.returned += 1
        self._figures.found_warm += cached > 0
        self._figures.first_token_ms.append(first_s * 1000)

    async def _ask(self, chat: str, number: int, tokens: int) -> tuple[bytes, int, float]:
        """Return where a chat was answered, its cached tokens and the time to the first."""
        prompt = f"dossier {number} " + "x" * (self._load.prompt_tokens * _TOKEN_CHARS)
        body = {
            "model": _SERVICE,
            "stream": True,
            "max_tokens": tokens,
            "prompt_cache_key": chat,
            "messages": [{"role": "user", "content": prompt}],
        }
        started_s = time.monotonic()
        first_s = 0.0
        data = b""
        url = f"{self._entry}/v1/chat/completions"
        content = json.dumps(body).encode()
        async with self._pool.stream("POST", url, headers=_HEADERS, content=content) as response:
            async for chunk in response.aiter_stream():
                first_s = first_s or time.monotonic() - started_s
                data += chunk
        events = [line[6:] for line in data.split(b"\n") if line.startswith(b"data: ")]
        self._figures.answers_total += 1
        self._figures.answers_whole += len(events) == tokens + 1 and events[-1] == b"[DONE]"
        usage = json.loads(events[0])["usage"]["prompt_tokens_details"]
        return dict(response.headers).get(ROUTE_HINT_HEADER, b""), usage["cached_tokens"], first_s
