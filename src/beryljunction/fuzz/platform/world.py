"""Two entries, five endpoints, callers and a store, in one process and in virtual time."""

import asyncio
import json
from typing import Any

import anyio

from beryljunction.fuzz.platform.actors import Behaviour, CrashStyle, FuzzCaller, FuzzEndpoint
from beryljunction.fuzz.platform.entries import FuzzEntry, FuzzPeerClient
from beryljunction.fuzz.platform.oracle import Asked, Bounds, PlatformOracle
from beryljunction.fuzz.platform.stores import FuzzStore, StoreFault
from beryljunction.fuzz.platform.virtual import VirtualLoop, virtual_clock
from beryljunction.gateway.callers import CallerConnection
from beryljunction.gateway.config_watcher import ConfigWatcher
from beryljunction.gateway.crashreporter import CrashReporter
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.frontend import CallerFrontend
from beryljunction.gateway.peers import PeerConfirmation
from beryljunction.gateway.poll_schedules import ALWAYS_POLL
from beryljunction.gateway.registration import Registration
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.streamreporter import StreamReporter, VersionRecorder
from beryljunction.platform import DeploymentBounds, HostSettings
from beryljunction.routing import PeerTable
from beryljunction.standins.platform_store import PlatformStoreModel

__all__ = ["ENDPOINTS", "ENTRIES", "KEYS", "PlatformWorld"]

ENTRIES = ("entry-0", "entry-1")
# Endpoints by service: calls of "once" may run once, those of "free" are idempotent or resumable.
ENDPOINTS = {"o1": "once", "o2": "once", "f1": "free", "f2": "free", "f3": "free"}
KEYS = {"key-a": "acme", "key-b": "mill"}
_TIMEOUT_MS = 2_000
# A thirty-second of this is an entry's own allowance, 2 for each service.
_SLACK = 64
_BOUNDS = DeploymentBounds(repeat_slack=_SLACK)
_SETTLE_S = 2.0
# A crashed endpoint starts again under another id, at its address; its old record lapses later.
_RESTART_S = 2.0
# Time from the restart of a crashed endpoint until its old record lapses.
_LAPSE_S = 1.6
# An endpoint that drains serves for the bound of 2 s and a little longer.
_DRAINED_S = 2.5


class _Silent:
    """Takes log lines and keeps none."""

    dropped_lines = 0

    def write(self, text: str) -> None:
        """Drop a line."""

    def flush(self) -> None:
        """Do nothing."""


class PlatformWorld:
    """Everything that a history acts on.

    Attributes:
        restart_s: Time until a crashed endpoint is back.
        restart_keeps_id: Whether it is back under its id; otherwise under another one.
        registers_in_s: Time from its restart until it writes its record.
        crash_style: How endpoints end under requests that crash them.
        event_gap_s: Time between the events of their streams.
        silent_s: Time from a crash during which the endpoint's address answers no connection.
    """

    def __init__(self) -> None:
        self.restart_s = _RESTART_S
        self.restart_keeps_id = False
        self.registers_in_s = 0.0
        self.crash_style = CrashStyle()
        self.event_gap_s = 0.01
        self.silent_s = 0.0
        self.loop = VirtualLoop()
        self._clock = virtual_clock(self.loop)
        self._clock.__enter__()
        self.oracle = PlatformOracle(Bounds(repeat_slack=len(ENTRIES) * 2 * 2))
        self.oracle.accounts = dict(KEYS)
        self.model = PlatformStoreModel(retention_s=1e9)
        self.callers: list[FuzzCaller] = []
        self.endpoints: dict[str, FuzzEndpoint] = {}
        self.entries: dict[str, FuzzEntry] = {}
        self._version = 0
        self._restarts = 0
        self._keys = dict(KEYS)
        self.configure()
        for number, (name, service) in enumerate(ENDPOINTS.items()):
            self.start_endpoint(name, service, ("10.0.1.1", 9_000 + number), self._now_ms())
        for number, name in enumerate(ENTRIES):
            self.start_entry(name, ("10.0.0.1", 8_000 + number))
        self.advance(_SETTLE_S)

    # Operator

    def configure(self) -> None:
        """Write a new version of the settings."""
        self._version += 2
        routes = [
            _route("/once/c/", "once", "non_idempotent"),
            _route("/once/s/", "once", "streaming"),
            _route("/free/c/", "free", "idempotent"),
            _route("/free/s/", "free", "streaming", resumes=True),
        ]
        tenants: dict[str, list[str]] = {name: [] for name in KEYS.values()}
        for key, name in self._keys.items():
            tenants[name].append(key)
        config = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": "once"}, {"name": "free"}],
            "tenants": [{"name": name, "api-keys": keys} for name, keys in tenants.items()],
        }
        self._put("keyed.op", "config", json.dumps(config).encode())

    def revoke(self, key: str) -> None:
        """Take a key away."""
        if self._keys.pop(key, None) is not None:
            self.configure()
            self.oracle.revoked_s[key] = self.loop.world_s

    def rewind(self) -> None:
        """Let an old version of the settings come once more; callers come right after it."""
        self.model.replay_first("keyed.op", self.loop.world_s)
        self.advance(0.3)
        for entry in ENTRIES:
            for key in KEYS:
                self.ask(entry, "once", False, key)

    def _put(self, topic: str, key: str, value: bytes | None) -> None:
        self.model.put(topic, key, value, self.loop.world_s)

    # Endpoints

    def start_endpoint(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        born_ms: int,
        version: str | None = "v1",
        registers_in_s: float = 0.0,
    ) -> FuzzEndpoint:
        """Start an endpoint and let it write of itself."""
        endpoint = FuzzEndpoint(
            name, service, address, self.loop, self.oracle, born_ms, version=version
        )
        endpoint.on_crash = self._restart_later
        endpoint.crash_style, endpoint.event_gap_s = self.crash_style, self.event_gap_s
        self.endpoints[name.partition(".")[0]] = endpoint
        self.oracle.draining_s.pop(name, None)
        self.loop.network.listeners[address] = endpoint.accept
        if registers_in_s:
            self.loop.call_later(registers_in_s, self._register, endpoint)
        else:
            self._register(endpoint)
        return endpoint

    def _register(self, endpoint: FuzzEndpoint) -> None:
        self._put("keyed.servers", endpoint.name, endpoint.record())

    def release(
        self,
        name: str,
        version: str | None,
        keeps_id: bool = False,
        registers_in_s: float = 0.0,
    ) -> None:
        """Replace an endpoint by one of another version.

        Args:
            name: The endpoint.
            version: Version of the new one.
            keeps_id: Whether the old one ends at once and the new one has its id and its
                address; otherwise the new one starts beside it, and the old one drains and ends.
            registers_in_s: How long after its start the new one writes of itself.
        """
        old = self.endpoints[name]
        if keeps_id:
            old.on_crash = None
            old.crash()
            self.start_endpoint(
                old.name, old.service, old.address, self._now_ms(), version, registers_in_s
            )
            return
        self._restarts += 1
        address = ("10.0.1.2", 9_000 + self._restarts)
        self.drain(name)
        old.on_crash = None
        fresh = f"{name}.{self._restarts}"
        self.start_endpoint(fresh, old.service, address, self._now_ms(), version, registers_in_s)
        self.loop.call_later(_DRAINED_S, self._end_drained, old)

    def _end_drained(self, endpoint: FuzzEndpoint) -> None:
        self.loop.network.listeners.pop(endpoint.address, None)
        endpoint.crash()
        self._put("keyed.servers", endpoint.name, None)

    def _restart_later(self, endpoint: FuzzEndpoint) -> None:
        """Take a crashed endpoint from the network, and start it again after some seconds."""
        network = self.loop.network
        if network.listeners.get(endpoint.address) == endpoint.accept:
            del network.listeners[endpoint.address]
        if self.silent_s:
            network.dark.add(endpoint.address)
            silent_s = min(self.silent_s, self.restart_s)
            self.loop.call_later(silent_s, network.dark.discard, endpoint.address)
        self.loop.call_later(self.restart_s, self._restart, endpoint)

    def _restart(self, crashed: FuzzEndpoint) -> None:
        if crashed.address in self.loop.network.listeners:
            return
        name = crashed.name
        if not self.restart_keeps_id:
            self._restarts += 1
            name = f"{name.partition('.')[0]}.{self._restarts}"
            self.loop.call_later(_LAPSE_S, self._put, "keyed.servers", crashed.name, None)
        self.start_endpoint(
            name,
            crashed.service,
            crashed.address,
            self._now_ms(),
            crashed.version,
            self.registers_in_s,
        )

    def drain(self, name: str) -> None:
        """Let an endpoint say that it is leaving, in its answers too; it serves on."""
        endpoint = self.endpoints[name]
        endpoint.is_leaving = True
        self._put("keyed.servers", endpoint.name, endpoint.record("draining"))
        self.oracle.draining_s.setdefault(endpoint.name, self.loop.world_s)

    def leave_in_an_outage(self, name: str, entry: str, lapses: bool) -> None:
        """Let an endpoint say in its answers alone that it leaves, while callers go on.

        Args:
            name: The endpoint.
            entry: The entry to which the store is silent meanwhile.
            lapses: Whether its record lapses in the outage, and comes back after it as it was.
        """
        endpoint = self.endpoints[name]
        endpoint.is_leaving = True
        record = endpoint.record()
        self.store_fault(entry, StoreFault.SILENT)
        if lapses:
            self._put("keyed.servers", endpoint.name, None)
        self._ask_on(entry, endpoint.service, 3.0)
        self.store_fault(entry, StoreFault.NONE)
        self._ask_on(entry, endpoint.service, 0.3)
        if lapses:
            self._put("keyed.servers", endpoint.name, record)
        self._ask_on(entry, endpoint.service, 3.0)

    def _ask_on(self, entry: str, service: str, length_s: float, gap_s: float = 0.3) -> None:
        for _ in range(round(length_s / gap_s)):
            self.ask(entry, service, False, "key-a")
            self.advance(gap_s)

    def vanish(self, name: str) -> None:
        """Remove an endpoint's record; it serves on."""
        endpoint = self.endpoints[name]
        self._put("keyed.servers", endpoint.name, None)
        self.oracle.draining_s.setdefault(endpoint.name, self.loop.world_s)

    def born_again(self, name: str) -> None:
        """Start an endpoint again under its id."""
        old = self.endpoints[name]
        self.start_endpoint(name, old.service, old.address, self._now_ms())

    def _now_ms(self) -> int:
        return int(self.loop.world_s * 1000)

    def reuse_address(self, name: str) -> None:
        """Let an endpoint crash, and a new one of the other service have its address."""
        old = self.endpoints[name]
        self._put("keyed.servers", old.name, None)
        other = "free" if old.service == "once" else "once"
        fresh = f"{name}-{old.born_ms}"
        stranger = FuzzEndpoint(fresh, other, old.address, self.loop, self.oracle)
        self.loop.network.listeners[old.address] = stranger.accept

    def misplace(self, name: str) -> None:
        """Give an endpoint's address to one of the other service; its record stays for a while."""
        old = self.endpoints[name]
        other = "free" if old.service == "once" else "once"
        stranger = FuzzEndpoint(f"{name}-x", other, old.address, self.loop, self.oracle)
        self.loop.network.listeners[old.address] = stranger.accept

    # Entries

    def start_entry(self, name: str, address: tuple[str, int]) -> None:
        """Start an entry that knows nothing."""
        store = FuzzStore(self.model, self.loop)
        host = HostSettings(name, "a", "r", address, ("10.0.0.1", 1), ("10.0.0.2", 1), _BOUNDS)
        events = EntryEventLog(name, "a", _Silent())  # type: ignore[arg-type]
        entry = FuzzEntry(name, address, store, EntryState(host, events))
        entry.state.random.seed(name)
        self.entries[name] = entry
        self.oracle.started_s[name] = self.loop.world_s
        entry.task = self.loop.create_task(self._run_entry(entry))

    async def _run_entry(self, entry: FuzzEntry) -> None:
        async with anyio.create_task_group() as group:
            frontend = entry.frontend = CallerFrontend(entry.state, group)
            self.loop.network.listeners[entry.address] = lambda: CallerConnection(frontend)
            config = ConfigWatcher(entry.store, entry.state)
            endpoints = entry.endpoints = EndpointWatcher(entry.store, entry.state)
            group.start_soon(config.run)
            group.start_soon(endpoints.run)
            group.start_soon(entry.state.losses.run)
            group.start_soon(entry.state.trial_permits.run)
            peers = PeerTable(entry.state.random)
            registration = Registration(entry.store, entry.state, peers, entry.address)
            group.start_soon(registration.run)
            link = FuzzPeerClient(entry, self.entries)
            group.start_soon(StreamReporter(link, entry.state).run)
            group.start_soon(VersionRecorder(entry.store, entry.state, ALWAYS_POLL).run)
            group.start_soon(CrashReporter(link, entry.store, entry.state).run)
            group.start_soon(PeerConfirmation(link, entry.state, config, endpoints, peers).run)
            await anyio.sleep_forever()

    def kill_entry(self, name: str) -> None:
        """Kill an entry, whose callers hear nothing more, and start it again."""
        entry = self.entries[name]
        self.oracle.forget(name, self.loop.world_s)
        self._end_fault(entry)
        if entry.task is not None:
            entry.task.cancel()
        self.loop.network.listeners.pop(entry.address, None)
        for caller in self.callers:
            if caller.entry == name:
                caller.leave()
        self.advance(0.2)
        self.start_entry(name, entry.address)

    def store_fault(self, name: str, fault: StoreFault, is_alone: bool = True) -> None:
        """Switch what the store does to an entry, and whether its peers can be asked."""
        entry = self.entries[name]
        self._end_fault(entry)
        entry.store.fault = fault
        entry.is_alone = is_alone and fault is not StoreFault.NONE
        if fault is not StoreFault.NONE:
            entry.fault_since_s = self.loop.world_s

    def _end_fault(self, entry: FuzzEntry) -> None:
        if entry.fault_since_s is not None:
            self.oracle.outages.append((entry.fault_since_s, self.loop.world_s))
        entry.fault_since_s = None
        entry.store.fault = StoreFault.NONE
        entry.is_alone = False

    def suspend(self, duration_s: float) -> None:
        """Suspend all hosts: their timers stand still, the rest of the world goes on."""
        begin_s = self.loop.world_s
        for name in ENTRIES:
            self.oracle.forget(name, self.loop.world_s)
        self.loop.suspended_s += duration_s
        self.oracle.outages.append((begin_s, self.loop.world_s))
        for caller in self.callers:
            if caller.asked.ended_s is None:
                caller.asked.limit_s += duration_s

    # Callers and time

    def ask(
        self,
        entry: str,
        service: str,
        streamed: bool,
        key: str,
        deadly: str = "",
        parts: tuple[str, ...] = (),
        has_own: bool = True,
    ) -> FuzzCaller:
        """Let a caller send a request; a deadly one crashes each endpoint that runs it.

        Args:
            entry: The entry that it is sent to.
            service: The service that it asks for.
            streamed: Whether it asks for a stream.
            key: Its API key.
            deadly: Name of a request that crashes endpoints; empty for others.
            parts: Shared parts of its prompt.
            has_own: Whether one of its own is added.
        """
        number = len(self.callers)
        asked = Asked(
            request_id=f"q{number}",
            service=service,
            api_key=key,
            may_repeat=service == "free",
            streamed=streamed,
            sent_s=self.loop.world_s,
            limit_s=_TIMEOUT_MS / 1000,
            entry=entry,
            deadly=deadly,
            parts=(*parts, f"own{number}") if parts and has_own else parts,
        )
        self.oracle.asked[asked.request_id] = asked
        caller = FuzzCaller(asked, self.loop, entry)
        self.callers.append(caller)
        self.loop.create_task(self._connect(caller, self.entries[entry].address))
        return caller

    def resume(self, caller: FuzzCaller, entry: str) -> FuzzCaller | None:
        """Let a caller take up its broken stream at an entry; None if it has no such stream."""
        asked = caller.asked
        received = asked.received + len(asked.pieces)
        is_broken = asked.ended_s is not None and asked.left_s is None and not asked.is_whole
        if not (asked.streamed and asked.may_repeat and is_broken and received):
            return None
        shared = asked.parts[:-1]
        again = self.ask(entry, asked.service, True, asked.api_key, asked.deadly, shared)
        again.asked.resumes = asked.resumes or asked.request_id
        again.asked.received = received
        again.asked.continuing = self._sound_endpoints(asked.service, asked.versions)
        return again

    def _sound_endpoints(self, service: str, versions: set[bytes]) -> int:
        """Return how many endpoints of these versions serve now as they should."""
        rows = (row for row in self.endpoints.values() if row.service == service)
        return sum(
            (row.version or "").encode() in versions
            and row.behaviour is Behaviour.WHOLE
            and not (row.is_leaving or row.has_crashed)
            for row in rows
        )

    async def _connect(self, caller: FuzzCaller, address: tuple[str, int]) -> None:
        try:
            await self.loop.network.connect(lambda: caller, address)
        except ConnectionRefusedError:
            caller.asked.ended_s = self.loop.world_s

    def advance(self, duration_s: float) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(duration_s))

    def finish(self) -> list[str]:
        """End all faults, let requests end, and return what was broken."""
        for entry in self.entries.values():
            self._end_fault(entry)
        self.advance(_TIMEOUT_MS / 1000 + 1.0)
        return self.oracle.violations()

    def close(self) -> None:
        """End what still runs."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()
        self._clock.__exit__(None, None, None)


def _route(prefix: str, service: str, kind: str, resumes: bool = False) -> dict[str, Any]:
    return {
        "name": f"r{prefix}",
        "host": "h",
        "path-prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout-ms": _TIMEOUT_MS,
        "max-attempts": 2 if service == "free" else 1,
        "resume-streams": resumes,
    }


def behave(world: PlatformWorld, name: str, behaviour: Behaviour) -> None:
    """Switch what an endpoint does with the next requests."""
    world.endpoints[name].behaviour = behaviour
