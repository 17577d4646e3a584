"""Client for the endpoint: runs requests, resumes broken streams and cancels work."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpcore

from beryljunction.idle_timeouts import IdleTimeout, IdleTimeouts
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.servers import close_idle_connections
from beryljunction.sidecar.runs import Run
from beryljunction.streams import FrameNumberer, FrameParser, StreamId
from beryljunction.systems import SpeedMeter
from beryljunction.tables import Answer

__all__ = ["EndpointClient"]

_CONNECT_TIMEOUT_S = 2.0
_CANCEL_TIMEOUT_S = 2.0
_DEFAULT_SILENCE_TIMEOUT_S = 10.0
_DEFAULT_REQUEST_TIMEOUT_S = 600.0
_DEFAULT_MAX_ANSWER_BYTES = 16_777_216
# An engine that breaks off three times without a new token is taken as broken. Each further attempt
# would delay the error that lets the caller retry at another endpoint.
_MAX_RESUME_FAILURES = 3
_BACKOFF_S = 0.1
_PRIORITY_HEADER = "x-priority"
_EVENT_STREAM = b"text/event-stream"
_HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"transfer-encoding", b"content-length", b"keep-alive", b"date", b"server")
)
_CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)


class EndpointClient:
    """Sends requests to one endpoint and stores the answers in their runs.

    Args:
        address: Base URL of the endpoint.
        speed: Counts the frames from the endpoint.

    Attributes:
        silence_s: Time without data after which a stream is resumed on a new connection.
        request_s: Timeout of an answer that is not streamed.
        answer_bytes: Maximum size of an answer that is not streamed.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        idle_timeouts: IdleTimeouts,
        address: str,
        speed: SpeedMeter | None = None,
    ) -> None:
        self._speed = speed if speed is not None else SpeedMeter()
        self._pool = pool
        self._idle_timeouts = idle_timeouts
        self._address = address
        self.silence_s = _DEFAULT_SILENCE_TIMEOUT_S
        self.request_s = _DEFAULT_REQUEST_TIMEOUT_S
        self.answer_bytes = _DEFAULT_MAX_ANSWER_BYTES

    async def execute(self, run: Run, name: StreamId, priority: int | None = None) -> None:
        """Send the request and store its answer, or the reason for the failure, in the run.

        A failure after the first byte may have been sent and before the endpoint has answered
        leaves the outcome unknown.

        Args:
            run: The run to execute.
            name: Name of the run's stream.
            priority: Priority of the request at an engine; None for a plain service, which gets
                no priority header.
        """
        numberer = FrameNumberer(name)
        run.ran = ExecutionStatus.UNKNOWN
        try:
            async with self._open(run, priority) as (response, idle_timeout):
                run.ran = ExecutionStatus.YES
                if not _is_stream(run, response):
                    await self._read_answer(run, response)
                    return
                await self._read_frames(run, response, numberer, idle_timeout)
        except _CONNECT_ERRORS:
            run.ran = ExecutionStatus.NO
            message = "the endpoint did not take the connection; no byte of the request was sent"
            run.refusal = Refusal(RefusalCode.ENDPOINT_FAILED, message, ExecutionStatus.NO, 1.0)
            return
        except _CONNECTION_ERRORS as error:
            message = f"the connection to the endpoint broke: {type(error).__name__}"
            run.refusal = Refusal(RefusalCode.ENDPOINT_FAILED, message, run.ran)
        if run.envelope.streamed and run.answer is None and not numberer.done:
            await self._resume(run, numberer)
        self._set_outcome(run, numberer)

    async def cancel(self, request_id: str) -> None:
        """Tell an engine to cancel a request; on failure the engine only does needless work."""
        with anyio.move_on_after(_CANCEL_TIMEOUT_S, shield=True):
            try:
                await self._pool.request(
                    "POST",
                    f"{self._address}/v1/cancel",
                    headers=[(b"content-type", b"application/json")],
                    content=b'{"request_id": "%s"}' % request_id.encode(),
                )
            except _CONNECTION_ERRORS:
                return

    @asynccontextmanager
    async def _open(
        self, run: Run, priority: int | None
    ) -> AsyncIterator[tuple[httpcore.Response, IdleTimeout]]:
        envelope = run.envelope
        headers = [*envelope.headers, ("x-request-id", envelope.request_id)]
        if priority is not None:
            headers.append((_PRIORITY_HEADER, str(priority)))
        limit_s = self.silence_s if envelope.streamed else self.request_s
        with self._idle_timeouts.add(limit_s) as idle_timeout:
            async with self._pool.stream(
                envelope.method,
                self._address + envelope.path,
                headers=headers,
                content=run.body,
                extensions={"timeout": {"connect": _CONNECT_TIMEOUT_S}},
            ) as response:
                yield response, idle_timeout

    async def _read_answer(self, run: Run, response: httpcore.Response) -> None:
        parts = []
        size = 0
        async for part in response.aiter_stream():
            size += len(part)
            if size > self.answer_bytes:
                message = f"expected an answer of at most {self.answer_bytes} bytes, got more"
                run.refusal = Refusal(RefusalCode.ENDPOINT_FAILED, message, ExecutionStatus.YES)
                return
            parts.append(part)
        headers = [(k, v) for k, v in response.headers if k.lower() not in _HOP_BY_HOP_HEADERS]
        run.answer = Answer(response.status, tuple(headers), b"".join(parts))

    async def _read_frames(
        self,
        run: Run,
        response: httpcore.Response,
        numberer: FrameNumberer,
        idle_timeout: IdleTimeout,
    ) -> None:
        parser = FrameParser()
        async for chunk in response.aiter_stream():
            frames = numberer.add_ids(parser.feed(chunk))
            if parser.is_frame_too_long:
                return
            if frames:
                # A slow reader may block here; that does not count as silence of the endpoint.
                idle_timeout.paused = True
                self._speed.note(len(frames))
                await run.add_frames(frames)
                idle_timeout.paused = False
            idle_timeout.reset()

    async def _resume(self, run: Run, numberer: FrameNumberer) -> None:
        """Request the rest on new connections until the answer is complete or resuming fails."""
        failures = 0
        while not numberer.done and failures < _MAX_RESUME_FAILURES:
            sequence_before = numberer.sequence
            await close_idle_connections(self._pool, self._address)
            await anyio.sleep(_BACKOFF_S * failures)
            if not await self._resume_once(run, numberer):
                return
            failures = 0 if numberer.sequence > sequence_before else failures + 1

    async def _resume_once(self, run: Run, numberer: FrameNumberer) -> bool:
        """Resume the stream once; return False when the engine does not have it."""
        path = f"/v1/streams/{run.envelope.request_id}?after={numberer.sequence}"
        try:
            with self._idle_timeouts.add(self.silence_s) as idle_timeout:
                async with self._pool.stream(
                    "GET",
                    self._address + path,
                    extensions={"timeout": {"connect": _CONNECT_TIMEOUT_S}},
                ) as response:
                    if response.status != 200:
                        return False
                    run.ran = ExecutionStatus.YES
                    await self._read_frames(run, response, numberer, idle_timeout)
        except _CONNECTION_ERRORS:
            return True
        return True

    @staticmethod
    def _set_outcome(run: Run, numberer: FrameNumberer) -> None:
        if numberer.done:
            run.complete = True
            run.refusal = None
        elif run.streaming:
            message = "the endpoint's stream ended early and could not be resumed"
            run.refusal = Refusal(RefusalCode.INCOMPLETE, message, ExecutionStatus.YES)
        elif run.refusal is None and run.answer is None:
            message = "the endpoint went silent before its answer"
            run.refusal = Refusal(RefusalCode.ENDPOINT_FAILED, message, run.ran)


def _is_stream(run: Run, response: httpcore.Response) -> bool:
    content_type = next((v for k, v in response.headers if k.lower() == b"content-type"), b"")
    return (
        run.envelope.streamed and response.status == 200 and content_type.startswith(_EVENT_STREAM)
    )
