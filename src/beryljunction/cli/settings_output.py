"""Output of beryl settings, as JSON or as text."""

import json as jsonlib
import sys
from typing import Any

import attrs

from beryljunction.settings.changes import Accepted, Edit, Refused
from beryljunction.settings.paths import Path, parse_path
from beryljunction.settings.publishing import (
    ChangeRefused,
    NotPublished,
    OutcomeUnknown,
    PublishOutcome,
)
from beryljunction.settings.state import AppliedRecord

__all__ = [
    "EXIT_INVALID",
    "EXIT_LOG_DOWN",
    "EXIT_OK",
    "EXIT_REFUSED_OR_DIFFERENT",
    "EXIT_UNKNOWN",
    "edit_row",
    "judged_line",
    "judged_row",
    "origin_line",
    "print_log_down",
    "print_not_in_force",
    "print_problems",
    "say",
    "tables_of",
    "value_text",
]

EXIT_OK = 0
EXIT_REFUSED_OR_DIFFERENT = 1
EXIT_INVALID = 2
EXIT_UNKNOWN = 3
EXIT_LOG_DOWN = 4


def print_not_in_force(
    answer: PublishOutcome, base: int, edits: tuple[Edit, ...], json: bool
) -> int:
    """Print the outcome of a change that was not accepted and return the exit code."""
    if isinstance(answer, ChangeRefused):
        own_values = {edit.path: None if edit.unset else edit.value for edit in edits}
        rows = [
            {**attrs.asdict(c), "yours": own_values.get(c.path)} for c in answer.verdict.conflicts
        ]
        lines = [f"refused: {answer.verdict.reason} {base}; nothing of the change is in force"]
        lines += [
            f"  {r['path']}: {r['operator']} set {value_text(r['value'])} "
            f"in version {r['version']} (change {r['change_id']}); yours was "
            f"{value_text(r['yours'])}"
            for r in rows
        ]
        lines.append("check what is in force now and publish again if the change is still wanted")
        data = {"outcome": "refused", "reason": answer.verdict.reason, "conflicts": rows}
        say(json, {**data, "change_id": answer.change_id}, *lines)
        return EXIT_REFUSED_OR_DIFFERENT
    if isinstance(answer, NotPublished):
        text = f"not published: {answer.reason}; the log does not hold the change, try again later"
        say(json, {"outcome": "not_published", "reason": answer.reason}, text)
        return EXIT_LOG_DOWN
    assert isinstance(answer, OutcomeUnknown)
    lines = [
        f"unknown: {answer.reason}; the log may hold change {answer.change_id}, now or soon",
        f"find out with: beryl settings history --id {answer.change_id}",
    ]
    data = {"outcome": "unknown", "reason": answer.reason, "change_id": answer.change_id}
    say(json, data, *lines)
    return EXIT_UNKNOWN


def edit_row(edit: Edit, present: dict[Path, Any]) -> dict[str, Any]:
    """Return the path of an edit with its old and its new value."""
    new = None if edit.unset else edit.value
    return {"path": edit.path, "old": present.get(parse_path(edit.path)), "new": new}


def judged_row(judged: AppliedRecord) -> dict[str, Any]:
    """Return a record of the log and its outcome as a JSON object."""
    outcome = type(judged.verdict).__name__.lower()
    row: dict[str, Any] = {"version": judged.offset, "change_id": judged.change_id}
    row["outcome"] = outcome
    if judged.change is not None:
        change = judged.change
        row |= {"operator": change.operator, "base": change.base, "note": change.note}
        row["edits"] = [attrs.asdict(edit) for edit in change.edits]
    if isinstance(judged.verdict, Refused):
        row["conflicts"] = [attrs.asdict(conflict) for conflict in judged.verdict.conflicts]
    if not isinstance(judged.verdict, Accepted):
        row["reason"] = judged.verdict.reason
    return row


def judged_line(judged: AppliedRecord) -> str:
    """Return a record of the log and its outcome as one line of text."""
    row = judged_row(judged)
    edits = [
        f"{e['path']} unset" if e["unset"] else f"{e['path']}={value_text(e['value'])}"
        for e in row.get("edits", [])
    ]
    parts = [str(row["version"]), row["outcome"], row.get("operator", "-"), *edits]
    if "reason" in row:
        parts.append(f"({row['reason']})")
    if row.get("note"):
        parts.append(f"[{row['note']}]")
    return " ".join([*parts, f"change {row['change_id']}"])


def origin_line(row: dict[str, Any]) -> str:
    """Return a line of text on where a value was set."""
    if "version" not in row:
        return f"  {row['scope']}: {value_text(row['value'])}"
    who = f"set by {row['operator']} in version {row['version']} (change {row['change_id']})"
    return f"  {row['scope']}: {value_text(row['value'])}, {who}"


def tables_of(values: dict[Path, Any]) -> dict[str, Any]:
    """Return values as nested tables that can be written as TOML."""
    tables: dict[str, Any] = {}
    for path, value in values.items():
        *parents, name = str(path).split(".")
        table = tables
        for parent in parents:
            table = table.setdefault(parent, {})
        table[name] = value
    return tables


def value_text(value: Any) -> str:
    """Return a value as text."""
    return "unset" if value is None else jsonlib.dumps(value)


def print_log_down(json: bool) -> int:
    """Print that the log does not answer and return the exit code."""
    text = "the log does not answer; nothing was changed, settings in force stay in force"
    say(json, {"outcome": "log_down"}, text)
    return EXIT_LOG_DOWN


def print_problems(problems: list[str], json: bool) -> int:
    """Print validation errors, one line each, and return the exit code."""
    if json:
        print(jsonlib.dumps({"outcome": "invalid", "problems": problems}))
    else:
        print("\n".join(problems), file=sys.stderr)
    return EXIT_INVALID


def say(json: bool, data: dict[str, Any], *lines: str) -> None:
    """Print `data` as one JSON object, or else the lines of text."""
    print(jsonlib.dumps(data) if json else "\n".join(lines))
