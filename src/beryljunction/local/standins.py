"""Runs the stand-ins of a fleet whose entries and sidecars run as separate processes."""

import logging
import signal

import anyio
import anyio.abc

from beryljunction.local.demo_settings import publish_settings
from beryljunction.local.files import StandInsFile
from beryljunction.servers import Server, bind_listener
from beryljunction.standins import (
    EngineStandIn,
    HostListStandIn,
    LogModel,
    LogStandIn,
    ModelLogClient,
    PlainStandIn,
)

__all__ = ["run_standins", "start_endpoint"]

_ENGINE = "engine"


async def start_endpoint(
    group: anyio.abc.TaskGroup, kind: str, listen: str, models: tuple[str, ...] = ()
) -> tuple[EngineStandIn | PlainStandIn, Server]:
    """Start a stand-in engine, with its models already loaded, or a stand-in plain service."""
    app = EngineStandIn() if kind == _ENGINE else PlainStandIn()
    if isinstance(app, EngineStandIn):
        app.orders.models = dict.fromkeys(models, "")
        await group.start(app.run)
    server = Server(app, bind_listener(listen))
    await group.start(server.serve_until_stopped)
    return app, server


async def run_standins(file: StandInsFile) -> None:
    """Run the host list, the log and the endpoints until SIGTERM or SIGINT."""
    async with anyio.create_task_group() as group:
        hosts = HostListStandIn()
        for row in file.hosts:
            hosts.put(row)
        server = Server(hosts, bind_listener(file.hosts_listen))
        await group.start(server.serve_until_stopped)
        log = LogModel()
        await publish_settings(ModelLogClient(log), file.settings)
        log_server = Server(LogStandIn(log), bind_listener(file.log_listen))
        await group.start(log_server.serve_until_stopped)
        for endpoint in file.endpoints:
            await start_endpoint(group, endpoint.kind, endpoint.listen, endpoint.models)
        print("stand-ins are up", flush=True)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        # Stand-ins stop at once; errors that uvicorn logs for aborted requests are expected.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        group.cancel_scope.cancel()
