"""A small endpoint of the users' platform: streams events or answers calls, and names itself."""

import json
import time

import anyio
import attrs

from beryljunction.servers import Receive, Scope, Send, read_body, send_response

__all__ = ["PlatformEndpointStandIn"]

_BODY_BYTES = 4_194_304
_EVENTS = 8
_EVENT_GAP_S = 0.05


@attrs.define
class PlatformEndpointStandIn:
    """ASGI application of one endpoint.

    Attributes:
        streams: Whether it answers with an event stream.
        runs: Ids of the requests that it ran, in order.
    """

    endpoint_id: str
    service: str
    streams: bool
    runs: list[str] = attrs.field(factory=list)
    _running: int = 0

    def record(self, address: str, state: str = "ready") -> bytes:
        """Return what it writes of itself to the store."""
        fields = {
            "service": self.service,
            "address": address,
            "zone": "local",
            "version": "",
            "slots": 8,
            "state": state,
            "cold-remaining-ms": 0,
            "born": int(time.time() * 1000),
            "sequence-number": 1,
        }
        return json.dumps(fields).encode()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run one request, unless it is meant for another endpoint."""
        headers = dict(scope["headers"])
        body = await read_body(receive, _BODY_BYTES)
        request_id = headers.get(b"x-request-id", b"")
        expected = headers.get(b"x-expect-instance", b"").decode()
        if expected not in ("", self.endpoint_id):
            await send_response(send, 421, b"", [(b"x-instance-id", self.endpoint_id.encode())])
            return
        self.runs.append(request_id.decode())
        self._running += 1
        try:
            await self._answer(send, headers, request_id, body or b"")
        finally:
            self._running -= 1

    async def _answer(
        self, send: Send, headers: dict[bytes, bytes], request_id: bytes, body: bytes
    ) -> None:
        own = [
            (b"x-request-id", request_id),
            (b"x-server-signature", f"{self.endpoint_id}.{len(self.runs)}".encode()),
            (b"x-server-load", f"{self._running},0,8".encode()),
        ]
        if not self.streams:
            answer = {"endpoint": self.endpoint_id, "read": len(body)}
            await send_response(send, 200, json.dumps(answer).encode(), own)
            return
        start = int(headers.get(b"last-event-id", b"0")) + 1
        head = [(b"content-type", b"text/event-stream"), *own]
        await send({"type": "http.response.start", "status": 200, "headers": head})
        for number in range(start, _EVENTS + 1):
            event = f"id: {number}\ndata: token {number} of {self.endpoint_id}\n\n".encode()
            await send({"type": "http.response.body", "body": event, "more_body": True})
            await anyio.sleep(_EVENT_GAP_S)
        await send({"type": "http.response.body", "body": b""})
