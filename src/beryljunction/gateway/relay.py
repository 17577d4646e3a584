"""Reads an endpoint's answer and hands it on: whole, as events, or not at all."""

import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.calls import EndpointCall
from beryljunction.gateway.delivery import Delivery
from beryljunction.gateway.eventstream import EventSplitter
from beryljunction.gateway.messages import Head
from beryljunction.routing import Outcome, Pace, Repeat

__all__ = ["AttemptEnd", "Relay"]

# Answers up to this size are read whole before a byte goes to the caller, so that one that breaks
# off can still become an honest failure or be asked for elsewhere.
_MOST_HELD_BYTES = 1_048_576


@attrs.frozen
class AttemptEnd:
    """How an attempt ended.

    Attributes:
        outcome: None when the caller has its answer.
        error: An endpoint's own error, to be handed on if nothing better follows.
    """

    outcome: Outcome | None = None
    detail: str = ""
    error: tuple[Head, bytes] | None = None


class Relay:
    """Hands one endpoint's answer to a caller."""

    def __init__(self, call: EndpointCall, head: Head, delivery: Delivery, pace: Pace) -> None:
        self._call = call
        self._head = head
        self._delivery = delivery
        self._pace = pace

    async def hold(self, repeat: Repeat) -> AttemptEnd:
        """Read the answer whole, then hand it on; one that is very large goes on as it comes."""
        parts: list[bytes] = []
        size = 0
        while (part := await self._call.part()) is not None:
            parts.append(part)
            size += len(part)
            if size > _MOST_HELD_BYTES and not self._delivery.has_begun:
                return await self._pass_on(parts)
        if not self._call.is_complete:
            return AttemptEnd(Outcome.FAILED, self._call.problem)
        if self._delivery.has_begun:
            detail = f"status {self._head.status} in place of the rest of a stream"
            return AttemptEnd(Outcome.FAILED, detail)
        body = b"".join(parts)
        if self._head.status >= 500 and repeat is not Repeat.NEVER:
            return AttemptEnd(Outcome.ERRORED, str(self._head.status), (self._head, body))
        self._delivery.pass_answer(self._head, body)
        return AttemptEnd()

    async def _pass_on(self, parts: list[bytes]) -> AttemptEnd:
        self._delivery.begin(self._head)
        for part in parts:
            await self._delivery.write_part(part)
        while (more := await self._call.part()) is not None:
            await self._delivery.write_part(more)
        if not self._call.is_complete:
            return AttemptEnd(Outcome.FAILED, self._call.problem)
        self._delivery.end(self._head)
        return AttemptEnd()

    async def stream(self) -> AttemptEnd:
        """Hand events on as they come: whole ones only, and each once."""
        splitter = EventSplitter()
        before_s: float | None = None
        while (part := await self._call.part()) is not None:
            events = splitter.feed(part)
            before_s = self._note_pace(before_s, len(events))
            await self._delivery.write_events(self._head, events)
            if splitter.is_overlong:
                return AttemptEnd(Outcome.FAILED, "an event without end")
        if not self._call.is_complete or splitter.rest:
            return AttemptEnd(Outcome.FAILED, self._call.problem or "an event that ends early")
        self._delivery.end(self._head)
        return AttemptEnd()

    def _note_pace(self, before_s: float | None, count: int) -> float | None:
        """Measure the time between events; the first one's is the prompt's, not a step's."""
        if not count:
            return before_s
        now_s = boot_time_s()
        if before_s is not None:
            self._pace.note((now_s - before_s) * 1000 / count, now_s)
        return now_s
