"""The life of one process: listeners, the host list, settings, and a stop that cuts nothing."""

import signal
from typing import Any

import anyio
import anyio.abc

from beryljunction.logs import EventLog
from beryljunction.metrics import MeteredApp, Metrics
from beryljunction.node.hosts import HostFollower
from beryljunction.node.operator import operator_app
from beryljunction.node.roles import NodeRole, NodeStatus
from beryljunction.platform import HttpHostList
from beryljunction.servers import Server, bind, client_pool
from beryljunction.settings import FleetView

__all__ = ["Node"]

_LINGER_S = 3.0


class Node:
    """One entry or sidecar with everything around it."""

    def __init__(self, role: NodeRole, view: FleetView) -> None:
        process = role.process
        self.role = role
        self.metrics = Metrics(role.name)
        self._pool = client_pool()
        self._draining = False
        self._stopping = anyio.Event()
        self.ended = anyio.Event()
        self._view = view
        role.apply(view)
        role.timeline.listen(EventLog(process.log_sample_ratio))
        role.timeline.listen(self.metrics.count_event)
        hosts = HttpHostList(self._pool, process.hosts_address)
        self._hosts = HostFollower(hosts, role.take_hosts, role.timeline)
        app = MeteredApp(role.app, self.metrics)
        self.requests = Server(app, bind(process.listen))
        operator = operator_app(role.timeline, self.metrics, self.status, self.drain)
        self.operator = Server(operator, bind(process.operator_listen))
        self._add_gauges()

    def status(self) -> NodeStatus:
        """Return what the process says of itself."""
        process = self.role.process
        common = NodeStatus(
            self.role.name,
            process.host,
            process.availability_zone,
            settings_version=self._view.version,
            hosts_version=self._hosts.view.version,
            not_ready=self._not_ready(),
        )
        return self.role.status(common)

    def drain(self) -> None:
        """Take no new work; the process goes on until it is stopped."""
        if not self._draining:
            self._draining = True
            self.role.timeline.add("draining")
            self.role.drain()

    def stop(self) -> None:
        """Drain, finish what is in flight and end; a second call changes nothing."""
        self.drain()
        self._stopping.set()

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Run until stopped; the operator listener is there to the end, to watch the stop."""
        try:
            async with self._pool, anyio.create_task_group() as background:
                await background.start(self.operator.run_until_stopped)
                await background.start(self.role.run)
                if self.role.process.hosts_address:
                    await background.start(self._hosts.run)
                await self._serve(task_status)
                background.cancel_scope.cancel()
        finally:
            self.ended.set()

    async def _serve(self, task_status: Any) -> None:
        async with anyio.create_task_group() as serving:
            await serving.start(self.requests.run_until_stopped)
            self.role.timeline.add("serving", detail=self.requests.address)
            task_status.started()
            await self._stopping.wait()
            await self._linger()
            self.requests.stop()
        self.role.timeline.add("stopped")

    async def run_until_signal(self) -> None:
        """Run until SIGTERM or SIGINT; further signals don't hurry a stop that is under way."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._stop_on_signal)
            await self.run()
            group.cancel_scope.cancel()

    async def _stop_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                self.role.timeline.add("signal", detail=signal.Signals(number).name)
                self.stop()

    async def _linger(self) -> None:
        """Keep the listener open until the others know, and nothing is in flight.

        A listener that closed at once would cut a request that is already on its way: its sender
        sees a broken connection and must say "unknown" where a "not run" would have sent the
        request elsewhere. The others learn of it by the host list, by the readiness probe or by
        the first refusal; all of these come within the time.
        """
        await anyio.sleep(_LINGER_S)

    def _not_ready(self) -> str:
        if self._draining:
            return "draining"
        if self.role.process.hosts_address and not self._hosts.view.rows:
            return "no host list yet"
        return ""

    def _add_gauges(self) -> None:
        gauges = {
            "beryl_settings_version": ("Version of the settings in force.", "settings_version"),
            "beryl_hosts_version": ("Version of the host list.", "hosts_version"),
            "beryl_endpoints": ("Endpoints known.", "endpoints"),
            "beryl_running_requests": ("Requests that run here.", "running"),
            "beryl_waiting_requests": ("Requests that wait here.", "waiting"),
        }
        for name, (documentation, field) in gauges.items():
            self.metrics.watch(name, documentation, _reader(self, field))


def _reader(node: Node, field: str) -> Any:
    return lambda: float(getattr(node.status(), field))
