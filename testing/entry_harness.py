"""Test harness: an entry on loopback with a fake store and scripted endpoints."""

import asyncio
import contextlib
import json
import re
import socket
import struct
import time

import anyio

from beryljunction.early_listener import open_listener
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.listener import Listener
from beryljunction.gateway.process import EntryProcess
from beryljunction.platform import DeploymentBounds, HostSettings
from beryljunction.servers import Server, bind_listener
from beryljunction.standins import PlatformStoreStandIn
from endpoint_records import record
from ports import free_ports

__all__ = [
    "AnswerBuilder",
    "CapturedLog",
    "EntryHarness",
    "ScriptedEndpoint",
    "event",
    "open_harness",
    "reset",
    "route",
]

SIGNATURE = "x-server-signature: signed"


class CapturedLog:
    """Collects log lines in place of standard output."""

    def __init__(self):
        self.lines = []
        self.dropped_lines = 0

    def write(self, text):
        self.lines.append(text.strip())

    def flush(self):
        pass

    def of_event(self, name):
        return [line for line in self.lines if f"event={name} " in line + " "]


def route(prefix="/pay/", service="plain", kind="non_idempotent", **fields):
    values = {
        "name": f"r{prefix}",
        "host": "shop.example",
        "path-prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout-ms": 1_500,
        "target-latency-ms": 200,
        "max-attempts": 1,
        "priority": 1,
        "allow-anonymous": False,
        "sticky-sessions": False,
        "resume-streams": False,
    }
    values.update(fields)
    return values


def reset(writer):
    """Reset a connection, where `close` would shut it down in an orderly way."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def event(number):
    return f"id: {number}\ndata: piece{number}\n\n".encode()


class AnswerBuilder:
    """Builds the bytes of an endpoint's answer to a request."""

    def __init__(self, head, request_id):
        self.head = head
        self.request_id = request_id

    def whole(self, status="200 OK", body=b"done", extra=()):
        lines = [f"HTTP/1.1 {status}", f"x-request-id: {self.request_id}", SIGNATURE, *extra]
        lines.append(f"content-length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def declined(self, status="503 Service Unavailable"):
        return self.whole(status, b"", ["x-not-executed: 1"])

    def stream_head(self, chunked=True):
        lines = ["HTTP/1.1 200 OK", f"x-request-id: {self.request_id}", SIGNATURE]
        lines.append("content-type: text/event-stream")
        if chunked:
            lines.append("transfer-encoding: chunked")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    @staticmethod
    def chunk(data):
        return b"%x\r\n%b\r\n" % (len(data), data)


class ScriptedEndpoint:
    """A raw server; `script(answer, writer, number)` handles request `number`, counted from 0."""

    def __init__(self, name, service, script=None):
        self.name = name
        self.service = service
        self.script = script
        self.requests = []
        self.ended = []
        self.port = 0
        self.started_ms = 1

    async def serve(self, reader, writer):
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._answer(reader, writer)
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        while head.startswith("GET /beryljunction/report "):
            writer.write(AnswerBuilder(head, "").whole(body=b'{"born": %d}' % self.started_ms))
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = re.search(r"content-length: (\d+)", head)
        body = await reader.readexactly(int(length[1])) if length else b""
        number = len(self.requests)
        self.requests.append((head, body))
        found = re.search(r"x-request-id: (\S+)", head)
        answer = AnswerBuilder(head, found[1] if found else "")
        watch = asyncio.ensure_future(self._watch(reader, number))
        if self.script is None:
            writer.write(answer.whole())
        else:
            await self.script(answer, writer, number)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()
        watch.cancel()

    async def _watch(self, reader, number):
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.ended.append((number, time.monotonic()))

    def record(self, **fields):
        address = f"127.0.0.1:{self.port}"
        own = {"service": self.service, "address": address, "born": self.started_ms}
        return record(**{**own, **fields})


class EntryHarness:
    """One entry with its store, endpoints, settings and collected log lines."""

    def __init__(self, group, bounds, operator_keys, held):
        self.group = group
        self.ports = free_ports(held)
        self.operator_keys = operator_keys
        self.bounds = bounds
        self.store = PlatformStoreStandIn()
        self.lines = CapturedLog()
        self.version = 0
        self.endpoints = {}
        self.entry = None
        self.host = None

    async def start_store(self):
        server = Server(self.store, bind_listener("127.0.0.1:0"))
        await self.group.start(server.serve_until_stopped)
        self.store_address = ("127.0.0.1", int(server.address.rpartition(":")[2]))

    def configure(self, *routes, tenants=None, **fields):
        self.version += 3
        names = {row["service"] for row in routes}
        services = [
            {"name": name, "connection-limit": 90, **({"engine": {}} if name == "engine" else {})}
            for name in sorted(names)
        ]
        if tenants is None:
            tenants = [{"name": "acme", "api-keys": ["key"]}]
        limits = {
            "max-header-bytes": 4096,
            "max-body-bytes": 100_000,
            "header-timeout-ms": 500,
            "idle-timeout-ms": 3_000,
        }
        config = {"version": self.version, "routes": list(routes), "services": services}
        config.update({"limits": limits, "tenants": tenants, **fields})
        self.put("keyed.op", "config", json.dumps(config).encode())

    def put(self, topic, key, value):
        self.store.model.put(topic, key, value, time.monotonic())

    async def add_endpoint(self, name, service="plain", script=None):
        endpoint = ScriptedEndpoint(name, service, script)
        server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0, backlog=1_024)
        endpoint.server = server
        endpoint.port = server.sockets[0].getsockname()[1]
        self.endpoints[name] = endpoint
        self.put("keyed.servers", name, endpoint.record())
        return endpoint

    async def start_entry(self, early_socket=None, has_peers=False):
        ports = [next(self.ports) for _ in range(4)]
        if early_socket is not None:
            ports[0] = early_socket.getsockname()[1]
        self.host = HostSettings(
            host="entry-1",
            availability_zone="a",
            region="r",
            callers=("127.0.0.1", ports[0]),
            probes=("127.0.0.1", ports[1]),
            store=self.store_address,
            bounds=self.bounds,
            metrics=None if self.operator_keys is None else ("127.0.0.1", ports[2]),
            operator_keys=self.operator_keys or "",
            peers=("127.0.0.1", ports[3]) if has_peers else None,
        )
        self.entry = EntryProcess(
            self.host, EntryEventLog("entry-1", "a", self.lines), early_socket
        )
        self.group.start_soon(self.entry.run)
        await self.wait_until(self.is_ready)

    @staticmethod
    async def serve(handler):
        """Listen on loopback for a connection handler and return the address."""
        sock = open_listener(("127.0.0.1", 0))
        Listener(handler, sock)
        return sock.getsockname()[:2]

    async def is_ready(self):
        with contextlib.suppress(OSError):
            return (await self.send_to(self.host.probes, b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        return False

    @staticmethod
    async def wait_until(check, limit_s=10.0):
        with anyio.fail_after(limit_s):
            while not await check():
                await anyio.sleep(0.02)

    async def wait_for_endpoints(self, count):
        """Wait until the entry knows exactly this many endpoints."""

        async def check():
            return len(self.entry._state.registry) == count

        await self.wait_until(check)

    async def has_evacuated_zones(self):
        """Return whether the entry knows of an evacuated availability zone."""
        return bool(self.entry._state.evacuations.zones)

    async def connect(self):
        return await asyncio.open_connection(*self.host.callers)

    @staticmethod
    def request_bytes(path="/pay/1", body=b"", method="POST", request_id="q1", headers=()):
        lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"X-Request-Id: {request_id}"]
        lines += ["X-Credential: key", "X-Deadline-Ms: 2000", *headers]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def send_request(self, **fields):
        """Send one request on a new connection; return status, head, body and completeness."""
        return await self.send_to(self.host.callers, self.request_bytes(**fields))

    @staticmethod
    async def send_to(address, data):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader):
    """Return status, head, body, and whether the answer is complete by its framing."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, "", b"", False
    status = int(head.split()[1])
    length = re.search(r"content-length: (\d+)", head)
    if length:
        return status, head, await reader.readexactly(int(length[1])), True
    body = b""
    while True:
        try:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return status, head, body, False
        if size == 0:
            return status, head, body, True
        body += data[:-2]


@contextlib.asynccontextmanager
async def open_harness(*routes, bounds=None, start=True, operator_keys=None):
    """Open a harness with a configuration and, unless `start` is false, a ready entry.

    If operator keys are given, even an empty string, the entry also serves the metrics address.
    """
    with contextlib.ExitStack() as held:
        async with anyio.create_task_group() as group:
            harness = EntryHarness(group, bounds or DeploymentBounds(), operator_keys, held)
            await harness.start_store()
            if routes:
                harness.configure(*routes)
            if start:
                await harness.start_entry()
            try:
                yield harness
            finally:
                group.cancel_scope.cancel()
