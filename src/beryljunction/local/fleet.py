"""The whole path in one process: entries, sidecars and stand-ins on free loopback ports."""

import hashlib

import anyio
import anyio.abc
import attrs

from beryljunction.entry import EntryApp
from beryljunction.servers import Asgi, Server, bind
from beryljunction.settings import (
    AccountSettings,
    EntryFile,
    FleetView,
    ProcessSettings,
    ServiceSettings,
    SidecarFile,
)
from beryljunction.sidecar import SidecarApp
from beryljunction.standins import EngineStandIn, PlainStandIn
from beryljunction.tables import Endpoint, EndpointTable

__all__ = ["DEMO_KEY", "LocalFleet", "demo_view"]

DEMO_KEY = "demo-key"
_FREE_PORT = "127.0.0.1:0"
_FLEET_KEY = "local-fleet-key"


def demo_view() -> FleetView:
    """Return the settings of the demo: a model service of each user and a plain service."""
    digest = hashlib.sha256(DEMO_KEY.encode()).hexdigest()
    return FleetView(
        version=1,
        services={
            "reel-llm": ServiceSettings(models=("reel-llm",)),
            "drafter": ServiceSettings(models=("drafter",)),
            "ledger": ServiceSettings(kind="plain", idempotent=False),
        },
        accounts={"jury-office": AccountSettings(digest)},
    )


@attrs.define
class LocalEndpoint:
    """An endpoint stand-in with its sidecar."""

    row: Endpoint
    app: EngineStandIn | PlainStandIn
    sidecar: SidecarApp
    servers: list[Server]


class LocalFleet:
    """Starts and stops parts of a fleet inside one task group."""

    def __init__(self, group: anyio.abc.TaskGroup, view: FleetView) -> None:
        self._group = group
        self.view = view
        self.endpoints = EndpointTable()
        self.local: dict[str, LocalEndpoint] = {}
        self.entries: list[str] = []
        self._servers: list[Server] = []

    async def add_endpoint(self, endpoint_id: str, service: str) -> LocalEndpoint:
        """Start an endpoint with its sidecar and make it known to the entries."""
        is_engine = self.view.services[service].kind == "engine"
        app = EngineStandIn() if is_engine else PlainStandIn()
        back = await self._serve(app)
        process = self._process(f"host-{endpoint_id}")
        file = SidecarFile(process, endpoint_id, service, f"http://{back.address}")
        sidecar = SidecarApp(file, self.view)
        await self._group.start(sidecar.run)
        front = await self._serve(sidecar)
        row = Endpoint(endpoint_id, service, "ahd-a", front.address)
        self.endpoints.put(row)
        local = self.local[endpoint_id] = LocalEndpoint(row, app, sidecar, [front, back])
        return local

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Take an endpoint away; its requests in flight end first."""
        local = self.local.pop(endpoint_id)
        local.sidecar.admission.leaving = True
        self.endpoints.remove(endpoint_id)
        for server in local.servers:
            server.stop()

    async def add_entry(self) -> str:
        """Start an entry and return its base URL."""
        file = EntryFile(self._process(f"entry-{len(self.entries)}"))
        app = EntryApp(file, self.view, self.endpoints)
        await self._group.start(app.run)
        server = await self._serve(app)
        self.entries.append(f"http://{server.address}")
        return self.entries[-1]

    async def _serve(self, app: Asgi) -> Server:
        server = Server(app, bind(_FREE_PORT))
        self._servers.append(server)
        await self._group.start(server.run_until_stopped)
        return server

    @staticmethod
    def _process(host: str) -> ProcessSettings:
        return ProcessSettings(
            host=host,
            region="gj-west",
            availability_zone="ahd-a",
            listen=_FREE_PORT,
            operator_listen=_FREE_PORT,
            fleet_key=_FLEET_KEY,
            log_address="",
            hosts_address="",
        )
