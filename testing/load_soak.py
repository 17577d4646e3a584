"""Runs entries as real processes and counts what their endpoints truly hold.

By hand, for many seeds: PYTHONPATH=src:testing python testing/load_soak.py --seeds 50
"""

import argparse
import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import anyio
import attrs

from beryljunction.load_imbalance import BOUND_ALLOWANCE, BOUND_RATIO, Arrival, worst_window
from beryljunction.platform.hostfile import SETTINGS_VARIABLE
from entry_harness import EntryHarness, event, route
from ports import free_ports

__all__ = ["Soak", "SoakResult", "run_soak"]

ZONES = ("a", "b", "c")
SETTINGS = """\
node-name = "{name}"
zone = "{zone}"
region = "r"
ip-address = "127.0.0.1"
internal-port-range = [{peers}, {peers}]
heartbeat-interval-ms = 1000
[listen-addresses]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
[platform]
address = "127.0.0.1:{store}"
[bounds]
grace-period-s = 5
"""
# Kinds of requests: share, shared tokens, seconds of streaming. Long answers to short prompts cause
# most of the load.
KINDS = ((0.25, 8_000, 0.3), (0.5, 2_000, 0.15), (0.25, 600, 1.4))
SESSIONS = 60
HOT_SHARE = 0.3
# Requests arrive in groups of this size on average, each within this time.
CLUMP, CLUMP_S = 3.0, 0.02


@attrs.frozen
class Soak:
    """Size and course of one run; times are from the start of the traffic.

    Attributes:
        entries: Number of entry processes.
        engines: Number of engines, in three availability zones in turn.
        rate: Requests per second.
        evacuated_s: When one zone is evacuated and one session becomes hot.
        stops_s: When an entry gets SIGTERM; another process takes its place.
        settings_s: When new settings are written.
    """

    entries: int = 8
    engines: int = 12
    rate: float = 70.0
    length_s: float = 22.0
    evacuated_s: float = 7.0
    stops_s: tuple[float, ...] = (12.0,)
    settings_s: tuple[float, ...] = (9.0, 9.5, 10.0, 14.0)


@attrs.frozen
class SoakResult:
    """What endpoints and callers saw.

    Attributes:
        worst: The five seconds with the largest share of requests over the bound.
        answered: Requests with a complete answer of status 200.
        failed: Status and first bytes of all others.
    """

    worst: object
    answered: int
    failed: list


class _Run:
    def __init__(self, soak, seed, group, held, folder):
        self.soak, self.draw, self.folder = soak, random.Random(seed), folder
        self.harness = EntryHarness(group, None, None, held)
        self.ports = free_ports(held)
        self.held = {}
        self.arrivals = []
        self.started = []
        self.processes = {}
        self.answered = 0
        self.failed = []
        self.numbers = itertools.count()

    async def start(self):
        await self.harness.start_store()
        self.write_settings()
        for number in range(self.soak.engines):
            await self.add_engine(f"e{number}", ZONES[number % len(ZONES)])
        async with anyio.create_task_group() as group:
            for number in range(self.soak.entries):
                group.start_soon(self.start_entry, number)

    def write_settings(self):
        streamed = route(
            "/chat/", "engine", "streaming", **{"timeout-ms": 9_000, "max-attempts": 2}
        )
        self.harness.configure(streamed)

    async def add_engine(self, name, zone):
        self.held[name] = 0

        async def stream(answer, writer, number):
            self.note_arrival(name)
            try:
                await self.stream(name, answer, writer)
            finally:
                self.held[name] -= 1

        endpoint = await self.harness.add_endpoint(name, "engine", stream)
        self.harness.put("keyed.servers", name, endpoint.record(zone=zone, slots=64))

    def note_arrival(self, name):
        self.held[name] += 1
        mean = sum(self.held.values()) / len(self.held)
        is_over = self.held[name] > BOUND_RATIO * mean + BOUND_ALLOWANCE
        self.arrivals.append(Arrival(time.monotonic(), is_over))

    async def stream(self, name, answer, writer):
        """Stream for about as long as the prompt's kind lasts, with the load in the head."""
        kind = int(answer.head.split("/chat/")[1][0])
        await asyncio.sleep(0.02)
        load = f"x-server-load: {self.held[name]},0,64\r\n\r\n".encode()
        writer.write(answer.stream_head()[:-2] + load)
        pause_s = KINDS[kind][2] * self.draw.uniform(0.6, 1.4) / 5
        for position in range(1, 6):
            writer.write(answer.chunk(event(position)))
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")

    async def start_entry(self, number):
        """Start a process; it gets callers once it is ready."""
        callers, ready, peers = (next(self.ports) for _ in range(3))
        path = self.folder / f"entry-{number}-{callers}.toml"
        values = {"name": f"front-{number}", "zone": ZONES[number % len(ZONES)]}
        ports = {"callers": callers, "ready": ready, "peers": peers}
        store = self.harness.store_address[1]
        path.write_text(SETTINGS.format(**values, **ports, store=store))
        environment = {**os.environ, SETTINGS_VARIABLE: str(path)}
        with (self.folder / f"entry-{number}-{callers}.log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "beryljunction.cli.platform_entry"],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.started.append(process)
        await self.wait_until_ready(ready)
        self.processes[process] = (callers, number)

    async def wait_until_ready(self, port):
        async def is_ready():
            with contextlib.suppress(OSError):
                answer = await EntryHarness.send_to(
                    ("127.0.0.1", port), b"GET /ready HTTP/1.1\r\n\r\n"
                )
                return answer[0] == 200
            return False

        await EntryHarness.wait_until(is_ready, 20.0)

    async def replace_entry(self):
        """Start another process first, then stop one while its callers wait for answers."""
        process = next(iter(self.processes))
        _, number = self.processes[process]
        await self.start_entry(number + 100)
        del self.processes[process]
        process.send_signal(signal.SIGTERM)
        await anyio.to_thread.run_sync(process.wait, 10)

    async def drive(self, group):
        """Send the requests and start the disruptions at their times."""
        soak, start_s = self.soak, time.monotonic()
        steps = [(soak.evacuated_s, self.evacuate)]
        steps += [(at_s, self.write_settings) for at_s in soak.settings_s]
        steps += [(at_s, lambda: group.start_soon(self.replace_entry)) for at_s in soak.stops_s]
        steps.sort(key=lambda step: step[0])
        at_s = 0.0
        while (at_s := at_s + self.draw.expovariate(soak.rate / CLUMP)) < soak.length_s:
            while steps and steps[0][0] <= at_s:
                steps.pop(0)[1]()
            await anyio.sleep(max(0.0, start_s + at_s - time.monotonic()))
            while True:
                group.start_soon(self.ask, self.draw.random() * CLUMP_S, at_s >= soak.evacuated_s)
                if self.draw.random() < 1 / CLUMP:
                    break

    def evacuate(self):
        self.harness.put("keyed.op", f"evacuate/{ZONES[0]}", b"{}")

    async def ask(self, delay_s, is_hot):
        kind = self.draw.choices(range(3), [share for share, _, _ in KINDS])[0]
        session = f"s{kind}-{self.draw.randrange(SESSIONS)}"
        if is_hot and self.draw.random() < HOT_SHARE:
            kind, session = 1, "s1-0"
        number = next(self.numbers)
        prompt = f"X-Prompt-Prefix: common{kind}:500,{session}:{KINDS[kind][1]},q{number}:100"
        headers = (prompt, "X-Token-Counts: 100,100")
        callers, _ = self.draw.choice(list(self.processes.values()))
        await anyio.sleep(delay_s)
        data = EntryHarness.request_bytes(
            f"/chat/{kind}", request_id=f"r{number}", headers=headers
        ).replace(b": 2000", b": 9000")
        try:
            answer = await EntryHarness.send_to(("127.0.0.1", callers), data)
        except OSError:
            answer = (0, "", b"", False)
        if answer[0] == 200 and answer[3]:
            self.answered += 1
        else:
            self.failed.append((answer[0], answer[2][:40].decode(errors="replace").strip()))

    def end(self):
        for process in self.started:
            process.kill()
            process.wait(10)


async def run_soak(soak, seed, folder):
    """Run entries under traffic, and return what their endpoints and callers saw."""
    with contextlib.ExitStack() as held:
        async with anyio.create_task_group() as group:
            run = _Run(soak, seed, group, held, folder)
            try:
                await run.start()
                async with anyio.create_task_group() as traffic:
                    await run.drive(traffic)
            finally:
                run.end()
            group.cancel_scope.cancel()
    return SoakResult(worst_window(run.arrivals), run.answered, run.failed)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            result = anyio.run(run_soak, Soak(), seed, pathlib.Path(folder))
        broken += result.worst.breaks_limit
        print(f"seed {seed}: {result}", flush=True)
    print(f"{broken} of {options.seeds} runs break the limit")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
