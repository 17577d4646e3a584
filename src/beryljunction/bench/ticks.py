"""The command `beryl-bench tick`: what one tick of a sidecar's decisions costs."""

import json as json_codec
import random
import statistics
import time

import attrs

from beryljunction.loads import LoadRow
from beryljunction.systems import (
    AdmissionController,
    AdmissionLimits,
    AdmissionStarted,
    ChatDirectory,
    LoadTracker,
)
from beryljunction.tables import SidecarRequest

__all__ = ["TickCosts", "measure_ticks", "tick"]

_ENDPOINTS = 41
_WAITING = 1_000
_ACCOUNTS = 50
_TICKS = 600
_CHATS = (0, 12_600, 25_000, 50_000)
_LIMITS = AdmissionLimits(
    max_running=128, max_waiting=5_000, max_waiting_per_account=5_000, quantum_tokens=4_096
)


@attrs.frozen
class TickCosts:
    """Cost of a tick in which one request ends, one starts and all peers' rows are new.

    Attributes:
        tick_us: Median at 41 endpoints, 1,000 waiting requests and 50,000 chats.
        tick_us_p95: The 95th percentile of the same.
        slope_us_per_1000_chats: Growth of the median with the chats known, by least squares.
    """

    tick_us: float
    tick_us_p95: float
    slope_us_per_1000_chats: float


def measure_ticks() -> TickCosts:
    """Measure ticks at several numbers of chats."""
    runs = [_tick_us(chats) for chats in _CHATS]
    medians = [statistics.median(run) for run in runs]
    slope = statistics.linear_regression([chats / 1_000 for chats in _CHATS], medians).slope
    p95 = statistics.quantiles(runs[-1], n=20)[-1]
    return TickCosts(round(medians[-1], 1), round(p95, 1), round(slope, 4))


def tick(*, json: bool = False) -> int:
    """Measure a tick of a sidecar's decisions at the target's size.

    :param json: Print one JSON object instead of a table.
    """
    costs = measure_ticks()
    if json:
        print(json_codec.dumps(attrs.asdict(costs)))
        return 0
    for name, value in attrs.asdict(costs).items():
        print(f"{name:28}{value:10}")
    return 0


def _tick_us(chats: int) -> list[float]:
    admission = AdmissionController(_LIMITS, LoadTracker("e0", "a"), ChatDirectory("e0"))
    for chat in range(chats):
        admission.pointers.record_location(chat, "e0", 1_000, 0.0)
    rng = random.Random(1)
    for i in range(_WAITING):
        admission.offer(_work(i, 0.0, rng), 0.0)
    running = [d.request_id for d in admission.tick(0.0) if isinstance(d, AdmissionStarted)]
    costs = []
    for i in range(_TICKS):
        now_s = 1.0 + 0.05 * i
        rows = [LoadRow(f"e{j}", "a", i, 100, 10, 30_000, 30.0) for j in range(1, _ENDPOINTS)]
        admission.load.merge(rows, now_s)
        admission.finish(running.pop(0))
        began_s = time.perf_counter()
        decisions = admission.tick(now_s)
        costs.append((time.perf_counter() - began_s) * 1e6)
        running += [d.request_id for d in decisions if isinstance(d, AdmissionStarted)]
        admission.offer(_work(_WAITING + i, now_s, rng), now_s)
    return costs


def _work(number: int, now_s: float, rng: random.Random) -> SidecarRequest:
    return SidecarRequest(
        request_id=f"r{number}",
        account=f"account-{number % _ACCOUNTS}",
        arrived_s=now_s,
        deadline_s=now_s + 1e6,
        prompt_tokens=2_000,
        output_tokens=rng.randint(50, 800),
        last_resort=True,
    )
