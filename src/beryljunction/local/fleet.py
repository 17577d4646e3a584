"""Runs entries, sidecars and stand-ins in one process, on free loopback ports."""

import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from beryljunction.errors import InvariantError
from beryljunction.fleet_process import FleetProcess
from beryljunction.local.demo_settings import (
    DEMO_REGION,
    DEMO_ZONES,
    publish_settings,
    settings_by_path,
)
from beryljunction.local.standins import start_endpoint
from beryljunction.servers import Asgi, Server, bind_listener
from beryljunction.settings import (
    EntryFile,
    ProcessSettings,
    ResolvedSettings,
    SidecarFile,
    TlsSettings,
)
from beryljunction.standins import (
    EngineStandIn,
    HostListStandIn,
    LogModel,
    LogStandIn,
    ModelLogClient,
    PlainStandIn,
)
from beryljunction.stores import HostRow

__all__ = ["LocalEndpoint", "LocalFleet"]

_EPHEMERAL_ADDRESS = "127.0.0.1:0"
_FLEET_KEY = "local-fleet-key"
_LIVE = "live"
_LEAVING = "leaving"
_READY_TIMEOUT_S = 10.0


@attrs.define
class LocalEndpoint:
    """An endpoint stand-in with its sidecar."""

    row: HostRow
    app: EngineStandIn | PlainStandIn
    server: Server
    node: FleetProcess


class LocalFleet:
    """Starts and stops parts of a fleet in one task group; they talk over real connections.

    Attributes:
        plain_services: All plain services that were started, including removed ones.
    """

    def __init__(
        self, group: anyio.abc.TaskGroup, view: ResolvedSettings, tls: TlsSettings | None = None
    ) -> None:
        self._group = group
        self._tls = tls
        self.view = view
        self.host_list = HostListStandIn()
        self.endpoints: dict[str, LocalEndpoint] = {}
        self.entry_urls: list[str] = []
        self.nodes: list[FleetProcess] = []
        self.plain_services: list[PlainStandIn] = []
        self.log = LogModel()
        self._platform_servers: dict[str, Server] = {}
        self._scopes: list[anyio.CancelScope] = []

    async def add_endpoint(self, endpoint_id: str, service: str) -> LocalEndpoint:
        """Start an endpoint with its sidecar and add it to the host list."""
        settings = self.view.services[service]
        app, server = await start_endpoint(
            self._group, settings.kind, _EPHEMERAL_ADDRESS, settings.models
        )
        if isinstance(app, PlainStandIn):
            self.plain_services.append(app)
        process = await self._process_settings(f"host-{endpoint_id}", len(self.endpoints))
        file = SidecarFile(process, endpoint_id, service, f"http://{server.address}")
        node = FleetProcess.sidecar(file, ResolvedSettings())
        row = await self._start(node, endpoint_id, service)
        local = self.endpoints[endpoint_id] = LocalEndpoint(row, app, server, node)
        return local

    async def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove an endpoint as the platform does and wait until its sidecar has stopped."""
        local = self.endpoints.pop(endpoint_id)
        self.host_list.put(attrs.evolve(local.row, state=_LEAVING))
        local.node.stop()
        await local.node.ended.wait()
        self.nodes.remove(local.node)
        self.host_list.remove(local.row.key)
        local.server.stop()

    async def add_entry(self) -> str:
        """Start an entry and return its base URL."""
        number = len(self.entry_urls)
        process = await self._process_settings(f"entry-{number}", number)
        node = FleetProcess.entry(EntryFile(process), ResolvedSettings())
        row = await self._start(node)
        scheme = "http" if self._tls is None else "https"
        self.entry_urls.append(f"{scheme}://{row.address}")
        return self.entry_urls[-1]

    async def stop(self) -> None:
        """Stop all processes at once; only for use when no request is in flight."""
        for scope in self._scopes:
            scope.cancel()
        for node in self.nodes:
            await node.ended.wait()
        for local in self.endpoints.values():
            local.server.stop()
        for server in self._platform_servers.values():
            server.stop()

    async def wait_until_ready(self) -> None:
        """Wait until every process has read the whole host list and the settings.

        Raises:
            InvariantError: If one has not done so within 10 seconds.
        """
        await self._wait_until(lambda: all(self._is_ready(node) for node in self.nodes))

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise InvariantError("expected every process to be ready within 10 s")
            await anyio.sleep(0.02)

    def _is_ready(self, node: FleetProcess) -> bool:
        status = node.status()
        return not status.not_ready and status.hosts_version >= self.host_list.model.version

    async def _run(
        self, node: FleetProcess, *, task_status: Any = anyio.TASK_STATUS_IGNORED
    ) -> None:
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            await node.run(task_status=task_status)

    async def _start(self, node: FleetProcess, endpoint_id: str = "", service: str = "") -> HostRow:
        await self._group.start(self._run, node)
        self.nodes.append(node)
        process = node.role.process
        row = HostRow(
            host=process.host,
            endpoint_id=endpoint_id,
            service=service,
            availability_zone=process.availability_zone,
            region=process.region,
            address=node.request_server.address,
            incarnation=node.status().incarnation,
            state=_LIVE,
            operator_address=node.operator_server.address,
        )
        self.host_list.put(row)
        await self._wait_until(lambda: node.status().settings_version > 0)
        return row

    async def _process_settings(self, host: str, number: int) -> ProcessSettings:
        return ProcessSettings(
            host=host,
            region=DEMO_REGION,
            availability_zone=DEMO_ZONES[number % len(DEMO_ZONES)],
            listen=_EPHEMERAL_ADDRESS,
            operator_listen=_EPHEMERAL_ADDRESS,
            fleet_key=_FLEET_KEY,
            log_address=await self.log_url(),
            hosts_address=await self.hosts_url(),
            tls=self._tls,
        )

    async def hosts_url(self) -> str:
        """Return the base URL of the host list, which is started on first use."""
        return await self._platform_url("hosts", self.host_list)

    async def log_url(self) -> str:
        """Return the base URL of the log, which is started on first use with the settings in it."""
        if "log" not in self._platform_servers:
            await publish_settings(ModelLogClient(self.log), settings_by_path(self.view))
        return await self._platform_url("log", LogStandIn(self.log))

    async def _platform_url(self, name: str, app: Asgi) -> str:
        if name not in self._platform_servers:
            server = self._platform_servers[name] = Server(app, bind_listener(_EPHEMERAL_ADDRESS))
            await self._group.start(server.serve_until_stopped)
        return f"http://{self._platform_servers[name].address}"
