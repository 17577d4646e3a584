"""Graceful shutdown that interrupts no request.

A process reports "not ready" and refuses new requests, waits for all requests in flight, transfers
state that other processes can use, and then closes its listeners. The listeners stay open until
then because the reader of a run in flight may lose its connection and resume on a new one.
"""

import abc
from collections.abc import Iterable

import anyio

from beryljunction.servers import Server

__all__ = ["DRAIN_DELAY_S", "GracefulStop", "Stoppable"]

# A load balancer or entry that has not noticed the stop would send its next request to a closed
# port and could not tell whether it arrived. Within this time each has been refused once ("not
# run") or has seen the readiness probe fail; the requirements allow a few seconds.
DRAIN_DELAY_S = 3.0
_POLL_INTERVAL_S = 0.05


class Stoppable(abc.ABC):
    """Interface of an entry or a sidecar for a graceful stop."""

    @property
    @abc.abstractmethod
    def in_flight(self) -> int:
        """Number of requests that a stop must not interrupt."""

    @abc.abstractmethod
    def start_draining(self) -> None:
        """Refuse new requests as "not run" from now on; further calls have no effect."""

    @abc.abstractmethod
    async def hand_over(self) -> None:
        """Transfer state to other processes; called once no request is in flight."""


class GracefulStop:
    """Stops an entry or a sidecar and its servers once, however often it is requested.

    There is no timeout: a run that takes an hour delays the stop by an hour. A second signal has
    no effect, since the first has done everything possible without interrupting a request.
    """

    def __init__(
        self, app: Stoppable, servers: Iterable[Server] = (), drain_delay_s: float = DRAIN_DELAY_S
    ) -> None:
        self._app = app
        self._servers = tuple(servers)
        self._drain_delay_s = drain_delay_s
        self._requested = anyio.Event()

    def request(self) -> None:
        """Start the stop; new requests are refused immediately."""
        self._app.start_draining()
        self._requested.set()

    async def run(self) -> None:
        """Wait until a stop is requested, then perform it."""
        await self._requested.wait()
        await anyio.sleep(self._drain_delay_s)
        while self._app.in_flight:
            await anyio.sleep(_POLL_INTERVAL_S)
        await self._app.hand_over()
        for server in self._servers:
            server.stop()
