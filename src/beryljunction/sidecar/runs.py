"""Requests in flight at a sidecar, from admission to the last byte."""

import anyio
import attrs

from beryljunction.outcomes import Refusal
from beryljunction.servers import Send, respond
from beryljunction.wire import Envelope, refusal_body

__all__ = ["REFUSAL_STATUS", "Run"]

REFUSAL_STATUS = 503
_STREAM_HEADERS = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]


@attrs.define(eq=False)
class Run:
    """One request at this sidecar.

    Attributes:
        decided: Set when the request may start or was refused.
        ended: Set when nothing more will be written.
        sink: Where the answer goes; None while nobody reads it.
        frames: Numbered frames sent so far, for readers that come back.
    """

    envelope: Envelope
    body: bytes
    decided: anyio.Event = attrs.field(factory=anyio.Event)
    ended: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    refusal: Refusal | None = None
    sink: Send | None = None
    head_sent: bool = False
    frames: list[bytes] = attrs.field(factory=list)

    async def write_frames(self, frames: list[bytes]) -> None:
        """Keep frames for a resume and pass them to the reader, if there is one."""
        self.frames.extend(frames)
        if self.sink is None:
            return
        if not self.head_sent:
            self.head_sent = True
            await self.sink(
                {"type": "http.response.start", "status": 200, "headers": _STREAM_HEADERS}
            )
        data = b"".join(frames)
        await self.sink({"type": "http.response.body", "body": data, "more_body": True})

    async def write_end(self) -> None:
        """End a stream cleanly."""
        if self.sink is not None:
            await self.sink({"type": "http.response.body", "body": b""})

    async def write_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Pass on a whole answer."""
        if self.sink is None:
            return
        await self.sink({"type": "http.response.start", "status": status, "headers": headers})
        await self.sink({"type": "http.response.body", "body": body})

    async def write_refusal(self, refusal: Refusal) -> None:
        """End with an error, in a head of its own or, in mid-stream, as an event."""
        if self.sink is None:
            return
        body = refusal_body(refusal, self.envelope.request_id)
        if not self.head_sent:
            await respond(self.sink, REFUSAL_STATUS, body)
            return
        data = b"event: error\ndata: " + body + b"\n\n"
        await self.sink({"type": "http.response.body", "body": data})
