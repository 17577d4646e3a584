"""What an entry and a sidecar each add to the wiring that they share."""

import abc
import ssl
import time
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import attrs
import httpcore

from beryljunction.engines import (
    ORDERS_PATH,
    HttpEngineControl,
    HttpOrderPeers,
    OrderRunner,
    WorkGate,
    answer_orders,
)
from beryljunction.entry import EntryApp
from beryljunction.platform import HostRow
from beryljunction.servers import Asgi, Receive, Scope, Send, client_pool
from beryljunction.settings import (
    EntryFile,
    FleetView,
    ProcessSettings,
    ServiceSettings,
    SidecarFile,
)
from beryljunction.sidecar import SidecarApp
from beryljunction.sidecar.peers import PeerExchange
from beryljunction.stops import Stoppable
from beryljunction.systems import ListedEndpoint
from beryljunction.tables import Endpoint, EndpointState, EndpointTable
from beryljunction.timeline import Timeline
from beryljunction.wire import PEERS_PATH

__all__ = ["EntryRole", "NodeRole", "NodeStatus", "RoleTools", "SidecarRole"]

_LEAVING = "leaving"
_ENGINE = "engine"
_TICK_S = 0.5


@attrs.frozen
class RoleTools:
    """What the wiring gives to a role.

    Attributes:
        tls: Context for calls to other processes; None without TLS.
        fleet: Pool for control calls to other processes.
        peers: Pool for the exchange of load, counted apart.
        settings_version: Version of the settings in force here.
        on_newer: Told of an endpoint's sidecar that has newer settings, with their version.
    """

    tls: ssl.SSLContext | None
    fleet: httpcore.AsyncConnectionPool
    peers: httpcore.AsyncConnectionPool
    settings_version: Callable[[], int]
    on_newer: Callable[[str, int], None]


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


class EntryRole(NodeRole):
    """An entry: relays callers' requests to the endpoints on the list."""

    name = "entry"
    is_mutual = False

    def __init__(self, file: EntryFile, view: FleetView, tools: RoleTools) -> None:
        self.process = file.process
        self.endpoints = EndpointTable()
        self.app = self.part = self.entry = EntryApp(file, view, self.endpoints, tools.tls)
        self.timeline = self.entry.timeline
        self.routes = {}
        self._listed_incarnations: dict[str, str] = {}

    async def run(self, *, task_status: Any) -> None:
        """Watch the entry's connections and let suspicions end."""
        async with anyio.create_task_group() as group:
            await group.start(self.entry.run)
            task_status.started()
            while True:
                await anyio.sleep(_TICK_S)
                self.entry.membership.tick(time.monotonic())

    def apply(self, view: FleetView) -> None:
        """Put settings in force."""
        self.entry.apply(view)

    def take_hosts(self, rows: list[HostRow]) -> None:
        """Give the list to the membership, which weighs it against what this entry saw."""
        now_s = time.monotonic()
        membership = self.entry.membership
        endpoints = [row for row in rows if row.endpoint_id]
        for row in endpoints:
            if self._is_replaced(row):
                membership.note_replaced(row.endpoint_id, now_s)
        membership.apply_list([_listed(row) for row in endpoints], now_s)

    def drain(self, leaving: bool) -> None:
        """Do nothing more: the readiness probe tells the balancer, callers are still served."""

    def status(self, status: NodeStatus) -> NodeStatus:
        """Add the number of endpoints known."""
        return attrs.evolve(status, endpoints=len(self.endpoints))

    def _is_replaced(self, row: HostRow) -> bool:
        """Whether the list has another host in a slot than before.

        The list's incarnation is the platform's and only says that something changed; the one that
        tickets and attached readers are bound to is named by the sidecar itself.
        """
        known = self._listed_incarnations.get(row.endpoint_id, row.incarnation)
        self._listed_incarnations[row.endpoint_id] = row.incarnation
        return known != row.incarnation


class _AdmissionGate(WorkGate):
    """Pauses admission while the engine loads; what runs is never touched."""

    def __init__(self, sidecar: SidecarApp) -> None:
        self._sidecar = sidecar

    def set_open(self, is_open: bool) -> None:
        paused = "" if is_open else "the engine is loading a model; another endpoint serves it"
        self._sidecar.admission.paused = paused

    def running(self) -> int:
        # What waits was admitted too and may start at any moment.
        return len(self._sidecar.admission.requests)


class SidecarRole(NodeRole):
    """A sidecar: runs requests at its endpoint."""

    name = "sidecar"
    is_mutual = True

    def __init__(self, file: SidecarFile, view: FleetView, tools: RoleTools) -> None:
        self.process = file.process
        self.file = file
        self._service = ServiceSettings()
        self._peer_addresses: dict[str, str] = {}
        self._region_addresses: dict[str, str] = {}
        self.sidecar = SidecarApp(file, self._with_service(view), tls=tools.tls)
        self.app = self.part = self.sidecar
        self.timeline = self.sidecar.timeline
        self.exchange = PeerExchange(
            self.sidecar.admission.load,
            tools.peers,
            file.process.fleet_key,
            tools.settings_version,
            tools.on_newer,
        )
        self._engine_pool = client_pool()
        self.orders = self._order_runner(tools)
        self.routes = {PEERS_PATH: self.exchange, ORDERS_PATH: self._answer_orders}

    async def run(self, *, task_status: Any) -> None:
        """Tick the sidecar's systems, exchange load, and keep the engine as the settings want."""
        async with self._engine_pool, anyio.create_task_group() as group:
            await group.start(self.sidecar.run)
            await group.start(self.exchange.run)
            group.start_soon(self._run_orders)
            task_status.started()

    def apply(self, view: FleetView) -> None:
        """Put settings in force."""
        self.sidecar.apply(self._with_service(view))

    def take_hosts(self, rows: list[HostRow]) -> None:
        """Take in the peers; drain when the list says that this endpoint is leaving.

        The row of an earlier incarnation in the same slot says nothing of this one.
        """
        self._peer_addresses = {
            row.endpoint_id: row.address
            for row in rows
            if row.service == self.file.service and row.endpoint_id != self.file.endpoint_id
        }
        # A roll-out is paced within a region: endpoints that don't answer count as loading, and a
        # region that is cut off for an hour would stop every load in the others.
        region = {row.endpoint_id for row in rows if row.region == self.process.region}
        own = self._peer_addresses.items()
        self._region_addresses = {key: address for key, address in own if key in region}
        self.exchange.set_peers(self._peer_addresses)
        _keep(self.sidecar.members, rows)
        for row in rows:
            is_own = row.endpoint_id == self.file.endpoint_id and row.host == self.process.host
            is_earlier = row.incarnation not in ("", self.sidecar.incarnation)
            if is_own and not is_earlier and row.state == _LEAVING:
                self.drain(leaving=True)

    def drain(self, leaving: bool) -> None:
        """Refuse new work with a "not run", so that entries go elsewhere, or take it again."""
        self.sidecar.admission.leaving = leaving
        self.orders.leaving = leaving

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
            not_ready=status.not_ready or self.sidecar.admission.paused,
            orders=self.orders.reason,
        )

    def _order_runner(self, tools: RoleTools) -> OrderRunner:
        file = self.file
        return OrderRunner(
            file.endpoint_id,
            file.service,
            lambda: self.sidecar.view,
            HttpEngineControl(file.endpoint_address, self._engine_pool),
            HttpOrderPeers(lambda: self._region_addresses, tools.fleet, file.process.fleet_key),
            _AdmissionGate(self.sidecar),
        )

    async def _run_orders(self) -> None:
        """Give orders once there are settings, and to engines only."""
        while self.sidecar.view.version == 0:
            await anyio.sleep(_TICK_S)
        if self._service.kind == _ENGINE:
            await self.orders.run()

    async def _answer_orders(self, scope: Scope, receive: Receive, send: Send) -> None:
        await answer_orders(self.orders, receive, send)

    def _with_service(self, view: FleetView) -> FleetView:
        """Return a view that has the endpoint's service.

        Settings that lack it come from an operator's oversight or, at the start, from a log that
        has not been read. Its endpoint goes on with what it had: no entry sends it work anyway.
        """
        self._service = view.services.get(self.file.service, self._service)
        return attrs.evolve(view, services={**view.services, self.file.service: self._service})


def _listed(row: HostRow) -> ListedEndpoint:
    return ListedEndpoint(
        row.endpoint_id,
        row.service,
        row.availability_zone,
        row.address,
        leaving=row.state == _LEAVING,
        region=row.region,
    )


def _keep(table: EndpointTable, rows: list[HostRow]) -> None:
    """Make an endpoint table what the list says."""
    listed = {row.endpoint_id for row in rows}
    for known in table:
        if known.endpoint_id not in listed:
            table.remove(known.endpoint_id)
    for row in rows:
        if row.endpoint_id:
            table.put(_endpoint_of(row))


def _endpoint_of(row: HostRow) -> Endpoint:
    return Endpoint(
        row.endpoint_id,
        row.service,
        row.availability_zone,
        row.address,
        state=EndpointState.LEAVING if row.state == _LEAVING else EndpointState.LIVE,
        region=row.region,
    )
