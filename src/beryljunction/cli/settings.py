"""beryl settings: look at the fleet's tree of settings and change it.

Exit codes: 0 done, 1 refused or different, 2 not valid, 3 outcome unknown, 4 the log is down.
"""

import pathlib
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
import tomli_w

from beryljunction.cli.asking import CONFIG, operator_client
from beryljunction.cli.settings_output import (
    EXIT_OK,
    EXIT_REFUSED,
    edit_row,
    judged_line,
    judged_row,
    origin_line,
    print_log_down,
    print_not_in_force,
    print_problems,
    say,
    tables_of,
    value_text,
)
from beryljunction.errors import PlatformUnavailableError, SettingsError
from beryljunction.node import OperatorClient
from beryljunction.platform import HttpLogClient
from beryljunction.servers import client_pool
from beryljunction.settings.changes import Edit
from beryljunction.settings.files import load_file, load_toml
from beryljunction.settings.operating import Invalid, OperatorSession
from beryljunction.settings.paths import Path, parse_path
from beryljunction.settings.peers import HttpPeers
from beryljunction.settings.resolving import Origin, Resolver
from beryljunction.settings.rules import problem_of, rule_of
from beryljunction.settings.schema import OperatorFile
from beryljunction.settings.validating import edits_between, leaves_of, problems_of, tree_of
from beryljunction.systems.publishing import InForce

__all__ = ["COMMANDS"]

_IN_FORCE_S = 9.0
_ASK_S = 0.25


@attrs.frozen
class _Desk:
    """What a command works with."""

    file: OperatorFile
    session: OperatorSession
    nodes: HttpPeers
    fleet: OperatorClient | None

    async def versions(self) -> dict[str, int | None]:
        """Return the version in force at each process of the host list and each node named."""
        versions = await self.nodes.versions()
        if self.fleet is None:
            return versions
        try:
            rows = await self.fleet.rows()
        except PlatformUnavailableError:
            return versions
        answers = await self.fleet.status(rows)
        found = {host: status.settings_version for host, status in answers.values.items()}
        return {**versions, **dict.fromkeys(answers.failures), **found}


def validate(tree: pathlib.Path, *, json: bool = False) -> int:
    """Check a TOML tree of settings in full, without the log.

    :param tree: TOML file with the tree.
    :param json: Print one JSON object.
    """
    try:
        leaves, problems = leaves_of(load_toml(tree))
    except SettingsError as error:
        return print_problems(error.problems, json)
    problems += problems_of(tree_of(leaves))
    if problems:
        return print_problems(problems, json)
    say(json, {"outcome": "valid", "settings": len(leaves)}, f"valid: {len(leaves)} settings")
    return EXIT_OK


def diff(tree: pathlib.Path, *, config: pathlib.Path = CONFIG, json: bool = False) -> int:
    """Show how a TOML tree differs from what is in force; exit 1 when it does.

    :param tree: TOML file with the tree.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: _Desk) -> int:
        wanted, problems = leaves_of(load_toml(tree))
        if problems:
            return print_problems(problems, json)
        present = desk.session.reader.tree.values()
        edits = edits_between(present, wanted)
        rows = [edit_row(edit, present) for edit in edits]
        lines = [f"{r['path']}: {value_text(r['old'])} -> {value_text(r['new'])}" for r in rows]
        data = {"version": desk.session.reader.version, "edits": rows}
        say(json, data, *(lines or ["no difference"]))
        return EXIT_REFUSED if edits else EXIT_OK

    return _with_session(config, run, json)


def set_(
    *assignments: str,
    file: pathlib.Path | None = None,
    note: str = "",
    config: pathlib.Path = CONFIG,
    json: bool = False,
) -> int:
    """Publish values, all of them or none.

    :param assignments: PATH=VALUE, with the value in TOML; a bare word is a string.
    :param file: TOML tree whose values are set too; what it leaves out stays.
    :param note: Why, for the history.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: _Desk) -> int:
        edits, problems = _edits_of(assignments, file, desk.session.reader.tree.values())
        if problems:
            return print_problems(problems, json)
        if not edits:
            say(json, {"outcome": "unchanged"}, "unchanged: all these values are in force already")
            return EXIT_OK
        return await _publish(desk, edits, note, json)

    return _with_session(config, run, json)


def unset(*paths: str, note: str = "", config: pathlib.Path = CONFIG, json: bool = False) -> int:
    """Let paths inherit again, all of them or none.

    :param paths: Paths, or scopes such as service.drafter for everything below them.
    :param note: Why, for the history.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: _Desk) -> int:
        try:
            edits = [edit for text in paths for edit in desk.session.unset_edits(text)]
        except ValueError as error:
            return print_problems([str(error)], json)
        return await _publish(desk, tuple(dict.fromkeys(edits)), note, json)

    return _with_session(config, run, json)


def get(*paths: str, config: pathlib.Path = CONFIG, json: bool = False) -> int:
    """Show the values in force at paths, inherited or not; without a path the tree as TOML.

    :param paths: For example region.gj-west.service.drafter.max_running.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: _Desk) -> int:
        if not paths:
            tables = tables_of(desk.session.reader.tree.values())
            version = desk.session.reader.version
            say(json, {"version": version, "tree": tables}, tomli_w.dumps(tables).rstrip())
            return EXIT_OK
        values = {path: _origin_of(desk, path).value for path in paths}
        say(json, {"values": values}, *map(value_text, values.values()))
        return EXIT_OK

    return _with_session(config, run, json)


def explain(path: str, *, config: pathlib.Path = CONFIG, json: bool = False) -> int:
    """Show where the value in force at a path comes from.

    :param path: For example region.gj-west.service.drafter.max_running.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: _Desk) -> int:
        origin = _origin_of(desk, path)
        rows = _origin_rows(desk, path, origin)
        lines = [f"{path} = {value_text(origin.value)}", *(origin_line(row) for row in rows)]
        say(json, {"path": path, "value": origin.value, "origins": rows}, *lines)
        return EXIT_OK

    return _with_session(config, run, json)


def history(
    *, id: str = "", limit: int = 20, config: pathlib.Path = CONFIG, json: bool = False
) -> int:
    """Show the changes that the log still keeps and what became of each.

    With --id the exit code is 1 when the change is not on the log.

    :param id: Show this change only; this is how an unknown outcome is found out.
    :param limit: Most changes shown, the newest.
    :param config: The operator's file.
    :param json: Print one JSON object.
    """

    async def run(desk: _Desk) -> int:
        if not await desk.session.replay():
            return print_log_down(json)
        rows = [j for j in desk.session.reader.history if not id or j.change_id == id]
        shown = rows[:1] if id else rows[-limit:]
        if not shown:
            version = desk.session.reader.version
            text = f"not there: the log's kept records up to offset {version} do not hold it"
            say(json, {"changes": []}, text)
            return EXIT_REFUSED if id else EXIT_OK
        say(json, {"changes": [judged_row(j) for j in shown]}, *map(judged_line, shown))
        return EXIT_OK

    return _with_session(config, run, json, look=False)


def watch(*, for_s: float = 0.0, config: pathlib.Path = CONFIG, json: bool = False) -> int:
    """Print each change as it is judged, until interrupted.

    :param for_s: End after so many seconds; 0 does not end.
    :param config: The operator's file.
    :param json: Print one JSON object for each change.
    """

    async def run(desk: _Desk) -> int:
        reader = desk.session.reader
        end_s = time.monotonic() + (for_s or float("inf"))
        while time.monotonic() < end_s:
            seen = reader.version
            if not await desk.session.look():
                return print_log_down(json)
            for judged in [j for j in reader.history if j.offset > seen]:
                say(json, judged_row(judged), judged_line(judged))
            await anyio.sleep(_ASK_S)
        return EXIT_OK

    return _with_session(config, run, json)


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


def _with_session(
    config: pathlib.Path,
    command: Callable[[_Desk], Awaitable[int]],
    json: bool,
    look: bool = True,
) -> int:
    """Run a command over the log; what is in force has been read before it starts."""

    async def run() -> int:
        file = load_file(config, OperatorFile)
        async with client_pool() as pool, operator_client(file) as client:
            log = HttpLogClient(file.log_address, pool)
            session = OperatorSession(log, file.operator, file.key)
            nodes = HttpPeers(lambda: file.nodes, session.reader, pool, file.fleet_key)
            fleet = client if file.hosts_address else None
            if look and not await session.look():
                return print_log_down(json)
            return await command(_Desk(file, session, nodes, fleet))

    try:
        return anyio.run(run)
    except SettingsError as error:
        return print_problems(error.problems, json)
    except KeyboardInterrupt:
        return EXIT_OK


async def _publish(desk: _Desk, edits: tuple[Edit, ...], note: str, json: bool) -> int:
    base = desk.session.reader.version
    answer = await desk.session.publish(edits, note)
    if isinstance(answer, Invalid):
        return print_problems(list(answer.problems), json)
    if isinstance(answer, InForce):
        await _print_in_force(desk, answer, json)
        return EXIT_OK
    return print_not_in_force(answer, base, edits, json)


async def _print_in_force(desk: _Desk, answer: InForce, json: bool) -> None:
    """Say on how many nodes the change is in force; waits for the last for some seconds."""
    began_s = time.monotonic()
    while True:
        versions = await desk.versions()
        reached = [n for n, v in versions.items() if v is not None and v >= answer.version]
        waited_s = time.monotonic() - began_s
        if len(reached) == len(versions) or waited_s > _IN_FORCE_S:
            break
        await anyio.sleep(_ASK_S)
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


def _edits_of(
    assignments: tuple[str, ...], file: pathlib.Path | None, present: dict[Path, Any]
) -> tuple[tuple[Edit, ...], list[str]]:
    wanted: dict[Path, Any] = {}
    problems: list[str] = []
    if file is not None:
        wanted, problems = leaves_of(load_toml(file))
    for text in assignments:
        name, sign, value = text.partition("=")
        try:
            path = parse_path(name.strip())
        except ValueError as error:
            problems.append(str(error))
            continue
        if not sign:
            problems.append(f"{text}: expected PATH=VALUE")
        wanted[path] = _value_of(value.strip())
    return edits_between(present, {**present, **wanted}), problems


def _value_of(text: str) -> Any:
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def _origin_of(desk: _Desk, text: str) -> Origin:
    """Return the value in force and where it was set.

    Raises:
        SettingsError: When the path does not exist.
    """
    try:
        path = parse_path(text)
    except ValueError as error:
        raise SettingsError([str(error)]) from error
    rule = rule_of(path)
    if rule is None:
        raise SettingsError([problem_of(path, None) or text])
    scope = path.scope
    if scope.operator:
        return Origin(desk.session.reader.tree.value(path), scope)
    resolver = Resolver(desk.session.reader.tree, scope.region or desk.file.region)
    origin = resolver.origin(path.field, scope.account, scope.service)
    return origin if origin is not None else Origin(rule.default, None)


def _origin_rows(desk: _Desk, text: str, origin: Origin) -> list[dict[str, Any]]:
    field = parse_path(text).field
    rows: list[dict[str, Any]] = []
    for scope in (origin.scope, *origin.overridden):
        if scope is None:
            rows.append({"scope": "default", "value": origin.value})
            continue
        leaf = desk.session.reader.tree.leaves[Path(scope, field)]
        row = {"scope": str(scope), "value": leaf.value, "version": leaf.version}
        rows.append({**row, "operator": leaf.operator, "change_id": leaf.change_id})
    return rows
