"""Compares the newest score of each deployment with the one before it in the journal."""

import json
import pathlib
import statistics
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

__all__ = ["MOST_LOSS", "Change", "Score", "changes", "read_scores"]

# A mean of single runs that falls by more than this is more than noise.
MOST_LOSS = 0.03
_QUIET = "quiet"
_DRAWN = "fresh"


@attrs.frozen
class Score:
    """The standard days of a deployment, played once.

    Attributes:
        worth: Of each day, without the one that was drawn for this play.
        broken: Days on which a rule was broken, the drawn one too.
    """

    site: str
    why: str
    worth: Mapping[str, float]
    broken: tuple[str, ...]

    @property
    def trouble_mean(self) -> float:
        """Mean worth of the days with trouble."""
        return statistics.fmean(
            worth for day, worth in self.worth.items() if not day.startswith(_QUIET)
        )


@attrs.frozen
class Change:
    """The newest score of a deployment beside the one before."""

    new: Score
    old: Score | None

    @property
    def has_lost(self) -> bool:
        """Whether a rule was broken, or the mean fell by more than noise."""
        if self.new.broken or self.old is None:
            return bool(self.new.broken)
        return self.new.trouble_mean < self.old.trouble_mean - MOST_LOSS


def read_scores(journal: pathlib.Path) -> list[Score]:
    """Return the scores in a folder of journal entries, oldest first; those that ended only."""
    entries = (json.loads(file.read_text()) for file in sorted(journal.glob("*.json")))
    return [_score(entry) for entry in entries if entry.get("cmd") == "score" and entry.get("ok")]


def _score(entry: Mapping[str, Any]) -> Score:
    days = entry["days"]
    return Score(
        site=entry["site"],
        why=entry.get("why") or "",
        worth={day["name"]: day["G"] for day in days if not day["name"].startswith(_DRAWN)},
        broken=tuple(day["name"] for day in days if day["rules"] or day["fault"]),
    )


def changes(scores: Iterable[Score]) -> list[Change]:
    """Return for each deployment its newest score and the one before."""
    by_site: dict[str, list[Score]] = {}
    for score in scores:
        by_site.setdefault(score.site, []).append(score)
    return [
        Change(rows[-1], rows[-2] if len(rows) > 1 else None) for _, rows in sorted(by_site.items())
    ]
