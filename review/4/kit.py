"""Stand-ins for the cases of this review: the platform's store, workers, clients, entry processes.

Everything listens on loopback addresses. Only the standard library is used here; the entries are
started with the command of `deploy/system.toml`, from what its build has placed under `target/`.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "desk.example"
KEY = "key-of-acme"
SIGNATURE = "x-server-signature"
STORE_DELAY_S = 0.004
HEARTBEAT_S = 1.2
REPORT_PATH = "/beryljunction/report"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The figures of the smallest site, as DEPLOY.md shows them.
SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "front"
serves = ["front"]
ip-address = "{ip}"
zone = "a"
region = "r"
internal-port-range = [{peers}, {peers}]
seeds = []
first-start = true
heartbeat-interval-ms = 1200
[zones]
a = "r"
[listen-addresses]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu-share = 0.817
cores = 1
memory-mb = 300
file-descriptors = 4100
link-mbps = 1000.0
[bounds]
seed-lag-s = 3
address-reuse-s = 2
stable-window-ms = 3000
confirm-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-period-s = 8
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
"""


class CannotRun(Exception):
    """Raised when a case can't be played, so that nothing is shown either way."""


class Record:
    """The record of a run: lines with their time, in `record.txt` of the case's folder."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began_s = time.monotonic()
        self.write(f"TROUBLE={int(TROUBLE)}")

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


# HTTP


class Request:
    """A request as a stand-in has read it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = {key: row[0] for key, row in urllib.parse.parse_qs(query).items()}

    @property
    def request_id(self):
        return self.headers.get("x-request-id", "")


async def read_request(reader):
    """Return the next request of a connection; None at its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body)


def answer_head(status, headers, length=None, chunked=False):
    phrase = {200: "OK", 403: "Forbidden", 410: "Gone", 421: "Misdirected Request"}
    lines = [f"HTTP/1.1 {status} {phrase.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"content-length: {length}")
    if chunked:
        lines.append("transfer-encoding: chunked")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def whole_answer(status, headers, body):
    return answer_head(status, headers, len(body)) + body


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


# The platform's store


class Store:
    """The calls of the platform's log that an entry makes, on one partition of each topic."""

    def __init__(self):
        self.topics = {}
        self.era = 0
        self.is_away = False
        self.address = ""
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        """Append the record of a key; None removes the key."""
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + (value or b""))

    def _append(self, topic, content):
        records, newest = self.topics.setdefault(topic, ([], {}))
        key_end = 1 + content[0]
        key, value = content[1:key_end].decode(), content[key_end:]
        if value:
            newest[key] = (len(records), value)
        else:
            newest.pop(key, None)
        records.append(content)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def copy(self):
        return {name: (list(rows), dict(newest)) for name, (rows, newest) in self.topics.items()}

    def restore(self, earlier):
        """Come back from a copy: what was written since is gone, and the era rises by one."""
        self.topics = {name: (list(rows), dict(new)) for name, (rows, new) in earlier.items()}
        self.era += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def go_away(self):
        """Refuse everything with 503 until `is_away` is reset; waiting reads are answered so."""
        self.is_away = True
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(STORE_DELAY_S)
                status, body = await self._answer(request)
                writer.write(whole_answer(status, [("store-era", self.era)], body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # The connection or this case has ended.
        finally:
            writer.close()

    async def _answer(self, request):
        if self.is_away:
            return 503, b"{}"
        topic = request.query.get("topic", "")
        call = request.path.rpartition("/")[2]
        if call == "log-read":
            return await self._read(topic, request.query)
        if call == "log-newest":
            return self._newest(topic, request.query.get("after", ""))
        if call == "log-append":
            return self._append_call(topic, request.body)
        return 404, b"{}"

    async def _read(self, topic, query):
        offset = int(query["from"])
        ends_s = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        era = self.era
        while True:
            if self.is_away:
                return 503, b"{}"
            records, _ = self.topics.setdefault(topic, ([], {}))
            if era != self.era or offset > len(records):
                return 410, b'{"first":0}'
            left_s = ends_s - time.monotonic()
            if offset < len(records) or left_s <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        limit = int(query.get("max-kilobytes", "1024")) * 1024
        data = b""
        for content in itertools.islice(records, offset, None):
            if data and len(data) + len(content) + 4 > limit:
                break
            data += struct.pack(">I", len(content)) + content
        return 200, struct.pack(">QQ", len(records), 0) + data

    def _newest(self, topic, after):
        records, newest = self.topics.setdefault(topic, ([], {}))
        keys = sorted(key for key in newest if key > after)[:500]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys
        ]
        more = bool(keys) and keys[-1] != max(newest)
        page = {"items": items, "has-more": more, "end": len(records)}
        return 200, json.dumps(page).encode()

    def _append_call(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        offset = len(self.topics.setdefault(topic, ([], {}))[0])
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            self._append(topic, body[position + 4 : position + 4 + length])
            position += 4 + length
        end = len(self.topics[topic][0])
        return 200, json.dumps({"offset": offset, "end": end}).encode()


class Operator:
    """Writes configurations, each with a higher version."""

    def __init__(self, store):
        self._store = store
        self._version = 1
        self.written = None

    def write(self, routes, services, keys):
        self._version += 3
        config = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": [{"name": "acme", "api-keys": keys, "priority": 1}],
        }
        self.written = json.dumps(config).encode()
        self.write_again()

    def write_again(self):
        self._store.put("keyed.op", "config", self.written)


def route(prefix, service, kind, **fields):
    values = {
        "name": f"r{prefix}".replace("/", "-"),
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout-ms": 4000,
        "target-latency-ms": 200,
        "priority": 1,
        "max-attempts": 2,
        "allow-anonymous": False,
        "sticky-sessions": False,
        "resume-streams": False,
    }
    values.update(fields)
    return values


def service(name, is_engine=False):
    values = {
        "name": name,
        "health-check-path": "/health",
        "connection-limit": 360,
        "protocol": "h1",
        "tls": False,
    }
    if is_engine:
        values["engine"] = {"slots": 64, "kv-cache-tokens": 314968, "models": [{"name": "m"}]}
    return values


# Workers


class Worker:
    """One worker; `play(request, writer, worker)` writes the answer to a request that it runs."""

    def __init__(self, store, name, service_name, play, record, slots=64):
        self.store, self.name, self.service = store, name, service_name
        self._play, self._record, self._slots = play, record, slots
        self.port = 0
        self.born_ms = 0
        self.sequence = 0
        self.state, self.version = "ready", "v1"
        self.is_leaving = False
        self.runs = []
        self._server = None
        self._writers = set()
        self._heart = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.born_ms, self.sequence = int(time.time() * 1000), 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.write_entry()
        self._heart = asyncio.ensure_future(self._beat())

    async def _beat(self):
        """Write the entry again, as often as the pages say."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.store.is_away:
                self.write_entry()

    def write_entry(self):
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": self.version,
            "slots": self._slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born_ms,
            "sequence-number": self.sequence,
        }
        self.store.put("keyed.servers", self.name, json.dumps(fields).encode())

    def remove_entry(self):
        """Leave without `draining`: the entry goes, and the worker serves on."""
        self._heart.cancel()
        self.store.put("keyed.servers", self.name, None)

    def crash(self):
        """End as a process that crashes: the port is closed and connections are reset."""
        self._record.write(f"worker {self.name} crashes")
        self._heart.cancel()
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def stop(self):
        if self._heart is not None:
            self._heart.cancel()
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._serve_one(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass  # The connection or this case has ended.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, request, writer):
        if request.path == REPORT_PATH:
            body = {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence-number": 0,
                "waiting": 0,
                "running": 0,
                "kv-used": 0,
                "kv-capacity": 314968,
                "handles": 0,
                "born": self.born_ms,
            }
            writer.write(whole_answer(200, [], json.dumps(body).encode()))
            return
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            self._record.write(f"worker {self.name} answers 421 to {request.request_id}")
            writer.write(whole_answer(421, [("x-instance-id", self.name)], b""))
            return
        self.runs.append((time.monotonic(), request))
        self._record.write(f"worker {self.name} runs {request.request_id}")
        await self._play(request, writer, self)
        await writer.drain()

    def headers(self, request):
        """Return the headers of each answer to a request."""
        rows = [
            ("x-request-id", request.request_id),
            (SIGNATURE, f"{self.name}.{len(self.runs)}"),
            ("x-server-load", f"1,0,{self._slots}"),
        ]
        return rows + ([("server-leaving", "1")] if self.is_leaving else [])


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# Clients


class Answer:
    """What a client has read of one answer; `is_complete` as its framing says."""

    def __init__(self, status, headers, body, is_complete):
        self.status, self.headers, self.body = status, headers, body
        self.is_complete = is_complete

    @property
    def request_id(self):
        return self.headers.get("x-request-id", "")


def request_bytes(method, path, request_id, deadline_ms, headers=(), key=KEY, body=b""):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Credential: {key}",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader):
    """Return the next answer of a connection; None if it ends before a head."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    status, body = int(first.split()[1]), b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return Answer(status, headers, body, True)
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return Answer(status, headers, body, True)
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(status, headers, body, False)


async def ask(address, data, limit_s):
    """Send a request on a new connection; return the answer, None without one in this time."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


# Entries


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Entry:
    """An entry, started by the command of the deploy file."""

    def __init__(self, name, ip, store, folder):
        self.name, self.ip = name, ip
        self.front, self.ready, self.metrics, self.peers = (free_port(ip) for _ in range(4))
        self._folder = pathlib.Path(folder)
        self._settings = self._folder / f"{name}.toml"
        text = SETTINGS.format(
            name=name,
            ip=ip,
            peers=self.peers,
            front=self.front,
            ready=self.ready,
            store=store.address,
        )
        self._settings.write_text(text)
        self.log_path = self._folder / f"{name}.log"
        self.process = None

    @property
    def callers(self):
        return self.ip, self.front

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        deps = ROOT / "target" / "deps"
        if not (deps / "beryljunction").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file first")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment.update(
            PYTHONPATH=str(deps),
            PYTHONDONTWRITEBYTECODE="1",
            BERYLJUNCTION_CONFIG=str(self._settings),
        )
        for name, value in role["env"].items():
            value = value.replace("{{listen-addresses.front}}", f"{self.ip}:{self.front}")
            environment[name] = str(self.metrics) if name == "BERYL_METRICS_PORT" else value
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self, limit_s=1.0):
        probe = f"GET /beryljunction/readiness HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode()
        answer = await ask((self.ip, self.ready), probe, limit_s)
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, limit_s=20.0):
        ends_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > ends_s or self.process.poll() is not None:
                raise CannotRun(f"entry {self.name} was not ready in time")
            await asyncio.sleep(0.05)

    def events(self, *names):
        """Return the lines of its log that state one of these events."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if any(f"event={name} " in line + " " for name in names)]

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def run_case(folder, play):
    """Play a case; return its exit status: 1 rule broken, 0 held, 2 it couldn't run.

    `play(record, folder)` is a coroutine that returns whether the rule held.
    """
    record = Record(folder)
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            held = asyncio.run(asyncio.wait_for(play(record, pathlib.Path(temporary)), 110))
    except Exception as error:  # Whatever it is, it shows nothing of the rule.
        record.write(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return 2
    finally:
        record.close()
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1


def event_ids(body):
    """Return the ids of the complete events of a stream, in order."""
    return [int(row) for row in re.findall(rb"^id: (\d+)$", body, re.M)]
