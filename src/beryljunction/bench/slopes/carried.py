"""How the cost of real processes grows with what they carry."""

import functools
import json

import anyio

from beryljunction.bench.slopes.fit import Point, Slope, fit
from beryljunction.bench.slopes.load import LoadCount, open_streams, paced_calls
from beryljunction.bench.slopes.rig import Node, Rig, free_address, open_rig
from beryljunction.bench.slopes.spending import Window, at_each, spend_under_load, sum_cpu
from beryljunction.local.demo_settings import demo_settings
from beryljunction.local.files import StandInEndpoint

__all__ = ["frames_a_second", "idempotent_requests", "streams_open", "ticketed_requests"]

_ENDPOINTS = 3
_LONG_TOKENS = 100_000
_SHORT_TOKENS = 400
_LOADED_S = 30.0
_POLL_S = 0.2


async def idempotent_requests(window: Window) -> list[Slope]:
    """Processor time against whole requests that may be repeated."""
    return await _requests_a_second("idempotent requests/s", "GET", window)


async def ticketed_requests(window: Window) -> list[Slope]:
    """Processor time against whole requests that run at most once."""
    return await _requests_a_second("ticketed requests/s", "POST", window)


async def _requests_a_second(subject: str, method: str, window: Window) -> list[Slope]:
    entry_points, sidecar_points = [], []
    async with open_rig(demo_settings()) as rig:
        entry, sidecars = await _serving(rig)
        for rate_per_s in (10.0, 20.0, 40.0, 80.0):
            count = LoadCount()
            load = functools.partial(paced_calls, rig, entry, method, rate_per_s, count)
            spent = await spend_under_load(rig, [entry, *sidecars], window, load, count)
            entry_points.append(Point(rate_per_s, spent[0].cpu_us_per_s))
            sidecar_points.append(Point(rate_per_s, sum_cpu(spent[1:])))
    return [
        fit(subject, "entry", "cpu_us_per_s", entry_points),
        fit(subject, "sidecar", "cpu_us_per_s", sidecar_points),
    ]


async def frames_a_second(window: Window) -> list[Slope]:
    """Processor time against relayed frames."""
    entry_points, sidecar_points = [], []
    async with open_rig(demo_settings()) as rig:
        entry, sidecars = await _serving(rig)
        for streams in (4, 8, 16, 32):
            count = LoadCount()
            load = functools.partial(open_streams, rig, entry, streams, _SHORT_TOKENS, count)
            spent = await spend_under_load(rig, [entry, *sidecars], window, load, count)
            entry_points.append(Point(spent[0].frames_per_s, spent[0].cpu_us_per_s))
            sidecar_points.append(Point(spent[0].frames_per_s, sum_cpu(spent[1:])))
    return [
        fit("frames/s", "entry", "cpu_us_per_s", entry_points),
        fit("frames/s", "sidecar", "cpu_us_per_s", sidecar_points),
    ]


async def streams_open(window: Window) -> list[Slope]:
    """Resident memory against open streams."""

    async def measure(streams: int) -> tuple[Point, Point]:
        async with open_rig(demo_settings()) as rig:
            entry, sidecars = await _serving(rig)
            count = LoadCount()
            load = functools.partial(open_streams, rig, entry, streams, _LONG_TOKENS, count)
            spent = await spend_under_load(
                rig, [entry, *sidecars[:_ENDPOINTS]], window, load, count
            )
        mean = sum(one.resident_bytes for one in spent[1:]) / _ENDPOINTS
        return Point(streams, spent[0].resident_bytes), Point(streams / _ENDPOINTS, mean)

    points = await at_each(window, (8, 24, 48, 72), measure)
    return [
        fit("open streams", "entry", "resident_bytes", [entry for entry, _ in points]),
        fit("open streams", "sidecar", "resident_bytes", [sidecar for _, sidecar in points]),
    ]


async def _serving(rig: Rig) -> tuple[Node, list[Node]]:
    """Start an entry, sidecars of a model service and of a plain one, and their stand-ins."""
    standins = [StandInEndpoint("engine", free_address()) for _ in range(_ENDPOINTS)]
    standins += [StandInEndpoint("plain", free_address()) for _ in range(_ENDPOINTS)]
    services = {"engine": "drafter", "plain": "ledger"}
    endpoints = [
        (f"{services[standin.kind]}-{number}", services[standin.kind], standin.listen)
        for number, standin in enumerate(standins)
    ]
    sidecars = await rig.start_sidecars(endpoints)
    await rig.start_standins([node.row for node in sidecars], standins)
    entry = await rig.start_entry()
    for standin in standins[:_ENDPOINTS]:
        await _until_loaded(rig, standin)
    return entry, sidecars


async def _until_loaded(rig: Rig, engine: StandInEndpoint) -> None:
    """Wait until an engine has what the settings ask for.

    While it loads, its sidecar opens no run. At the start of a fleet all engines load, so streams
    that came at once would be refused, and the cost of refusals measured in place of theirs.
    """
    with anyio.fail_after(_LOADED_S):
        while True:
            response = await rig.pool.request("GET", f"http://{engine.listen}/v1/state")
            state = json.loads(response.content)
            if state.get("models") and not state.get("loading"):
                return
            await anyio.sleep(_POLL_S)
