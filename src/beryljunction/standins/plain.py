"""A plain service that counts its runs."""

import json

from beryljunction.servers import Receive, Scope, Send, read_body, respond

__all__ = ["PlainStandIn"]

_BODY_BYTES = 16_777_216


class PlainStandIn:
    """ASGI application that answers every call and remembers its request id."""

    def __init__(self) -> None:
        self.runs: list[str] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer with what was asked."""
        body = await read_body(receive, _BODY_BYTES) or b""
        self.runs.append(dict(scope["headers"]).get(b"x-request-id", b"").decode())
        answer = {"method": scope["method"], "path": scope["path"], "length_bytes": len(body)}
        await respond(send, 200, json.dumps(answer).encode())
