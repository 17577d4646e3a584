"""Runs an entry of the users' platform on one host, with stand-ins of its store and endpoints."""

import json
import sys
import time

import anyio
import anyio.abc

from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.process import EntryProcess
from beryljunction.platform import DeploymentBounds, HostSettings
from beryljunction.servers import Server, bind_listener
from beryljunction.standins import PlatformEndpointStandIn, PlatformStoreStandIn

__all__ = ["LocalPlatformFleet", "run_interactive_platform"]

_API_KEY = "demo-key"
_HOST = "demo.example"
_STREAMING_BY_SERVICE = {"drafter": True, "ledger": False}
_EXAMPLES = """\
curl -N http://{callers}/chat/1 -d 'Draft it.' -H 'Host: {host}' -H 'X-Request-Id: q1' \\
  -H 'X-Credential: {key}' -H 'X-Deadline-Ms: 5000' \\
  -H 'X-Prompt-Prefix: common:400,chat-1:900,q1:20'
curl http://{callers}/notes/17 -d 'disbursement' -H 'Host: {host}' -H 'X-Request-Id: q2' \\
  -H 'X-Credential: {key}' -H 'X-Deadline-Ms: 1000'
curl http://{probes}/metrics
"""


class LocalPlatformFleet:
    """Stand-ins of the store and of the endpoints of two services, and one entry.

    Attributes:
        host: Settings of the entry; set by `start`.
        endpoints: Stand-ins by endpoint id.
    """

    host: HostSettings

    def __init__(self, group: anyio.abc.TaskGroup, endpoints_per_service: int = 2) -> None:
        self._group = group
        self._endpoints_per_service = endpoints_per_service
        self.store = PlatformStoreStandIn()
        self.endpoints: dict[str, PlatformEndpointStandIn] = {}

    async def start(self, events: EntryEventLog | None = None) -> None:
        """Start the stand-ins and the entry, without waiting until the entry is ready."""
        store = await self._listen(self.store)
        self._put("keyed.op", "config", json.dumps(_config()).encode())
        for service, streams in _STREAMING_BY_SERVICE.items():
            for number in range(self._endpoints_per_service):
                endpoint = PlatformEndpointStandIn(f"{service}-{number}", service, streams)
                address = await self._listen(endpoint)
                self.endpoints[endpoint.endpoint_id] = endpoint
                record = endpoint.record(f"{address[0]}:{address[1]}")
                self._put("keyed.servers", endpoint.endpoint_id, record)
        self.host = HostSettings(
            host="entry-local",
            availability_zone="local",
            region="local",
            callers=_free_address(),
            probes=_free_address(),
            store=store,
            bounds=DeploymentBounds(),
        )
        entry = EntryProcess(self.host, events or EntryEventLog("entry-local", "local"))
        self._group.start_soon(entry.run)

    def _put(self, topic: str, key: str, value: bytes) -> None:
        self.store.model.put(topic, key, value, time.monotonic())

    async def _listen(self, app: PlatformStoreStandIn | PlatformEndpointStandIn) -> tuple[str, int]:
        server = Server(app, bind_listener("127.0.0.1:0"))
        await self._group.start(server.serve_until_stopped)
        host, _, port = server.address.rpartition(":")
        return host, int(port)


async def run_interactive_platform() -> None:
    """Run the stand-ins and the entry and print example commands to standard error."""
    async with anyio.create_task_group() as group:
        local = LocalPlatformFleet(group)
        await local.start()
        callers, probes = (
            f"{host}:{port}" for host, port in (local.host.callers, local.host.probes)
        )
        text = _EXAMPLES.format(callers=callers, probes=probes, host=_HOST, key=_API_KEY)
        print(text, file=sys.stderr, flush=True)


def _free_address() -> tuple[str, int]:
    listener = bind_listener("127.0.0.1:0")
    address = listener.getsockname()[:2]
    listener.close()
    return str(address[0]), int(address[1])


def _config() -> dict[str, object]:
    common = {"host": _HOST, "timeout-ms": 10_000, "max-attempts": 2}
    chat = {"name": "chat", "path-prefix": "/chat/", "kind": "streaming", "service": "drafter"}
    notes = {"name": "notes", "path-prefix": "/notes/", "kind": "non_idempotent"}
    return {
        "version": 1,
        "routes": [
            {**common, **chat, "resume-streams": True, "sticky-sessions": True},
            {**common, **notes, "service": "ledger"},
        ],
        "services": [{"name": "drafter", "engine": {}}, {"name": "ledger"}],
        "tenants": [{"name": "demo", "api-keys": [_API_KEY]}],
    }
