"""What the wiring of a process asks of its role, and what it gives to it."""

import abc
import ssl
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import httpcore

from beryljunction.operators import NodeStatus
from beryljunction.servers import Asgi
from beryljunction.settings import FleetView, ProcessSettings
from beryljunction.stops import Stoppable
from beryljunction.stores import HostRow, LogClient
from beryljunction.timeline import Timeline

__all__ = ["LEAVING", "NodeRole", "RoleTools"]

LEAVING = "leaving"


@attrs.frozen
class RoleTools:
    """What the wiring gives to a role.

    Attributes:
        tls: Context for calls to other processes; None without TLS.
        fleet: Pool for control calls to other processes.
        peers: Pool for the exchange of load, counted apart.
        settings_version: Version of the settings in force here.
        on_newer: Told of an endpoint's sidecar that has newer settings, with their version.
        log: The platform's log; None for a process that has none.
    """

    tls: ssl.SSLContext | None
    fleet: httpcore.AsyncConnectionPool
    peers: httpcore.AsyncConnectionPool
    settings_version: Callable[[], int]
    on_newer: Callable[[str, int], None]
    log: LogClient | None = None


class NodeRole(abc.ABC):
    """The part of a process that differs between entry and sidecar.

    Attributes:
        is_mutual: Whether the request listener takes only clients with a certificate.
        part: What a stop waits for.
        routes: Control paths of the role, for other processes of the fleet.
    """

    name: str
    is_mutual: bool
    process: ProcessSettings
    app: Asgi
    part: Stoppable
    timeline: Timeline
    routes: Mapping[str, Asgi]

    @abc.abstractmethod
    async def run(self, *, task_status: Any) -> None:
        """Do the role's own work in the background until cancelled."""

    @abc.abstractmethod
    def apply(self, view: FleetView) -> None:
        """Put settings in force."""

    @abc.abstractmethod
    def take_hosts(self, rows: list[HostRow]) -> None:
        """Take in the hosts as the list has them now."""

    @abc.abstractmethod
    def drain(self, leaving: bool) -> None:
        """Leave, or come back: who sends work is told to send it elsewhere."""

    @abc.abstractmethod
    def status(self, status: NodeStatus) -> NodeStatus:
        """Return the status with the role's own figures filled in."""
