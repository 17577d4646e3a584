"""Accepts callers' connections and runs an exchange for each request."""

from collections.abc import Callable

import anyio
import anyio.abc

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.callers import CallerConnection, CallerHandler
from beryljunction.gateway.exchange import Exchange
from beryljunction.gateway.messages import HttpRequest
from beryljunction.gateway.state import EntryState
from beryljunction.routing import CallerLimits

__all__ = ["CallerFrontend"]

_TIMEOUT_CHECK_INTERVAL_S = 0.5
# Callers reuse connections that were idle for up to four fifths of the idle timeout. The entry
# closes them this long after the full timeout, so that no request arrives on a closing connection.
_IDLE_GRACE_S = 1.0


class CallerFrontend(CallerHandler):
    """Serves the caller connections of an entry.

    Attributes:
        is_drained: Whether the process has stopped waiting for requests; later ones are refused.
    """

    def __init__(self, state: EntryState, group: anyio.abc.TaskGroup) -> None:
        super().__init__(state.memory)
        self.fault_status = 503
        self._state = state
        self._group = group
        self._scopes: dict[CallerConnection, anyio.CancelScope] = {}
        self.is_drained = False

    @property
    def limits(self) -> CallerLimits:  # type: ignore[override]
        """Limits of the current settings, or the defaults before settings are read."""
        config = self._state.config
        return config.limits if config is not None else CallerLimits()

    @property
    def in_flight(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._scopes)

    @property
    def receiving(self) -> int:
        """Number of connections on which a part of a request was received."""
        return sum(connection.is_receiving for connection in self.connections)

    def on_disconnect(self, connection: CallerConnection) -> None:
        """Cancel the request of a caller that disconnected, which also aborts its endpoint call."""
        super().on_disconnect(connection)
        scope = self._scopes.get(connection)
        if scope is not None:
            scope.cancel()

    def on_request(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Start an exchange for the request."""
        if self.is_drained:
            self._log_late_request(connection, request)
            Exchange(self._state, request, connection).refuse()
            return
        scope = self._scopes[connection] = anyio.CancelScope()
        self._group.start_soon(self._serve, connection, request, scope)

    def _log_late_request(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Log a request that is complete only after the drain."""
        now_s = boot_time_s()
        self._state.events.write(
            "late_request",
            connection_age_s=round(now_s - connection.connected_s, 3),
            receive_s=round(now_s - request.arrived_s, 3),
        )

    def on_reject(self, status: int, problem: str) -> None:
        """Log a message that was rejected as an invalid request."""
        self._state.events.write("rejected", status=status, problem=problem)

    async def _serve(
        self, connection: CallerConnection, request: HttpRequest, scope: anyio.CancelScope
    ) -> None:
        exchange = Exchange(self._state, request, connection)
        with scope:
            try:
                await exchange.run()
            except Exception as error:  # noqa: BLE001
                # An error in one request must not stop the others of this process.
                self._state.events.write("fault", problem=repr(error), exc_info=True)
                self._end_answer(connection, exchange.end_after_fault)
            except anyio.get_cancelled_exc_class():
                # By the caller's disconnect, the end of a drain, or an error of the process.
                if connection.is_open:
                    self._end_answer(connection, exchange.end_unfinished)
                raise
            finally:
                if self._scopes.get(connection) is scope:
                    del self._scopes[connection]

    def _end_answer(self, connection: CallerConnection, end: Callable[[], None]) -> None:
        """End the answer to a request early, without its exchange if that fails."""
        try:
            end()
        except Exception as error:  # noqa: BLE001
            self._state.events.write("fault", problem=repr(error), exc_info=True)
            connection.answer_fault(502)

    def start_draining(self) -> None:
        """Close each connection after its next answer from now on."""
        self.is_draining = True

    def end_draining(self) -> None:
        """End the requests in flight, and refuse later ones, because the process exits."""
        self.is_drained = True
        for scope in self._scopes.values():
            scope.cancel()

    async def close_expired_connections(self) -> None:
        """Close connections that exceed the idle or header timeout, until cancelled."""
        while True:
            await anyio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
            now_s = boot_time_s()
            for connection in list(self.connections):
                self._enforce_timeouts(connection, now_s)

    def _enforce_timeouts(self, connection: CallerConnection, now_s: float) -> None:
        limits = self.limits
        if connection.is_idle:
            if now_s - connection.idle_since_s > limits.idle_timeout_ms / 1000 + _IDLE_GRACE_S:
                connection.close_if_idle()
            return
        started_s = connection.headers_started_s
        if started_s is not None and now_s - started_s > limits.header_timeout_ms / 1000:
            connection.reject_header_timeout()
