"""What a caller gets: an answer of an endpoint, an own refusal, or a visible break."""

from typing import Protocol

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.eventstream import StreamEvent
from beryljunction.gateway.messages import Head, Headers, hop_by_hop
from beryljunction.platform.headers import ENDPOINT_ONLY

__all__ = ["Answering", "Delivery"]


class Answering(Protocol):
    """What a delivery needs of a caller's connection."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""

    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length."""

    async def write_part(self, data: bytes) -> None:
        """Write a part of it."""

    def end(self) -> None:
        """End it as complete."""

    def abort(self) -> None:
        """Break the connection."""


class Delivery:
    """The answer to one request, over all endpoints that contribute to it.

    Attributes:
        has_begun: Whether the caller has the head of an answer.
        position: Id of the last event that was handed on.
        first_s: When the first byte was written, by the clock that goes on through a pause.
        status: Status that the caller got; 0 for none.
        is_whole: Whether the answer was ended as complete.
    """

    def __init__(self, caller: Answering) -> None:
        self._caller = caller
        self.has_begun = False
        self.position: int | None = None
        self.first_s: float | None = None
        self.status = 0
        self.is_whole = False

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer of this entry's own."""
        self._note(status)
        self.is_whole = True
        self._caller.answer(status, headers, body)

    def pass_answer(self, head: Head, body: bytes) -> None:
        """Write a whole answer of an endpoint."""
        self.answer(head.status, _kept_headers(head), body)

    def begin(self, head: Head) -> None:
        """Begin with the head of an endpoint; the first one's stays when another goes on."""
        if self.has_begun:
            return
        self.has_begun = True
        self._note(head.status)
        self._caller.begin(head.status, _kept_headers(head))

    async def write_part(self, data: bytes) -> None:
        """Write a part of an answer that has begun."""
        await self._caller.write_part(data)

    async def write_events(self, head: Head, events: list[StreamEvent]) -> None:
        """Write the events that the caller does not have yet."""
        fresh = b"".join(event.raw for event in events if self._is_new(event))
        if fresh:
            self.begin(head)
            await self._caller.write_part(fresh)

    def end(self, head: Head) -> None:
        """End an answer as complete."""
        self.begin(head)
        self.is_whole = True
        self._caller.end()

    def break_off(self) -> None:
        """Break the connection: an answer that can't be completed must not look complete."""
        self._caller.abort()

    def _is_new(self, event: StreamEvent) -> bool:
        if event.position is None:
            return True
        if self.position is not None and event.position <= self.position:
            return False
        self.position = event.position
        return True

    def _note(self, status: int) -> None:
        self.status = status
        self.first_s = boot_time_s()


def _kept_headers(head: Head) -> Headers:
    dropped = hop_by_hop(head.headers, frozenset()) | ENDPOINT_ONLY
    return [line for line in head.headers if line[0] not in dropped]
