"""Writes responses to callers."""

import attrs

from beryljunction.outcomes import Refusal, RefusalCode
from beryljunction.servers import Send, send_response
from beryljunction.streams import StreamId, error_event
from beryljunction.wire import REQUEST_ID_HEADER, STREAM_HEADER, encode_refusal

__all__ = ["IDEMPOTENCY_KEY_HEADER", "ROUTE_HINT_HEADER", "TICKET_HEADER", "ResponseWriter"]

ROUTE_HINT_HEADER = b"beryl-route-hint"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
TICKET_HEADER = b"beryl-ticket"
_STATUS_BY_CODE = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.TICKET_BURNED: 409,
    RefusalCode.TICKET_INVALID: 409,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.KEY_REUSED: 422,
    RefusalCode.QUEUE_FULL: 429,
    RefusalCode.OUTCOME_UNKNOWN: 502,
    RefusalCode.ENDPOINT_FAILED: 502,
    RefusalCode.INCOMPLETE: 502,
    RefusalCode.DEADLINE: 504,
}
_DEFAULT_STATUS = 503
_BERYL_PREFIX = b"beryl-"


@attrs.define
class ResponseWriter:
    """Writes the response to one request.

    Attributes:
        streaming: Whether the head of a stream was sent; errors are then sent as an event.
        complete: Whether the response has ended; a later disconnect is ignored.
    """

    _send: Send
    request_id: str
    streaming: bool = False
    complete: bool = False
    _extra_headers: dict[bytes, bytes] = attrs.field(factory=dict)

    def set_header(self, name: bytes, value: bytes) -> None:
        """Set a header of the response, whichever kind it will be."""
        self._extra_headers[name] = value

    async def send_error(self, refusal: Refusal) -> None:
        """End the response with an error: a JSON body, or an event if a stream is open."""
        body = encode_refusal(refusal, self.request_id)
        if self.streaming:
            await self.end(error_event(body))
            return
        headers = self._entry_headers()
        if refusal.retry_after_s is not None:
            headers.append((b"retry-after", b"%d" % max(1, round(refusal.retry_after_s))))
        status = _STATUS_BY_CODE.get(refusal.code, _DEFAULT_STATUS)
        await send_response(self._send, status, body, headers)
        self.complete = True

    async def send_response(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Forward a complete answer of an endpoint."""
        forwarded = [(key, value) for key, value in headers if not key.startswith(_BERYL_PREFIX)]
        head = [*forwarded, *self._entry_headers()]
        await self._send({"type": "http.response.start", "status": status, "headers": head})
        await self._send({"type": "http.response.body", "body": body})
        self.complete = True

    async def send_json(self, body: bytes) -> None:
        """Send a JSON response that the entry itself produced."""
        await send_response(self._send, 200, body, self._entry_headers())
        self.complete = True

    async def start_stream(self, name: StreamId) -> None:
        """Send the response head of a stream."""
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"cache-control", b"no-store"),
            (STREAM_HEADER, str(name).encode()),
            *self._entry_headers(),
        ]
        await self._send({"type": "http.response.start", "status": 200, "headers": headers})
        self.streaming = True

    async def send_frames(self, data: bytes) -> None:
        """Forward complete frames; blocks while the caller reads slowly."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self, tail: bytes = b"") -> None:
        """End a stream, after the last bytes `tail`."""
        await self._send({"type": "http.response.body", "body": tail})
        self.complete = True

    def _entry_headers(self) -> list[tuple[bytes, bytes]]:
        return [(REQUEST_ID_HEADER, self.request_id.encode()), *self._extra_headers.items()]
