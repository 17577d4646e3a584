"""Helpers for tests with real entries and sidecars: a scripted engine and a stalling TCP relay."""

import contextlib
import hashlib
import json

import anyio
import attrs

from beryljunction.entry import EntryApp
from beryljunction.servers import (
    Server,
    bind_listener,
    create_client_pool,
    read_body,
    send_response,
)
from beryljunction.settings import (
    AccountSettings,
    EntryFile,
    LimitSettings,
    ProcessSettings,
    ResolvedSettings,
    ServiceSettings,
    SidecarFile,
)
from beryljunction.sidecar import SidecarApp
from beryljunction.standins import LogModel, LogStandIn
from beryljunction.tables import Endpoint, EndpointTable
from beryljunction.wire import ENVELOPE_HEADER, FLEET_KEY_HEADER, RUN_PATH, Envelope, encode

KEY = "caller-key"
OTHER_KEY = "other-key"
FLEET_KEY = "fleet-key"
FREE_PORT = "127.0.0.1:0"
AUTH = ("authorization", f"Bearer {KEY}")
PROCESS = ProcessSettings("host", "gj-west", "ahd-a", FREE_PORT, FREE_PORT, FLEET_KEY, "", "")


def view_with(*, limits: LimitSettings | None = None, **service) -> ResolvedSettings:
    """Return settings with short timeouts; keyword arguments change both services."""
    times = {"heartbeat_s": 0.1, "silence_s": 0.6, "engine_silence_s": 0.6, "resume_s": 5.0}
    times |= service
    return ResolvedSettings(
        services={
            "drafter": ServiceSettings(models=("drafter",), **times),
            "ledger": ServiceSettings(kind="plain", **{"idempotent": False, **times}),
        },
        accounts={
            "jury": AccountSettings(hashlib.sha256(KEY.encode()).hexdigest()),
            "other": AccountSettings(hashlib.sha256(OTHER_KEY.encode()).hexdigest()),
        },
        limits=limits or LimitSettings(),
    )


@attrs.define
class ScriptedEngine:
    """An engine that pauses, disconnects or hangs before a given word."""

    words: int = 5
    hold_at: int | None = None
    silent_at: int | None = None
    break_at: int | None = None
    resumes: bool = True
    status: int = 200
    pad: str = ""
    runs: list = attrs.field(factory=list)
    calls: list = attrs.field(factory=list)
    cancelled: list = attrs.field(factory=list)
    release: anyio.Event = attrs.field(factory=anyio.Event)

    async def __call__(self, scope, receive, send):
        body = await read_body(receive, 1_000_000)
        path = scope["path"]
        self.calls.append((scope["method"], path, dict(scope["headers"]), body))
        if path == "/v1/cancel":
            self.cancelled.append(json.loads(body)["request_id"])
            await send_response(send, 200, b"{}")
        elif path.startswith("/v1/streams/"):
            after = int(scope["query_string"].removeprefix(b"after="))
            known = self.resumes and path.removeprefix("/v1/streams/") in self.runs
            await (self._stream(send, after) if known else send_response(send, 404, b"{}"))
        else:
            self.runs.append(dict(scope["headers"])[b"x-request-id"].decode())
            await self._answer(json.loads(body) if body[:1] == b"{" else {}, send)

    async def _answer(self, data, send):
        if data.get("stream"):
            await self._stream(send, 0)
            return
        if self.hold_at is not None:
            await self.release.wait()
        await send_response(send, self.status, b'{"whole": true}', [(b"x-own", b"kept")])

    async def _stream(self, send, after):
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for i in range(after, self.words):
            if i == self.hold_at:
                await self.release.wait()
            if i == self.break_at:
                self.break_at = None
                return
            if i == self.silent_at:
                self.silent_at = None
                await anyio.sleep_forever()
            data = b"data: word%d%s\n\n" % (i, self.pad.encode())
            await send({"type": "http.response.body", "body": data, "more_body": True})
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})

    def answer(self) -> list[bytes]:
        """Return the data of all events of the answer."""
        return [b"word%d%s" % (i, self.pad.encode()) for i in range(self.words)] + [b"[DONE]"]


class BlackHole:
    """A TCP relay that can stall its open connections, while new ones work."""

    def __init__(self, target: str) -> None:
        self._target = target.rpartition(":")[::2]
        self._frozen: list[anyio.Event] = []
        self.connections = 0

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        host, port = listener.extra(anyio.abc.SocketAttribute.local_address)[:2]
        task_status.started(f"{host}:{port}")
        await listener.serve(self._serve)

    def freeze(self) -> None:
        """Stop passing bytes on the connections that are open now."""
        for frozen in self._frozen:
            frozen.set()

    async def _serve(self, client):
        frozen = anyio.Event()
        self._frozen.append(frozen)
        self.connections += 1
        async with (
            client,
            await anyio.connect_tcp(*self._target) as server,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._pump, client, server, frozen)
            await self._pump(server, client, frozen)
            group.cancel_scope.cancel()

    @staticmethod
    async def _pump(source, sink, frozen):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                data = await source.receive()
                if frozen.is_set():
                    await anyio.sleep_forever()
                await sink.send(data)


class Path:
    """Real entries and sidecars on the loopback interface, in one task group."""

    def __init__(self, group, pool, view):
        self.group = group
        self.pool = pool
        self.view = view
        self.endpoints = EndpointTable()
        self.sidecars: list[SidecarApp] = []
        self.addresses: list[str] = []
        self.servers: list[Server] = []
        self.log_address = ""

    async def serve(self, app) -> str:
        server = Server(app, bind_listener(FREE_PORT))
        self.servers.append(server)
        await self.group.start(server.serve_until_stopped)
        return server.address

    async def sidecar(self, endpoint, service="drafter", *, address=None, proxy=False):
        """Start a sidecar for an endpoint, add it to the endpoint table and return its app."""
        back = address or await self.serve(endpoint)
        endpoint_id = f"{service}-{len(self.sidecars)}"
        process = attrs.evolve(PROCESS, log_address=self.log_address)
        app = SidecarApp(SidecarFile(process, endpoint_id, service, f"http://{back}"), self.view)
        await self.group.start(app.run)
        front = await self.serve(app)
        self.sidecars.append(app)
        self.addresses.append(front)
        if proxy:
            self.hole = BlackHole(front)
            front = await self.group.start(self.hole.run)
        row = Endpoint(endpoint_id, service, "ahd-a", front, incarnation=app.incarnation)
        self.endpoints.put(row)
        return app

    async def breaking_endpoint(self) -> str:
        """Start an endpoint that reads a request and disconnects; return its address."""

        async def hang_up(client):
            async with client:
                await client.receive()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        host, port = listener.extra(anyio.abc.SocketAttribute.local_address)[:2]
        self.group.start_soon(listener.serve, hang_up)
        return f"{host}:{port}"

    async def log(self) -> LogModel:
        """Start a log that sidecars started later use."""
        model = LogModel()
        self.log_address = f"http://{await self.serve(LogStandIn(model))}"
        return model

    async def entry(self) -> str:
        """Start an entry and return its base URL."""
        app = EntryApp(EntryFile(PROCESS), self.view, self.endpoints)
        await self.group.start(app.run)
        self.entry_app = app
        return f"http://{await self.serve(app)}"

    def open_run(self, envelope: Envelope, body=b'{"stream": true}'):
        """Open a run at the first sidecar, as an entry does."""
        headers = [(FLEET_KEY_HEADER, FLEET_KEY), (ENVELOPE_HEADER, encode(envelope))]
        url = f"http://{self.addresses[0]}{RUN_PATH}"
        return self.pool.stream("POST", url, headers=headers, content=body)

    async def run(self, envelope: Envelope, body=b'{"stream": true}'):
        """Open a run at the first sidecar and read its whole answer."""
        async with self.open_run(envelope, body) as response:
            await response.aread()
            return response

    async def tell(self, path, message):
        """Send a control message to the first sidecar."""
        url = f"http://{self.addresses[0]}{path}"
        headers = [(FLEET_KEY_HEADER, FLEET_KEY)]
        return await self.pool.request("POST", url, headers=headers, content=encode(message))


@contextlib.asynccontextmanager
async def path_of(view=None):
    """Yield a path without processes; stop everything when the block ends."""
    async with anyio.create_task_group() as group, create_client_pool() as pool:
        with anyio.fail_after(30):
            yield Path(group, pool, view or view_with())
        group.cancel_scope.cancel()


def chat(**fields) -> bytes:
    """Return the body of a chat completion."""
    message = {"role": "user", "content": "hello"}
    return json.dumps({"model": "drafter", "messages": [message], "stream": True} | fields).encode()


def event_data(body: bytes) -> list[bytes]:
    """Return the data of each event."""
    return [line[6:] for line in body.split(b"\n") if line.startswith(b"data: ")]


def error_of(response) -> dict:
    """Return the error object of an answer."""
    return json.loads(response.content)["error"]


async def eventually(condition) -> None:
    """Wait until a condition holds; the time limit of ``path_of`` ends the wait otherwise."""
    while not condition():
        await anyio.sleep(0.01)
