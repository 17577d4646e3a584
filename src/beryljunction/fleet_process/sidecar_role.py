"""The role of a sidecar within the common process wiring."""

from typing import Any

import anyio
import attrs

from beryljunction.engines import (
    ORDERS_PATH,
    HttpEngineControl,
    HttpRolloutPeers,
    LoadTurnLog,
    ReconcileLoop,
    RequestGate,
    handle_row_exchange,
)
from beryljunction.fleet_process.roles import LEAVING, ProcessRole, RoleContext
from beryljunction.operator_api import ProcessStatus
from beryljunction.servers import Receive, Scope, Send, create_client_pool
from beryljunction.settings import ResolvedSettings, ServiceSettings, SidecarFile
from beryljunction.sidecar import SidecarApp
from beryljunction.sidecar.load_exchange import LoadExchange
from beryljunction.stores import HostRow
from beryljunction.tables import Endpoint, EndpointState, EndpointTable
from beryljunction.wire import PEERS_PATH

__all__ = ["SidecarRole"]

_ENGINE = "engine"
_SETTINGS_POLL_S = 0.5
# Doesn't promise that another endpoint serves: in a newly started fleet all may be loading.
_LOADING_MESSAGE = "the engine is loading a model; ask another endpoint, or come back later"


class _AdmissionGate(RequestGate):
    """Pauses admission while the engine loads a model; running requests continue."""

    def __init__(self, sidecar: SidecarApp) -> None:
        self._sidecar = sidecar

    def set_open(self, is_open: bool) -> None:
        self._sidecar.admission.paused = "" if is_open else _LOADING_MESSAGE

    def running(self) -> int:
        # Includes waiting requests, which have been admitted and may start at any moment.
        return len(self._sidecar.admission.requests)


class SidecarRole(ProcessRole):
    """A sidecar: runs requests at its endpoint."""

    name = "sidecar"
    requires_client_certificate = True

    def __init__(self, file: SidecarFile, view: ResolvedSettings, context: RoleContext) -> None:
        self.process = file.process
        self.file = file
        self._service = ServiceSettings()
        self._peer_addresses: dict[str, str] = {}
        self._region_addresses: dict[str, str] = {}
        self._drained = False
        self._listed_leaving = False
        self.sidecar = SidecarApp(
            file, self._with_service(view), tls=context.tls, fleet=context.fleet
        )
        self.app = self.stoppable = self.sidecar
        self.timeline = self.sidecar.timeline
        self.peer_exchange = LoadExchange(
            self.sidecar.admission.load,
            context.peers,
            file.process.fleet_key,
            context.settings_version,
            context.on_newer_settings,
        )
        self._engine_pool = create_client_pool()
        self.order_runner = self._create_reconcile_loop(context)
        self.routes = {PEERS_PATH: self.peer_exchange, ORDERS_PATH: self._answer_orders}

    async def run(self, *, task_status: Any) -> None:
        """Run the sidecar, exchange load with peers, and have the engine follow the settings."""
        async with self._engine_pool, anyio.create_task_group() as group:
            await group.start(self.sidecar.run)
            await group.start(self.peer_exchange.run)
            group.start_soon(self._run_orders)
            task_status.started()

    def apply_settings(self, view: ResolvedSettings) -> None:
        """Apply new settings."""
        self.sidecar.apply_settings(self._with_service(view))

    def update_hosts(self, rows: list[HostRow]) -> None:
        """Update the peers, and drain for as long as the list marks this host as leaving.

        A lagging list may still show the previous host of this endpoint id. That row has another
        host name and is not applied to this host.
        """
        self._peer_addresses = {
            row.endpoint_id: row.address
            for row in rows
            if row.service == self.file.service and row.endpoint_id != self.file.endpoint_id
        }
        # Model roll-outs are limited per region. Endpoints that don't answer count as loading, so a
        # region cut off for an hour would otherwise block every load in the other regions.
        region = {row.endpoint_id for row in rows if row.region == self.process.region}
        own = self._peer_addresses.items()
        self._region_addresses = {key: address for key, address in own if key in region}
        self.peer_exchange.set_peers(self._peer_addresses)
        _sync_table(self.sidecar.members, rows)
        for row in rows:
            if row.endpoint_id == self.file.endpoint_id and row.host == self.process.host:
                self._listed_leaving = row.state == LEAVING
        self._update_leaving()

    def drain(self, leaving: bool) -> None:
        """Refuse new work as "not run", so that entries go elsewhere, or accept it again."""
        self._drained = leaving
        self._update_leaving()

    def status(self, status: ProcessStatus) -> ProcessStatus:
        """Add the endpoint and its load."""
        own = self.sidecar.status()
        return attrs.evolve(
            status,
            endpoint_id=own.endpoint_id,
            service=own.service,
            incarnation=own.incarnation,
            running=own.running,
            waiting=own.waiting,
            orders=self.order_runner.reason,
            not_ready=status.not_ready or self._not_ready(),
        )

    def _not_ready(self) -> str:
        admission = self.sidecar.admission
        return LEAVING if admission.leaving else admission.paused

    def _update_leaving(self) -> None:
        """Drain while an operator or the host list requests it; neither cancels the other."""
        leaving = self._drained or self._listed_leaving
        self.sidecar.admission.leaving = leaving
        self.order_runner.leaving = leaving

    def _create_reconcile_loop(self, context: RoleContext) -> ReconcileLoop:
        file = self.file
        turns = LoadTurnLog(context.log, file.process.region, file.service) if context.log else None
        return ReconcileLoop(
            file.endpoint_id,
            file.service,
            lambda: self.sidecar.view,
            HttpEngineControl(file.endpoint_address, self._engine_pool),
            HttpRolloutPeers(lambda: self._region_addresses, context.fleet, file.process.fleet_key),
            _AdmissionGate(self.sidecar),
            turns=turns,
        )

    async def _run_orders(self) -> None:
        """Run model load orders once settings are read; plain services get none."""
        while self.sidecar.view.version == 0:
            await anyio.sleep(_SETTINGS_POLL_S)
        if self._service.kind == _ENGINE:
            await self.order_runner.run()

    async def _answer_orders(self, scope: Scope, receive: Receive, send: Send) -> None:
        await handle_row_exchange(
            self.order_runner.receive_row, self.order_runner.own_row, receive, send
        )

    def _with_service(self, view: ResolvedSettings) -> ResolvedSettings:
        """Return a view that contains the endpoint's service, if need be with its last settings.

        The service is missing if an operator removed it by mistake or, at startup, if the log has
        not been read yet. The endpoint keeps its last settings: no entry sends it work anyway.
        """
        self._service = view.services.get(self.file.service, self._service)
        return attrs.evolve(view, services={**view.services, self.file.service: self._service})


def _sync_table(table: EndpointTable, rows: list[HostRow]) -> None:
    """Update an endpoint table to match the host list."""
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
        state=EndpointState.LEAVING if row.state == LEAVING else EndpointState.LIVE,
        region=row.region,
    )
