"""Bytes of the real control messages, counted on connections between real clients and servers."""

import random

import anyio
import attrs
import httpcore

from beryljunction.bench.settings_cost import measure_settings_cost
from beryljunction.fleet_process.control_middleware import ControlMiddleware
from beryljunction.fleet_process.traffic import CountingBackend
from beryljunction.loads import LoadRow
from beryljunction.servers import (
    Asgi,
    Receive,
    Scope,
    Send,
    Server,
    bind_listener,
    create_client_pool,
    send_response,
)
from beryljunction.settings import (
    CHANGES_STREAM,
    SETTINGS_PATH,
    HttpPeers,
    SettingsState,
    serve_settings,
)
from beryljunction.sidecar.load_exchange import LoadExchange
from beryljunction.standins import HostListStandIn, LogStandIn
from beryljunction.stores import HostRow, HttpHostList, HttpLogClient
from beryljunction.systems import LoadTracker
from beryljunction.wire import PEERS_PATH, encode_load_rows

__all__ = ["MessageBytes", "busy_row", "measure_messages"]

_KEY = "0" * 32
_REPEATS = 10
_VERSION = 100_000
_HOSTS_WAIT_S = 0.05


@attrs.frozen
class MessageBytes:
    """Bytes of one exchange each, both ways together.

    Attributes:
        log_idle: Read of the log that finds nothing.
        log_refused: Read of a log that is down and says so.
        log_record: One change of settings, on top of a read.
        snapshot: The settings' tree at the target's size.
        hosts_idle: Poll of the host list that finds nothing.
        hosts_row: One changed row, on top of a poll.
        load_head: Message of load rows without the rows.
        meeting: Meeting of two nodes that have the same settings.
    """

    log_idle: float
    log_refused: float
    log_record: float
    snapshot: float
    hosts_idle: float
    hosts_row: float
    load_head: float
    meeting: float


async def measure_messages() -> MessageBytes:
    """Exchange each kind of message over loopback."""
    settings = await measure_settings_cost()
    hosts_idle, hosts_row = await _host_list()
    return MessageBytes(
        log_idle=settings.idle_poll_bytes,
        log_refused=await _log_refused(),
        log_record=settings.record_bytes,
        snapshot=settings.snapshot_bytes,
        hosts_idle=hosts_idle,
        hosts_row=hosts_row,
        load_head=await _load_head(),
        meeting=await _meeting(),
    )


def busy_row(number: int) -> LoadRow:
    """Return a row as long as those of a busy fleet after a day."""
    return LoadRow(f"reel-llm-{number}", "0a1b2c3d4e5f", 86_400 + number, 17, 3, 123_456, 31.4)


class _Counted:
    """A client whose bytes are counted, with a server to ask."""

    def __init__(self, app: Asgi) -> None:
        self.total_bytes = 0
        self.server = Server(app, bind_listener("127.0.0.1:0"))
        self.pool: httpcore.AsyncConnectionPool = create_client_pool(
            None, CountingBackend(self._count)
        )
        self._group = anyio.create_task_group()

    async def __aenter__(self) -> "_Counted":
        await self._group.__aenter__()
        await self._group.start(self.server.serve_until_stopped)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.pool.aclose()
        self.server.stop()
        await self._group.__aexit__(None, None, None)

    def _count(self, sent_bytes: int, received_bytes: int) -> None:
        self.total_bytes += sent_bytes + received_bytes


async def _log_refused() -> float:
    log = LogStandIn()
    log.model.down = True
    async with _Counted(log) as counted:
        client = HttpLogClient(f"http://{counted.server.address}", counted.pool)
        for _ in range(_REPEATS):
            await client.read(CHANGES_STREAM, _VERSION)
        return counted.total_bytes / _REPEATS


async def _host_list() -> tuple[float, float]:
    listed = HostListStandIn()
    async with _Counted(listed) as counted:
        hosts = HttpHostList(counted.pool, f"http://{counted.server.address}")
        for _ in range(_REPEATS):
            await hosts.fetch_changes(0, _HOSTS_WAIT_S)
        idle_bytes = counted.total_bytes / _REPEATS
        counted.total_bytes = 0
        for version in range(_REPEATS):
            listed.put(_host_row(version))
            await hosts.fetch_changes(version, _HOSTS_WAIT_S)
        return idle_bytes, counted.total_bytes / _REPEATS - idle_bytes


async def _load_head() -> float:
    load = LoadTracker("reel-llm-1", "0a1b2c3d4e5f", rng=random.Random(1))
    other = LoadExchange(
        LoadTracker("reel-llm-2", "0a1b2c3d4e5f"), create_client_pool(), _KEY, _version, _ignore
    )
    async with _Counted(_front(PEERS_PATH, other)) as counted:
        exchange = LoadExchange(load, counted.pool, _KEY, _version, _ignore)
        exchange.set_peers({"reel-llm-2": counted.server.address})
        await exchange.send_to("reel-llm-2")
        return counted.total_bytes - len(encode_load_rows([load.own_row()]))


async def _meeting() -> float:
    state = SettingsState("")

    async def answer(scope: Scope, receive: Receive, send: Send) -> None:
        await serve_settings(state, state.apply_snapshot, scope, receive, send)

    async with _Counted(_front(SETTINGS_PATH, answer)) as counted:
        peers = HttpPeers(lambda: [counted.server.address], state, counted.pool, _KEY)
        for _ in range(_REPEATS):
            await peers.exchange(_VERSION)
        return counted.total_bytes / _REPEATS


def _front(path: str, app: Asgi) -> ControlMiddleware:
    return ControlMiddleware(_nothing_else, _KEY, {path: app}, lambda: None, lambda *_: None)


async def _nothing_else(scope: Scope, receive: Receive, send: Send) -> None:
    await send_response(send, 404, b"")


def _version() -> int:
    return _VERSION


def _ignore(endpoint_id: str, version: int) -> None:
    """Peers here have the same version."""


def _host_row(number: int) -> HostRow:
    return HostRow(
        host=f"host-{number}",
        endpoint_id=f"reel-llm-{number}",
        service="reel-llm",
        availability_zone="saskatoon",
        region="prairies",
        address=f"10.20.30.{number}:9443",
        incarnation=f"{number:012x}",
        operator_address=f"10.20.30.{number}:9444",
    )
