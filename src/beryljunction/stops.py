"""Planned stops that cut nothing.

A stop goes: not ready and no new work, then everything in flight ends, then what others can use is
handed on, then the listeners close. The listeners stay open until then, because a run in flight
may lose its reader's connection and have to be taken up on a new one.
"""

import abc
from collections.abc import Iterable

import anyio

from beryljunction.servers import Server

__all__ = ["SETTLE_S", "GracefulStop", "Stoppable"]

# A balancer or entry that has not noticed yet would send its next request into a closed port, and
# could not tell whether it arrived. Within this time each has been refused once ("not run") or has
# seen the readiness probe fail; the brief allows a few seconds.
SETTLE_S = 3.0
_POLL_S = 0.05


class Stoppable(abc.ABC):
    """What a stop has to know of an entry or a sidecar."""

    @property
    @abc.abstractmethod
    def in_flight(self) -> int:
        """Requests that a stop must not cut."""

    @abc.abstractmethod
    def refuse_new(self) -> None:
        """Refuse new work with a "not run" from now on; calling it again changes nothing."""

    @abc.abstractmethod
    async def hand_over(self) -> None:
        """Give to others what is of use to them; called once nothing is in flight."""


class GracefulStop:
    """The stop of one part and its servers: asked for any number of times, carried out once.

    There is no timeout: a run that takes an hour holds the stop up for an hour. A second signal
    changes nothing, since the first has done all that may be done without cutting a request.
    """

    def __init__(
        self, part: Stoppable, servers: Iterable[Server] = (), settle_s: float = SETTLE_S
    ) -> None:
        self._part = part
        self._servers = tuple(servers)
        self._settle_s = settle_s
        self._requested = anyio.Event()

    def request(self) -> None:
        """Begin the stop; at once no new work is taken."""
        self._part.refuse_new()
        self._requested.set()

    async def run(self) -> None:
        """Wait for a request to stop and carry it out."""
        await self._requested.wait()
        await anyio.sleep(self._settle_s)
        while self._part.in_flight:
            await anyio.sleep(_POLL_S)
        await self._part.hand_over()
        for server in self._servers:
            server.stop()
