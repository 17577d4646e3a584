"""Client for the export and import of cached chat prefixes (KV cache) at an engine."""

import json

import attrs
import httpcore

__all__ = ["KvClient", "KvExport"]

_EXPORT_PATH = "/v1/kv/export"
_IMPORT_PATH = "/v1/kv/import"
# Sidecars transfer only the engine's description of the cached state. The state itself, some 100 KB
# per token, goes from engine to engine; sent here it would soon use up the sidecar's 64 MB.
_MAX_DESCRIPTION_BYTES = 65_536
_CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
_JSON = [(b"content-type", b"application/json")]


@attrs.frozen
class KvExport:
    """A prefix that an engine has exported.

    Attributes:
        description: The engine's answer, which is passed unchanged to the importing engine.
    """

    tokens: int
    description: str


class KvClient:
    """Makes one engine export and import prefixes.

    Failures return None; the chat then only needs a new prefill.

    Args:
        address: Base URL of the engine.
    """

    def __init__(self, pool: httpcore.AsyncConnectionPool, address: str) -> None:
        self._pool = pool
        self._address = address

    async def export(self, chat_id: str) -> KvExport | None:
        """Export the cached prefix of a chat; its `tokens` is 0 if the engine has none."""
        answer = await self._post(_EXPORT_PATH, json.dumps({"chat": chat_id}).encode())
        tokens = _tokens_of(answer)
        return None if tokens is None else KvExport(tokens, answer.decode())

    async def import_prefix(self, description: str) -> int | None:
        """Import a prefix and return its length in tokens."""
        return _tokens_of(await self._post(_IMPORT_PATH, description.encode()))

    async def _post(self, path: str, body: bytes) -> bytes:
        """Return the body of a 200 answer, or no bytes after a failure."""
        data = b""
        try:
            async with self._pool.stream(
                "POST", self._address + path, headers=_JSON, content=body
            ) as response:
                async for chunk in response.aiter_stream():
                    data += chunk
                    if len(data) > _MAX_DESCRIPTION_BYTES:
                        return b""
        except _CONNECTION_ERRORS:
            return b""
        return data if response.status == 200 else b""


def _tokens_of(answer: bytes) -> int | None:
    """Return the number of tokens in an engine's answer; None if the answer is invalid.

    No answer may crash the sidecar, which has other answers in flight. So this also handles text
    that is not UTF-8, arrays nested too deeply for the parser and values that are not numbers.
    """
    try:
        tokens = json.loads(answer.decode())["tokens"]
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    return tokens if isinstance(tokens, int) and tokens >= 0 else None
