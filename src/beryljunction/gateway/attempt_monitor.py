"""Watches one attempt at an endpoint for signs that the request crashes endpoints."""

import contextlib
from collections.abc import Iterator

import anyio
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.calls import EndpointCall
from beryljunction.gateway.endpoint_losses import LostRequest
from beryljunction.gateway.messages import ResponseHead
from beryljunction.gateway.state import EntryState
from beryljunction.routing import KnownEndpoint

__all__ = ["AttemptMonitor"]

# An endpoint that runs this long after it began an answer was not crashed by beginning it.
_ALIVE_S = 1.0
_MIN_ERROR_STATUS = 400


@attrs.define
class AttemptMonitor:
    """Records whether a request was served, or the connection to its endpoint was lost.

    That an answer arrives over some time doesn't show that its endpoint lived on, since a link or
    a paused process may spread what was written at once. The endpoint has lived on if it has
    answered a request that was sent some time after the answer began to arrive.

    Attributes:
        is_lost: Whether the connection was lost before the answer was complete.
        began_s: Boot time of the first event or, without events, of the answer's head.
    """

    _state: EntryState
    _endpoint: KnownEndpoint
    _features: frozenset[str]
    _sent_s: float
    _is_trial: bool = False
    began_s: float | None = None
    _has_events: bool = False
    _is_success: bool = False
    _is_served: bool = False
    _is_declined: bool = False
    is_lost: bool = False

    @contextlib.contextmanager
    def until_closed(self, call: EndpointCall) -> Iterator[None]:
        """Record on exit that the answer hasn't ended, though its connection is closed here.

        The caller may have left, or its deadline may have passed; the endpoint works on for a
        moment, or is ending already.
        """
        try:
            yield
        finally:
            if call.was_disconnected and not self.is_lost:
                self._state.losses.add(self._endpoint, self._lost_request(call.was_ended))
            elif not (call.is_complete or call.was_disconnected or self._is_declined):
                self._state.losses.abandon(self._endpoint, self._abandoned_request())

    def note_declined(self) -> None:
        """Record that the endpoint states that it hasn't run the request."""
        self._is_declined = True

    def note_head(self, head: ResponseHead) -> None:
        """Record that the head of the answer has arrived."""
        self._endpoint.note_answer(self._sent_s)
        self._is_success = head.status < _MIN_ERROR_STATUS
        self.began_s = boot_time_s()

    def note_events(self) -> None:
        """Record that events of the answer have arrived."""
        if not self._has_events:
            self._has_events, self.began_s = True, boot_time_s()
        elif self._has_lived_on():
            self._note_served()

    def note_complete(self) -> None:
        """Record that the answer is complete; an error shows nothing, since it may not have run."""
        if self._is_success:
            self._note_served()

    def _note_served(self) -> None:
        """Record that the endpoint has begun the answer and lives on."""
        if self._is_served or self.began_s is None:
            return
        self._is_served = True
        service = self._endpoint.record.service
        self._state.quarantine.note_served(service, self._features, self.began_s)

    async def note_lost_connection(self, call: EndpointCall) -> None:
        """Note the loss if the connection of an incomplete answer ended."""
        if not (call.was_disconnected or call.ended_by_close):
            return
        self.is_lost = True
        await self._state.losses.note(self._endpoint, self._lost_request(call.was_ended))

    async def is_running(self) -> bool:
        """Return whether the endpoint runs, after it has closed the connection of an answer."""
        try:
            return await self._state.losses.is_running(self._endpoint)
        except anyio.get_cancelled_exc_class():
            self._state.losses.add(self._endpoint, self._lost_request(was_ended=True))
            raise

    def _lost_request(self, was_ended: bool) -> LostRequest:
        may_be_part = not (self._has_events and self._has_lived_on())
        return LostRequest(self._features, may_be_part, was_ended, boot_time_s(), self._is_trial)

    def _abandoned_request(self) -> LostRequest:
        return attrs.evolve(self._lost_request(was_ended=False), abandoned_sent_s=self._sent_s)

    def _has_lived_on(self) -> bool:
        if self.began_s is None:
            return False
        return self._endpoint.answered_sent_s - self.began_s >= _ALIVE_S
