"""Answers of a sidecar: each says what it is and which incarnation speaks."""

import attrs

from beryljunction.outcomes import Refusal, RefusalCode
from beryljunction.servers import Send
from beryljunction.streams import StreamName
from beryljunction.tables import Answer, Stamp
from beryljunction.timeline import HLC_HEADER, HybridClock
from beryljunction.wire import OUTCOME_HEADER, STAMP_HEADER, STREAM_HEADER, Outcome, refusal_body

__all__ = ["Writer"]

_REFUSAL_STATUS = 503
_PENDING_STATUS = 202
_STATUS = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.TOO_LARGE: 413,
}
_JSON = (b"content-type", b"application/json")
_EVENT_STREAM = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]


@attrs.frozen
class Writer:
    """Writes one answer.

    Attributes:
        send: Where the answer goes; frames of an open stream are written to it directly.
        stamp: This sidecar's name and time; entries copy it onto what they send.
    """

    send: Send
    stamp: Stamp
    clock: HybridClock

    async def refuse(self, refusal: Refusal, request_id: str) -> None:
        """Answer with a refusal."""
        status = _STATUS.get(refusal.code, _REFUSAL_STATUS)
        await self._whole(status, Outcome.REFUSAL, [_JSON], refusal_body(refusal, request_id))

    async def pending(self) -> None:
        """Tell the reader to ask again."""
        await self._whole(_PENDING_STATUS, Outcome.PENDING, [], b"")

    async def done(self, body: bytes = b"{}") -> None:
        """Answer a control message."""
        await self._whole(200, Outcome.DONE, [_JSON], body)

    async def answer(self, answer: Answer) -> None:
        """Pass on an endpoint's own answer."""
        kept = [(key, value) for key, value in answer.headers if key != b"content-length"]
        await self._whole(answer.status, Outcome.ANSWER, kept, answer.body)

    async def open_stream(self, name: StreamName) -> None:
        """Write the head of a stream."""
        headers = [*_EVENT_STREAM, (STREAM_HEADER, str(name).encode())]
        await self._head(200, Outcome.STREAM, headers)

    async def _whole(
        self, status: int, outcome: Outcome, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        await self._head(status, outcome, [*headers, (b"content-length", b"%d" % len(body))])
        await self.send({"type": "http.response.body", "body": body})

    async def _head(
        self, status: int, outcome: Outcome, headers: list[tuple[bytes, bytes]]
    ) -> None:
        own = [
            (OUTCOME_HEADER, outcome.encode()),
            (STAMP_HEADER, self.stamp.to_text().encode()),
            (HLC_HEADER, self.clock.stamp()),
        ]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": [*own, *headers]}
        )
