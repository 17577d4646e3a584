"""How the cost of idle processes grows with what they know and are told."""

import functools
import hashlib
import uuid
from collections.abc import Callable

import anyio
import attrs

from beryljunction.bench.slopes.fit import Point, Slope, fit
from beryljunction.bench.slopes.rig import open_rig
from beryljunction.bench.slopes.spending import Spent, Window, at_each, spend, spend_under_load
from beryljunction.errors import InvariantError
from beryljunction.local.demo_settings import demo_settings
from beryljunction.settings import CHANGES_STREAM, AccountSettings
from beryljunction.settings.changes import Change, Edit
from beryljunction.stores import Appended, HostRow, HttpLogClient, LogClient

__all__ = ["accounts_known", "changes_a_second", "endpoints_known", "sidecars_of_a_service"]

_IDLE_UNITS: tuple[tuple[str, Callable[[Spent], float]], ...] = (
    ("resident_bytes", lambda spent: spent.resident_bytes),
    ("idle_cpu_us_per_s", lambda spent: spent.cpu_us_per_s),
    ("control_bytes_per_s", lambda spent: spent.control_bytes_per_s),
)


async def endpoints_known(window: Window) -> list[Slope]:
    """An idle entry against the endpoints on the host list."""

    async def measure(count: int) -> Spent:
        async with open_rig(demo_settings()) as rig:
            await rig.start_standins([_listed(number) for number in range(count)])
            (spent,) = await spend(rig, [await rig.start_entry()], window)
        return spent

    counts = (100, 400, 700, 1_400)
    spent = await at_each(window, counts, measure)
    return _idle_slopes("endpoints known", "entry", counts, spent)


async def accounts_known(window: Window) -> list[Slope]:
    """An idle entry against the client accounts in the settings."""

    async def measure(count: int) -> Point:
        accounts = {
            f"account-{i}": AccountSettings(hashlib.sha256(b"%d" % i).hexdigest(), 1.0)
            for i in range(count)
        }
        async with open_rig(attrs.evolve(demo_settings(), accounts=accounts)) as rig:
            await rig.start_standins([_listed(0)])
            (spent,) = await spend(rig, [await rig.start_entry()], window)
        return Point(count, spent.resident_bytes)

    memory = await at_each(window, (50, 350, 700, 1_400), measure)
    return [fit("client accounts", "entry", "resident_bytes", memory)]


async def sidecars_of_a_service(window: Window) -> list[Slope]:
    """Idle sidecars that exchange load rows, against their number."""

    async def measure(count: int) -> Spent:
        async with open_rig(demo_settings()) as rig:
            endpoints = [(f"drafter-{i}", "drafter", "127.0.0.1:1") for i in range(count)]
            nodes = await rig.start_sidecars(endpoints)
            await rig.start_standins([node.row for node in nodes])
            spent = await spend(rig, nodes, window)
        # Which peer is told is drawn, so in a short window some are told more often than others.
        return Spent(
            sum(one.cpu_us_per_s for one in spent) / count,
            max(one.resident_bytes for one in spent),
            sum(one.control_bytes_per_s for one in spent) / count,
            0.0,
        )

    spent = await at_each(window, window.sidecars, measure)
    return _idle_slopes("sidecars of the service", "sidecar", window.sidecars, spent)


def _idle_slopes(
    subject: str, role: str, counts: tuple[int, ...], spent: list[Spent]
) -> list[Slope]:
    """Fit what a process spends at rest."""
    return [
        fit(
            subject, role, unit, [Point(n, read(one)) for n, one in zip(counts, spent, strict=True)]
        )
        for unit, read in _IDLE_UNITS
    ]


async def changes_a_second(window: Window) -> list[Slope]:
    """Control traffic and processor time of an entry against accepted settings changes."""
    cpu, control = [], []
    async with open_rig(demo_settings()) as rig:
        await rig.start_standins([_listed(0)])
        entry = await rig.start_entry()
        log = HttpLogClient(rig.log_address, rig.pool)
        for rate_per_s in (0.0, 1.0, 2.0, 4.0):
            load = functools.partial(_publish, log, rate_per_s)
            spent = await spend_under_load(rig, [entry], window, load)
            cpu.append(Point(rate_per_s, spent[0].cpu_us_per_s))
            control.append(Point(rate_per_s, spent[0].control_bytes_per_s))
    return [
        fit("settings changes/s", "both", "cpu_us_per_s", cpu),
        fit("settings changes/s", "both", "control_bytes_per_s", control),
    ]


async def _publish(log: LogClient, rate_per_s: float) -> None:
    """Append valid changes at an even rate until cancelled."""
    base = 0
    while rate_per_s:
        edit = Edit("service.drafter.max_running", 32 + base % 32)
        change = Change(uuid.uuid4().hex, base, "bench", (edit,))
        outcome = await log.append(CHANGES_STREAM, change.change_id, change.to_data())
        if not isinstance(outcome, Appended):
            raise InvariantError(f"expected the change to be appended, got {outcome}")
        base = outcome.offset
        await anyio.sleep(1.0 / rate_per_s)


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
