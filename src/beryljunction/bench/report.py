"""The command `beryl-bench report`: all scenarios and policies as a table and plots."""

import statistics
from pathlib import Path

import attrs

from beryljunction.bench.policy import BASELINES, SCENARIOS, Figures, run_policy
from beryljunction.errors import BerylError

__all__ = ["report"]

_PLOTTED = {
    "found_warm_ratio": "returning chats found warm",
    "max_over_mean": "highest load over the mean",
    "first_token_s_p95": "first token, 95th percentile (s)",
    "small_account_wait_s_p95": "wait of small accounts, 95th percentile (s)",
    "goodput_over_capacity": "goodput over capacity",
}
_Rows = dict[tuple[str, str], dict[str, float]]


def report(directory: Path, *, size: str = "prairie", seeds: int = 1) -> int:
    """Write a Markdown table and SVG plots of every scenario under every policy.

    :param directory: Where the files go; it is made when it does not exist.
    :param size: Fleet: prairie, sahyog or target.
    :param seeds: Runs of each scenario and policy, with seeds from 1; medians are shown.
    """
    directory.mkdir(parents=True, exist_ok=True)
    rows: _Rows = {
        (scenario, policy): _median(
            [run_policy(scenario, size, policy, 1 + i) for i in range(seeds)]
        )
        for scenario in SCENARIOS
        for policy in ("current", *BASELINES)
    }
    (directory / f"policy-{size}.md").write_text(_table(rows, size, seeds))
    for field, title in _PLOTTED.items():
        _plot(rows, field, title, directory / f"policy-{size}-{field}.svg")
    print(f"wrote {len(_PLOTTED) + 1} files to {directory}")
    return 0


def _median(runs: list[Figures]) -> dict[str, float]:
    names = [field.name for field in attrs.fields(Figures)]
    return {name: statistics.median(getattr(run, name) for run in runs) for name in names}


def _table(rows: _Rows, size: str, seeds: int) -> str:
    names = [field.name for field in attrs.fields(Figures)]
    lines = [
        f"# Policies at the size of {size}: medians of seeds 1 to {seeds}",
        "",
        f"Command: `beryl-bench report DIRECTORY --size {size} --seeds {seeds}`",
        "",
        "| scenario | policy | " + " | ".join(names) + " |",
        "| --- | --- |" + " ---: |" * len(names),
    ]
    for (scenario, policy), row in rows.items():
        cells = " | ".join(f"{row[name]:g}" for name in names)
        lines.append(f"| {scenario} | {policy} | {cells} |")
    return "\n".join(lines) + "\n"


def _plot(rows: _Rows, field: str, title: str, path: Path) -> None:
    """Draw a group of bars for each scenario, one for each policy."""
    try:
        from matplotlib import rc_context
        from matplotlib.figure import Figure
    except ImportError as error:
        raise BerylError("expected matplotlib; install the extra: beryljunction[plots]") from error
    figure = Figure(figsize=(12, 4), layout="constrained")
    axes = figure.subplots()
    policies = list(dict.fromkeys(policy for _, policy in rows))
    width = 0.8 / len(policies)
    for i, policy in enumerate(policies):
        values = [rows[scenario, policy][field] for scenario in SCENARIOS]
        places = [place + i * width for place in range(len(values))]
        axes.bar(places, values, width, label=policy)
    axes.set_xticks([place + 0.4 for place in range(len(SCENARIOS))], list(SCENARIOS), rotation=30)
    axes.set_title(title)
    axes.legend()
    # Text stays text and ids are the same each time, so that a new run shows what changed.
    with rc_context({"svg.fonttype": "none", "svg.hashsalt": "beryljunction"}):
        figure.savefig(path, metadata={"Date": None})
