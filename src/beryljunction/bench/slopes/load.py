"""Paced load on an entry."""

import json

import anyio
import attrs

from beryljunction.bench.slopes.rig import Node, Rig
from beryljunction.local import DEMO_API_KEY

__all__ = ["LoadCount", "open_streams", "paced_calls"]

_HEADERS = [("authorization", f"Bearer {DEMO_API_KEY}"), ("content-type", "application/json")]
_MODEL = "drafter"
_FRAME_END = b"\n\n"


@attrs.define
class LoadCount:
    """What was carried; ``failed`` counts answers that were not a 200."""

    answers: int = 0
    frames: int = 0
    failed: int = 0


async def open_streams(rig: Rig, entry: Node, streams: int, tokens: int, count: LoadCount) -> None:
    """Hold this many streams open until cancelled, each followed by the next."""
    async with anyio.create_task_group() as group:
        for number in range(streams):
            group.start_soon(_stream_again, rig, entry, number, tokens, count)


async def paced_calls(
    rig: Rig, entry: Node, method: str, rate_per_s: float, count: LoadCount
) -> None:
    """Call the plain service at an even rate until cancelled, however long answers take."""
    async with anyio.create_task_group() as group:
        due_s = anyio.current_time()
        while True:
            group.start_soon(_call, rig, entry, method, count)
            due_s += 1.0 / rate_per_s
            await anyio.sleep_until(due_s)


async def _stream_again(rig: Rig, entry: Node, number: int, tokens: int, count: LoadCount) -> None:
    body = {
        "model": _MODEL,
        "stream": True,
        "max_tokens": tokens,
        "prompt_cache_key": f"chat-{number}",
        "messages": [{"role": "user", "content": "x" * 400}],
    }
    content = json.dumps(body).encode()
    url = f"http://{entry.address}/v1/chat/completions"
    while True:
        async with rig.pool.stream("POST", url, headers=_HEADERS, content=content) as response:
            count.failed += response.status != 200
            async for chunk in response.aiter_stream():
                count.frames += chunk.count(_FRAME_END)
        count.answers += 1


async def _call(rig: Rig, entry: Node, method: str, count: LoadCount) -> None:
    url = f"http://{entry.address}/services/ledger/notes"
    response = await rig.pool.request(method, url, headers=_HEADERS, content=b"{}")
    count.answers += 1
    count.failed += response.status != 200
