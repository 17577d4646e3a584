"""Stand-ins for the cases of this folder: the platform's store, workers and clients.

Only the standard library is used. The programs `store` and `worker` run as processes of their own:

    python3 review/world.py store IP:PORT
    python3 review/world.py worker IP:PORT STORE_IP:PORT ID SERVICE RUNS_FILE WORK_MS EVENTS

They speak what PROTOCOL.md says. The calls below /standin/ are for the test alone. A worker with
EVENTS above 0 answers with a stream of so many events, one each WORK_MS.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
RETENTION_S = 300.0
PAGE_ITEMS = 500
SLOTS = 16


# HTTP


async def read_message(reader):
    """Return the first line, the headers and the body of a message; None at the end of input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def response(status, headers, body):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, method, target, body=b"", headers=None, timeout_s=5.0):
    """Make one call on a connection of its own; return status, headers and body."""

    async def attempt():
        reader, writer = await asyncio.open_connection(*address)
        try:
            rows = {"Host": "standin", "Connection": "close", **(headers or {})}
            if body or method == "POST":
                rows["Content-Length"] = str(len(body))
            lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in rows.items())]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("connection closed without an answer")
            first, answer_headers, answer_body = message
            return int(first.split()[1]), answer_headers, answer_body
        finally:
            writer.close()

    return await asyncio.wait_for(attempt(), timeout_s)


def parse_address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


# The platform's store


class Part:
    def __init__(self):
        self.records, self.first, self.newest = [], 0, {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, record, is_keyed):
        if is_keyed:
            key_end = 1 + record[0]
            key, value = record[1:key_end], record[key_end:]
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
        self.records.append((time.monotonic(), record))
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        while self.records and self.records[0][0] + RETENTION_S < time.monotonic():
            self.records.pop(0)
            self.first += 1


class Store:
    def __init__(self):
        self.parts = {}

    def part(self, query):
        return self.parts.setdefault((query["topic"], int(query["part"])), Part())

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                first, _, body = message
                method, target, _ = first.split(" ")
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                status, answer = await self.answer(method, path, query, body)
                writer.write(response(status, {}, answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        await asyncio.sleep(0.004)
        if path == "/standin/put":
            key = query["key"].encode()
            row = self.part({"topic": query["topic"], "part": "0"})
            row.append(bytes([len(key)]) + key + body, True)
            return 200, b"{}"
        if path == "/beryljunction/log-append":
            return self.append(query, body)
        if path == "/beryljunction/log-read":
            return await self.read(query)
        if path == "/beryljunction/log-newest":
            return self.read_newest(query)
        return 404, b"{}"

    def append(self, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        row = self.part(query)
        offset, position = row.end, 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            position += 4 + length
            row.append(body[position - length : position], query["topic"].startswith("keyed."))
        return 200, json.dumps({"offset": offset, "end": row.end}).encode()

    async def read(self, query):
        row, offset = self.part(query), int(query["from"])
        ends_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            row.expire()
            if not row.first <= offset <= row.end:
                return 410, json.dumps({"first": row.first}).encode()
            left_s = ends_s - time.monotonic()
            if row.end > offset or left_s <= 0.0:
                break
            try:
                await asyncio.wait_for(row.changed.wait(), left_s)
            except TimeoutError:
                pass
        rows, size, limit = [], 0, int(query.get("max-kilobytes", 1024)) * 1024
        for _, record in row.records[offset - row.first :]:
            size += 4 + len(record)
            if rows and size > limit:
                break
            rows.append(record)
        data = b"".join(struct.pack(">I", len(record)) + record for record in rows)
        return 200, struct.pack(">QQ", row.end, row.first) + data

    def read_newest(self, query):
        row, after = self.part(query), query.get("after", "").encode()
        keys = sorted(key for key in row.newest if key > after)
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(row.newest[key][1]).decode(),
                "offset": row.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        page = {"items": items, "has-more": len(keys) > PAGE_ITEMS, "end": row.end}
        return 200, json.dumps(page).encode()


async def put(store, topic, key, value):
    """Write the record of a key, as the operator or a worker does."""
    query = urllib.parse.urlencode({"topic": topic, "key": key})
    status, _, _ = await call(store, "POST", f"/standin/put?{query}", value)
    if status != 200:
        raise RuntimeError(f"the store answered {status}")


# Workers


class Worker:
    """Runs requests for its own id, one at a time on a connection, and notes each run in a file."""

    def __init__(self, address, store, worker_id, service, runs_path, work_s, events):
        self.address, self.store, self.worker_id = address, store, worker_id
        self.service, self.work_s, self.events = service, work_s, events
        self.runs = open(runs_path, "a", encoding="utf-8", buffering=1)
        self.running = 0

    async def register(self):
        record = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "z1",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence-number": 1,
            "born": int(time.time() * 1000),
        }
        await put(self.store, "keyed.servers", self.worker_id, json.dumps(record).encode())

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                answer = asyncio.create_task(self.answer(writer, *message))
                # Work on a request stops when its connection closes.
                await asyncio.wait(
                    {answer, asyncio.create_task(self.wait_for_close(reader, answer))}
                )
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def wait_for_close(reader, answer):
        while not answer.done():
            if reader.at_eof() or reader.exception() is not None:
                answer.cancel()
                return
            await asyncio.sleep(0.01)

    async def answer(self, writer, first, headers, body):
        answer = self.refusal(first, headers)
        if answer is not None:
            writer.write(response(*answer))
        else:
            await self.run(writer, first.split(" ")[1], headers["x-request-id"])
        await writer.drain()

    def refusal(self, first, headers):
        """Return the answer to what isn't run; None for a request to run."""
        target = first.split(" ")[1]
        if target == "/health":
            return 200, {"X-Instance-Id": self.worker_id}, b""
        if target == "/beryljunction/report":
            return 200, {"Content-Type": "application/json"}, b'{"waiting":0,"running":0}'
        if headers.get("x-expect-instance", self.worker_id) != self.worker_id:
            return 421, {"X-Instance-Id": self.worker_id}, b""
        if "x-request-id" not in headers:
            return 400, {"X-Not-Executed": "1"}, b""
        return None

    async def run(self, writer, target, request_id):
        self.note("start", request_id, target)
        self.running += 1
        own = {
            "X-Request-Id": request_id,
            "X-Server-Signature": f"{self.worker_id}.{request_id}",
            "X-Server-Load": f"{self.running},0,{SLOTS}",
        }
        try:
            if self.events:
                await self.stream(writer, own)
            else:
                await asyncio.sleep(self.work_s)
                body = f"{self.worker_id} ran {request_id} ".encode().ljust(800, b".")
                writer.write(response(200, own, body))
            self.note("end", request_id, target)
        except asyncio.CancelledError:
            self.note("dropped", request_id, target)
            raise
        finally:
            self.running -= 1

    async def stream(self, writer, own):
        head = {**own, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def note(self, what, request_id, target):
        row = {"t": time.time(), "what": what, "worker": self.worker_id, "id": request_id}
        self.runs.write(json.dumps({**row, "target": target}) + "\n")


# The test's side


def free_address(host="127.0.0.1"):
    """Return an address whose port is free for TCP and UDP.

    It lies below the ports that the system gives to outgoing connections.
    """
    while True:
        port = random.randrange(12_000, 32_000)
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((host, port))
                udp.bind((host, port))
                return host, port
        except OSError:
            continue


def loopback_hosts(count):
    """Return loopback addresses that a play beside this one hardly uses."""
    first, second = random.randrange(1, 255), random.randrange(1, 255)
    return [f"127.{first}.{second}.{number + 1}" for number in range(count)]


def text_of(address):
    return f"{address[0]}:{address[1]}"


SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "front"
serves = ["front"]
ip-address = "{host}"
zone = "z1"
region = "r1"
internal-port-range = [{peer_port},{peer_port}]
seeds = []
first-start = true
counts-toward-tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-interval-ms = 1200
contracts = [
  "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform",
]
[zones]
z1 = "r1"
[listen-addresses]
front = "{front}"
ready = "{ready}"
[limits]
cpu-share = 0.817
cores = 1
memory-mb = 300
file-descriptors = 4100
link-mbps = {link_mbps}
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
address-reuse-s = 2
stable-window-ms = 3000
confirm-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-period-s = {grace_s}
loss-slack-ms = 200
configuration-apply-ms = 2000
downgrade-slack-ms = 250
max-stretch-ms = 5000
strict-revocation = true
revocation-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-budget-slack = 54
recovery-s = 12
pass-ms = 120
retry-after-s = 10
load-imbalance-factor = 2
[platform]
address = "{store}"
form = "log"
writes-per-s = 400
reads-per-s = 2000
parts = 8
append-ms = 4.0
part-mb-per-s = 20.0
read-mb-per-s = 80.0
record-bytes = 262144
call-bytes = 2097152
keep_s = 300
part-mb = 200
ttl-min-ms = 1000
"""


def deploy_role():
    """Return the command of the deploy file's entry role."""
    import tomllib

    table = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
    return table["roles"]["entry"]["run"].split()


class Link:
    """A proxy between an entry and the store, with the speed of a slow link, which can be cut.

    While it is cut, nothing passes in either direction, and connections hang.
    """

    def __init__(self, target, mbps):
        self.target, self.bytes_per_s = target, mbps * 1_000_000 / 8
        self.address = free_address()
        self.is_up = asyncio.Event()
        self.is_up.set()
        self.free_s = 0.0

    async def start(self):
        await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        try:
            await self.pass_on(reader, writer)
        except asyncio.CancelledError:
            pass  # the test has ended
        finally:
            writer.close()

    async def pass_on(self, reader, writer):
        try:
            await self.is_up.wait()
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            return
        await asyncio.gather(
            self.forward(reader, back, False),
            self.forward(there, writer, True),
            return_exceptions=True,
        )

    async def forward(self, reader, writer, is_slow):
        try:
            while data := await reader.read(16_384):
                if is_slow:
                    now_s = asyncio.get_running_loop().time()
                    self.free_s = max(now_s, self.free_s) + len(data) / self.bytes_per_s
                    await asyncio.sleep(self.free_s - now_s)
                await self.is_up.wait()
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


class Entry:
    """One entry process of the deploy file, started again by the test when it ends by itself."""

    def __init__(self, world, name, host, grace_s=8, store=None, link_mbps=1000.0):
        self.world, self.name, self.host = world, name, host
        self.store = store or world.store
        self.link_mbps = link_mbps
        self.front, self.ready = free_address(host), free_address(host)
        self.metrics_port = free_address(host)[1]
        self.peer_port = free_address(host)[1]
        self.settings_path = world.folder / f"{name}.toml"
        self.write_settings(grace_s)
        self.process = None
        self.ends = []

    def write_settings(self, grace_s):
        """Write the settings file, as the platform does at each start and change."""
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            peer_port=self.peer_port,
            front=text_of(self.front),
            ready=text_of(self.ready),
            store=text_of(self.store),
            link_mbps=self.link_mbps,
            grace_s=grace_s,
        )
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self.settings_path)

    def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BERYLJUNCTION_CONFIG": str(self.settings_path),
            "BERYL_METRICS_PORT": str(self.metrics_port),
            "BERYL_CALLERS": text_of(self.front),
        }
        self.process = self.world.start_process(deploy_role(), self.name, environment)

    async def is_ready(self):
        try:
            return (await call(self.ready, "GET", "/beryljunction/readiness", timeout_s=1.0))[
                0
            ] == 200
        except (OSError, TimeoutError):
            return False

    async def supervise(self, restart_after_s=0.5):
        """Note each end of the process that the test didn't cause, and start it again."""
        while True:
            await asyncio.sleep(0.05)
            status = self.process.poll()
            if status is not None and not self.world.is_closing:
                self.ends.append(status)
                self.world.note("process ended by itself", entry=self.name, status=status)
                await asyncio.sleep(restart_after_s)
                self.start()


class World:
    """Starts processes, notes what happens in a file, and ends the processes again."""

    def __init__(self, folder, record_path):
        self.folder = folder
        self.record = open(record_path, "a", encoding="utf-8", buffering=1)
        self.started_s = time.monotonic()
        self.processes = []
        self.is_closing = False
        self.store = free_address()

    def note(self, event, **fields):
        row = {"t_s": round(time.monotonic() - self.started_s, 3), "event": event, **fields}
        self.record.write(json.dumps(row) + "\n")

    def start_process(self, command, name, environment=None):
        import subprocess

        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.processes.append(process)
        return process

    def start_standin(self, *arguments, name):
        command = [sys.executable, str(pathlib.Path(__file__).resolve()), *arguments]
        return self.start_process(command, name)

    async def start_store(self):
        self.start_standin("store", text_of(self.store), name="store")
        await wait_until_open(self.store)

    async def start_worker(self, worker_id, service, work_ms=20, events=0):
        address = free_address()
        arguments = (text_of(address), text_of(self.store), worker_id, service)
        runs = str(self.folder / "runs.txt")
        rest = (runs, str(work_ms), str(events))
        process = self.start_standin("worker", *arguments, *rest, name=worker_id)
        await wait_until_open(address)
        return process

    def runs(self):
        path = self.folder / "runs.txt"
        lines = path.read_text("utf-8").splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def print_logs(self):
        """Print the end of each process's log to standard error."""
        for path in sorted(self.folder.glob("*.log")):
            print(f"== {path.name}", path.read_text("utf-8")[-2000:], sep="\n", file=sys.stderr)

    def close(self):
        self.is_closing = True
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record.close()


async def wait_until_open(address, limit_s=10.0):
    ends_s = time.monotonic() + limit_s
    while time.monotonic() < ends_s:
        try:
            _, writer = await asyncio.open_connection(*address)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.05)
    raise RuntimeError(f"{text_of(address)}: expected a listener")


async def wait_until(condition, limit_s):
    """Return whether an async condition comes true in time."""
    ends_s = time.monotonic() + limit_s
    while time.monotonic() < ends_s:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


async def _run_store(address):
    server = await asyncio.start_server(Store().serve, *address, limit=8_388_608)
    async with server:
        await server.serve_forever()


async def _run_worker(address, store, worker_id, service, runs_path, work_ms, events):
    work_s = int(work_ms) / 1000
    worker = Worker(address, store, worker_id, service, runs_path, work_s, int(events))
    server = await asyncio.start_server(worker.serve, *address, limit=8_388_608)
    await worker.register()
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    _role, _address, *_rest = sys.argv[1:]
    if _role == "store":
        asyncio.run(_run_store(parse_address(_address)))
    else:
        asyncio.run(_run_worker(parse_address(_address), parse_address(_rest[0]), *_rest[1:]))
