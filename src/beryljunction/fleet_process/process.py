"""Lifecycle of one process: listeners, host list, settings and graceful shutdown."""

import contextlib
import functools
import signal
import ssl
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import attrs
import httpcore

from beryljunction.fleet_process.control_middleware import ControlMiddleware
from beryljunction.fleet_process.entry_role import EntryRole
from beryljunction.fleet_process.hosts import HostListWatcher
from beryljunction.fleet_process.operator_listener import (
    OperatorKeyMiddleware,
    operator_app,
    operator_key_digests,
)
from beryljunction.fleet_process.roles import ProcessRole, RoleContext
from beryljunction.fleet_process.sidecar_role import SidecarRole
from beryljunction.fleet_process.traffic import CountingBackend
from beryljunction.graceful_stop import DRAIN_DELAY_S, GracefulStop
from beryljunction.logging_setup import EventLogger
from beryljunction.metrics import Metrics, MetricsMiddleware
from beryljunction.operator_api import ProcessStatus
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.servers import (
    Asgi,
    Receive,
    Scope,
    Send,
    Server,
    bind_listener,
    create_client_pool,
)
from beryljunction.settings import (
    SETTINGS_PATH,
    Alarms,
    EntryFile,
    FollowerSettings,
    HttpPeers,
    ProcessSettings,
    ResolvedSettings,
    SettingsFollower,
    SettingsState,
    SidecarFile,
    serve_settings,
)
from beryljunction.stores import HttpHostList, HttpLogClient
from beryljunction.tls import TlsContexts

__all__ = ["FleetProcess"]

_PLATFORM_POOLS = ("hosts", "log")
_FLEET_POOLS = ("fleet", "peers")
# Time in which operators' requests are answered once everything else has ended.
_OPERATOR_CLOSE_TIMEOUT_S = 1.0


class FleetProcess:
    """An entry or sidecar process with its listeners, clients, metrics and settings.

    Args:
        role_class: Class of the role; its class attributes are needed before the role exists.
        make_role: Creates the role from the shared clients and callbacks.
        view: Settings to use until those on the log have been read.
    """

    def __init__(
        self,
        process: ProcessSettings,
        role_class: type[ProcessRole],
        make_role: Callable[[RoleContext], ProcessRole],
        view: ResolvedSettings,
    ) -> None:
        self._tls = (
            TlsContexts(process.tls, role_class.requires_client_certificate)
            if process.tls is not None
            else None
        )
        self.metrics = Metrics(role_class.name)
        self.settings_reader = SettingsState(process.region)
        self.ended = anyio.Event()
        self._view = view
        self._leaving = False
        self._stopping = anyio.Event()
        self._pools = {name: self._pool(name) for name in (*_PLATFORM_POOLS, *_FLEET_POOLS)}
        self._log = HttpLogClient(process.log_address, self._pools["log"])
        self.role = role = make_role(self._role_context(process))
        role.timeline.add_listener(EventLogger(process.log_sample_ratio))
        role.timeline.add_listener(self.metrics.count_event)
        hosts = HttpHostList(self._pools["hosts"], process.hosts_address)
        self.host_list_watcher = HostListWatcher(hosts, role.update_hosts, role.timeline)
        self._follower = self._settings_follower(process)
        server_tls = self._tls.server if self._tls is not None else None
        self.request_server = Server(
            self._request_app(process), bind_listener(process.listen), server_tls
        )
        operator = operator_app(role.timeline, self.metrics, self.status, self.drain)
        guarded = OperatorKeyMiddleware(operator, operator_key_digests(process))
        operator_tls = self._tls.operator if self._tls is not None else None
        self.operator_server = Server(guarded, bind_listener(process.operator_listen), operator_tls)
        self._add_gauges()

    @classmethod
    def entry(cls, file: EntryFile, view: ResolvedSettings) -> "FleetProcess":
        """Return the process of an entry."""
        make = functools.partial(EntryRole, file, view)
        return cls(file.process, EntryRole, make, view)

    @classmethod
    def sidecar(cls, file: SidecarFile, view: ResolvedSettings) -> "FleetProcess":
        """Return the process of a sidecar."""
        make = functools.partial(SidecarRole, file, view)
        return cls(file.process, SidecarRole, make, view)

    def status(self) -> ProcessStatus:
        """Return the status of the process."""
        process = self.role.process
        common = ProcessStatus(
            self.role.name,
            process.host,
            process.availability_zone,
            settings_version=self._view.version,
            hosts_version=self.host_list_watcher.view.version,
            not_ready=self._not_ready(),
            in_flight=self.role.stoppable.in_flight,
        )
        return self.role.status(common)

    def drain(self, leaving: bool = True) -> None:
        """Start or end a drain; has no effect once the process is stopping."""
        if self._leaving == leaving or self._stopping.is_set():
            return
        self._leaving = leaving
        self.role.timeline.add("draining" if leaving else "undrained")
        self.role.drain(leaving)

    def stop(self) -> None:
        """Drain, finish requests in flight and exit; further calls have no effect."""
        self.drain()
        self._stopping.set()

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Run until stopped; the operator listener stays up to the end to observe the stop."""
        try:
            async with anyio.create_task_group() as background:
                await background.start(self.operator_server.serve_until_stopped)
                await background.start(self._hold_pools_open)
                await background.start(self.role.run)
                self._start_followers(background)
                await self._serve(task_status)
                self.operator_server.stop()
                with anyio.move_on_after(_OPERATOR_CLOSE_TIMEOUT_S):
                    await self.operator_server.stopped.wait()
                background.cancel_scope.cancel()
        finally:
            self.ended.set()

    async def run_until_signal(self) -> None:
        """Run until SIGTERM or SIGINT; further signals do not shorten a stop in progress."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._stop_on_signal)
            await self.run()
            group.cancel_scope.cancel()

    def _start_followers(self, background: anyio.abc.TaskGroup) -> None:
        process = self.role.process
        if process.hosts_address:
            background.start_soon(self.host_list_watcher.run)
        if process.log_address:
            background.start_soon(self._follower.run)
        if self._tls is not None:
            background.start_soon(self._tls.reload_on_change, self.role.timeline)

    async def _serve(self, task_status: Any) -> None:
        async with anyio.create_task_group() as serving:
            await serving.start(self.request_server.serve_until_stopped)
            self.role.timeline.add("serving", detail=self.request_server.address)
            task_status.started()
            await self._stopping.wait()
            await self._drain_and_close()
        self.role.timeline.add("stopped")

    async def _drain_and_close(self) -> None:
        """Wait until senders have noticed the drain, then finish requests in flight and close.

        A sidecar refuses new work immediately and the entries go elsewhere. An entry keeps serving
        during the wait: the load balancer needs a probe or two to notice the drain, and until then
        a refused caller would see an error for a planned stop.
        """
        await anyio.sleep(DRAIN_DELAY_S)
        stop = GracefulStop(self.role.stoppable, [self.request_server], drain_delay_s=0.0)
        stop.request()
        await stop.run()

    async def _stop_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                self.role.timeline.add("signal", detail=signal.Signals(number).name)
                self.stop()

    async def _hold_pools_open(self, *, task_status: Any) -> None:
        """Keep the connection pools open and close them when cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            for pool in self._pools.values():
                await stack.enter_async_context(pool)
            task_status.started()
            await anyio.sleep_forever()

    def _pool(self, purpose: str) -> httpcore.AsyncConnectionPool:
        """Return a pool whose traffic counts as control traffic; platform pools have no TLS."""
        backend = CountingBackend(functools.partial(self.metrics.count_control_bytes, purpose))
        return create_client_pool(self._client_tls if purpose in _FLEET_POOLS else None, backend)

    @property
    def _client_tls(self) -> ssl.SSLContext | None:
        return self._tls.client if self._tls is not None else None

    def _role_context(self, process: ProcessSettings) -> RoleContext:
        return RoleContext(
            tls=self._client_tls,
            fleet=self._pools["fleet"],
            peers=self._pools["peers"],
            settings_version=lambda: self.settings_reader.version,
            on_newer_settings=self._note_newer_settings,
            log=self._log if process.log_address else None,
        )

    def _note_newer_settings(self, endpoint_id: str, version: int) -> None:
        """Remember a peer with newer settings; it is asked next while the log is down."""
        row = self.host_list_watcher.view.rows.get(endpoint_id)
        if row is not None:
            self._peers.prefer_peer(row.address)

    def _settings_follower(self, process: ProcessSettings) -> SettingsFollower:
        self._peers = HttpPeers(
            self._peer_addresses,
            self.settings_reader,
            self._pools["fleet"],
            process.fleet_key,
            self._own_address,
        )
        pace = FollowerSettings(retention_s=process.log_retention_s)
        return SettingsFollower(self.settings_reader, self._log, self._apply, self._peers, pace)

    def _apply(self, view: ResolvedSettings) -> None:
        self._view = view
        self.role.apply_settings(view)
        self.role.timeline.add("settings_applied", detail=f"version={view.version}")

    def _peer_addresses(self) -> list[str]:
        """Return the addresses of the sidecars on the host list."""
        return [row.address for row in self.host_list_watcher.view.rows.values() if row.endpoint_id]

    def _own_address(self) -> str:
        """Return this sidecar's address on the host list; empty for an entry, which has none."""
        own = self.role.process.host
        rows = self.host_list_watcher.view.rows.values()
        return next((row.address for row in rows if row.endpoint_id and row.host == own), "")

    def _request_app(self, process: ProcessSettings) -> Asgi:
        async def show_settings(scope: Scope, receive: Receive, send: Send) -> None:
            await serve_settings(
                self.settings_reader, self._follower.apply_snapshot, scope, receive, send
            )

        routes = {SETTINGS_PATH: show_settings, **self.role.routes}
        metered = MetricsMiddleware(self.role.app, self.metrics)
        return ControlMiddleware(
            metered, process.fleet_key, routes, self._refusal, self._count_answer
        )

    def _refusal(self) -> Refusal | None:
        """Return a refusal until settings are read; without them every API key is unknown."""
        if self._view.services:
            return None
        message = "this process has read no settings yet; ask another one or come back"
        return Refusal(RefusalCode.NO_ENDPOINT, message, ExecutionStatus.NO, 1.0)

    def _count_answer(self, path: str, sent_bytes: int, received_bytes: int) -> None:
        self.metrics.count_control_bytes(path.rpartition("/")[2], sent_bytes, received_bytes)

    def _not_ready(self) -> str:
        if self._leaving:
            return "leaving"
        if self.role.process.hosts_address and not self.host_list_watcher.view.rows:
            return "no host list yet"
        if not self._view.services:
            return "no settings yet"
        return ""

    def _add_gauges(self) -> None:
        gauges = {
            "beryl_settings_version": ("Version of the settings in force.", "settings_version"),
            "beryl_hosts_version": ("Version of the host list.", "hosts_version"),
            "beryl_endpoints": ("Endpoints known.", "endpoints"),
            "beryl_requests_in_flight": ("Requests that are not over here.", "in_flight"),
            "beryl_requests_running": ("Requests that run at the endpoint.", "running"),
            "beryl_requests_waiting": ("Requests that wait for the endpoint.", "waiting"),
        }
        for name, (documentation, field) in gauges.items():
            self.metrics.add_gauge(name, documentation, _status_reader(self, field))
        for alarm in attrs.fields(Alarms):
            documentation = f"Alarm of the settings: {alarm.name.replace('_', ' ')}."
            read = functools.partial(getattr, self.settings_reader.alarms, alarm.name)
            self.metrics.add_gauge(f"beryl_settings_{alarm.name}", documentation, read)


def _status_reader(process: FleetProcess, field: str) -> Callable[[], float]:
    return lambda: float(getattr(process.status(), field))
