"""How the cost of real processes grows with what they know and carry."""

import functools
import hashlib
from collections.abc import Awaitable, Callable

import anyio
import attrs

from beryljunction.bench.slopes.fit import Point, Slope, fit
from beryljunction.bench.slopes.load import LoadCount, open_streams, paced_calls
from beryljunction.bench.slopes.rig import Node, Rig, free_address, open_rig
from beryljunction.errors import InvariantError
from beryljunction.local.demo_view import demo_view
from beryljunction.local.files import StandInEndpoint
from beryljunction.platform import HostRow
from beryljunction.settings import AccountSettings

__all__ = ["GROWTHS", "Window"]

_ENDPOINTS = 3
_LONG_TOKENS = 100_000
_SHORT_TOKENS = 400
_US = 1e6


@attrs.frozen
class Window:
    """How long each point is measured; short windows are for a first look only."""

    settle_s: float = 2.0
    measure_s: float = 6.0


@attrs.frozen
class _Spent:
    cpu_us_per_s: float
    resident_bytes: float
    control_bytes_per_s: float
    frames_per_s: float


async def _spent(
    rig: Rig, nodes: list[Node], window: Window, count: LoadCount | None = None
) -> list[_Spent]:
    """Return what each node spends over the window, and how many frames came in it."""
    count = count if count is not None else LoadCount()
    await anyio.sleep(window.settle_s)
    frames_before = count.frames
    bytes_before = [await rig.control_bytes(node) for node in nodes]
    before = [node.usage for node in nodes]
    started_s = anyio.current_time()
    await anyio.sleep(window.measure_s)
    elapsed_s = anyio.current_time() - started_s
    frames_per_s = (count.frames - frames_before) / elapsed_s
    after = [node.usage for node in nodes]
    bytes_after = [await rig.control_bytes(node) for node in nodes]
    return [
        _Spent(
            (now.cpu_s - then.cpu_s) * _US / elapsed_s,
            now.resident_bytes,
            (bytes_now - bytes_then) / elapsed_s,
            frames_per_s,
        )
        for then, now, bytes_then, bytes_now in zip(
            before, after, bytes_before, bytes_after, strict=True
        )
    ]


async def endpoints_known(window: Window) -> list[Slope]:
    """An idle entry against the endpoints on the host list."""
    memory, cpu, control = [], [], []
    for count in (100, 400, 700, 1_400):
        async with open_rig(demo_view()) as rig:
            await rig.start_standins([_listed(number) for number in range(count)])
            (spent,) = await _spent(rig, [await rig.start_entry()], window)
        memory.append(Point(count, spent.resident_bytes))
        cpu.append(Point(count, spent.cpu_us_per_s))
        control.append(Point(count, spent.control_bytes_per_s))
    return [
        fit("endpoints known", "entry", "resident_bytes", memory),
        fit("endpoints known", "entry", "idle_cpu_us_per_s", cpu),
        fit("endpoints known", "entry", "control_bytes_per_s", control),
    ]


async def accounts_known(window: Window) -> list[Slope]:
    """An idle entry against the client accounts in the settings."""
    memory = []
    for count in (50, 350, 700, 1_400):
        accounts = {
            f"account-{i}": AccountSettings(hashlib.sha256(b"%d" % i).hexdigest(), 1.0)
            for i in range(count)
        }
        async with open_rig(attrs.evolve(demo_view(), accounts=accounts)) as rig:
            await rig.start_standins([])
            (spent,) = await _spent(rig, [await rig.start_entry()], window)
        memory.append(Point(count, spent.resident_bytes))
    return [fit("client accounts", "entry", "resident_bytes", memory)]


async def sidecars_of_a_service(window: Window) -> list[Slope]:
    """Idle sidecars that exchange load rows, against their number."""
    memory, cpu, control = [], [], []
    for count in (4, 8, 16, 32):
        async with open_rig(demo_view()) as rig:
            nodes = [
                await rig.start_sidecar(f"drafter-{i}", "drafter", "127.0.0.1:1")
                for i in range(count)
            ]
            await rig.start_standins([node.row for node in nodes])
            spent = await _spent(rig, nodes, window)
        memory.append(Point(count, max(one.resident_bytes for one in spent)))
        cpu.append(Point(count, sum(one.cpu_us_per_s for one in spent) / count))
        control.append(Point(count, max(one.control_bytes_per_s for one in spent)))
    return [
        fit("sidecars of the service", "sidecar", "resident_bytes", memory),
        fit("sidecars of the service", "sidecar", "idle_cpu_us_per_s", cpu),
        fit("sidecars of the service", "sidecar", "control_bytes_per_s", control),
    ]


async def requests_a_second(window: Window) -> list[Slope]:
    """Processor time against whole requests; idempotent and not."""
    slopes = []
    for method, subject in (("GET", "idempotent requests/s"), ("POST", "ticketed requests/s")):
        entry_points, sidecar_points = [], []
        async with open_rig(demo_view()) as rig:
            entry, sidecars = await _serving(rig)
            for rate_per_s in (10.0, 20.0, 40.0, 80.0):
                count = LoadCount()
                load = functools.partial(paced_calls, rig, entry, method, rate_per_s, count)
                spent = await _under_load(rig, [entry, *sidecars], window, load, count)
                entry_points.append(Point(rate_per_s, spent[0].cpu_us_per_s))
                sidecar_points.append(Point(rate_per_s, _sum_cpu(spent[1:])))
        slopes += [
            fit(subject, "entry", "cpu_us_per_s", entry_points),
            fit(subject, "sidecar", "cpu_us_per_s", sidecar_points),
        ]
    return slopes


async def frames_a_second(window: Window) -> list[Slope]:
    """Processor time against relayed frames."""
    entry_points, sidecar_points = [], []
    async with open_rig(demo_view()) as rig:
        entry, sidecars = await _serving(rig)
        for streams in (4, 8, 16, 32):
            count = LoadCount()
            load = functools.partial(open_streams, rig, entry, streams, _SHORT_TOKENS, count)
            spent = await _under_load(rig, [entry, *sidecars], window, load, count)
            entry_points.append(Point(spent[0].frames_per_s, spent[0].cpu_us_per_s))
            sidecar_points.append(Point(spent[0].frames_per_s, _sum_cpu(spent[1:])))
    return [
        fit("frames/s", "entry", "cpu_us_per_s", entry_points),
        fit("frames/s", "sidecar", "cpu_us_per_s", sidecar_points),
    ]


async def streams_open(window: Window) -> list[Slope]:
    """Resident memory against open streams."""
    entry_points, sidecar_points = [], []
    for streams in (8, 24, 48, 72):
        async with open_rig(demo_view()) as rig:
            entry, sidecars = await _serving(rig)
            count = LoadCount()
            load = functools.partial(open_streams, rig, entry, streams, _LONG_TOKENS, count)
            spent = await _under_load(rig, [entry, *sidecars[:_ENDPOINTS]], window, load, count)
        entry_points.append(Point(streams, spent[0].resident_bytes))
        mean = sum(one.resident_bytes for one in spent[1:]) / _ENDPOINTS
        sidecar_points.append(Point(streams / _ENDPOINTS, mean))
    return [
        fit("open streams", "entry", "resident_bytes", entry_points),
        fit("open streams", "sidecar", "resident_bytes", sidecar_points),
    ]


GROWTHS: tuple[Callable[[Window], Awaitable[list[Slope]]], ...] = (
    endpoints_known,
    accounts_known,
    sidecars_of_a_service,
    requests_a_second,
    frames_a_second,
    streams_open,
)


async def _serving(rig: Rig) -> tuple[Node, list[Node]]:
    """Start an entry, sidecars of a model service and of a plain one, and their stand-ins."""
    standins = [StandInEndpoint("engine", free_address()) for _ in range(_ENDPOINTS)]
    standins += [StandInEndpoint("plain", free_address()) for _ in range(_ENDPOINTS)]
    sidecars = []
    for number, standin in enumerate(standins):
        service = "drafter" if standin.kind == "engine" else "ledger"
        name = f"{service}-{number}"
        sidecars.append(await rig.start_sidecar(name, service, standin.listen))
    await rig.start_standins([node.row for node in sidecars], standins)
    entry = await rig.start_entry()
    return entry, sidecars


async def _under_load(
    rig: Rig,
    nodes: list[Node],
    window: Window,
    load: Callable[[], Awaitable[None]],
    count: LoadCount,
) -> list[_Spent]:
    async with anyio.create_task_group() as group:
        group.start_soon(load)
        spent = await _spent(rig, nodes, window, count)
        group.cancel_scope.cancel()
    if count.failed or not (count.answers or count.frames):
        raise InvariantError(f"expected a load that is served, got {count}")
    return spent


def _sum_cpu(spent: list[_Spent]) -> float:
    return sum(one.cpu_us_per_s for one in spent)


def _listed(number: int) -> HostRow:
    return HostRow(
        host=f"host-{number}",
        endpoint_id=f"service-{number % 17}-{number}",
        service=f"service-{number % 17}",
        availability_zone=f"zone-{number % 10}",
        region="region-0",
        address=f"127.0.1.{number % 250}:9",
        incarnation=f"{number:016x}",
    )
