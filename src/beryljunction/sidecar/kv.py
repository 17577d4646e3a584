"""Cached state of chats as an engine exports and imports it."""

import json

import attrs
import httpcore

__all__ = ["KvClient", "KvExport"]

_EXPORT_PATH = "/v1/kv/export"
_IMPORT_PATH = "/v1/kv/import"
# What a sidecar carries is the engine's description of the state; the state itself, some 100 KB a
# token, goes from engine to engine. An engine that sent it here would fill the 64 MB at once.
_DESCRIPTION_BYTES = 65_536
_BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
_JSON = [(b"content-type", b"application/json")]


@attrs.frozen
class KvExport:
    """An exported prefix.

    Attributes:
        description: What the importing engine is to be given, as it came.
    """

    tokens: int
    description: str


class KvClient:
    """Asks one engine to export and import prefixes; a failure is None and costs a prefill.

    Args:
        address: Base URL of the engine.
    """

    def __init__(self, pool: httpcore.AsyncConnectionPool, address: str) -> None:
        self._pool = pool
        self._address = address

    async def export(self, chat_id: str) -> KvExport | None:
        """Return the cached prefix of a chat; one of no tokens when there is none."""
        answer = await self._post(_EXPORT_PATH, json.dumps({"chat": chat_id}).encode())
        tokens = _tokens_of(answer)
        return None if tokens is None else KvExport(tokens, answer.decode())

    async def take(self, description: str) -> int | None:
        """Import a prefix and return its length here."""
        return _tokens_of(await self._post(_IMPORT_PATH, description.encode()))

    async def _post(self, path: str, body: bytes) -> bytes:
        """Return a good answer's body, empty when there is none."""
        data = b""
        try:
            async with self._pool.stream(
                "POST", self._address + path, headers=_JSON, content=body
            ) as response:
                async for chunk in response.aiter_stream():
                    data += chunk
                    if len(data) > _DESCRIPTION_BYTES:
                        return b""
        except _BROKEN:
            return b""
        return data if response.status == 200 else b""


def _tokens_of(answer: bytes) -> int | None:
    """Return the length that an engine names; None when the answer can't be read.

    Whatever an engine answers must not end the sidecar, which has other answers in flight: text
    that is not UTF-8, arrays too deep for the parser, numbers that are none.
    """
    try:
        tokens = json.loads(answer.decode())["tokens"]
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    return tokens if isinstance(tokens, int) and tokens >= 0 else None
