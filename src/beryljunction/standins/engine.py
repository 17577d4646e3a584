"""A small model engine: prefix cache, continuous batch, resume, cancel, KV transfer, orders.

Paths: ``POST /v1/chat/completions``; ``GET /v1/streams/{request_id}?after=N`` resumes a stream
after N data frames; ``POST /v1/cancel``; ``POST /v1/kv/export`` and ``/v1/kv/import``;
``GET /v1/cache/events?after=SEQUENCE``; ``GET /v1/load``; ``GET /v1/state``; ``PUT /v1/orders``.
"""

import functools
import json
import random
import time
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any
from urllib.parse import parse_qs

import anyio
import anyio.abc

from beryljunction.errors import InvariantError
from beryljunction.servers import (
    Receive,
    Scope,
    Send,
    cancel_on_disconnect,
    read_body,
    send_response,
)
from beryljunction.standins.faults import EngineFaults
from beryljunction.standins.generations import Generation, GenerationTable
from beryljunction.standins.model import EngineModel
from beryljunction.standins.orders import EngineOrdersModel, answer_engine_orders
from beryljunction.standins.reports import CacheEventFeed, LoadReport
from beryljunction.standins.slots import BatchSlots

__all__ = ["EngineStandIn"]

_BODY_BYTES = 16_777_216
_TOKEN_BYTES = 4
_DEFAULT_OUTPUT_TOKENS = 16
_FAULT_AFTER_FRAMES = 3
_ORDER_PATHS = ("/v1/orders", "/v1/state")
_STREAM_PREFIX = "/v1/streams/"
_UNSENT_BODY = [(b"content-length", b"1")]
_STREAM_HEADERS = [(b"content-type", b"text/event-stream")]


class EngineStandIn:
    """ASGI application that speaks the chat completions protocol and the engine's own paths."""

    def __init__(
        self, model: EngineModel | None = None, faults: EngineFaults | None = None
    ) -> None:
        self.model = model if model is not None else EngineModel()
        self.faults = faults if faults is not None else EngineFaults()
        self.runs: list[str] = []
        self.orders = EngineOrdersModel(checks_fence=self.faults.checks_fencing)
        self.slots = BatchSlots(self.model.batch_limit)
        self._events = CacheEventFeed(self.faults, time.monotonic)
        self._load = LoadReport(self.faults, time.monotonic)
        self._generations = GenerationTable()
        self._random = random.Random(self.faults.seed)
        self._group: anyio.abc.TaskGroup | None = None
        self.model.on_change = self._events.add

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Write answers until cancelled, whether or not the connections that asked still live."""
        async with anyio.create_task_group() as self._group:
            task_status.started()
            await anyio.sleep_forever()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        path: str = scope["path"]
        if path in _ORDER_PATHS:
            await self._order(scope, receive, send)
            return
        body = await read_body(receive, _BODY_BYTES)
        if body is None:
            return
        if path == "/v1/chat/completions":
            await self._complete(scope, body, receive, send)
        elif path.startswith(_STREAM_PREFIX):
            await self._resume(path.removeprefix(_STREAM_PREFIX), _after(scope), receive, send)
        else:
            await self._control(path, scope, body, send)

    async def _control(self, path: str, scope: Scope, body: bytes, send: Send) -> None:
        """Answer the small requests: JSON in, JSON out."""
        answer: Any
        if path == "/v1/cancel":
            answer = {"cancelled": self._cancel(json.loads(body)["request_id"])}
        elif path == "/v1/kv/export":
            answer = await self._export(json.loads(body)["chat"])
        elif path == "/v1/kv/import":
            answer = await self._import(json.loads(body))
        elif path == "/v1/cache/events":
            answer = {"events": self._events.after(_after(scope))}
        elif path == "/v1/load":
            answer = self._load.read()
        else:
            await send_response(send, 404, b"{}")
            return
        await send_response(send, 200, json.dumps(answer).encode())

    async def _complete(self, scope: Scope, body: bytes, receive: Receive, send: Send) -> None:
        if self._strikes(self.faults.refuse_ratio):
            await send_response(send, 503, b'{"error": "refused by a switched fault"}')
            return
        data = json.loads(body)
        headers = dict(scope["headers"])
        generation = Generation(
            request_id=headers.get(b"x-request-id", b"").decode(),
            chat=data.get("prompt_cache_key") or "",
            prompt_tokens=len(body) // _TOKEN_BYTES,
            output_tokens=data.get("max_tokens") or _DEFAULT_OUTPUT_TOKENS,
            priority=int(headers.get(b"x-priority", b"0")),
        )
        self.runs.append(generation.request_id)
        self._generations.add(generation)
        if self._group is None:
            raise InvariantError("expected EngineStandIn.run to be started before requests come")
        self._group.start_soon(self._generate, generation)
        if data.get("stream"):
            fault = self._fault_kind()
            write = functools.partial(self._send_frames, generation, 0, send, fault)
        else:
            write = functools.partial(self._send_whole, generation, send)
        await self._attend(generation, receive, write)

    async def _attend(
        self, generation: Generation, receive: Receive, write: Callable[[], Awaitable[None]]
    ) -> None:
        """Write to one reader until it hangs up; cancel an answer that nobody reads any more."""
        generation.readers += 1
        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_disconnect, receive, group.cancel_scope)
            await write()
            group.cancel_scope.cancel()
        generation.readers -= 1
        assert self._group is not None
        self._group.start_soon(self._cancel_unread, generation)

    async def _generate(self, generation: Generation) -> None:
        try:
            with generation.scope:
                async with self.slots.hold(generation.priority):
                    self._note_load()
                    await self._write(generation)
        finally:
            generation.end(cancelled=generation.scope.cancel_called)
            self._note_load()

    async def _write(self, generation: Generation) -> None:
        wait_s, cached = self.model.prefill_s(generation.chat, generation.prompt_tokens)
        generation.cached_tokens = cached
        await anyio.sleep(wait_s * self.faults.slow_factor)
        for number, word in enumerate(generation.words):
            token_s = self.model.token_s(self.slots.running)
            await anyio.sleep(token_s * self.faults.slow_factor)
            generation.add_word(number, word)
        generation.end()

    async def _cancel_unread(self, generation: Generation) -> None:
        with anyio.move_on_after(self.model.hangup_grace_s):
            await generation.wait_done()
        if generation.readers == 0 and not generation.done:
            generation.scope.cancel()

    async def _send_whole(self, generation: Generation, send: Send) -> None:
        await generation.wait_done()
        if generation.scope.cancel_called:
            await send_response(send, 499, b'{"error": "cancelled"}')
            return
        message = {"role": "assistant", "content": "".join(generation.words)}
        answer = {"choices": [{"index": 0, "message": message}], "usage": generation.usage}
        await send_response(send, 200, json.dumps(answer).encode())

    async def _send_frames(
        self, generation: Generation, after: int, send: Send, fault: str = ""
    ) -> None:
        """Send the frames after a count; a cancelled answer breaks off without a clean end."""
        await send({"type": "http.response.start", "status": 200, "headers": _STREAM_HEADERS})
        sent = after
        while True:
            await generation.wait_after(sent)
            frames = generation.frames[sent:]
            sent += len(frames)
            if frames:
                data = b"".join(frames)
                await send({"type": "http.response.body", "body": data, "more_body": True})
            if fault and sent >= _FAULT_AFTER_FRAMES:
                if fault == "silent":
                    await anyio.sleep_forever()
                return
            if generation.done and sent == len(generation.frames):
                break
        if not generation.scope.cancel_called:
            await send({"type": "http.response.body", "body": b""})

    async def _resume(self, request_id: str, after: int, receive: Receive, send: Send) -> None:
        generation = self._generations.get(request_id)
        if generation is None:
            await send_response(send, 404, b'{"error": "no such stream"}')
            return
        if generation.scope.cancel_called:
            await send_response(send, 410, b'{"error": "cancelled"}')
            return
        write = functools.partial(self._send_frames, generation, after, send)
        await self._attend(generation, receive, write)

    def _cancel(self, request_id: str) -> bool:
        generation = self._generations.get(request_id)
        if generation is None or generation.done:
            return False
        generation.scope.cancel()
        return True

    async def _export(self, chat: str) -> dict[str, Any]:
        tokens = self.model.cached_tokens(chat)
        await anyio.sleep(self.model.transfer_s(tokens))
        return {"chat": chat, "tokens": tokens}

    async def _import(self, prefix: dict[str, Any]) -> dict[str, Any]:
        await anyio.sleep(self.model.transfer_s(prefix["tokens"]))
        if prefix["tokens"] > self.model.cached_tokens(prefix["chat"]):
            self.model.store(prefix["chat"], prefix["tokens"])
        return {"chat": prefix["chat"], "tokens": self.model.cached_tokens(prefix["chat"])}

    async def _order(self, scope: Scope, receive: Receive, send: Send) -> None:
        is_lost = scope["method"] == "PUT" and self._strikes(self.faults.lost_order_answer_ratio)
        sink = _swallow if is_lost else send
        await answer_engine_orders(self.orders, time.monotonic(), scope, receive, sink)
        if is_lost:
            await send({"type": "http.response.start", "status": 200, "headers": _UNSENT_BODY})

    def _note_load(self) -> None:
        self._load.add(self.slots.running, self.slots.waiting)

    def _fault_kind(self) -> str:
        if self._strikes(self.faults.cut_ratio):
            return "cut"
        return "silent" if self._strikes(self.faults.silent_ratio) else ""

    def _strikes(self, ratio: float) -> bool:
        return ratio > 0.0 and self._random.random() < ratio


def _after(scope: Scope) -> int:
    """Return the "after" of a query, 0 when there is none."""
    query = parse_qs(scope["query_string"].decode("latin-1"))
    return int(query.get("after", ["0"])[0])


async def _swallow(message: MutableMapping[str, Any]) -> None:
    """Lose an answer."""
