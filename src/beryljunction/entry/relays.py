"""Relays the complete answer of one sidecar to the caller.

If a connection breaks or stays silent too long, the relay opens another one and continues after the
last frame it received.
"""

from contextlib import AbstractAsyncContextManager

import anyio
import attrs

from beryljunction.entry.response_writer import ResponseWriter
from beryljunction.entry.sidecar_client import (
    CONNECT_ERRORS,
    CONNECTION_ERRORS,
    SidecarClient,
    SidecarResponse,
)
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.streams import SequenceChecker, StreamId
from beryljunction.tables import Endpoint
from beryljunction.wire import Attach, Cancel, Envelope, Outcome, decode_refusal

__all__ = ["Relay"]

# After three consecutive connections without progress the sidecar is gone or unreachable; more
# attempts would only delay the caller's error.
_MAX_FAILED_CONNECTIONS = 3
_BACKOFF_S = 0.1
_HOP_HEADERS = frozenset((b"connection", b"transfer-encoding", b"keep-alive"))


@attrs.frozen
class _CompleteAnswer:
    """A complete answer of the endpoint that is not streamed."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@attrs.frozen
class _StreamEnd:
    """End of a stream: normal if `refusal` is None, else the sidecar's error."""

    refusal: Refusal | None


@attrs.frozen
class _Reattach:
    """The connection ended without a final result; reattach on a new one."""

    failed: bool


_ReadResult = _CompleteAnswer | _StreamEnd | _Reattach | Refusal


class Relay:
    """Relays the answer of one sidecar to one caller.

    Args:
        silence_s: Seconds without data after which a connection is replaced by a new one.
    """

    def __init__(
        self,
        client: SidecarClient,
        endpoint: Endpoint,
        attach: Attach,
        writer: ResponseWriter,
        silence_s: float,
    ) -> None:
        self._client = client
        self.endpoint = endpoint
        self._attach = attach
        self._writer = writer
        self._silence_s = silence_s
        self._failures = 0
        self._checker: SequenceChecker | None = None
        self._resumed: StreamId | None = None

    async def run(self, envelope: Envelope, body: bytes) -> Refusal | None:
        """Send the request; return None if the caller received its answer."""
        opening = self._client.run_request(self.endpoint, envelope, body, self._silence_s)
        try:
            step = await self._read_connection(opening)
        except CONNECT_ERRORS:
            self._note_failure()
            message = "the endpoint's sidecar did not take the connection"
            return Refusal(RefusalCode.ENDPOINT_FAILED, message, ExecutionStatus.NO, 1.0)
        return await self._finish(step)

    async def resume(self, stream: StreamId) -> Refusal | None:
        """Resume a stream from an earlier connection; return None once the rest was relayed."""
        self._resumed = stream
        return await self._finish(_Reattach(failed=False))

    async def cancel(self) -> None:
        """Tell the sidecar that the caller disconnected."""
        attach = self._attach
        message = Cancel(attach.request_id, attach.account, attach.attempt)
        await self._client.cancel(self.endpoint, message)

    async def _finish(self, step: _ReadResult) -> Refusal | None:
        while isinstance(step, _Reattach):
            self._failures = self._failures + 1 if step.failed else 0
            if self._failures >= _MAX_FAILED_CONNECTIONS:
                self._note_failure()
                return await self._fail(self._unknown_outcome())
            if step.failed:
                await self._client.close_idle_connections(self.endpoint)
            await anyio.sleep(_BACKOFF_S * self._failures)
            step = await self._attach_once()
        if isinstance(step, Refusal):
            return await self._fail(step)
        if isinstance(step, _CompleteAnswer):
            await self._writer.send_response(step.status, step.headers, step.body)
        elif step.refusal is not None:
            await self._writer.send_error(step.refusal)
        else:
            await self._writer.end()
        return None

    async def _fail(self, refusal: Refusal) -> Refusal | None:
        """End an open stream with an error event; otherwise return the refusal for a retry."""
        if not self._writer.streaming:
            return refusal
        broken = Refusal(RefusalCode.INCOMPLETE, refusal.message, ExecutionStatus.YES)
        await self._writer.send_error(broken)
        return None

    async def _attach_once(self) -> _ReadResult:
        last = self._checker.last_sequence if self._checker is not None else self._attach.after
        attach = attrs.evolve(self._attach, after=last)
        try:
            return await self._read_connection(
                self._client.attach(self.endpoint, attach, self._silence_s)
            )
        except CONNECT_ERRORS:
            return _Reattach(failed=True)

    async def _read_connection(
        self, opening: AbstractAsyncContextManager[SidecarResponse]
    ) -> _ReadResult:
        """Read one connection to its end; ask for a reattach if it ended early."""
        step: _ReadResult = _Reattach(failed=True)
        before = self._position()
        try:
            async with opening as answer:
                step = await self._read_answer(answer)
        except CONNECTION_ERRORS as error:
            if isinstance(error, CONNECT_ERRORS):
                raise
        if self._checker is not None and self._checker.complete:
            return _StreamEnd(None)
        progressed = self._position() > before
        return (
            _Reattach(failed=not progressed)
            if isinstance(step, _Reattach) and step.failed
            else step
        )

    def _position(self) -> int:
        return self._checker.last_sequence if self._checker is not None else 0

    async def _read_answer(self, answer: SidecarResponse) -> _ReadResult:
        if answer.outcome is Outcome.STREAM and answer.name is not None:
            if not answer.name.can_resume(self._resumed):
                message = "expected a stream that is still kept; its sidecar has started anew"
                return Refusal(RefusalCode.NOT_FOUND, message, ExecutionStatus.UNKNOWN)
            return await self._read_stream(answer, answer.name)
        if answer.outcome is None:
            return _Reattach(failed=True)
        body = await answer.response.aread()
        if answer.outcome is Outcome.REFUSAL:
            return decode_refusal(body)
        if answer.outcome is Outcome.ANSWER:
            headers = [(k, v) for k, v in answer.response.headers if k not in _HOP_HEADERS]
            return _CompleteAnswer(answer.response.status, headers, body)
        return _Reattach(failed=False)

    async def _read_stream(self, answer: SidecarResponse, name: StreamId) -> _ReadResult:
        checker = await self._open_stream(name)
        idle_timeout = answer.idle_timeout
        async for chunk in answer.response.aiter_stream():
            data = checker.feed(chunk)
            if data:
                # Waiting for a slow caller must not count as silence of the sidecar.
                idle_timeout.paused = True
                await self._writer.send_frames(data)
                idle_timeout.paused = False
            idle_timeout.reset()
            if checker.has_gap:
                break
        if checker.error is not None:
            return _StreamEnd(decode_refusal(checker.error))
        return _Reattach(failed=True)

    async def _open_stream(self, name: StreamId) -> SequenceChecker:
        if self._checker is None:
            self._checker = SequenceChecker(name, self._attach.after)
            await self._writer.start_stream(name)
        else:
            self._checker.restart()
        return self._checker

    def _unknown_outcome(self) -> Refusal:
        message = "the connection to the sidecar broke and could not be taken up again"
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, ExecutionStatus.UNKNOWN)

    def _note_failure(self) -> None:
        self._client.note_failure(self.endpoint)
