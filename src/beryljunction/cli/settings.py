"""beryl settings: shows and changes the fleet's tree of settings.

Exit codes: 0 done, 1 refused or different, 2 not valid, 3 outcome unknown, 4 the log is down.
"""

import pathlib
import time
from typing import Any

import anyio
import tomli_w

from beryljunction.cli.fleet_commands import DEFAULT_OPERATOR_FILE
from beryljunction.cli.mechanisms import DEFAULT_DEPLOY_FILE, MECHANISMS_PATH, explain_mechanisms
from beryljunction.cli.settings_change import set_, unset
from beryljunction.cli.settings_context import SettingsContext, with_session
from beryljunction.cli.settings_output import (
    EXIT_OK,
    EXIT_REFUSED_OR_DIFFERENT,
    edit_row,
    judged_line,
    judged_row,
    origin_line,
    print_log_down,
    print_problems,
    say,
    tables_of,
    value_text,
)
from beryljunction.errors import SettingsError
from beryljunction.settings.files import load_toml
from beryljunction.settings.paths import Path, parse_path
from beryljunction.settings.resolver import Origin, Resolver
from beryljunction.settings.rules import rule_of, value_problem
from beryljunction.settings.validation import (
    edits_between,
    parse_leaves,
    tree_from_leaves,
    validate_tree,
)

__all__ = ["COMMANDS"]

_POLL_INTERVAL_S = 0.25


def validate(tree: pathlib.Path, *, json: bool = False) -> int:
    """Validate a TOML tree of settings, without connecting to the log.

    :param tree: TOML file with the tree.
    :param json: Print one JSON object.
    """
    try:
        leaves, problems = parse_leaves(load_toml(tree))
    except SettingsError as error:
        return print_problems(error.problems, json)
    problems += validate_tree(tree_from_leaves(leaves))
    if problems:
        return print_problems(problems, json)
    say(json, {"outcome": "valid", "settings": len(leaves)}, f"valid: {len(leaves)} settings")
    return EXIT_OK


def diff(
    tree: pathlib.Path, *, config: pathlib.Path = DEFAULT_OPERATOR_FILE, json: bool = False
) -> int:
    """Show how a TOML tree differs from the settings in force; exit 1 if it does.

    :param tree: TOML file with the tree.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: SettingsContext) -> int:
        wanted, problems = parse_leaves(load_toml(tree))
        if problems:
            return print_problems(problems, json)
        present = desk.session.state.tree.values()
        edits = edits_between(present, wanted)
        rows = [edit_row(edit, present) for edit in edits]
        lines = [f"{r['path']}: {value_text(r['old'])} -> {value_text(r['new'])}" for r in rows]
        data = {"version": desk.session.state.version, "edits": rows}
        say(json, data, *(lines or ["no difference"]))
        return EXIT_REFUSED_OR_DIFFERENT if edits else EXIT_OK

    return with_session(config, run, json)


def get(*paths: str, config: pathlib.Path = DEFAULT_OPERATOR_FILE, json: bool = False) -> int:
    """Show the values in force at paths, set there or inherited; without paths the tree as TOML.

    :param paths: For example region.gj-west.service.drafter.max_running.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: SettingsContext) -> int:
        if not paths:
            tables = tables_of(desk.session.state.tree.values())
            version = desk.session.state.version
            say(json, {"version": version, "tree": tables}, tomli_w.dumps(tables).rstrip())
            return EXIT_OK
        values = {path: _find_origin(desk, path).value for path in paths}
        say(json, {"values": values}, *map(value_text, values.values()))
        return EXIT_OK

    return with_session(config, run, json)


def explain(
    path: str,
    *,
    config: pathlib.Path = DEFAULT_OPERATOR_FILE,
    deploy: pathlib.Path = DEFAULT_DEPLOY_FILE,
    json: bool = False,
) -> int:
    """Show where the value in force at a path comes from.

    :param path: For example region.gj-west.service.drafter.max_running; "mechanisms", or one of
        them such as mechanisms.fetch, for what is switched on in entries on the platform.
    :param config: The operator's file.
    :param deploy: The deploy file, which switches mechanisms on and off.
    :param json: Print one JSON object.
    """
    if path == MECHANISMS_PATH or path.startswith(f"{MECHANISMS_PATH}."):
        return explain_mechanisms(path, deploy, json)

    async def run(desk: SettingsContext) -> int:
        origin = _find_origin(desk, path)
        rows = _rows_of_origin(desk, path, origin)
        lines = [f"{path} = {value_text(origin.value)}", *(origin_line(row) for row in rows)]
        say(json, {"path": path, "value": origin.value, "origins": rows}, *lines)
        return EXIT_OK

    return with_session(config, run, json)


def history(
    *,
    id: str = "",
    limit: int = 20,
    config: pathlib.Path = DEFAULT_OPERATOR_FILE,
    json: bool = False,
) -> int:
    """Show the changes that the log still keeps and the outcome of each.

    With --id the exit code is 1 if the change is not in the log.

    :param id: Show only this change, for example to find out an unknown outcome.
    :param limit: Show at most this many changes, the newest ones.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: SettingsContext) -> int:
        if not await desk.session.read_history():
            return print_log_down(json)
        rows = [j for j in desk.session.state.history if not id or j.change_id == id]
        shown = rows[:1] if id else rows[-limit:]
        if not shown:
            version = desk.session.state.version
            text = f"not there: the log's kept records up to offset {version} do not hold it"
            say(json, {"changes": []}, text)
            return EXIT_REFUSED_OR_DIFFERENT if id else EXIT_OK
        say(json, {"changes": [judged_row(j) for j in shown]}, *map(judged_line, shown))
        return EXIT_OK

    return with_session(config, run, json, look=False)


def watch(
    *, for_s: float = 0.0, config: pathlib.Path = DEFAULT_OPERATOR_FILE, json: bool = False
) -> int:
    """Print each new change and whether it was accepted, until interrupted.

    :param for_s: End after this many seconds; 0 for no end.
    :param config: The operator's file.
    :param json: Print one JSON object for each change.
    """

    async def run(desk: SettingsContext) -> int:
        state = desk.session.state
        end_s = time.monotonic() + (for_s or float("inf"))
        while time.monotonic() < end_s:
            seen = state.version
            if not await desk.session.sync():
                return print_log_down(json)
            for judged in [j for j in state.history if j.offset > seen]:
                say(json, judged_row(judged), judged_line(judged))
            await anyio.sleep(_POLL_INTERVAL_S)
        return EXIT_OK

    return with_session(config, run, json)


COMMANDS = {
    "validate": validate,
    "diff": diff,
    "set": set_,
    "unset": unset,
    "get": get,
    "explain": explain,
    "history": history,
    "watch": watch,
}


def _find_origin(desk: SettingsContext, text: str) -> Origin:
    """Return the value in force and where it was set.

    Raises:
        SettingsError: If the path does not exist.
    """
    try:
        path = parse_path(text)
    except ValueError as error:
        raise SettingsError([str(error)]) from error
    rule = rule_of(path)
    if rule is None:
        raise SettingsError([value_problem(path, None) or text])
    scope = path.scope
    if scope.operator:
        return Origin(desk.session.state.tree.value(path), scope)
    resolver = Resolver(desk.session.state.tree, scope.region or desk.operator_file.region)
    origin = resolver.origin(path.field, scope.account, scope.service)
    return origin if origin is not None else Origin(rule.default, None)


def _rows_of_origin(desk: SettingsContext, text: str, origin: Origin) -> list[dict[str, Any]]:
    field = parse_path(text).field
    rows: list[dict[str, Any]] = []
    for scope in (origin.scope, *origin.overridden):
        if scope is None:
            rows.append({"scope": "default", "value": origin.value})
            continue
        leaf = desk.session.state.tree.leaves[Path(scope, field)]
        row = {"scope": str(scope), "value": leaf.value, "version": leaf.version}
        rows.append({**row, "operator": leaf.operator, "change_id": leaf.change_id})
    return rows
