"""What each mechanism is worth: plays with one switched off against plays with all on."""

import collections
import json
import pathlib
import re
import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import attrs

__all__ = ["ALL_ON", "Play", "Row", "compare", "markdown", "plot", "read_plays"]

ALL_ON = "all"
_REASON = re.compile(r"^Ablation: off=(?P<off>\S+) day=(?P<day>\S+) seed=(?P<seed>\d+)$")
# Prices that mechanisms move, by the names that plays are reported with.
_PRICES = ("GB of prompt memory moved", "1,000 tokens of shared parts read again", "cloud calls")


@attrs.frozen
class Play:
    """One play of a day.

    Attributes:
        off: Mechanisms that were off, with + between them; "all" where none was.
        worth: What callers got, less prices.
        credit: The same before prices, over the whole day.
        worst: The same in the worst windows.
        prices: What was taken off, by name.
        broken: Rules that were broken.
    """

    off: str
    site: str
    day: str
    seed: int
    worth: float
    credit: float
    worst: float
    prices: Mapping[str, float]
    broken: int

    @property
    def case(self) -> tuple[str, str, int]:
        """What it is compared over: the same day with the same seed."""
        return self.site, self.day, self.seed


@attrs.frozen
class Row:
    """What switching mechanisms off changed on one site, mean over days and seeds.

    Attributes:
        worth_spread: Standard deviation of the differences; None for a single one.
    """

    off: str
    site: str
    plays: int
    worth: float
    worth_spread: float | None
    credit: float
    worst: float
    prices: Mapping[str, float]
    broken: int


def read_plays(journal: pathlib.Path) -> list[Play]:
    """Return the plays of the ablation in a folder of journal entries, the last of each case."""
    plays: dict[tuple[Any, ...], Play] = {}
    for file in sorted(journal.glob("*.json")):
        entry = json.loads(file.read_text())
        reason = _REASON.match(entry.get("why") or "")
        if reason is None or not entry.get("ok") or len(entry.get("days") or ()) != 1:
            continue
        play = _play(reason, entry["site"], entry["days"][0])
        plays[play.off, *play.case] = play
    return list(plays.values())


def _play(reason: re.Match[str], site: str, day: Mapping[str, Any]) -> Play:
    parts = {name: value for name, _, value in day["parts"]}
    return Play(
        off=reason["off"],
        site=site,
        day=reason["day"],
        seed=int(reason["seed"]),
        worth=day["G"],
        credit=parts["whole day"],
        worst=parts["worst windows"],
        prices={name: taken for name, _, taken in day["prices"]},
        broken=len(day["rules"]),
    )


def compare(plays: Iterable[Play]) -> list[Row]:
    """Return a row for each set of mechanisms and site that was played beside all on."""
    rows = list(plays)
    base = {play.case: play for play in rows if play.off == ALL_ON}
    pairs: dict[tuple[str, str], list[tuple[Play, Play]]] = collections.defaultdict(list)
    for play in rows:
        if play.off != ALL_ON and play.case in base:
            pairs[play.off, play.site].append((play, base[play.case]))
    return [_row(off, site, found) for (off, site), found in pairs.items()]


def _row(off: str, site: str, pairs: Sequence[tuple[Play, Play]]) -> Row:
    worths = [play.worth - other.worth for play, other in pairs]
    return Row(
        off=off,
        site=site,
        plays=len(pairs),
        worth=statistics.fmean(worths),
        worth_spread=statistics.stdev(worths) if len(worths) > 1 else None,
        credit=statistics.fmean(play.credit - other.credit for play, other in pairs),
        worst=statistics.fmean(play.worst - other.worst for play, other in pairs),
        prices={
            name: statistics.fmean(
                play.prices.get(name, 0.0) - other.prices.get(name, 0.0) for play, other in pairs
            )
            for name in _PRICES
        },
        broken=sum(play.broken for play, _ in pairs),
    )


def markdown(rows: Iterable[Row]) -> str:
    """Return the rows as a table."""
    lines = [
        "| off | site | plays | worth | spread | credit | worst windows | moved | read again "
        "| store calls | rules broken |",
        "| --- " * 11 + "|",
    ]
    for row in rows:
        spread = "" if row.worth_spread is None else f"{row.worth_spread:.3f}"
        prices = " | ".join(f"{row.prices[name]:+.3f}" for name in _PRICES)
        lines.append(
            f"| {row.off} | {row.site} | {row.plays} | {row.worth:+.3f} | {spread} "
            f"| {row.credit:+.3f} | {row.worst:+.3f} | {prices} | {row.broken} |"
        )
    return "\n".join(lines)


def plot(rows: Sequence[Row], file: pathlib.Path) -> None:
    """Draw the differences in worth with their spread; needs the extra "plots"."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(row.off for row in rows))
    sites = list(dict.fromkeys(row.site for row in rows))
    figure, axes = pyplot.subplots(figsize=(8, 0.32 * len(names) + 1.5))
    for number, site in enumerate(sites):
        mine = [row for row in rows if row.site == site]
        places = [names.index(row.off) + 0.22 * (number - (len(sites) - 1) / 2) for row in mine]
        axes.errorbar(
            [row.worth for row in mine],
            places,
            xerr=[row.worth_spread or 0.0 for row in mine],
            fmt="o",
            markersize=4,
            linewidth=1,
            label=site,
        )
    axes.axvline(0.0, color="grey", linewidth=0.8)
    axes.set_yticks(range(len(names)), names)
    axes.invert_yaxis()
    axes.set_xlabel("worth with the mechanism off, less worth with all on")
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)
