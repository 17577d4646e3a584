"""Writes the answer to one caller: an endpoint's, the entry's own, or an aborted connection."""

from collections.abc import Callable
from typing import Protocol

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.eventstream import StreamEvent
from beryljunction.gateway.messages import Headers, ResponseHead, hop_by_hop_names
from beryljunction.platform.headers import STRIPPED_FROM_RESPONSES

__all__ = ["AnswerWriter", "CallerAnswer"]


class AnswerWriter(Protocol):
    """The methods of a caller's connection that an answer is written with."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer."""

    def start_answer(self, status: int, headers: Headers) -> None:
        """Write the head of an answer of unknown length."""

    async def write_part(self, data: bytes) -> None:
        """Write a part of the answer."""

    def end_answer(self) -> None:
        """Complete the answer."""

    def abort(self) -> None:
        """Abort the connection, so that the answer is visibly incomplete."""


class CallerAnswer:
    """The answer to one request, which may combine a stream from several endpoints.

    Once it is complete, the connection may serve the next request, and is left alone.

    Attributes:
        has_started: Whether the head of an answer was written.
        last_event_id: Id of the last event that the caller has, of this or an earlier answer;
            None before the first with an id.
        first_byte_s: Boot time at which the first byte was written; that clock counts suspended
            time.
        status: Status that was written; 0 before that.
        is_complete: Whether the answer was completed.
        on_start: Called when the head of an answer is written, before its first event.
    """

    def __init__(self, caller: AnswerWriter) -> None:
        self._caller = caller
        self.has_started = False
        self.last_event_id: int | None = None
        self.first_byte_s: float | None = None
        self.status = 0
        self.is_complete = False
        self.on_start: Callable[[], None] = lambda: None

    def write_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer, unless there is one already."""
        if self.is_complete:
            return
        self._record_start(status)
        self._caller.answer(status, headers, body)
        self.is_complete = True

    def relay_answer(self, head: ResponseHead, body: bytes) -> None:
        """Write a complete answer of an endpoint, without the headers meant for the entry."""
        self.write_answer(head.status, _end_to_end_headers(head), body)

    def start_answer(self, head: ResponseHead) -> None:
        """Write an endpoint's head; does nothing when another endpoint continues the answer."""
        if self.has_started:
            return
        self.has_started = True
        self.on_start()
        self._record_start(head.status)
        self._caller.start_answer(head.status, _end_to_end_headers(head))

    async def write_part(self, data: bytes) -> None:
        """Write a part of the answer; `start_answer` must have been called."""
        await self._caller.write_part(data)

    async def write_events(self, head: ResponseHead, events: list[StreamEvent]) -> None:
        """Write the events that the caller hasn't received yet."""
        fresh = b"".join(event.raw for event in events if self._advance_last_event_id(event))
        if fresh:
            self.start_answer(head)
            await self._caller.write_part(fresh)

    def end_answer(self, head: ResponseHead) -> None:
        """Complete the answer."""
        self.start_answer(head)
        self._caller.end_answer()
        self.is_complete = True

    def abort(self) -> None:
        """Abort the connection, so that an incomplete answer doesn't look complete."""
        if not self.is_complete:
            self._caller.abort()

    def _advance_last_event_id(self, event: StreamEvent) -> bool:
        if event.event_id is None:
            return True
        if self.last_event_id is not None and event.event_id <= self.last_event_id:
            return False
        self.last_event_id = event.event_id
        return True

    def _record_start(self, status: int) -> None:
        self.status = status
        self.first_byte_s = boot_time_s()


def _end_to_end_headers(head: ResponseHead) -> Headers:
    dropped = hop_by_hop_names(head.headers, frozenset()) | STRIPPED_FROM_RESPONSES
    return [line for line in head.headers if line[0] not in dropped]
