"""What an entry and a sidecar each add to the wiring that they share."""

import abc
from typing import Any

import anyio
import attrs

from beryljunction.entry import EntryApp
from beryljunction.platform import HostRow
from beryljunction.servers import Asgi
from beryljunction.settings import EntryFile, FleetView, ProcessSettings, SidecarFile
from beryljunction.sidecar import SidecarApp
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
        running: Requests that run here; for an entry, those that it relays.
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
    running: int = 0
    waiting: int = 0


class NodeRole(abc.ABC):
    """The part of a process that differs between entry and sidecar."""

    name: str
    process: ProcessSettings
    app: Asgi
    timeline: Timeline

    @abc.abstractmethod
    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Do the role's own work in the background until cancelled."""

    @abc.abstractmethod
    def apply(self, view: FleetView) -> None:
        """Put settings in force."""

    @abc.abstractmethod
    def take_hosts(self, rows: list[HostRow]) -> None:
        """Take in the hosts as the list has them now."""

    @abc.abstractmethod
    def drain(self) -> None:
        """Take no new work from now on; what is in flight ends as it would have."""

    @abc.abstractmethod
    def status(self, status: NodeStatus) -> NodeStatus:
        """Return the status with the role's own figures filled in."""


class EntryRole(NodeRole):
    """An entry: relays callers' requests to the endpoints on the list."""

    name = "entry"

    def __init__(self, file: EntryFile) -> None:
        self.process = file.process
        self.endpoints = EndpointTable()
        self.app = self._entry = EntryApp(file, FleetView(), self.endpoints)
        self.timeline = self._entry.timeline

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Wait: an entry works only when callers ask."""
        task_status.started()
        await anyio.sleep_forever()

    def apply(self, view: FleetView) -> None:
        """Put settings in force."""
        self._entry.view = view

    def take_hosts(self, rows: list[HostRow]) -> None:
        """Keep the endpoint table as the list has it."""
        listed = {row.endpoint_id for row in rows}
        for known in self.endpoints:
            if known.endpoint_id not in listed:
                self.endpoints.remove(known.endpoint_id)
        for row in rows:
            if row.endpoint_id:
                self._put(row)

    def drain(self) -> None:
        """Leave the balancer: the readiness probe fails, requests are still served."""

    def status(self, status: NodeStatus) -> NodeStatus:
        """Add the number of endpoints known."""
        return attrs.evolve(status, endpoints=len(self.endpoints))

    def _put(self, row: HostRow) -> None:
        state = EndpointState.LEAVING if row.state == _LEAVING else EndpointState.LIVE
        endpoint = Endpoint(
            row.endpoint_id,
            row.service,
            row.availability_zone,
            row.address,
            row.incarnation,
            state=state,
        )
        known = self.endpoints.get(row.endpoint_id)
        if known is not None and known.incarnation == row.incarnation:
            endpoint.suspect_until_s = known.suspect_until_s
        self.endpoints.put(endpoint)


class SidecarRole(NodeRole):
    """A sidecar: runs requests at its endpoint."""

    name = "sidecar"

    def __init__(self, file: SidecarFile, view: FleetView) -> None:
        self.process = file.process
        self._file = file
        self.app = self._sidecar = SidecarApp(file, view)
        self.timeline = self._sidecar.timeline

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Tick the sidecar's systems."""
        await self._sidecar.run(task_status=task_status)

    def apply(self, view: FleetView) -> None:
        """Put settings in force."""
        self._sidecar.apply(view)

    def take_hosts(self, rows: list[HostRow]) -> None:
        """Drain when the list says that this endpoint is leaving."""
        for row in rows:
            if row.endpoint_id == self._file.endpoint_id and row.state == _LEAVING:
                self.drain()

    def drain(self) -> None:
        """Refuse new work with a "not run", so that entries go elsewhere."""
        self._sidecar.admission.leaving = True

    def status(self, status: NodeStatus) -> NodeStatus:
        """Add the endpoint and its load."""
        requests = self._sidecar.admission.requests
        return attrs.evolve(
            status,
            endpoint_id=self._file.endpoint_id,
            service=self._file.service,
            running=requests.running_count,
            waiting=requests.waiting_count,
        )
