"""Writes the answer to one caller: an endpoint's, the entry's own, or an aborted connection."""

from typing import Protocol

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.eventstream import StreamEvent
from beryljunction.gateway.messages import Head, Headers, hop_by_hop
from beryljunction.platform.headers import ENDPOINT_ONLY

__all__ = ["Answering", "Delivery"]


class Answering(Protocol):
    """The methods of a caller's connection that a delivery uses."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer."""

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of an answer of unknown length."""

    async def write_part(self, data: bytes) -> None:
        """Write a part of the answer."""

    def end(self) -> None:
        """Complete the answer."""

    def abort(self) -> None:
        """Abort the connection, so that the answer is visibly incomplete."""


class Delivery:
    """The answer to one request, which may combine a stream from several endpoints.

    Attributes:
        has_begun: Whether the head of an answer was written.
        position: Id of the last event that was written; None before the first with an id.
        first_s: Boot time at which the first byte was written; that clock counts suspended time.
        status: Status that was written; 0 before that.
        is_whole: Whether the answer was completed.
    """

    def __init__(self, caller: Answering) -> None:
        self._caller = caller
        self.has_begun = False
        self.position: int | None = None
        self.first_s: float | None = None
        self.status = 0
        self.is_whole = False

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer."""
        self._record_start(status)
        self.is_whole = True
        self._caller.answer(status, headers, body)

    def pass_answer(self, head: Head, body: bytes) -> None:
        """Write a complete answer of an endpoint, without the headers meant for the entry."""
        self.answer(head.status, _end_to_end_headers(head), body)

    def begin(self, head: Head) -> None:
        """Write an endpoint's head; does nothing when another endpoint continues the answer."""
        if self.has_begun:
            return
        self.has_begun = True
        self._record_start(head.status)
        self._caller.begin(head.status, _end_to_end_headers(head))

    async def write_part(self, data: bytes) -> None:
        """Write a part of the answer; `begin` must have been called."""
        await self._caller.write_part(data)

    async def write_events(self, head: Head, events: list[StreamEvent]) -> None:
        """Write the events that the caller hasn't received yet."""
        fresh = b"".join(event.raw for event in events if self._advance_position(event))
        if fresh:
            self.begin(head)
            await self._caller.write_part(fresh)

    def end(self, head: Head) -> None:
        """Complete the answer."""
        self.begin(head)
        self.is_whole = True
        self._caller.end()

    def break_off(self) -> None:
        """Abort the connection, so that an incomplete answer doesn't look complete."""
        self._caller.abort()

    def _advance_position(self, event: StreamEvent) -> bool:
        if event.position is None:
            return True
        if self.position is not None and event.position <= self.position:
            return False
        self.position = event.position
        return True

    def _record_start(self, status: int) -> None:
        self.status = status
        self.first_s = boot_time_s()


def _end_to_end_headers(head: Head) -> Headers:
    dropped = hop_by_hop(head.headers, frozenset()) | ENDPOINT_ONLY
    return [line for line in head.headers if line[0] not in dropped]
