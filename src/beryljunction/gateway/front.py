"""Takes callers' connections and runs an exchange for each request."""

import anyio
import anyio.abc

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.callers import CallerConnection, CallerHandler
from beryljunction.gateway.exchange import Exchange
from beryljunction.gateway.messages import HttpRequest
from beryljunction.gateway.state import EntryState
from beryljunction.routing import CallerLimits

__all__ = ["Front"]

_SWEEP_S = 0.5
# Callers use connections that were idle for up to four fifths of the limit; one is closed a little
# after the whole of it, so a request never crosses the close.
_IDLE_SLACK_S = 1.0


class Front(CallerHandler):
    """Callers' side of an entry.

    Attributes:
        leaving: Whether the process stops: answers then close their connections.
    """

    def __init__(self, state: EntryState, group: anyio.abc.TaskGroup) -> None:
        self._state = state
        self._group = group
        self._connections: set[CallerConnection] = set()
        self._scopes: dict[CallerConnection, anyio.CancelScope] = {}
        self.leaving = False

    @property
    def limits(self) -> CallerLimits:  # type: ignore[override]
        """Limits in force."""
        config = self._state.config
        return config.limits if config is not None else CallerLimits()

    @property
    def in_flight(self) -> int:
        """Requests that are not answered yet."""
        return len(self._scopes)

    def opened(self, connection: CallerConnection) -> None:
        """Keep the connection."""
        self._connections.add(connection)

    def closed(self, connection: CallerConnection) -> None:
        """End the work for a caller that has left, at its endpoint too."""
        self._connections.discard(connection)
        scope = self._scopes.get(connection)
        if scope is not None:
            scope.cancel()

    def requested(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Start an exchange."""
        scope = self._scopes[connection] = anyio.CancelScope()
        self._group.start_soon(self._serve, connection, request, scope)

    def rejected(self, status: int, problem: str) -> None:
        """Log what was no request."""
        self._state.events.write("rejected", status=status, problem=problem)

    async def _serve(
        self, connection: CallerConnection, request: HttpRequest, scope: anyio.CancelScope
    ) -> None:
        exchange = Exchange(self._state, request, connection)
        with scope:
            try:
                await exchange.run()
            except Exception as error:  # noqa: BLE001
                # A fault in the handling of one request must not end the others of this process;
                # whether the request ran is not known, so its connection is broken.
                self._state.events.write("fault", problem=repr(error), exc_info=True)
                connection.abort()
            finally:
                if self._scopes.get(connection) is scope:
                    del self._scopes[connection]

    def leave(self) -> None:
        """Close connections between requests from now on."""
        self.leaving = True

    def close_idle(self) -> None:
        """Close the connections on which nothing is being read or served."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    async def sweep(self) -> None:
        """Close what is idle or slow beyond the limits, until cancelled."""
        while True:
            await anyio.sleep(_SWEEP_S)
            now_s = boot_time_s()
            for connection in list(self._connections):
                self._check(connection, now_s)

    def _check(self, connection: CallerConnection, now_s: float) -> None:
        limits = self.limits
        if connection.is_idle:
            if now_s - connection.idle_since_s > limits.idle_timeout_ms / 1000 + _IDLE_SLACK_S:
                connection.close()
            return
        begun_s = connection.begun_s
        if begun_s is not None and now_s - begun_s > limits.header_timeout_ms / 1000:
            connection.reject_slow()
