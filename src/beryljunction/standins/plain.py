"""A plain service that counts its runs."""

import collections
import hashlib
import json

import anyio

from beryljunction.servers import Receive, Scope, Send, read_body, send_response

__all__ = ["PlainStandIn"]

_BODY_BYTES = 16_777_216


class PlainStandIn:
    """ASGI application that answers every call and remembers what it ran.

    Attributes:
        work_s: Time that each call takes.
        runs: Request ids of the calls that ran, in order.
        times: Runs of each call by the SHA-256 of its method, path and body. A retry may come
            under another request id, so double runs are counted by what the caller sent.
    """

    def __init__(self, work_s: float = 0.0) -> None:
        self.work_s = work_s
        self.runs: list[str] = []
        self.times: collections.Counter[str] = collections.Counter()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer with what was asked."""
        body = await read_body(receive, _BODY_BYTES)
        if body is None:
            return
        asked = f"{scope['method']} {scope['path']}\n".encode() + body
        self.runs.append(dict(scope["headers"]).get(b"x-request-id", b"").decode())
        digest = hashlib.sha256(asked).hexdigest()
        self.times[digest] += 1
        await anyio.sleep(self.work_s)
        answer = {
            "method": scope["method"],
            "path": scope["path"],
            "length_bytes": len(body),
            "times": self.times[digest],
        }
        await send_response(send, 200, json.dumps(answer).encode())
