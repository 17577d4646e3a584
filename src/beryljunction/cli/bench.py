"""beryl-bench: measures the load balancing policy, the relays and what they cost."""

import json as jsonlib
import pathlib
import statistics
import sys
from collections.abc import Callable

import anyio
import attrs
import defopt

from beryljunction.bench import ablation as ablation_bench
from beryljunction.bench.control import measure_control
from beryljunction.bench.handover import HandoverLoad, measure_handover
from beryljunction.bench.policy import policy
from beryljunction.bench.regression import changes, read_scores
from beryljunction.bench.relay import RelayLoad, measure_relay
from beryljunction.bench.report import report
from beryljunction.bench.settings_cost import (
    RaceShares,
    measure_races,
    measure_settings_cost,
)
from beryljunction.bench.slopes import (
    SIZES,
    estimate,
    markdown,
    measure_slopes,
    print_slopes,
)
from beryljunction.bench.ticks import tick
from beryljunction.errors import BerylError

__all__ = ["main"]

_JOURNAL_DIR = pathlib.Path("journal")


def relay(
    *, streams: int = 60, frame_ms: float = 20.0, duration_s: float = 8.0, json: bool = False
) -> int:
    """Measure the CPU time of relaying a streamed frame, compared with a bare one-hop relay.

    :param streams: Open streams on each relay.
    :param frame_ms: Milliseconds between two frames of a stream.
    :param duration_s: Seconds over which CPU time is measured.
    :param json: Print one JSON object instead of a table.
    """
    figures = anyio.run(measure_relay, RelayLoad(streams, frame_ms / 1000, duration_s))
    if json:
        print(figures.to_json())
        return 0
    print(f"entry and sidecar  {figures.relay_cpu_us_per_frame:8.1f} us a frame")
    print(f"bare relay         {figures.bare_cpu_us_per_frame:8.1f} us a frame")
    print(f"ratio              {figures.ratio:8.2f}")
    print(f"resident memory    {figures.entry_rss_mb:.0f} MB entry, ", end="")
    print(f"{figures.sidecar_rss_mb:.0f} MB sidecar")
    return 0


def settings(*, seed: int = 1, json: bool = False) -> int:
    """Measure how often concurrent changes conflict and the bytes a node reads to follow settings.

    :param seed: Seed of the simulated operators.
    :param json: Print one JSON object instead of a table.
    """
    day = [measure_races(2_100, 86_400.0, think_s, seed) for think_s in (0.3, 30.0, 300.0)]
    bursts = [measure_races(10, 0.0, 30.0, seed + i) for i in range(200)]
    burst = RaceShares(
        10,
        30.0,
        statistics.fmean(b.per_path_refused_ratio for b in bursts),
        statistics.fmean(b.whole_tree_refused_ratio for b in bursts),
    )
    cost = anyio.run(measure_settings_cost)
    if json:
        races = [attrs.asdict(shares) for shares in (*day, burst)]
        print(jsonlib.dumps({"races": races, **attrs.asdict(cost)}))
        return 0
    print("changes  read to append  refused: base for each path  one base for the tree")
    for shares in (*day, burst):
        print(f"{shares.changes:7}  {shares.think_s:12.1f} s", end="  ")
        print(f"{shares.per_path_refused_ratio:27.4f}", end="  ")
        print(f"{shares.whole_tree_refused_ratio:21.4f}")
    print(f"following the settings: {cost.control_bytes_per_s:.0f} B/s a node", end="; ")
    print(
        f"{cost.idle_poll_bytes:.0f} B an idle read, {cost.record_bytes:.0f} B a change", end=", "
    )
    print(f"{cost.snapshot_bytes} B a snapshot")
    return 0


def control(*, json: bool = False) -> int:
    """Simulate the control traffic of a node in fleets of 5, 13, 100 and 1,050 nodes.

    :param json: Print one JSON object instead of a table.
    """
    rows = [attrs.asdict(figures) for figures in measure_control()]
    if json:
        print(jsonlib.dumps({"sizes": rows}))
        return 0
    for name in rows[0]:
        print(f"{name:30}" + "".join(f"{row[name]:>10,.0f}" for row in rows))
    return 0


def slopes(*, quick: bool = False, only: str = "", json: bool = False) -> int:
    """Measure how state, control traffic, CPU and memory grow, with real processes on loopback.

    :param quick: Measure for under a minute, several fleets at a time. CPU times may be off by a
        factor of three, and the memory of a sidecar's streams comes out too low.
    :param only: Measure only subjects that contain this text, such as "frames" or "accounts".
    :param json: Print one JSON object instead of a table.
    """
    print_slopes(measure_slopes(quick, only), json)
    return 0


def capacity(*, quick: bool = False) -> int:
    """Measure growth and estimate what each role costs at the current and the target fleet sizes.

    :param quick: Measure for less time, several fleets at a time; CPU times are then inaccurate.
    """
    slopes = measure_slopes(quick)
    print_slopes(slopes, as_json=False)
    print(markdown([one for size in SIZES for one in estimate(size, slopes)]))
    return 0


def handover(*, chats: int = 90, seed: int = 1, json: bool = False) -> int:
    """Measure returning chats after an endpoint shuts down, without and with prefix handover.

    :param chats: Number of chats on three endpoints, one of which shuts down.
    :param seed: Seed of the times at which the chats return.
    :param json: Print one JSON object for each of the two cases.
    """
    rows = [f.to_dict() for f in anyio.run(measure_handover, HandoverLoad(chats, seed=seed))]
    if json:
        print("\n".join(jsonlib.dumps(row) for row in rows))
        return 0
    for key in rows[0]:
        print(f"{key:20}" + "".join(f"{row[key]!s:>10}" for row in rows))
    return 0


def ablation(*, journal: pathlib.Path = _JOURNAL_DIR, plot: pathlib.Path | None = None) -> int:
    """Print the effect of each mechanism, from journal entries of runs with it switched off.

    :param journal: Directory of journal entries.
    :param plot: File for a plot of the differences; needs the extra "plots".
    """
    rows = ablation_bench.compare(ablation_bench.read_plays(journal))
    if not rows:
        print(f"{journal}: expected plays with a mechanism off and with all on, got none; see")
        print("docs/ablation.md for how to record them")
        return 1
    print(ablation_bench.markdown(rows))
    if plot is not None:
        ablation_bench.plot(rows, plot)
    return 0


def regression(*, journal: pathlib.Path = _JOURNAL_DIR) -> int:
    """Compare the newest score of each deployment with the previous one; exit 1 if one is worse.

    :param journal: Directory of journal entries.
    """
    found = changes(read_scores(journal))
    print(f"{'deployment':24} {'before':>7} {'now':>7}  rules broken")
    for row in found:
        before = "-" if row.old is None else f"{row.old.trouble_mean:.3f}"
        broken = ", ".join(row.new.broken) or "none"
        mark = "  LOST" if row.has_lost else ""
        print(f"{row.new.site:24} {before:>7} {row.new.trouble_mean:7.3f}  {broken}{mark}")
    return int(any(row.has_lost for row in found))


# Each measurement is implemented in a module of beryljunction.bench.
_BENCHES: list[Callable[..., int]] = [
    ablation,
    handover,
    control,
    policy,
    regression,
    relay,
    report,
    settings,
    slopes,
    capacity,
    tick,
]


def main() -> None:
    """Run the command line."""
    try:
        sys.exit(defopt.run(_BENCHES))
    except BerylError as error:
        sys.exit(str(error))
