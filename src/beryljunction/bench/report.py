"""The command `beryl-bench report`: all scenarios and policies as tables and a plot."""

import importlib.util
import statistics
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from beryljunction.bench.policy import BASELINES, SCENARIOS, SIZES, Figures, run_policy
from beryljunction.bench.policy.command import check_name
from beryljunction.errors import BerylError, SettingsError

if TYPE_CHECKING:
    from matplotlib.axes import Axes

__all__ = ["report"]

_PLOTTED = {
    "found_warm_ratio": "returning chats\nfound warm",
    "max_over_mean": "highest load\nover the mean",
    "first_token_s_p95": "first token,\np95 (s)",
    "small_account_wait_s_p95": "wait of small\naccounts, p95 (s)",
    "goodput_over_capacity": "goodput over\ncapacity",
}
_Rows = dict[tuple[str, str], dict[str, float]]


def report(directory: Path, *, size: str = "prairie", seeds: int = 1) -> int:
    """Write a Markdown table and an SVG plot of every scenario under every policy.

    :param directory: Where the files go; it is made when it does not exist.
    :param size: Fleet: prairie, sahyog or target.
    :param seeds: Runs of each scenario and policy, with seeds from 1; medians are shown.
    """
    check_name("--size", size, SIZES)
    if seeds < 1:
        raise SettingsError([f"--seeds: expected at least 1, got {seeds}"])
    if importlib.util.find_spec("matplotlib") is None:
        # Said before minutes of runs, not after them.
        raise BerylError("expected matplotlib; install the extra: beryljunction[plots]")
    directory.mkdir(parents=True, exist_ok=True)
    rows: _Rows = {}
    for scenario in SCENARIOS:
        print(f"running {scenario}", file=sys.stderr, flush=True)
        for policy in ("current", *BASELINES):
            runs = [run_policy(scenario, size, policy, 1 + i) for i in range(seeds)]
            rows[scenario, policy] = _median(runs)
    table, plot = directory / f"policy-{size}.md", directory / f"policy-{size}.svg"
    table.write_text(_table(rows, size, seeds, plot.name), "utf-8")
    _plot(rows, plot)
    print(f"wrote {table} and {plot}")
    return 0


def _median(runs: list[Figures]) -> dict[str, float]:
    names = [field.name for field in attrs.fields(Figures)]
    return {name: statistics.median(getattr(run, name) for run in runs) for name in names}


def _table(rows: _Rows, size: str, seeds: int, plot_name: str) -> str:
    """Return one table a figure, a row for each scenario and a column for each policy."""
    policies = list(dict.fromkeys(policy for _, policy in rows))
    runs = "seed 1" if seeds == 1 else f"medians of seeds 1 to {seeds}"
    lines = [
        f"# Policies at the size of {size}: {runs}",
        "",
        f"Made by `beryl-bench report DIRECTORY --size {size} --seeds {seeds}`; what each figure",
        "means stands with `Figures` in `beryljunction.bench.policy`.",
        "",
        f"![The main figures as bars]({plot_name})",
    ]
    for name in [field.name for field in attrs.fields(Figures)]:
        lines += ["", f"## {name}", "", "| scenario | " + " | ".join(policies) + " |"]
        lines.append("| --- |" + " ---: |" * len(policies))
        for scenario in SCENARIOS:
            cells = " | ".join(f"{rows[scenario, policy][name]:g}" for policy in policies)
            lines.append(f"| {scenario} | {cells} |")
    return "\n".join(lines) + "\n"


def _plot(rows: _Rows, path: Path) -> None:
    """Draw a row of axes for each figure, with a group of bars for each scenario."""
    from matplotlib import rc_context
    from matplotlib.figure import Figure

    # Text stays text and ids are the same each time, so that a new run shows what changed.
    with rc_context({"svg.fonttype": "none", "svg.hashsalt": "beryljunction", "font.size": 8}):
        figure = Figure(figsize=(10, 8), layout="constrained")
        every_axes = figure.subplots(len(_PLOTTED), sharex=True)
        for axes, (field, title) in zip(every_axes, _PLOTTED.items(), strict=True):
            _draw_bars(axes, rows, field)
            axes.set_ylabel(title)
        every_axes[-1].set_xticks(range(len(SCENARIOS)), list(SCENARIOS), rotation=20, ha="right")
        handles, labels = every_axes[0].get_legend_handles_labels()
        figure.legend(handles, labels, loc="outside upper center", ncols=len(labels))
        figure.savefig(path, metadata={"Date": None})


def _draw_bars(axes: "Axes", rows: _Rows, field: str) -> None:
    policies = list(dict.fromkeys(policy for _, policy in rows))
    width = 0.8 / len(policies)
    for i, policy in enumerate(policies):
        places = [place + (i - (len(policies) - 1) / 2) * width for place in range(len(SCENARIOS))]
        values = [rows[scenario, policy][field] for scenario in SCENARIOS]
        # Without a clip path for each bar the file is a tenth smaller.
        axes.bar(places, values, width, label=policy, clip_on=False)
