"""Lifecycle of an entry process on the platform: startup, readiness, reload and draining."""

import math
import socket
import time
from functools import partial

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.addresses import open_when_free, reuse_or_open
from beryljunction.gateway.callers import CallerHandler
from beryljunction.gateway.config_watcher import ConfigWatcher
from beryljunction.gateway.crashreporter import CrashReporter
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.frontend import CallerFrontend
from beryljunction.gateway.gossip_sender import GossipSender
from beryljunction.gateway.listener import Listener
from beryljunction.gateway.load_exchange import LoadExchange
from beryljunction.gateway.operators import OperatorHandler, operator_digests
from beryljunction.gateway.peers import HttpPeerClient, PeerConfirmation, PeerHandler
from beryljunction.gateway.poll_schedules import ALWAYS_POLL, FanOutSchedule, PollSchedule
from beryljunction.gateway.probes import ProbeHandler
from beryljunction.gateway.registration import Registration
from beryljunction.gateway.reload import SettingsReloader
from beryljunction.gateway.stall_monitor import StallMonitor
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.streamreporter import StreamReporter, VersionRecorder
from beryljunction.gateway.supervisor import Supervisor, report_callback_faults
from beryljunction.gateway.update_client import HttpUpdateClient
from beryljunction.gateway.update_publisher import UpdatePublisher
from beryljunction.gateway.update_receiver import UpdateReceiver
from beryljunction.operator_api import ProcessStatus
from beryljunction.platform import HostSettings, HttpStore, Store
from beryljunction.routing import PeerTable

__all__ = ["EntryProcess"]

# Time in which the last answers are sent, and the listeners for other entries and operators close.
_CLOSE_TIMEOUT_S = 0.1
# Time in which callers send the rest of their requests, and get answers, after an internal error.
_ERROR_CLOSE_TIMEOUT_S = 1.0
# Interval at which a stopping process looks whether its grace period has changed.
_GRACE_CHECK_INTERVAL_S = 0.25
# Callers that connect during startup wait up to this long for the first read of the store, which
# normally takes 20 ms; after that they are answered with 503 and Retry-After.
_FIRST_READ_TIMEOUT_S = 0.3


class EntryProcess:
    """Runs one entry: its listeners, the tasks that follow the store, and the shutdown.

    Args:
        host: Settings of this host, as read at startup.
        events: The event log.
        early_socket: Listening socket for callers, opened before most modules were imported; None
            if there is none.
    """

    def __init__(
        self, host: HostSettings, events: EntryEventLog, early_socket: socket.socket | None = None
    ) -> None:
        self._host = host
        self._early_socket = early_socket
        self._events = events
        self._state = EntryState(host, events)
        self._settings_file = SettingsReloader(self._state, events)
        self._stopping = anyio.Event()
        self._signalled_s = 0.0
        self._listeners: list[Listener] = []
        self._frontend: CallerFrontend | None = None
        self._listener: Listener | None = None
        self._registration: Registration | None = None

    def _is_ready(self) -> bool:
        return not self._stopping.is_set() and self._state.is_ready()

    def _register_gauges(self, frontend: CallerFrontend) -> None:
        state, metrics = self._state, self._events.metrics
        metrics.add_gauge(
            "beryl_settings_age_seconds",
            "Age of the last confirmation of the settings.",
            lambda: state.lease.age_s(boot_time_s()),
        )
        metrics.add_gauge(
            "beryl_endpoints_age_seconds",
            "Age of the last confirmation of the endpoints' records.",
            lambda: state.endpoints_confirmation.age_s(boot_time_s()),
        )
        metrics.add_gauge(
            "beryl_settings_version",
            "Version of the settings in force.",
            lambda: state.config.version if state.config is not None else 0,
        )
        metrics.add_gauge(
            "beryl_reads_store",
            "Whether it reads the store for others.",
            lambda: state.fan_out.is_reader,
        )
        metrics.add_gauge(
            "beryl_store_era", "Times that the store was restored.", lambda: state.era
        )
        metrics.add_gauge(
            "beryl_refused_records",
            "Records of the store that can't be used, each counted once.",
            lambda: self._events.refused_records.count,
        )
        metrics.add_gauge("beryl_entries", "Entries known.", lambda: len(state.fan_out))
        metrics.add_gauge("beryl_endpoints", "Endpoints known.", lambda: len(state.registry))
        metrics.add_gauge(
            "beryl_zones_evacuated",
            "Availability zones that get no new requests.",
            lambda: len(state.evacuations.since_s),
        )
        metrics.add_gauge(
            "beryl_endpoints_cold",
            "Endpoints that are, or may be, warming up.",
            state.cold_endpoints,
        )
        metrics.add_gauge(
            "beryl_requests_quarantined",
            "Requests that may not be sent since endpoints ended under them.",
            lambda: len(state.quarantine),
        )
        metrics.add_gauge(
            "beryl_stream_origins",
            "Streams of which it is known where they began.",
            lambda: len(state.streams),
        )
        metrics.add_labelled_gauge(
            "beryl_choices_without_report_share",
            "Share of the recent choices of an endpoint without a load report to go by.",
            "service",
            state.report_coverage.shares_without_report,
        )
        metrics.add_labelled_gauge(
            "beryl_endpoints_queueing",
            "Endpoints at which requests were waiting a moment ago.",
            "service",
            state.queueing_endpoints,
        )
        metrics.add_labelled_gauge(
            "beryl_load_reports_unreadable",
            "Load reports with a field that can't be read.",
            "service",
            lambda: state.report_coverage.unreadable,
        )
        metrics.add_gauge("beryl_requests_in_flight", "Requests here.", lambda: frontend.in_flight)
        metrics.add_gauge(
            "beryl_caller_connections", "Callers' connections.", lambda: len(frontend.connections)
        )
        metrics.add_gauge(
            "beryl_requests_receiving",
            "Requests of which a part was received.",
            lambda: frontend.receiving,
        )
        metrics.add_gauge(
            "beryl_buffered_bytes",
            "Bytes that connections of callers and endpoints buffer.",
            lambda: state.memory.held_bytes,
        )
        metrics.add_gauge("beryl_ready", "Whether callers are welcome.", self._is_ready)
        metrics.add_gauge("beryl_repeats_left", "Second sends left.", state.retries_left)
        metrics.add_gauge(
            "beryl_retries_unread",
            "Retries that their endpoints may still read.",
            state.unread_retries,
        )
        metrics.add_gauge(
            "beryl_log_lines_left_out", "Lines left out.", lambda: self._events.suppressed_lines
        )

    def _operator_handler(self, frontend: CallerFrontend) -> OperatorHandler:
        """Return the handler of the metrics address; keep events only if an operator key is set."""
        digests = operator_digests(self._host.operator_keys)
        if digests:
            self._events.enable_timeline()
        return OperatorHandler(
            self._is_ready, self._events, lambda: self._status(frontend), digests
        )

    def _status(self, frontend: CallerFrontend) -> ProcessStatus:
        state = self._state
        now_s = boot_time_s()
        return ProcessStatus(
            role="entry",
            host=self._host.host,
            availability_zone=self._host.availability_zone,
            settings_version=state.config.version if state.config is not None else 0,
            settings_age_s=_rounded_age_s(state.lease.age_s(now_s)),
            endpoints_age_s=_rounded_age_s(state.endpoints_confirmation.age_s(now_s)),
            not_ready="" if self._is_ready() else self._not_ready_reason(),
            endpoints=len(state.registry),
            in_flight=frontend.in_flight,
            reads_from=self._reads_from(),
            evacuated=self._evacuated(),
            cold_endpoints=state.cold_endpoints(),
            choices_without_report=self._choices_without_report(),
            refused_records=self._events.refused_records.count,
        )

    def _choices_without_report(self) -> str:
        shares = self._state.report_coverage.shares_without_report()
        return ", ".join(
            f"{service} {share:.0%}" for service, share in sorted(shares.items()) if share > 0.0
        )

    def _evacuated(self) -> str:
        now_s = boot_time_s()
        zones = sorted(self._state.evacuations.since_s.items())
        return ", ".join(f"{zone} ({now_s - since_s:.0f} s)" for zone, since_s in zones)

    def _reads_from(self) -> str:
        fan_out = self._state.fan_out
        reads_peers = self._state.mechanisms.shared_reads and not fan_out.is_reader
        return ",".join(fan_out.upstream()) if reads_peers else "store"

    def _not_ready_reason(self) -> str:
        if self._stopping.is_set():
            return "leaving"
        if self._state.config is None:
            return "no settings"
        return "settings too old" if self._state.registry.is_loaded else "no endpoints"

    def _log_refused_era(self, problem: str) -> None:
        self._events.write("store_era_refused", problem=problem)

    def stop(self, signalled_s: float | None = None) -> None:
        """Start the shutdown; further calls have no effect.

        Args:
            signalled_s: Monotonic time from which the grace period counts; now when None.
        """
        if not self._stopping.is_set():
            now_s = time.monotonic()
            ago_s = 0.0 if signalled_s is None else now_s - signalled_s
            self._signalled_s = boot_time_s() - ago_s
            self._plan_stop()
            self._stopping.set()

    async def run(self) -> None:
        """Run until stopped; after an internal error, answer the callers before it is raised.

        Raises:
            StartError: The listening socket for callers can't be opened.
        """
        switched_off = ",".join(self._host.mechanisms.off)
        self._events.write(
            "started", callers=_format_address(self._host.callers), switched_off=switched_off
        )
        store = HttpStore(self._host.store, self._log_refused_era)
        async with store, report_callback_faults(self._events):
            try:
                await self._run(store)
            except Exception:
                await self._refuse_callers()
                raise
        await self._close_listeners()
        self._events.write("stopped")

    async def _run(self, store: Store) -> None:
        async with anyio.create_task_group() as group:
            tasks = Supervisor(group, self._events, self.stop)
            tasks.start("stalls", self._monitor_stalls)
            frontend = CallerFrontend(self._state, group)
            probes = ProbeHandler(self._is_ready, self._events.metrics.render)
            callers = reuse_or_open(self._early_socket, self._host.callers)
            tasks.start(
                "probes", partial(self._listen, probes, self._host.probes, "probes_unavailable")
            )
            if self._host.metrics is not None:
                operators = self._operator_handler(frontend)
                tasks.start(
                    "metrics",
                    partial(self._listen, operators, self._host.metrics, "metrics_unavailable"),
                )
            self._register_gauges(frontend)
            is_shared = self._state.mechanisms.shared_reads
            schedule = FanOutSchedule(self._state) if is_shared else ALWAYS_POLL
            config = ConfigWatcher(store, self._state, schedule)
            endpoints = EndpointWatcher(store, self._state, schedule)
            tasks.start("settings", config.run)
            tasks.start("endpoints", endpoints.run)
            tasks.start("losses", self._state.losses.run)
            tasks.start("trial_releases", self._state.trial_permits.run)
            with anyio.move_on_after(_FIRST_READ_TIMEOUT_S):
                await config.loaded.wait()
                await endpoints.loaded.wait()
            listener = Listener(frontend, callers)
            self._frontend, self._listener = frontend, listener
            tasks.start("caller_timeouts", frontend.close_expired_connections)
            tasks.start("settings_file", self._settings_file.watch)
            peers = partial(self._start_peer_tasks, tasks, store, config, endpoints, schedule)
            tasks.start("peers", peers)
            await self._stopping.wait()
            await self._drain(frontend, listener)
            if self._registration is not None:
                limit_s = self._state.stop.deregister_limit_s(boot_time_s())
                await self._registration.deregister(limit_s)
            group.cancel_scope.cancel()

    async def _refuse_callers(self) -> None:
        """End all requests, and refuse those that arrive, because of an internal error."""
        if self._frontend is not None and self._listener is not None:
            self._frontend.start_draining()
            self._frontend.end_draining()
            await self._listener.close(time.monotonic() + _ERROR_CLOSE_TIMEOUT_S)

    async def _listen(self, handler: CallerHandler, address: tuple[str, int], event: str) -> bool:
        """Listen once the address is free; return False if the process is stopped before."""
        sock = await open_when_free(address, self._events, event, self._stopping)
        if sock is not None:
            handler.memory = self._state.memory
            self._listeners.append(Listener(handler, sock))
        return sock is not None

    async def _close_listeners(self) -> None:
        """Send the answers to other entries, probes and operators that are not sent yet."""
        ends_s = time.monotonic() + _CLOSE_TIMEOUT_S
        async with anyio.create_task_group() as group:
            for listener in self._listeners:
                group.start_soon(listener.close, ends_s)

    async def _start_peer_tasks(
        self,
        tasks: Supervisor,
        store: Store,
        config: ConfigWatcher,
        endpoints: EndpointWatcher,
        schedule: PollSchedule,
    ) -> None:
        """Start the tasks that exchange data with other entries, once their address is free.

        Callers are served without them until then.
        """
        address = self._host.peers
        if address is None:
            return
        peers = PeerTable(self._state.random)
        registration = Registration(store, self._state, peers, address, schedule)
        incarnation = f"{self._state.random.getrandbits(48):x}"
        updates = UpdateReceiver(self._state, config, endpoints, registration, incarnation)
        handler = PeerHandler(self._state, endpoints, peers, updates)
        if not await self._listen(handler, address, "peers_unavailable"):
            return
        self._registration = registration
        client = HttpPeerClient()
        tasks.start("registration", registration.run)
        if self._state.mechanisms.peer_help:
            confirmation = PeerConfirmation(client, self._state, config, endpoints, peers)
            tasks.start("peer_confirmation", confirmation.run)
        if self._state.mechanisms.shared_reads:
            publisher = UpdatePublisher(HttpUpdateClient(), self._state, endpoints, registration)
            tasks.start("updates", publisher.run)
        tasks.start("gossip", GossipSender(client, self._state, peers, incarnation).run)
        if self._state.mechanisms.load_news:
            tasks.start("load_exchange", LoadExchange(self._state, peers, address).run)
        tasks.start("crash_reports", CrashReporter(client, store, self._state).run)
        tasks.start("stream_reports", StreamReporter(client, self._state).run)
        tasks.start("versions", VersionRecorder(store, self._state, schedule).run)

    async def _drain(self, frontend: CallerFrontend, listener: Listener) -> None:
        """Serve until the load balancer has removed this entry, then finish the open requests.

        Connections are closed after their next answer, or, once the listener is closed, while they
        are idle. Requests count as open from their first byte until their answer is sent. A
        grace period that changes meanwhile is used.
        """
        frontend.start_draining()
        self._events.write("stopping", in_flight=frontend.in_flight)
        stop = self._state.stop
        while (left_s := stop.left_s(boot_time_s())) > 0.0:
            pause_s = min(left_s, _GRACE_CHECK_INTERVAL_S)
            if reachable_for_s := stop.reachable_for_s(boot_time_s()):
                await anyio.sleep(min(pause_s, reachable_for_s))
            else:
                await listener.close(time.monotonic() + pause_s)
                if not listener.open_connections:
                    break
            self._plan_stop()
        self._events.write(
            "drained",
            in_flight=frontend.in_flight,
            receiving=frontend.receiving,
            connections=listener.open_connections,
        )
        if frontend.in_flight:
            self._events.write("cut", in_flight=frontend.in_flight)
        frontend.end_draining()
        await listener.close(time.monotonic() + _CLOSE_TIMEOUT_S)

    def _plan_stop(self) -> None:
        grace_s = self._state.bounds.grace_s
        self._state.stop.update(self._signalled_s, grace_s, boot_time_s())

    async def _monitor_stalls(self) -> None:
        """Exclude stalls of this process from the times that endpoints are measured by."""
        with StallMonitor(self._note_stall):
            await anyio.sleep_forever()

    def _note_stall(self, stall_s: float) -> None:
        self._events.write("stalled", stall_ms=round(stall_s * 1000))
        self._state.registry.exclude_stall(stall_s, boot_time_s())

    def reload(self) -> None:
        """Read the settings file again, as after SIGHUP."""
        self._settings_file.reload()
        if self._stopping.is_set():
            self._plan_stop()


def _rounded_age_s(age_s: float) -> float | None:
    """Return an age in seconds, rounded to 1 ms; None before the first confirmation."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
