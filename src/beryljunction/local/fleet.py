"""The whole path in one process: entries, sidecars and stand-ins on free loopback ports."""

import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from beryljunction.errors import InvariantError
from beryljunction.local.demo_view import (
    DEMO_REGION,
    DEMO_ZONES,
    leaves_of_view,
    publish_leaves,
)
from beryljunction.local.standins import start_endpoint
from beryljunction.node import Node
from beryljunction.servers import Asgi, Server, bind
from beryljunction.settings import EntryFile, FleetView, ProcessSettings, SidecarFile, TlsSettings
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

_FREE_PORT = "127.0.0.1:0"
_FLEET_KEY = "local-fleet-key"
_LIVE = "live"
_LEAVING = "leaving"
_SETTLE_S = 10.0


@attrs.define
class LocalEndpoint:
    """An endpoint stand-in with its sidecar."""

    row: HostRow
    app: EngineStandIn | PlainStandIn
    server: Server
    node: Node


class LocalFleet:
    """Starts and stops parts of a fleet inside one task group; the wiring is the real one.

    Attributes:
        plain_services: Every plain service that ever ran, those taken away included.
    """

    def __init__(
        self, group: anyio.abc.TaskGroup, view: FleetView, tls: TlsSettings | None = None
    ) -> None:
        self._group = group
        self._tls = tls
        self.view = view
        self.hosts = HostListStandIn()
        self.endpoints: dict[str, LocalEndpoint] = {}
        self.entries: list[str] = []
        self.nodes: list[Node] = []
        self.plain_services: list[PlainStandIn] = []
        self.log = LogModel()
        self._platform: dict[str, Server] = {}
        self._scopes: list[anyio.CancelScope] = []

    async def add_endpoint(self, endpoint_id: str, service: str) -> LocalEndpoint:
        """Start an endpoint with its sidecar and put it on the host list."""
        settings = self.view.services[service]
        app, server = await start_endpoint(self._group, settings.kind, _FREE_PORT, settings.models)
        if isinstance(app, PlainStandIn):
            self.plain_services.append(app)
        process = await self._process(f"host-{endpoint_id}", len(self.endpoints))
        file = SidecarFile(process, endpoint_id, service, f"http://{server.address}")
        node = Node.sidecar(file, FleetView())
        row = await self._start(node, endpoint_id, service)
        local = self.endpoints[endpoint_id] = LocalEndpoint(row, app, server, node)
        return local

    async def take_away(self, endpoint_id: str) -> None:
        """Take an endpoint away as the platform does, and return when its sidecar has ended."""
        local = self.endpoints.pop(endpoint_id)
        self.hosts.put(attrs.evolve(local.row, state=_LEAVING))
        local.node.stop()
        await local.node.ended.wait()
        self.nodes.remove(local.node)
        self.hosts.remove(local.row.key)
        local.server.stop()

    async def add_entry(self) -> str:
        """Start an entry and return its base URL."""
        number = len(self.entries)
        process = await self._process(f"entry-{number}", number)
        node = Node.entry(EntryFile(process), FleetView())
        row = await self._start(node)
        scheme = "http" if self._tls is None else "https"
        self.entries.append(f"{scheme}://{row.address}")
        return self.entries[-1]

    async def close(self) -> None:
        """End everything at once; for the end of a run, when nothing is in flight."""
        for scope in self._scopes:
            scope.cancel()
        for node in self.nodes:
            await node.ended.wait()
        for local in self.endpoints.values():
            local.server.stop()
        for server in self._platform.values():
            server.stop()

    async def settle(self) -> None:
        """Wait until every process has read the whole host list and the settings.

        Raises:
            InvariantError: When one has not within ten seconds.
        """
        await self._until(lambda: all(self._is_settled(node) for node in self.nodes))

    async def _until(self, is_so: Callable[[], bool]) -> None:
        until_s = time.monotonic() + _SETTLE_S
        while not is_so():
            if time.monotonic() > until_s:
                raise InvariantError("expected every process to be ready within 10 s")
            await anyio.sleep(0.02)

    def _is_settled(self, node: Node) -> bool:
        status = node.status()
        return not status.not_ready and status.hosts_version >= self.hosts.model.version

    async def _run(self, node: Node, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            await node.run(task_status=task_status)

    async def _start(self, node: Node, endpoint_id: str = "", service: str = "") -> HostRow:
        await self._group.start(self._run, node)
        self.nodes.append(node)
        process = node.role.process
        row = HostRow(
            host=process.host,
            endpoint_id=endpoint_id,
            service=service,
            availability_zone=process.availability_zone,
            region=process.region,
            address=node.requests.address,
            incarnation=node.status().incarnation,
            state=_LIVE,
            operator_address=node.operator.address,
        )
        self.hosts.put(row)
        await self._until(lambda: node.status().settings_version > 0)
        return row

    async def _process(self, host: str, number: int) -> ProcessSettings:
        return ProcessSettings(
            host=host,
            region=DEMO_REGION,
            availability_zone=DEMO_ZONES[number % len(DEMO_ZONES)],
            listen=_FREE_PORT,
            operator_listen=_FREE_PORT,
            fleet_key=_FLEET_KEY,
            log_address=await self.log_url(),
            hosts_address=await self.hosts_url(),
            tls=self._tls,
        )

    async def hosts_url(self) -> str:
        """Return the base URL of the host list, which is started with the first process."""
        return await self._platform_url("hosts", self.hosts)

    async def log_url(self) -> str:
        """Return the base URL of the log, which is started with the settings on it."""
        if "log" not in self._platform:
            await publish_leaves(ModelLogClient(self.log), leaves_of_view(self.view))
        return await self._platform_url("log", LogStandIn(self.log))

    async def _platform_url(self, name: str, app: Asgi) -> str:
        if name not in self._platform:
            server = self._platform[name] = Server(app, bind(_FREE_PORT))
            await self._group.start(server.run_until_stopped)
        return f"http://{self._platform[name].address}"
