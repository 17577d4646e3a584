"""Watches one attempt at an endpoint for signs that the request crashes endpoints."""

import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.calls import EndpointCall, PortState, probe_port
from beryljunction.gateway.state import EntryState
from beryljunction.routing import KnownEndpoint

__all__ = ["AttemptMonitor"]

# An endpoint that has been sending an answer for this long was not crashed by beginning it.
_ALIVE_S = 0.25


@attrs.define
class AttemptMonitor:
    """Reports to the quarantine whether a request was served or its endpoint crashed.

    Attributes:
        began_s: Boot time of the first event or, without events, of the answer's head.
    """

    _state: EntryState
    _endpoint: KnownEndpoint
    _features: frozenset[str]
    began_s: float | None = None
    _has_events: bool = False
    _is_served: bool = False

    def note_head(self) -> None:
        """Record that the head of the answer has arrived."""
        self.began_s = boot_time_s()

    def note_events(self) -> None:
        """Record that events of the answer have arrived."""
        now_s = boot_time_s()
        if not self._has_events:
            self._has_events, self.began_s = True, now_s
        elif self._has_lived_on(now_s):
            self.note_served()

    def note_served(self) -> None:
        """Record that the endpoint has begun the answer and lives on."""
        if self._is_served or self.began_s is None:
            return
        self._is_served = True
        service = self._endpoint.record.service
        self._state.quarantine.note_served(service, self._features, self.began_s)

    async def note_lost_connection(self, call: EndpointCall) -> None:
        """Report a crash if the connection of an incomplete answer ended with its endpoint."""
        if not (call.was_disconnected or call.ended_by_close):
            return
        may_be_part = not (self._has_events and self._has_lived_on(boot_time_s()))
        if await self.has_crashed():
            self._state.quarantine.note_crash(self._features, self._endpoint, may_be_part)

    async def has_crashed(self) -> bool:
        """Return whether the endpoint has ended, after a connection to it has ended.

        If it still accepts connections, only this connection was lost. An endpoint that announced
        its shutdown, or whose record was removed before, did not crash.
        """
        endpoint = self._endpoint
        is_known = self._state.registry.find(endpoint.record.endpoint_id) is endpoint
        if endpoint.has_said_leaving or not is_known:
            return False
        port = await probe_port(endpoint.record.address)
        if port is not PortState.OPEN:
            endpoint.note_unreachable(boot_time_s())
        return port is PortState.REFUSED

    def _has_lived_on(self, now_s: float) -> bool:
        return self.began_s is not None and now_s - self.began_s >= _ALIVE_S
