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
        return None if answer is None else KvExport(_tokens_of(answer), answer.decode())

    async def take(self, description: str) -> int | None:
        """Import a prefix and return its length here."""
        answer = await self._post(_IMPORT_PATH, description.encode())
        return None if answer is None else _tokens_of(answer)

    async def _post(self, path: str, body: bytes) -> bytes | None:
        """Return a good answer's body, or None."""
        data = b""
        try:
            async with self._pool.stream(
                "POST", self._address + path, headers=_JSON, content=body
            ) as response:
                async for chunk in response.aiter_stream():
                    data += chunk
                    if len(data) > _DESCRIPTION_BYTES:
                        return None
        except _BROKEN:
            return None
        return data if response.status == 200 else None


def _tokens_of(answer: bytes) -> int:
    """Return the length that an engine names; an answer without one has moved nothing."""
    try:
        return max(0, int(json.loads(answer)["tokens"]))
    except (ValueError, TypeError, KeyError):
        return 0
