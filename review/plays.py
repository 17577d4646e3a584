"""What the cases have in common: the configuration, clients, and the start of a small fleet."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile

import world as w

HOST, KEY = "a.example", "key-1"
STABLE_WINDOW_S = 3.0
# Runs of a machine's kept connections that LOST lets end without an answer.
ALLOWED_LOST = 3


def route(name, kind, service, timeout_ms):
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "allow-anonymous": False,
    }


CONFIG = {
    "version": 1,
    "routes": [
        route("notes", "non_idempotent", "ledger", 1500),
        {**route("chat", "streaming", "drafter", 15000), "resume-streams": False},
    ],
    "services": [
        {"name": "ledger", "health-check-path": "/health", "connection-limit": 100},
        {"name": "drafter", "health-check-path": "/health", "connection-limit": 100},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [{"name": "tenant-1", "api-keys": [KEY], "priority": 1}],
}


def request_bytes(method, target, request_id, deadline_ms, body=b""):
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Credential: {KEY}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def start_fleet(world, entry_count, grace_s=8):
    """Start the store, the workers and the entries; return the entries once they are in touch."""
    await world.start_store()
    await w.put(world.store, "keyed.op", "config", json.dumps(CONFIG).encode())
    for number in range(4):
        await world.start_worker(f"i-note-{number}", "ledger", work_ms=90)
    for number in range(2):
        await world.start_worker(f"i-chat-{number}", "drafter", work_ms=200, events=60)
    hosts = w.loopback_hosts(entry_count)
    entries = [w.Entry(world, f"front-{n}", host, grace_s) for n, host in enumerate(hosts)]
    for entry in entries:
        entry.start()
    for entry in entries:
        if not await w.wait_until(entry.is_ready, 20.0):
            raise RuntimeError(f"{entry.name} isn't ready")
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)
    return entries


class KeptClient:
    """Sends requests that may run once at most, one after the other, on a kept connection.

    The platform connects it to another entry when its own refuses connections.
    """

    def __init__(self, world, entries, number, results):
        self.world, self.entries, self.number = world, entries, number
        self.place, self.results = number, results

    async def run(self, ends_s):
        sent = 0
        while asyncio.get_running_loop().time() < ends_s:
            entry = self.entries[self.place % len(self.entries)]
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*entry.front), 1.0)
            except (OSError, TimeoutError):
                self.place += 1
                await asyncio.sleep(0.1)
                continue
            answered = 0
            try:
                while asyncio.get_running_loop().time() < ends_s:
                    request_id = f"c{self.number}-{sent}"
                    sent += 1
                    target = f"/notes/{request_id}"
                    writer.write(request_bytes("POST", target, request_id, 1500, b"note"))
                    message = await asyncio.wait_for(w.read_message(reader), 2.5)
                    status = int(message[0].split()[1]) if message is not None else None
                    row = {"id": request_id, "entry": entry.name, "status": status}
                    self.results.append({**row, "earlier_answers": answered})
                    self.world.note("answered" if message else "closed without an answer", **row)
                    if message is None or message[1].get("connection") == "close":
                        break
                    answered += 1
                    await asyncio.sleep(0.05)
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                row = {"id": request_id, "entry": entry.name, "status": None}
                self.results.append({**row, "earlier_answers": answered})
                self.world.note("closed without an answer", **row, problem=type(error).__name__)
            finally:
                writer.close()


def lost_by_entry(world, results):
    """Count as LOST does: passed on from a kept connection, which closed without an answer."""
    started = {row["id"] for row in world.runs() if row["what"] == "start"}
    lost = {}
    for row in results:
        is_lost = row["status"] is None and row["earlier_answers"] and row["id"] in started
        lost[row["entry"]] = lost.get(row["entry"], 0) + bool(is_lost)
    return lost


async def play_foreign_entry(world, is_trouble, record, entry_count=4, clients=48, play_s=20.0):
    """Let another writer add an entry to the list of workers; return whether LOST was broken."""
    entries = await start_fleet(world, entry_count)
    supervisors = [asyncio.create_task(entry.supervise()) for entry in entries]
    results = []
    ends_s = asyncio.get_running_loop().time() + play_s
    async with asyncio.TaskGroup() as group:
        for number in range(clients):
            group.create_task(KeptClient(world, entries, number, results).run(ends_s))
        await asyncio.sleep(3.0)
        if is_trouble:
            await w.put(world.store, "keyed.servers", "i-foreign", record)
            world.note("another writer has added i-foreign", value=record.decode())
    for task in supervisors:
        task.cancel()
    lost = lost_by_entry(world, results)
    ends = {entry.name: len(entry.ends) for entry in entries}
    served = sum(1 for row in results if row["status"] == 200)
    world.note("result", requests=len(results), served=served, lost=lost, own_ends=ends)
    print(f"requests {len(results)}, served {served}")
    print(f"ran, and their kept connection closed without an answer: {lost}")
    print(f"processes that ended by themselves: {ends}")
    if not is_trouble and (served < len(results) or any(ends.values())):
        raise RuntimeError("without the disruption, expected all requests to be served")
    return any(count > ALLOWED_LOST for count in lost.values())


def run_case(here, **plays):
    """Run plays in turn; return 1 if one broke the rule, 0 if it held, 2 if one couldn't run."""
    # A stop from outside still ends the processes that were started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    is_trouble = os.environ.get("TROUBLE", "1") != "0"
    record_path = here / "record.txt"
    record_path.write_text("")
    broken = []
    for name, play in plays.items():
        with tempfile.TemporaryDirectory() as folder:
            world = w.World(pathlib.Path(folder), record_path)
            world.note("play", name=name, trouble=is_trouble)
            try:
                is_broken = asyncio.run(asyncio.wait_for(play(world, is_trouble), 100.0))
            except Exception as error:  # noqa: BLE001 - whatever it is, the case couldn't run
                print(f"{name}: couldn't run: {error!r}", file=sys.stderr)
                world.print_logs()
                return 2
            finally:
                world.close()
        print(f"{name}: the rule {'was broken' if is_broken else 'held'}")
        broken.append(is_broken)
    return 1 if any(broken) else 0
