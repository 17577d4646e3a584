"""beryl settings set and unset: publish a change and report its outcome."""

import pathlib
import time
import tomllib
from typing import Any

import anyio

from beryljunction.cli.fleet_commands import DEFAULT_OPERATOR_FILE
from beryljunction.cli.settings_context import SettingsContext, with_session
from beryljunction.cli.settings_output import EXIT_OK, print_not_in_force, print_problems, say
from beryljunction.settings.changes import Edit
from beryljunction.settings.files import load_toml
from beryljunction.settings.operator_session import InvalidChange
from beryljunction.settings.paths import Path, parse_path
from beryljunction.settings.publishing import InForce
from beryljunction.settings.validation import edits_between, parse_leaves

__all__ = ["set_", "unset"]

_IN_FORCE_TIMEOUT_S = 9.0
_POLL_INTERVAL_S = 0.25


def set_(
    *assignments: str,
    file: pathlib.Path | None = None,
    note: str = "",
    config: pathlib.Path = DEFAULT_OPERATOR_FILE,
    json: bool = False,
) -> int:
    """Set values in one change, which takes effect as a whole or not at all.

    :param assignments: PATH=VALUE, with the value in TOML; an unquoted word is a string.
    :param file: TOML tree whose values are set as well; other paths keep their values.
    :param note: Reason for the change, shown in the history.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: SettingsContext) -> int:
        edits, problems = _parse_edits(assignments, file, desk.session.state.tree.values())
        if problems:
            return print_problems(problems, json)
        if not edits:
            say(json, {"outcome": "unchanged"}, "unchanged: all these values are in force already")
            return EXIT_OK
        return await _publish(desk, edits, note, json)

    return with_session(config, run, json)


def unset(
    *paths: str, note: str = "", config: pathlib.Path = DEFAULT_OPERATOR_FILE, json: bool = False
) -> int:
    """Unset paths in one change, so that they inherit again; all of them or none.

    :param paths: Paths, or scopes such as service.drafter for all paths below them.
    :param note: Reason for the change, shown in the history.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: SettingsContext) -> int:
        try:
            edits = [edit for text in paths for edit in desk.session.unset_edits(text)]
        except ValueError as error:
            return print_problems([str(error)], json)
        return await _publish(desk, tuple(dict.fromkeys(edits)), note, json)

    return with_session(config, run, json)


async def _publish(desk: SettingsContext, edits: tuple[Edit, ...], note: str, json: bool) -> int:
    base = desk.session.state.version
    answer = await desk.session.publish(edits, note)
    if isinstance(answer, InvalidChange):
        return print_problems(list(answer.problems), json)
    if isinstance(answer, InForce):
        await _print_in_force(desk, answer, json)
        return EXIT_OK
    return print_not_in_force(answer, base, edits, json)


async def _print_in_force(desk: SettingsContext, answer: InForce, json: bool) -> None:
    """Print on how many nodes the change is in force, after waiting a few seconds for all."""
    started_s = time.monotonic()
    while True:
        versions = await desk.versions()
        reached = [n for n, v in versions.items() if v is not None and v >= answer.version]
        waited_s = time.monotonic() - started_s
        if len(reached) == len(versions) or waited_s > _IN_FORCE_TIMEOUT_S:
            break
        await anyio.sleep(_POLL_INTERVAL_S)
    missing = sorted(versions.keys() - set(reached))
    data = {
        "outcome": "accepted",
        "version": answer.version,
        "change_id": answer.change_id,
        "in_force_on": len(reached),
        "nodes": len(versions),
        "waited_s": round(waited_s, 2),
        "missing": missing,
    }
    lines = [f"accepted: version {answer.version}, change {answer.change_id}"]
    if versions:
        lines.append(f"in force on {len(reached)} of {len(versions)} nodes")
    lines += [f"not yet, or no answer: {node}" for node in missing]
    say(json, data, *lines)


def _parse_edits(
    assignments: tuple[str, ...], file: pathlib.Path | None, present: dict[Path, Any]
) -> tuple[tuple[Edit, ...], list[str]]:
    wanted: dict[Path, Any] = {}
    problems: list[str] = []
    if file is not None:
        wanted, problems = parse_leaves(load_toml(file))
    for text in assignments:
        name, separator, value = text.partition("=")
        try:
            path = parse_path(name.strip())
        except ValueError as error:
            problems.append(str(error))
            continue
        if not separator:
            problems.append(f"{text}: expected PATH=VALUE")
        wanted[path] = _parse_value(value.strip())
    return edits_between(present, {**present, **wanted}), problems


def _parse_value(text: str) -> Any:
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text
