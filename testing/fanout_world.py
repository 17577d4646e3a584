"""Simulated fleet of entries in virtual time that read one store and pass on its records."""

import asyncio
import json
import random

import anyio
import attrs

from beryljunction.fuzz.platform.stores import FuzzStore, StoreFault
from beryljunction.fuzz.platform.virtual import VirtualLoop, virtual_clock
from beryljunction.gateway.config_watcher import ConfigWatcher
from beryljunction.gateway.crashreporter import CrashReporter
from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.peers import PeerClient, PeerConfirmation
from beryljunction.gateway.poll_schedules import ALWAYS_POLL, FanOutSchedule
from beryljunction.gateway.registration import Registration
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.store_view import StoreView, local_store_view
from beryljunction.gateway.streamreporter import StreamReporter, VersionRecorder
from beryljunction.gateway.streamreports import StreamReport
from beryljunction.gateway.update_client import UpdateClient
from beryljunction.gateway.update_publisher import UpdatePublisher
from beryljunction.gateway.update_receiver import UpdateReceiver
from beryljunction.platform import DeploymentBounds, HostSettings, InvalidRecord, Unavailable
from beryljunction.routing import PeerTable
from beryljunction.standins.platform_store import PlatformStoreModel
from endpoint_records import record

__all__ = ["CountingStore", "FleetWorld", "History", "RecordHistory", "StoreFault"]

# One-way delay of a message to another entry.
DELAY_S = 0.002
# Time after which a message without an answer is given up.
ANSWER_TIMEOUT_S = 0.3
# Size of a message on the wire besides its body: request line, headers and response head.
OVERHEAD_BYTES = 150
BOUNDS = DeploymentBounds(drain_ms=4_000)


class NoLines:
    dropped_lines = 0

    def write(self, text):
        pass

    def flush(self):
        pass


class CountingStore(FuzzStore):
    """Counts calls; the next read of a topic in `hanging` gets no answer.

    Attributes:
        hanging: Names of topics. Other connections of the entry are not affected.
    """

    def __init__(self, model, loop):
        super().__init__(model, loop)
        self.calls = 0
        self.hanging = set()

    async def read(self, topic, offset, wait_ms):
        if topic.name in self.hanging:
            self.hanging.remove(topic.name)
            self.calls += 1
            await anyio.sleep(wait_ms / 1000 + 1.0)
            return Unavailable("silent")
        return await super().read(topic, offset, wait_ms)

    async def _begin(self, wait_s):
        self.calls += 1
        return await super()._begin(wait_s)


@attrs.define(eq=False)
class Member:
    """One entry.

    Attributes:
        held_until_s: Time until which its host is paused; messages wait in its socket buffer.
        is_cut: Whether it is cut off from all other entries.
        sent_bytes: Bytes of its messages to other entries.
    """

    name: str
    state: EntryState
    store: CountingStore
    address: tuple = ("", 0)
    held_until_s: float = 0.0
    is_cut: bool = False
    sent_bytes: int = 0
    task: asyncio.Task = None
    updates: UpdateReceiver = None
    config: ConfigWatcher = None
    endpoints: EndpointWatcher = None


class FakeClient(UpdateClient, PeerClient):
    def __init__(self, world, member):
        self.world = world
        self.member = member

    async def _reach(self, address):
        """Return the entry at an address; None if it is unreachable."""
        other = self.world.at(address)
        await anyio.sleep(DELAY_S)
        if other is None or other.is_cut or self.member.is_cut:
            await anyio.sleep(ANSWER_TIMEOUT_S)
            return None
        return other

    async def send_update(self, address, message):
        other = await self._reach(address)
        self.member.sent_bytes += OVERHEAD_BYTES + len(message)
        if other is None:
            return None
        loop = self.world.loop
        if other.held_until_s > loop.time():
            loop.call_at(other.held_until_s, self._deliver_late, other, message)
            await anyio.sleep(ANSWER_TIMEOUT_S)
            return None
        answer = other.updates.apply(message)
        if isinstance(answer, InvalidRecord):
            return None
        await anyio.sleep(DELAY_S)
        return answer

    @staticmethod
    def _deliver_late(other, message):
        other.updates.apply(message)

    async def fetch_view(self, address, version, offset):
        other = await self._reach(address)
        if other is None or other.endpoints is None:
            return "no answer"
        store_view = local_store_view(other.state, other.endpoints, version, offset)
        await anyio.sleep(DELAY_S)
        return "nothing known" if store_view is None else StoreView.decode(store_view.encode())

    async def send_gossip(self, address, gossip):
        return False

    async def report_crashes(self, address, crashes):
        other = await self._reach(address)
        self.member.sent_bytes += OVERHEAD_BYTES + len(crashes)
        if other is None:
            return None
        answer = other.state.quarantine.apply_report(CrashReport.decode(crashes)).encode()
        await anyio.sleep(DELAY_S)
        return answer

    async def exchange_streams(self, address, report):
        other = await self._reach(address)
        self.member.sent_bytes += OVERHEAD_BYTES + len(report)
        if other is None:
            return None
        answer = other.state.streams.apply_report(StreamReport.decode(report)).encode()
        await anyio.sleep(DELAY_S)
        return answer


class FleetWorld:
    """Simulated fleet and store, as a context manager that cancels all tasks on exit."""

    def __init__(self, entries, is_shared=True, seed=1, bounds=None):
        self.loop = VirtualLoop()
        self.clock = virtual_clock(self.loop)
        self.clock.__enter__()
        self.draw = random.Random(seed)
        self.is_shared = is_shared
        self.bounds = bounds or BOUNDS
        self.model = PlatformStoreModel(retention_s=20.0)
        self.version = 0
        self.written_s = {}
        self.violations = []
        self.ages_s = []
        self.members = {}
        self.tasks = []
        self.calls_of_dead = 0
        self.configure()
        for number in range(4):
            self.endpoint(f"e{number}")
        for number in range(entries):
            self.start(f"front-{number}", ("10.0.0.1", 1_000 + number))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        # An exception that is never retrieved is logged when its task is garbage collected.
        # Formatting the traceback then breaks any parsing of Python code in this process.
        for task in self.tasks:
            if task.done() and not task.cancelled():
                task.exception()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()
        self.clock.__exit__(None, None, None)

    # Actions

    def put(self, topic, key, value):
        self.model.put(topic, key, value, self.loop.world_s)

    def configure(self, routes=1):
        self.version += 3
        config = {"version": self.version, "services": [{"name": "s"}], "tenants": []}
        config["routes"] = [
            {
                "name": f"r{number}",
                "host": "shop.example",
                "path-prefix": f"/{number}/",
                "kind": "idempotent",
                "service": "s",
                "timeout-ms": 1_000,
                "max-attempts": 1,
            }
            for number in range(routes)
        ]
        self.put("keyed.op", "config", json.dumps(config).encode())
        self.written_s[self.version] = self.loop.world_s

    def endpoint(self, name, state="ready", version="v1"):
        value = record(service="s", state=state, version=version, born=1)
        self.put("keyed.servers", name, value)

    def start(self, name, address):
        host = HostSettings(name, "a", "r", address, ("", 2), ("", 3), self.bounds)
        state = EntryState(host, EntryEventLog(name, "a", NoLines()))
        state.random.seed(f"{name}/{self.draw.random()}")
        member = Member(name, state, CountingStore(self.model, self.loop), address)
        self.members[name] = member
        member.task = self.loop.create_task(self._run(member))
        self.tasks.append(member.task)

    async def _run(self, member):
        await anyio.sleep(member.state.random.random() * 0.3)
        state, store, client = member.state, member.store, FakeClient(self, member)
        schedule = FanOutSchedule(state) if self.is_shared else ALWAYS_POLL
        config = member.config = ConfigWatcher(store, state, schedule)
        endpoints = member.endpoints = EndpointWatcher(store, state, schedule)
        peers = PeerTable(state.random)
        entries = Registration(store, state, peers, member.address, schedule)
        incarnation = f"{state.random.random()}"
        member.updates = UpdateReceiver(state, config, endpoints, entries, incarnation)
        async with anyio.create_task_group() as group:
            for task in (config, endpoints, entries):
                group.start_soon(task.run)
            group.start_soon(PeerConfirmation(client, state, config, endpoints, peers).run)
            group.start_soon(CrashReporter(client, store, state).run)
            group.start_soon(StreamReporter(client, state).run)
            group.start_soon(VersionRecorder(store, state, schedule).run)
            if self.is_shared:
                group.start_soon(UpdatePublisher(client, state, endpoints, entries).run)

    def kill(self, name):
        """Kill an entry permanently; its address stays in the store."""
        member = self.members.pop(name)
        member.task.cancel()
        self.calls_of_dead += member.store.calls

    def at(self, address):
        rows = (row for row in self.members.values() if row.address == address)
        member = next(rows, None)
        return member if member is not None and member.updates is not None else None

    def fault(self, fault, names=None):
        for name in names or self.members:
            self.members[name].store.fault = fault

    # Observations

    def readers(self):
        return [row.name for row in self.members.values() if row.state.fan_out.is_reader]

    def advance(self, duration_s, step_s=0.05):
        """Let time pass, and check each entry after each step."""
        ends_s = self.loop.now_s + duration_s
        while self.loop.now_s < ends_s:
            self.loop.run_until_complete(asyncio.sleep(step_s))
            self._check()

    def _check(self):
        """Record entries whose settings are confirmed at a time after newer ones were written."""
        now_s = self.loop.world_s
        for row in self.members.values():
            config, confirmed_s = row.state.config, row.state.lease.confirmed_s
            if config is None:
                continue
            newer = [at_s for version, at_s in self.written_s.items() if version > config.version]
            if newer and confirmed_s > min(newer):
                self.violations.append((row.name, config.version, confirmed_s - min(newer)))
            self.ages_s.append(row.state.lease.age_s(now_s))

    def calls(self):
        return self.calls_of_dead + sum(row.store.calls for row in self.members.values())

    def calls_in(self, duration_s):
        before = self.calls()
        self.advance(duration_s)
        return self.calls() - before

    def max_age_in(self, duration_s):
        """Let time pass, and return the largest age of any entry's settings meanwhile."""
        self.ages_s.clear()
        self.advance(duration_s)
        return max(self.ages_s)

    def hosts_by_rank(self):
        """Return the names of all entries, the store's readers first."""
        return next(iter(self.members.values())).state.fan_out.hosts

    def cut_off(self, names):
        """Cut some entries off from the store and from the other entries."""
        self.fault(StoreFault.SILENT, names)
        for name in names:
            self.members[name].is_cut = True

    def known_after(self, check, names, most_s=8.0):
        """Return the seconds until a check holds for the state of all of these entries."""
        begun_s = self.loop.now_s
        while self.loop.now_s - begun_s < most_s:
            if all(check(self.members[name].state) for name in names):
                break
            self.advance(0.02, step_s=0.02)
        return self.loop.now_s - begun_s

    def holds_for_all(self, check):
        return all(check(row.state) for row in self.members.values())


class History:
    """Applies random faults of hosts, links and the store, and random changes of settings."""

    FAULTS = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.LATE)

    def __init__(self, world, seed):
        self.world = world
        self.draw = random.Random(seed)

    def play(self, steps=16):
        for _ in range(steps):
            some = self.draw.sample(sorted(self.world.members), self.draw.choice((1, 2, 6, 12)))
            self.draw.choice(
                (self.fault, self.cut, self.hold, self.restart, self.readers, self.storm, self.heal)
            )(some)
            self.world.configure()
            self.world.advance(self.draw.choice((0.05, 0.3, 1.0, 2.5)))

    def fault(self, some):
        self.world.fault(self.draw.choice(self.FAULTS), some)

    def cut(self, some):
        for name in some:
            self.world.members[name].is_cut = True

    def hold(self, some):
        for name in some:
            member = self.world.members[name]
            member.held_until_s = self.world.loop.now_s + self.draw.choice((1.0, 4.0))
            member.store.fault = StoreFault.SILENT

    def restart(self, some):
        for name in some:
            address = self.world.members[name].address
            self.world.kill(name)
            self.world.start(name, address)

    def readers(self, some):
        self.world.fault(self.draw.choice(self.FAULTS), self.world.readers())

    def storm(self, some):
        for _ in range(6):
            self.world.configure()
            self.world.advance(0.2)

    def heal(self, some):
        for row in self.world.members.values():
            row.is_cut, row.held_until_s, row.store.fault = False, 0.0, StoreFault.NONE


class RecordHistory(History):
    """Adds endpoints that join and leave, and an operator who evacuates availability zones.

    Attributes:
        violations: State of entries that contradicts their own last confirmation.
    """

    # Age of the settings above which an entry may have missed records that expired in an outage.
    MISSED_S = 1.9
    # Includes the two seconds in which an expired record is rewritten, and the time until an update
    # has reached all levels.
    KEPT_S = 2.8
    # Time after which a long poll without an answer is given up.
    HANGS_S = 5.0
    ZONES = ("a", "b", "c")

    def __init__(self, world, seed):
        super().__init__(world, seed)
        self.departed_s = {}
        self.zone_s = {}
        self.missed_s = {}
        self.hung_s = 0.0
        self.number = 0
        self.violations = []

    def play(self, steps=16):
        actions = (
            self.fault,
            self.one_by_one,
            self.one_by_one,
            self.hold_while_zones_change,
            self.outage,
            self.cut,
            self.restart,
            self.leave,
            self.operator,
            self.operator,
            self.expire,
            self.heal,
        )
        for _ in range(steps):
            names = sorted(self.world.members)
            some = self.draw.sample(names, min(len(names), self.draw.choice((1, 2, 6, 12))))
            self.draw.choice(actions)(some)
            self.advance(self.draw.choice((0.3, 1.0, 2.5)))

    def advance(self, duration_s):
        """Let time pass while endpoints write their records repeatedly."""
        for _ in range(max(1, round(duration_s / 0.25))):
            for name in ("e1", "e2", "e3"):
                self.world.endpoint(name)
            self.world.advance(0.25)
            self.look()

    def one_by_one(self, some):
        """Let an endpoint leave in an outage, after which some hosts reconnect late."""
        self.heal(())
        name = self.join()
        self.world.fault(StoreFault.BUSY)
        self.advance(2.5)
        self.depart(name)
        late = [name for name in some if name in self.world.readers()] or some
        self.world.fault(StoreFault.NONE, [name for name in self.world.members if name not in late])
        for name in late:
            self.advance(1.5)
            self.world.fault(StoreFault.NONE, [name])

    def hold_while_zones_change(self, some):
        """Let messages wait in the sockets of some hosts, which ask their peers meanwhile."""
        self.hold(some)
        for _ in range(4):
            self.operator(some)
            self.advance(0.75)

    def outage(self, some):
        self.world.fault(self.draw.choice(self.FAULTS))
        self.advance(self.draw.choice((1.0, 3.0)))
        self.world.fault(StoreFault.NONE)

    def leave(self, some):
        """Let an endpoint join, become known to all reachable entries, and leave."""
        self.depart(self.join())

    def join(self):
        self.number += 1
        name = f"x{self.number}"
        self.world.endpoint(name)
        self.advance(1.5)
        return name

    def depart(self, name):
        self.world.put("keyed.servers", name, None)
        self.departed_s[name] = self.world.loop.world_s

    def operator(self, some):
        """Evacuate a zone or end its evacuation, possibly several times in quick succession."""
        for _ in range(self.draw.choice((1, 1, 2, 5))):
            zone = self.draw.choice(self.ZONES)
            is_evacuated = not self.zone_s.get(zone, (False, 0.0))[0]
            self.world.put("keyed.op", f"evacuate/{zone}", b"{}" if is_evacuated else None)
            self.zone_s[zone] = is_evacuated, self.world.loop.world_s
            self.world.advance(0.01, step_s=0.01)

    def expire(self, some):
        for topic in ("keyed.op", "keyed.servers"):
            self.world.model.compact(topic)

    def look(self):
        now_s = self.world.loop.world_s
        if any(row.store.fault in self.FAULTS[1:] for row in self.world.members.values()):
            self.hung_s = now_s + self.HANGS_S
        for row in self.world.members.values():
            state = row.state
            if state.config is None:
                continue
            if state.lease.age_s(now_s) > self.MISSED_S:
                self.missed_s[row.name] = now_s
            self.look_at_zones(row.name, state)
            self.look_at_endpoints(row.name, state, now_s)

    def look_at_zones(self, name, state):
        for zone, (is_evacuated, at_s) in self.zone_s.items():
            if state.lease.confirmed_s > at_s and (zone in state.evacuations.zones) != is_evacuated:
                self.violations.append((name, zone, is_evacuated))

    def look_at_endpoints(self, name, state, now_s):
        usable = {row.record.endpoint_id for row in state.registry.usable("s", now_s)}
        for endpoint, departed_s in self.departed_s.items():
            since_s = max(departed_s, self.hung_s, self.missed_s.get(name, 0.0))
            if endpoint in usable and now_s - since_s > self.KEPT_S:
                self.violations.append((name, endpoint, now_s - departed_s))
