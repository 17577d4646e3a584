"""Answers of a sidecar: each says what it is and which incarnation speaks."""

import attrs

from beryljunction.outcomes import Refusal, RefusalCode
from beryljunction.servers import Send
from beryljunction.timeline import HLC_HEADER, HybridClock
from beryljunction.wire import INCARNATION_HEADER, OUTCOME_HEADER, Outcome, refusal_body

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
    """

    send: Send
    incarnation: str
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

    async def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Pass on an endpoint's own answer."""
        await self._whole(status, Outcome.ANSWER, headers, body)

    async def open_stream(self) -> None:
        """Write the head of a stream."""
        await self._head(200, Outcome.STREAM, _EVENT_STREAM)

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
            (INCARNATION_HEADER, self.incarnation.encode()),
            (HLC_HEADER, self.clock.stamp()),
        ]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": [*own, *headers]}
        )
