"""ASGI types and helpers for requests and responses."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

__all__ = [
    "Asgi",
    "Receive",
    "Scope",
    "Send",
    "read_body",
    "send_response",
    "cancel_on_disconnect",
]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Asgi = Callable[[Scope, Receive, Send], Awaitable[None]]


async def read_body(receive: Receive, limit_bytes: int, limit_s: float = 60.0) -> bytes | None:
    """Return a request's body; None when it is too long, too slow, or the client disconnected."""
    with anyio.move_on_after(limit_s):
        message = await receive()
        body = bytes(message.get("body", b""))
        while message.get("more_body") and len(body) <= limit_bytes:
            message = await receive()
            body += message.get("body", b"")
        whole = message["type"] == "http.request" and not message.get("more_body")
        return body if whole and len(body) <= limit_bytes else None
    return None


async def cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel a scope when the client disconnects."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def send_response(
    send: Send,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]] | None = None,
    content_type: bytes = b"application/json",
) -> None:
    """Send a complete response."""
    head = [(b"content-type", content_type), (b"content-length", b"%d" % len(body))]
    start = {"type": "http.response.start", "status": status, "headers": head + (headers or [])}
    await send(start)
    await send({"type": "http.response.body", "body": body})
