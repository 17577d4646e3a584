"""The life of an entry on the platform: start, ready, stop without cutting an answer."""

import asyncio
import math
import os
import signal
import socket
import time

import anyio
import anyio.abc

from beryljunction.clocks import boot_time_s
from beryljunction.errors import SettingsError, StartError
from beryljunction.gateway.callers import CallerConnection, CallerHandler
from beryljunction.gateway.crashreporter import CrashReporter
from beryljunction.gateway.events import Events
from beryljunction.gateway.following import ConfigWatcher
from beryljunction.gateway.front import Front
from beryljunction.gateway.membership import EndpointWatcher
from beryljunction.gateway.operators import OperatorHandler, operator_digests
from beryljunction.gateway.peers import HttpPeerLink, PeerConfirmation, PeerHandler
from beryljunction.gateway.probes import ProbeHandler
from beryljunction.gateway.publishing import UpdatePublisher
from beryljunction.gateway.receiving import UpdateReceiver
from beryljunction.gateway.registration import Registration
from beryljunction.gateway.schedules import ALWAYS_POLL, FanOutSchedule, PollSchedule
from beryljunction.gateway.sharing import ShareNews
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.updatelink import HttpUpdateLink
from beryljunction.listening import open_listener
from beryljunction.operators import NodeStatus
from beryljunction.platform import (
    SETTINGS_VARIABLE,
    HostSettings,
    HttpStore,
    Store,
    read_host_settings,
)
from beryljunction.routing import PeerTable

__all__ = ["EntryProcess"]

# The balancer asks once a second and takes two misses; new connections come until then.
_BALANCER_NOTICES_S = 2.6
# Time left for the process to end before it would be killed.
_END_MARGIN_S = 0.6
_STOP_STEP_S = 0.1
# Callers who come while a process starts wait this long at most for its first read of the store
# (20 ms when all is well); then they are told to come back.
_FIRST_READ_S = 0.3
# The platform may change the settings file without a signal; a look costs one system call.
_FILE_CHECK_S = 2.0


class EntryProcess:
    """One entry: listeners, followers of the store, and the stop.

    Args:
        host: What the platform says at the start.
        events: The log.
        early: Socket of callers that was opened before this process was loaded; None for none.
    """

    def __init__(
        self, host: HostSettings, events: Events, early: socket.socket | None = None
    ) -> None:
        self._host = host
        self._early = early
        self._events = events
        self._state = EntryState(host, events)
        self._stopping = anyio.Event()

    def _is_ready(self) -> bool:
        return not self._stopping.is_set() and self._state.is_ready()

    def _watch_gauges(self, front: Front) -> None:
        state, metrics = self._state, self._events.metrics
        metrics.watch(
            "beryl_settings_age_seconds",
            "Age of the last confirmation of the settings.",
            lambda: state.lease.age_s(boot_time_s()),
        )
        metrics.watch(
            "beryl_endpoints_age_seconds",
            "Age of the last confirmation of the endpoints' records.",
            lambda: state.endpoints_known.age_s(boot_time_s()),
        )
        metrics.watch(
            "beryl_settings_version",
            "Version of the settings in force.",
            lambda: state.config.version if state.config is not None else 0,
        )
        metrics.watch(
            "beryl_reads_store",
            "Whether it reads the store for others.",
            lambda: state.fan_out.is_reader,
        )
        metrics.watch("beryl_store_era", "Times that the store was restored.", lambda: state.era)
        metrics.watch("beryl_entries", "Entries known.", lambda: len(state.fan_out))
        metrics.watch("beryl_endpoints", "Endpoints known.", lambda: len(state.registry))
        metrics.watch(
            "beryl_zones_evacuated",
            "Availability zones that get no new requests.",
            lambda: len(state.evacuations.since_s),
        )
        metrics.watch(
            "beryl_endpoints_cold",
            "Endpoints that are, or may be, warming up.",
            state.cold_endpoints,
        )
        metrics.watch(
            "beryl_requests_quarantined",
            "Requests that may not be sent since endpoints ended under them.",
            lambda: len(state.quarantine),
        )
        metrics.watch("beryl_requests_in_flight", "Requests here.", lambda: front.in_flight)
        metrics.watch("beryl_ready", "Whether callers are welcome.", self._is_ready)
        metrics.watch("beryl_repeats_left", "Second sends left.", state.repeats_left)
        metrics.watch("beryl_log_lines_left_out", "Lines left out.", lambda: self._events.left_out)

    def _operator_handler(self, front: Front) -> OperatorHandler:
        """Return what serves the metrics' address; events are kept only where a key is set."""
        digests = operator_digests(self._host.operator_keys)
        if digests:
            self._events.keep_latest()
        return OperatorHandler(self._is_ready, self._events, lambda: self._status(front), digests)

    def _status(self, front: Front) -> NodeStatus:
        state = self._state
        now_s = boot_time_s()
        return NodeStatus(
            role="entry",
            host=self._host.host,
            availability_zone=self._host.availability_zone,
            settings_version=state.config.version if state.config is not None else 0,
            settings_age_s=_finite(state.lease.age_s(now_s)),
            endpoints_age_s=_finite(state.endpoints_known.age_s(now_s)),
            not_ready="" if self._is_ready() else self._why_not_ready(),
            endpoints=len(state.registry),
            in_flight=front.in_flight,
            reads_from=self._reads_from(),
            evacuated=self._evacuated(),
            cold_endpoints=state.cold_endpoints(),
        )

    def _evacuated(self) -> str:
        now_s = boot_time_s()
        zones = sorted(self._state.evacuations.since_s.items())
        return ", ".join(f"{zone} ({now_s - since_s:.0f} s)" for zone, since_s in zones)

    def _reads_from(self) -> str:
        fan_out = self._state.fan_out
        is_told = self._state.mechanisms.shared_reads and not fan_out.is_reader
        return ",".join(fan_out.upstream()) if is_told else "store"

    def _why_not_ready(self) -> str:
        if self._stopping.is_set():
            return "leaving"
        if self._state.config is None:
            return "no settings"
        return "settings too old" if self._state.registry.is_loaded else "no endpoints"

    def _note_bad_era(self, problem: str) -> None:
        self._events.write("store_era_refused", problem=problem)

    def stop(self) -> None:
        """Begin to stop; a second call changes nothing."""
        self._stopping.set()

    async def run_until_signal(self) -> None:
        """Run until SIGTERM or SIGINT; further ones don't hurry a stop that is under way."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._take_signals)
            await self.run()
            group.cancel_scope.cancel()

    async def run(self) -> None:
        """Run until stopped.

        Raises:
            StartError: An address can't be listened on.
        """
        switched_off = ",".join(self._host.mechanisms.off)
        self._events.write("started", callers=_text(self._host.callers), switched_off=switched_off)
        store = HttpStore(self._host.store, self._note_bad_era)
        async with store, anyio.create_task_group() as group:
            front = Front(self._state, group)
            probes = ProbeHandler(self._is_ready, self._events.metrics.render)
            callers = self._callers_socket()
            await _listen(probes, self._host.probes)
            if self._host.metrics is not None:
                await _listen(self._operator_handler(front), self._host.metrics)
            self._watch_gauges(front)
            is_shared = self._state.mechanisms.shared_reads
            schedule = FanOutSchedule(self._state) if is_shared else ALWAYS_POLL
            config = ConfigWatcher(store, self._state, schedule)
            endpoints = EndpointWatcher(store, self._state, schedule)
            group.start_soon(config.run)
            group.start_soon(endpoints.run)
            with anyio.move_on_after(_FIRST_READ_S):
                await config.is_known.wait()
                await endpoints.is_known.wait()
            listener = await _serve(front, callers)
            group.start_soon(front.sweep)
            group.start_soon(self._watch_file)
            registration = await self._join_peers(group, store, config, endpoints, schedule)
            await self._stopping.wait()
            await self._wind_down(front, listener)
            if registration is not None:
                await registration.withdraw()
            group.cancel_scope.cancel()
        self._events.write("stopped")

    async def _join_peers(
        self,
        group: anyio.abc.TaskGroup,
        store: Store,
        config: ConfigWatcher,
        endpoints: EndpointWatcher,
        schedule: PollSchedule,
    ) -> Registration | None:
        """Answer other entries, and ask them while the store is out of reach.

        Callers are served without it, so an address that can't be had is only logged.
        """
        address = self._host.peers
        if address is None:
            return None
        peers = PeerTable(self._state.random)
        registration = Registration(store, self._state, peers, address, schedule)
        life = f"{self._state.random.getrandbits(48):x}"
        updates = UpdateReceiver(self._state, config, endpoints, registration, life)
        try:
            await _listen(PeerHandler(self._state, endpoints, peers, updates), address)
        except StartError as error:
            self._events.write("peers_unavailable", problem=str(error))
            return None
        link = HttpPeerLink()
        group.start_soon(registration.run)
        if self._state.mechanisms.peer_help:
            group.start_soon(PeerConfirmation(link, self._state, config, endpoints, peers).run)
        if self._state.mechanisms.shared_reads:
            publisher = UpdatePublisher(HttpUpdateLink(), self._state, endpoints, registration)
            group.start_soon(publisher.run)
        group.start_soon(ShareNews(link, self._state, peers, life).run)
        group.start_soon(CrashReporter(link, store, self._state).run)
        return registration

    def _callers_socket(self) -> socket.socket:
        """Return the socket that callers connect to; the early one where it is at that address."""
        early, address = self._early, self._host.callers
        if early is not None:
            if early.getsockname() == address:
                return early
            early.close()
        return _open(address)

    async def _wind_down(self, front: Front, listener: asyncio.Server) -> None:
        """Serve on until the balancer has noticed, then end what is in flight and close.

        Kept connections are closed between requests: with their next answer, or when the listener
        closes while nothing is being read on them.
        """
        started_s = time.monotonic()
        ends_s = started_s + self._host.bounds.grace_s - _END_MARGIN_S
        front.leave()
        self._events.write("stopping", in_flight=front.in_flight)
        await anyio.sleep(_BALANCER_NOTICES_S)
        listener.close()
        while time.monotonic() < ends_s:
            front.close_idle()
            if front.in_flight == 0:
                break
            await anyio.sleep(_STOP_STEP_S)
        if front.in_flight:
            self._events.write("cut", in_flight=front.in_flight)

    async def _take_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                else:
                    self.stop()

    async def _watch_file(self) -> None:
        """Reload when the settings file has changed without a signal."""
        seen = _file_stamp()
        while True:
            await anyio.sleep(_FILE_CHECK_S)
            stamp = _file_stamp()
            if stamp != seen:
                seen = stamp
                self.reload()

    def reload(self) -> None:
        """Read the settings file again; the last good one holds where the new one can't be used.

        Bounds are put in force at once. Addresses are those of the start: a process that listened
        elsewhere in the middle of its life would lose its callers.
        """
        try:
            host = read_host_settings()
        except SettingsError as error:
            self._events.write("reload_refused", problem=str(error))
            return
        self._state.apply_bounds(host.bounds)
        self._events.write("reloaded", revocation_ms=host.bounds.revocation_ms)


async def _listen(handler: CallerHandler, address: tuple[str, int]) -> asyncio.Server:
    return await _serve(handler, _open(address))


async def _serve(handler: CallerHandler, listener: socket.socket) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: CallerConnection(handler), sock=listener)


def _open(address: tuple[str, int]) -> socket.socket:
    try:
        return open_listener(address)
    except OSError as error:
        raise StartError(f"{_text(address)}: expected a free address, got {error}") from error


def _file_stamp() -> int:
    """Return when the settings file was changed; 0 while there is none."""
    try:
        return os.stat(os.environ.get(SETTINGS_VARIABLE, "")).st_mtime_ns
    except OSError:
        return 0


def _finite(age_s: float) -> float | None:
    """Return an age in whole milliseconds; None before the first confirmation."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
