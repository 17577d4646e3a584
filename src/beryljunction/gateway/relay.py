"""Reads an endpoint's answer and relays it: buffered, or as a stream of complete events."""

import collections

import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.attempt_monitor import AttemptMonitor
from beryljunction.gateway.caller_answer import CallerAnswer
from beryljunction.gateway.calls import EndpointCall
from beryljunction.gateway.eventstream import EventSplitter
from beryljunction.gateway.messages import ResponseHead
from beryljunction.routing import AttemptOutcome, LatencyEstimate, RepeatPolicy

__all__ = ["AttemptResult", "Relay"]

# Answers up to this size are buffered completely before a byte is sent to the caller, so that an
# interrupted answer can still become an error status or a retry at another endpoint.
_MAX_BUFFERED_ANSWER_BYTES = 1_048_576


@attrs.frozen
class AttemptResult:
    """How an attempt ended.

    Attributes:
        outcome: Why the attempt failed; None when the caller has its answer.
        detail: Problem or status, for the log.
        error_answer: Error answer of the endpoint, relayed if no later attempt succeeds.
    """

    outcome: AttemptOutcome | None = None
    detail: str = ""
    error_answer: tuple[ResponseHead, bytes] | None = None


class Relay:
    """Relays one endpoint's answer to a caller."""

    def __init__(
        self,
        call: EndpointCall,
        head: ResponseHead,
        caller_answer: CallerAnswer,
        latency: LatencyEstimate,
        monitor: AttemptMonitor,
    ) -> None:
        """Initialize it.

        Args:
            call: The call to the endpoint.
            head: Head of its answer.
            caller_answer: The answer to the caller.
            latency: Latency estimate of the endpoint.
            monitor: Watches the attempt.
        """
        self._call = call
        self._head = head
        self._caller_answer = caller_answer
        self._latency = latency
        self._monitor = monitor

    async def relay_buffered(self, repeat: RepeatPolicy) -> AttemptResult:
        """Buffer the answer, then relay it; a very large one is relayed as it arrives."""
        parts: collections.deque[bytes] = collections.deque()
        size = 0
        while (part := await self._call.read_body_part()) is not None:
            parts.append(part)
            size += len(part)
            self._call.keep(size)
            if size > self._buffer_limit_bytes and not self._caller_answer.has_started:
                return await self._forward(parts)
        if not await self._is_whole():
            return self._broken()
        if self._caller_answer.has_started:
            detail = f"expected the rest of a stream, got status {self._head.status}"
            return AttemptResult(AttemptOutcome.FAILED, detail)
        body = b"".join(parts)
        if self._head.status >= 500 and repeat is not RepeatPolicy.NEVER:
            return AttemptResult(AttemptOutcome.ERRORED, str(self._head.status), (self._head, body))
        self._caller_answer.relay_answer(self._head, body)
        return AttemptResult()

    @property
    def _buffer_limit_bytes(self) -> int:
        return self._call.limit_buffer(_MAX_BUFFERED_ANSWER_BYTES)

    async def _forward(self, parts: collections.deque[bytes]) -> AttemptResult:
        self._caller_answer.start_answer(self._head)
        size = sum(map(len, parts))
        # One by one: joined, they would exist twice while the caller reads.
        while parts:
            part = parts.popleft()
            await self._caller_answer.write_part(part)
            size -= len(part)
            self._call.keep(size)
        while (more := await self._call.read_body_part()) is not None:
            await self._caller_answer.write_part(more)
        if not await self._is_whole():
            return self._broken()
        self._caller_answer.end_answer(self._head)
        return AttemptResult()

    async def _is_whole(self) -> bool:
        """Return whether the answer has ended as its endpoint meant it to."""
        if not self._call.is_complete:
            return False
        return not self._call.ended_by_close or await self._monitor.is_running()

    def _broken(self) -> AttemptResult:
        detail = self._call.problem or "endpoint ended with an answer that states no length"
        return AttemptResult(AttemptOutcome.FAILED, detail)

    async def relay_events(self) -> AttemptResult:
        """Relay complete events as they arrive, each once."""
        splitter = EventSplitter()
        count = 0
        previous_s: float | None = None
        while (part := await self._call.read_body_part()) is not None:
            events = splitter.feed(part)
            self._call.keep(splitter.size_bytes + sum(len(event.raw) for event in events))
            count += len(events)
            if events:
                self._monitor.note_events()
            previous_s = self._record_latency(previous_s, len(events))
            await self._caller_answer.write_events(self._head, events)
            events.clear()
            self._call.keep(splitter.size_bytes)
            if splitter.is_too_long:
                return AttemptResult(AttemptOutcome.FAILED, "event exceeds the size limit")
        if self._call.is_complete and splitter.incomplete_event:
            return AttemptResult(AttemptOutcome.FAILED, "answer ended within an event")
        if self._call.ended_by_close and not count:
            return AttemptResult(AttemptOutcome.FAILED, "stream ended before its first event")
        if not await self._is_whole():
            return self._broken()
        self._caller_answer.end_answer(self._head)
        return AttemptResult()

    def _record_latency(self, previous_s: float | None, count: int) -> float | None:
        """Record the time between events, but not that before the first one, which is prefill."""
        if not count:
            return previous_s
        now_s = boot_time_s()
        if previous_s is not None:
            self._latency.note((now_s - previous_s) * 1000 / count, now_s)
        return now_s
