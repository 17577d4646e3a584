"""What an entry and a sidecar each add to the wiring that they share."""

import abc
import ssl
from typing import Any

import attrs

from beryljunction.entry import EntryApp
from beryljunction.platform import HostRow
from beryljunction.servers import Asgi
from beryljunction.settings import (
    EntryFile,
    FleetView,
    ProcessSettings,
    ServiceSettings,
    SidecarFile,
)
from beryljunction.sidecar import SidecarApp
from beryljunction.stops import Stoppable
from beryljunction.tables import Endpoint, EndpointState, EndpointTable
from beryljunction.timeline import Timeline

__all__ = ["EntryRole", "NodeRole", "NodeStatus", "SidecarRole"]

_LEAVING = "leaving"


@attrs.frozen
class NodeStatus:
    """What a process says of itself to an operator.

    Attributes:
        settings_version: Version of the settings in force here.
        hosts_version: Version of the host list here.
        not_ready: Why the process takes no work; empty when it does.
        in_flight: Requests that are not over here.
        running: Requests that run at the endpoint.
        waiting: Requests that wait for the endpoint.
        orders: What the sidecar does about the models of its engine, and why.
    """

    role: str
    host: str
    availability_zone: str
    settings_version: int = 0
    hosts_version: int = 0
    not_ready: str = ""
    endpoint_id: str = ""
    service: str = ""
    incarnation: str = ""
    endpoints: int = 0
    in_flight: int = 0
    running: int = 0
    waiting: int = 0
    orders: str = ""


class NodeRole(abc.ABC):
    """The part of a process that differs between entry and sidecar.

    Attributes:
        is_mutual: Whether the request listener takes only clients with a certificate.
        part: What a stop waits for.
    """

    name: str
    is_mutual: bool
    process: ProcessSettings
    app: Asgi
    part: Stoppable
    timeline: Timeline

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


class EntryRole(NodeRole):
    """An entry: relays callers' requests to the endpoints on the list."""

    name = "entry"
    is_mutual = False

    def __init__(self, file: EntryFile, view: FleetView, tls: ssl.SSLContext | None = None) -> None:
        self.process = file.process
        self.endpoints = EndpointTable()
        self.app = self.part = self._entry = EntryApp(file, view, self.endpoints, tls)
        self.timeline = self._entry.timeline

    async def run(self, *, task_status: Any) -> None:
        """Watch the entry's connections."""
        await self._entry.run(task_status=task_status)

    def apply(self, view: FleetView) -> None:
        """Put settings in force."""
        self._entry.apply(view)

    def take_hosts(self, rows: list[HostRow]) -> None:
        """Keep the endpoint table as the list has it."""
        _keep(self.endpoints, rows)

    def drain(self, leaving: bool) -> None:
        """Do nothing more: the readiness probe tells the balancer, callers are still served."""

    def status(self, status: NodeStatus) -> NodeStatus:
        """Add the number of endpoints known."""
        return attrs.evolve(status, endpoints=len(self.endpoints))


class SidecarRole(NodeRole):
    """A sidecar: runs requests at its endpoint."""

    name = "sidecar"
    is_mutual = True

    def __init__(
        self, file: SidecarFile, view: FleetView, tls: ssl.SSLContext | None = None
    ) -> None:
        self.process = file.process
        self.file = file
        self._service = ServiceSettings()
        self.sidecar = SidecarApp(file, self._with_service(view), tls=tls)
        self.app = self.part = self.sidecar
        self.timeline = self.sidecar.timeline

    async def run(self, *, task_status: Any) -> None:
        """Tick the sidecar's systems."""
        await self.sidecar.run(task_status=task_status)

    def apply(self, view: FleetView) -> None:
        """Put settings in force."""
        self.sidecar.apply(self._with_service(view))

    def take_hosts(self, rows: list[HostRow]) -> None:
        """Drain when the list says that this endpoint is leaving.

        The row of an earlier incarnation in the same slot says nothing of this one.
        """
        _keep(self.sidecar.members, rows)
        for row in rows:
            is_own = row.endpoint_id == self.file.endpoint_id
            is_earlier = row.incarnation not in ("", self.sidecar.incarnation)
            if is_own and not is_earlier and row.state == _LEAVING:
                self.drain(leaving=True)

    def drain(self, leaving: bool) -> None:
        """Refuse new work with a "not run", so that entries go elsewhere, or take it again."""
        self.sidecar.admission.leaving = leaving

    def status(self, status: NodeStatus) -> NodeStatus:
        """Add the endpoint and its load."""
        own = self.sidecar.status()
        return attrs.evolve(
            status,
            endpoint_id=own.endpoint_id,
            service=own.service,
            incarnation=own.incarnation,
            running=own.running,
            waiting=own.waiting,
        )

    def _with_service(self, view: FleetView) -> FleetView:
        """Return a view that has the endpoint's service.

        Settings that lack it come from an operator's oversight or, at the start, from a log that
        has not been read. Its endpoint goes on with what it had: no entry sends it work anyway.
        """
        self._service = view.services.get(self.file.service, self._service)
        return attrs.evolve(view, services={**view.services, self.file.service: self._service})


def _keep(table: EndpointTable, rows: list[HostRow]) -> None:
    """Make an endpoint table what the list says."""
    listed = {row.endpoint_id for row in rows}
    for known in table:
        if known.endpoint_id not in listed:
            table.remove(known.endpoint_id)
    for row in rows:
        if row.endpoint_id:
            _put(table, row)


def _put(table: EndpointTable, row: HostRow) -> None:
    endpoint = Endpoint(
        row.endpoint_id,
        row.service,
        row.availability_zone,
        row.address,
        row.incarnation,
        state=EndpointState.LEAVING if row.state == _LEAVING else EndpointState.LIVE,
    )
    known = table.get(row.endpoint_id)
    if known is not None and known.incarnation == row.incarnation:
        endpoint.suspect_until_s = known.suspect_until_s
    table.put(endpoint)
