"""HTTP answers of a sidecar; their headers name the kind of answer and the incarnation."""

import attrs

from beryljunction.outcomes import Refusal, RefusalCode
from beryljunction.servers import Send
from beryljunction.streams import StreamId
from beryljunction.tables import Answer, Stamp
from beryljunction.timeline import HLC_HEADER, HybridClock
from beryljunction.wire import OUTCOME_HEADER, STAMP_HEADER, STREAM_HEADER, Outcome, encode_refusal

__all__ = ["ResponseWriter"]

_DEFAULT_REFUSAL_STATUS = 503
_PENDING_STATUS = 202
_REFUSAL_STATUSES = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.TOO_LARGE: 413,
}
_JSON = (b"content-type", b"application/json")
_EVENT_STREAM = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]


@attrs.frozen
class ResponseWriter:
    """Writes one HTTP answer.

    Attributes:
        send: ASGI send channel; frames of an open stream are written to it directly.
        stamp: Id and time of this sidecar, which entries copy into their requests.
    """

    send: Send
    stamp: Stamp
    clock: HybridClock

    async def refuse(self, refusal: Refusal, request_id: str) -> None:
        """Answer with a refusal."""
        status = _REFUSAL_STATUSES.get(refusal.code, _DEFAULT_REFUSAL_STATUS)
        await self._write_response(
            status, Outcome.REFUSAL, [_JSON], encode_refusal(refusal, request_id)
        )

    async def pending(self) -> None:
        """Tell the reader to ask again."""
        await self._write_response(_PENDING_STATUS, Outcome.PENDING, [], b"")

    async def done(self, body: bytes = b"{}") -> None:
        """Answer a control request."""
        await self._write_response(200, Outcome.DONE, [_JSON], body)

    async def answer(self, answer: Answer) -> None:
        """Forward the answer of the endpoint."""
        headers = [(key, value) for key, value in answer.headers if key != b"content-length"]
        await self._write_response(answer.status, Outcome.ANSWER, headers, answer.body)

    async def open_stream(self, name: StreamId) -> None:
        """Write the response head of an event stream."""
        headers = [*_EVENT_STREAM, (STREAM_HEADER, str(name).encode())]
        await self._write_head(200, Outcome.STREAM, headers)

    async def _write_response(
        self, status: int, outcome: Outcome, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        await self._write_head(status, outcome, [*headers, (b"content-length", b"%d" % len(body))])
        await self.send({"type": "http.response.body", "body": body})

    async def _write_head(
        self, status: int, outcome: Outcome, headers: list[tuple[bytes, bytes]]
    ) -> None:
        common = [
            (OUTCOME_HEADER, outcome.encode()),
            (STAMP_HEADER, self.stamp.to_text().encode()),
            (HLC_HEADER, self.clock.header_value()),
        ]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": [*common, *headers]}
        )
