"""Real processes on loopback hosts: entries by the deploy file's command, endpoints, the store."""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import sysconfig
import time
import tomllib

import attrs

from soak.records import ROUTES, Bounds, EndpointLife, Evidence, ProcessRun, Run
from soak.standins import put_record
from soak.wire import call

__all__ = ["HOST", "EndpointProcess", "Entry", "Fleet", "Size", "Start", "do_nothing"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "a.example"
KEYS = ("key-0", "key-1", "key-2")
POLL_S = 0.01
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Time beyond the grace period after which a process that doesn't end is killed.
KILL_MARGIN_S = 6.0
SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "front"
serves = ["front"]
ip-address = "{host}"
zone = "z1"
region = "r1"
internal-port-range = [{peers},{peers}]
seeds = []
first-start = true
heartbeat-interval-ms = 1200
[listen-addresses]
front = "{host}:{callers}"
ready = "{host}:{ready}"
[bounds]
stable-window-ms = 3000
drain-ms = 2000
grace-period-s = {grace_s}
loss-slack-ms = 200
configuration-apply-ms = {apply_ms}
strict-revocation = true
revocation-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-budget-slack = {slack}
recovery-s = 12
[platform]
address = "{store}"
form = "log"
"""


@attrs.frozen
class Size:
    """How many processes and callers a run has.

    Attributes:
        endpoints: For each service.
        callers: For each route, of those that wait for an answer before their next call.
        rate_per_s: Calls for each route of callers that don't wait.
        slack: Repeats that the fleet may send beyond the ratio.
    """

    entries: int = 4
    endpoints: int = 4
    callers: int = 8
    rate_per_s: float = 0.0
    slack: int = 54
    pause_s: float = 0.03
    busy_loops: int = 2


@attrs.frozen
class Start:
    """How a process is started.

    Attributes:
        delay_s: Time from the end of the process before.
        signals: Signals by time after the start.
        held: Which port another socket holds at first: callers, ready, metrics or peers.
        file: "late" or "cut" while the settings file is missing or cut short at first.
        hindered_s: For how long that is so.
        output: file, closed, unread (a pipe that nobody reads) or broken (one without a reader).
    """

    delay_s: float = 0.2
    signals: tuple = ()
    held: str = ""
    file: str = ""
    hindered_s: float = 0.0
    output: str = "file"

    def text(self):
        """Return what isn't as usual."""
        fields = attrs.fields(type(self))
        rows = [(field.name, getattr(self, field.name), field.default) for field in fields]
        return ", ".join(f"{name} {value}" for name, value, usual in rows if value != usual)


def entry_command():
    """Return the command of the deploy file, with this interpreter."""
    table = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
    role = table["roles"]["entry"]
    return [sys.executable, *role["run"].split()[1:]]


def runs_its_program(pid):
    """Return whether a process has got as far as the first import of its program."""
    try:
        return "/_socket." in pathlib.Path(f"/proc/{pid}/maps").read_text()
    except OSError:
        return True


class Entry:
    """An entry's host: its settings, and one process after the other."""

    def __init__(self, fleet, number, host):
        self.fleet, self.name, self.host = fleet, f"front-{number}", host
        names = ("callers", "ready", "metrics", "peers")
        self.ports = dict(zip(names, fleet.free_ports(host, len(names)), strict=True))
        self.path = fleet.folder / f"{self.name}.toml"
        self.grace_s, self.apply_ms = 8, 2000
        self.live = []
        self.count = 0
        self.plans = []
        self.stopped = False
        self.store_text = fleet.store_text

    @property
    def address(self):
        return self.host, self.ports["callers"]

    def write_settings(self, form="whole"):
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            grace_s=self.grace_s,
            apply_ms=self.apply_ms,
            store=self.store_text,
            slack=self.fleet.evidence.bounds.slack,
            **self.ports,
        )
        if form == "late":
            self.path.unlink(missing_ok=True)
            return
        new = self.path.with_suffix(".new")
        new.write_text(text[: len(text) // 2] if form == "cut" else text)
        new.replace(self.path)

    async def start(self, plan):
        """Start a process, with what hinders it at first and signals during the start."""
        self.count += 1
        self.write_settings(plan.file or "whole")
        holder = await self.hold(plan) if plan.held else None
        row = ProcessRun(self.name, self.count, time.monotonic(), grace_s=self.grace_s)
        row.has_log = plan.output == "file"
        row.hindered_until_s = row.started_s + plan.hindered_s
        self.fleet.evidence.processes.append(row)
        self.fleet.note(f"{row.name} started {plan.text()}")
        process = self.popen(row, plan.output)
        self.live.append((row, process))
        self.fleet.on_start(self)
        for at_s, number in plan.signals:
            asyncio.get_running_loop().call_later(at_s, self.signal_one, row, process, number)
        if plan.hindered_s:
            self.fleet.spawn(self.unhinder(plan, holder))

    async def unhinder(self, plan, holder):
        await asyncio.sleep(plan.hindered_s)
        self.write_settings()
        if holder is not None:
            holder.close()

    async def hold(self, plan):
        """Listen on one of the ports, as another process of this host would."""
        for _ in range(50):
            with contextlib.suppress(OSError):
                holder = socket.create_server((self.host, self.ports[plan.held]))
                if plan.held == "callers":
                    now_s = time.monotonic()
                    row = (self.name, now_s, now_s + plan.hindered_s + 0.1)
                    self.fleet.evidence.holds.append(row)
                return holder
            await asyncio.sleep(0.02)
        return None

    def popen(self, row, output):
        variables = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "")}
        variables |= {"LANG": "C.UTF-8"}
        variables["PYTHONPATH"] = f"{ROOT / 'src'}:{sysconfig.get_paths()['purelib']}"
        variables["BERYLJUNCTION_CONFIG"] = str(self.path)
        variables["BERYL_METRICS_PORT"] = str(self.ports["metrics"])
        variables["BERYL_CALLERS"] = f"{self.host}:{self.ports['callers']}"
        log = (self.fleet.folder / f"{row.name}.log").open("wb")
        if output in ("unread", "broken"):
            reading, target = os.pipe()
            self.fleet.held.callback(os.close, reading) if output == "unread" else os.close(reading)
        else:
            target = log.fileno()
        process = subprocess.Popen(
            self.fleet.command,
            cwd=ROOT,
            env=variables,
            stdin=subprocess.DEVNULL,
            stdout=target,
            stderr=target,
            preexec_fn=_close_output if output == "closed" else None,
        )
        if target != log.fileno():
            os.close(target)
        log.close()
        self.fleet.children.append(process)
        return process

    def signal_one(self, row, process, number):
        """Send a signal to one process, and record what it may do."""
        if process.poll() is not None:
            return
        if number in (*STOP_SIGNALS, signal.SIGHUP) and not runs_its_program(process.pid):
            row.early_signals += (number,)
        if number in STOP_SIGNALS and row.stopped_s is None:
            row.stopped_s = time.monotonic()
        if number == signal.SIGKILL:
            row.killed_s = time.monotonic()
        process.send_signal(number)

    def signal(self, number):
        """Send a signal to the newest process; return whether there is one."""
        if self.live:
            self.signal_one(*self.live[-1], number)
        return bool(self.live)

    def reap(self):
        """Record the processes that have ended."""
        for row, process in list(self.live):
            if process.poll() is not None:
                row.ended_s, row.status = time.monotonic(), process.returncode
                self.live.remove((row, process))
                self.fleet.note(f"{row.name} ended, status {row.status}")
            elif row.stopped_s is not None and row.killed_s is None:
                paused_s = self.fleet.evidence.paused_s(self.name, row.stopped_s, time.monotonic())
                limit_s = row.stopped_s + row.grace_s + paused_s + KILL_MARGIN_S
                if time.monotonic() > limit_s:
                    row.grace_s = 0.0
                    self.fleet.note(f"{row.name} killed after the grace period")
                    process.kill()

    async def supervise(self):
        """Start a process whenever there is none, as the platform does."""
        while not self.stopped:
            self.reap()
            if not self.live:
                plan = self.plans.pop(0) if self.plans else Start()
                await asyncio.sleep(plan.delay_s)
                if not self.stopped and not self.live:
                    await self.start(plan)
            await asyncio.sleep(POLL_S)

    async def probe(self):
        """Record when each process becomes ready."""
        while not self.stopped:
            rows = [row for row, _ in self.live if row.ready_s is None]
            if rows and await self.is_ready():
                rows[0].ready_s = time.monotonic()
            await asyncio.sleep(0.1)

    async def is_ready(self):
        address = (self.host, self.ports["ready"])
        answer = await call(address, "/beryljunction/readiness", timeout_s=1.0)
        return answer is not None and answer.status == 200


def _close_output():
    os.close(1)
    os.close(2)


class EndpointProcess:
    """A process of an endpoint under one id.

    Args:
        version: Of its software.
        when: "now", or "later" if it joins the others when it is told to.
        name: Id of an endpoint that has ended; empty for a new one.
    """

    def __init__(self, fleet, service, address, version, when="now", name=""):
        self.fleet, self.service, self.address = fleet, service, address
        fleet.endpoint_count += 1
        self.name = name or f"{service}-{fleet.endpoint_count}"
        self.life = EndpointLife(self.name, service, version)
        fleet.evidence.lives.append(self.life)
        rest = (f"{address[0]}:{address[1]}", fleet.store_text, self.name, service)
        rest += str(fleet.runs_path), json.dumps(fleet.misbehaviour), version, when
        self.process = fleet.start_standin("endpoint", *rest)
        self.is_leaving = False

    def note_leaving(self):
        """Record that it is about to be killed, or to drain."""
        self.is_leaving, self.life.leaves_s = True, time.monotonic()

    def kill(self):
        self.note_leaving()
        self.life.killed_s = self.life.leaves_s
        self.process.kill()

    async def join(self):
        """Let it write its record, once it listens."""
        while await call(self.address, "/soak/join", b"") is None and not self.is_leaving:
            await asyncio.sleep(0.05)

    async def behave(self, values):
        await call(self.address, "/soak/behave", json.dumps(values).encode())


async def do_nothing(_):
    """Add nothing to a fleet."""


class Fleet:
    """Starts, disturbs and ends the processes of one run, and holds its evidence.

    Args:
        misbehaviour: How all endpoints fail from their start on.
        before_entries: Called with this fleet before the first entry starts.
    """

    def __init__(self, folder, seed, size, held, misbehaviour, before_entries=do_nothing):
        self.misbehaviour = misbehaviour
        self.folder, self.size, self.held = folder, size, held
        self.draw = random.Random(f"{seed}-fleet")
        self.evidence = Evidence(Bounds(slack=size.slack), started_s=time.monotonic())
        self.command = entry_command()
        self.children = []
        self.entries, self.endpoints, self.tasks = [], [], set()
        self.endpoint_count, self.version, self.keys = 0, 0, set(KEYS)
        self.timeouts_s = {name: route.timeout_s for name, route in ROUTES.items()}
        self.operator = asyncio.Lock()
        self.routes = ROUTES
        self.traffic = None
        # Share of the callers who give up early; ratio of the usual calls a second.
        self.leaving, self.traffic_ratio = 0.0, 1.0
        self.software_versions = {"ledger": "v1", "drafter": "v1"}
        self.out_of_step = collections.Counter()
        self.release_events = collections.defaultdict(asyncio.Event)
        self.runs_path = folder / "runs.jsonl"
        self.runs_path.touch()
        self.net = f"127.{random.randrange(2, 255)}.{random.randrange(1, 255)}"
        self.store = f"{self.net}.254", self.free_ports(f"{self.net}.254", 1)[0]
        self.store_text = f"{self.store[0]}:{self.store[1]}"
        self.on_start = lambda entry: None
        self.before_entries = before_entries

    def free_ports(self, host, count):
        """Return free ports below those of outgoing connections; the hosts are this run's own."""
        ports = []
        while len(ports) < count:
            port = random.randrange(12_000, 32_000)
            with contextlib.suppress(OSError), socket.socket() as tcp:
                tcp.bind((host, port))
                ports.append(port)
        return ports

    def note(self, text):
        self.evidence.notes.append((time.monotonic(), text))

    def start_standin(self, *arguments):
        variables = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT / 'testing'}"}
        with (self.folder / "standins.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "soak.standins", *arguments],
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.children.append(process)
        return process

    async def start(self, first_plans):
        """Start the store, endpoints and entries; return when all are ready."""
        self.store_process = self.start_standin("store", self.store_text)
        await self.wait_until(self.configure, "the store")
        for service in ("ledger", "drafter"):
            for _ in range(self.size.endpoints):
                self.add_endpoint(service)
        for number in range(self.size.entries):
            self.entries.append(Entry(self, number, f"{self.net}.{number + 1}"))
        await self.before_entries(self)
        for entry, plan in zip(self.entries, first_plans, strict=True):
            self.run_entry(entry, plan)

    async def end_misbehaviour(self):
        """Let all endpoints that still run serve what they get."""
        running = [row for row in self.endpoints if row.process.poll() is None]
        await asyncio.gather(*[row.behave({}) for row in running])

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        return task

    def add_entry(self, plan):
        number = len(self.entries)
        entry = Entry(self, number, f"{self.net}.{number + 1}")
        self.entries.append(entry)
        self.run_entry(entry, plan)

    def run_entry(self, entry, plan):
        entry.plans.append(plan)
        self.spawn(entry.supervise())
        self.spawn(entry.probe())

    def next_endpoint_host(self):
        return f"{self.net}.{200 + (self.endpoint_count % 50)}"

    def add_endpoint(self, service, address=None):
        if address is None:
            host = self.next_endpoint_host()
            address = host, self.free_ports(host, 1)[0]
        version = self.software_versions[service]
        self.endpoints.append(EndpointProcess(self, service, address, version))
        return self.endpoints[-1]

    async def configure(self):
        """Write the next version of the configuration; return when it was acknowledged."""
        self.version += 1
        routes = [
            {
                "name": route.name,
                "host": HOST,
                "path-prefix": f"/{route.name}/",
                "kind": route.kind,
                "service": route.service,
                "timeout-ms": int(self.timeouts_s[route.name] * 1000),
                "target-latency-ms": 400,
                "priority": 1,
                "max-attempts": route.max_attempts,
                "resume-streams": route.resumes,
            }
            for route in self.routes.values()
        ]
        services = [
            {"name": name, "health-check-path": "/health", "connection-limit": 200}
            for name in ("ledger", "drafter")
        ]
        limits = {"max-header-bytes": 16384, "max-body-bytes": 4194304}
        limits |= {"header-timeout-ms": 3000, "idle-timeout-ms": 15000}
        tenants = [{"name": "tenant-1", "api-keys": sorted(self.keys), "priority": 1}]
        table = {"version": self.version, "routes": routes, "services": services}
        table |= {"limits": limits, "tenants": tenants}
        return await put_record(self.store, "keyed.op", "config", json.dumps(table).encode())

    @staticmethod
    async def wait_until(condition, what, limit_s=20.0):
        ends_s = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > ends_s:
                raise TimeoutError(f"{what}: expected an answer in {limit_s} s, got none")
            await asyncio.sleep(0.05)

    async def pause(self, name, process, length_s):
        """Suspend a process."""
        await self.pause_while(name, process, asyncio.sleep(length_s))

    async def pause_while(self, name, process, waiting):
        """Suspend a process until a coroutine returns."""
        from_s = time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            try:
                await waiting
            finally:
                process.send_signal(signal.SIGCONT)
                self.evidence.pauses.append((name, from_s, time.monotonic()))

    async def stop(self):
        """Stop all entries as the platform does, and wait for their ends."""
        for entry in self.entries:
            entry.stopped = True
            for row, process in entry.live:
                entry.signal_one(row, process, signal.SIGTERM)
        while any(entry.live for entry in self.entries):
            for entry in self.entries:
                entry.reap()
            await asyncio.sleep(POLL_S)

    def collect(self):
        """Add what the processes wrote to the evidence."""
        self.evidence.ended_s = time.monotonic()
        for row in self.evidence.processes:
            path = self.folder / f"{row.name}.log"
            row.log = path.read_text("utf-8", "replace") if path.exists() else ""
        lines = self.runs_path.read_text("utf-8").splitlines()
        rows = [Run(**json.loads(line)) for line in lines]
        self.evidence.runs = [row for row in rows if row.what != "join"]
        for row in rows:
            if row.what == "crash":
                self.evidence.endpoint_ends.setdefault(row.endpoint, row.s)
        joins = {(row.endpoint, row.version): row.s for row in rows if row.what == "join"}
        for life in self.evidence.lives:
            life.joined_s = joins.get((life.name, life.version))
        return self.evidence

    def close(self):
        """Kill what still runs."""
        for task in self.tasks:
            task.cancel()
        for process in self.children:
            if process.poll() is None:
                process.kill()
        for process in self.children:
            process.wait()
