"""A small model engine: prefix cache with limited memory, time for prefill and decode."""

import json
from collections import OrderedDict
from collections.abc import Mapping

import anyio
import attrs

from beryljunction.servers import Receive, Scope, Send, read_body, respond

__all__ = ["EngineModel", "EngineStandIn"]

_BODY_BYTES = 16_777_216
_TOKEN_BYTES = 4


@attrs.define
class EngineModel:
    """What an engine costs: its speeds and the memory of its prefix cache, without any clock.

    Attributes:
        cache_tokens: Tokens that the prefix cache holds; least recently used chats go first.
    """

    prefill_tokens_per_s: float = 20_000.0
    decode_token_s: float = 0.02
    cache_tokens: int = 400_000
    _cache: OrderedDict[str, int] = attrs.field(factory=OrderedDict)

    def prefill_s(self, chat: str, prompt_tokens: int) -> tuple[float, int]:
        """Return the time to the first token and the tokens found cached; caches the prompt."""
        cached = min(self._cache.get(chat, 0), prompt_tokens)
        self._cache[chat] = prompt_tokens
        self._cache.move_to_end(chat)
        while len(self._cache) > 1 and sum(self._cache.values()) > self.cache_tokens:
            self._cache.popitem(last=False)
        return (prompt_tokens - cached) / self.prefill_tokens_per_s, cached


class EngineStandIn:
    """ASGI application that speaks the chat completions protocol."""

    def __init__(self, model: EngineModel | None = None) -> None:
        self.model = model if model is not None else EngineModel()
        self.runs: list[str] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one chat completion."""
        body = await read_body(receive, _BODY_BYTES)
        if body is None or scope["path"] != "/v1/chat/completions":
            await respond(send, 404, b"{}")
            return
        data = json.loads(body)
        self.runs.append(dict(scope["headers"]).get(b"x-request-id", b"").decode())
        chat = data.get("prompt_cache_key", "")
        wait_s, cached = self.model.prefill_s(chat, len(body) // _TOKEN_BYTES)
        await anyio.sleep(wait_s)
        words = [f"word{i} " for i in range(data.get("max_tokens") or 16)]
        usage = {"prompt_tokens_details": {"cached_tokens": cached}}
        if data.get("stream"):
            await self._stream(words, usage, send)
            return
        await anyio.sleep(self.model.decode_token_s * len(words))
        message = {"role": "assistant", "content": "".join(words)}
        answer = {"choices": [{"index": 0, "message": message}], "usage": usage}
        await respond(send, 200, json.dumps(answer).encode())

    async def _stream(self, words: list[str], usage: Mapping[str, object], send: Send) -> None:
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for i, word in enumerate(words):
            await anyio.sleep(self.model.decode_token_s)
            chunk: dict[str, object] = {"choices": [{"index": 0, "delta": {"content": word}}]}
            if i == 0:
                chunk["usage"] = usage
            data = b"data: " + json.dumps(chunk).encode() + b"\n\n"
            await send({"type": "http.response.body", "body": data, "more_body": True})
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})
