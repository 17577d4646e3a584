"""Checks the deploy file: how the platform builds the fleet's programs, and where each runs."""

import pathlib
import tomllib
from collections.abc import Iterator
from typing import Any

import attrs

from beryljunction.errors import SettingsError
from beryljunction.platform.hostfile import MECHANISMS_VARIABLE
from beryljunction.routing import Mechanisms

__all__ = ["DeployedRole", "read_deploy_file"]

# What a role may say; a misspelt name would be passed over, and the role run without it.
_ROLE_FIELDS = frozenset(
    ("run", "on", "share", "count", "apart", "serves", "metrics", "template", "env")
)
_FILE_FIELDS = frozenset(("build", "packages", "roles"))
_SERVED = frozenset(("front", "side", "control"))
# The platform runs two processes on a host at most, and nothing serves the same callers twice.
_MOST_ROLES_PER_CLASS = 2
_REFUSED_PREFIXES = ("LD_", "JAVA", "NODE_", "PYTHON")
_REFUSED_NAMES = frozenset(("PATH", "HOME"))


@attrs.frozen
class DeployedRole:
    """A program, and the class of hosts that runs it."""

    name: str
    command: tuple[str, ...]
    host_class: str
    serves: tuple[str, ...]
    mechanisms: Mechanisms = Mechanisms()


def read_deploy_file(path: pathlib.Path) -> tuple[DeployedRole, ...]:
    """Read the deploy file.

    Raises:
        SettingsError: With one line for each problem: place, what was expected, what was got.
    """
    try:
        table = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError([f"{path}: expected a readable file, got {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: expected TOML, got {error}"]) from error
    problems = [f"{path}: {problem}" for problem in _problems(table)]
    if problems:
        raise SettingsError(problems)
    return tuple(
        DeployedRole(
            name,
            tuple(role["run"].split()),
            role["on"],
            tuple(role.get("serves", ())),
            Mechanisms.parse(role.get("env", {}).get(MECHANISMS_VARIABLE, "")),
        )
        for name, role in table["roles"].items()
    )


def _problems(table: dict[str, Any]) -> Iterator[str]:
    yield from _unknown(table, _FILE_FIELDS, "")
    yield from _texts(table, ("build",), "")
    roles = table.get("roles")
    if not isinstance(roles, dict) or not roles:
        yield f"roles: expected one table a role, got {roles!r}"
        return
    for name, role in roles.items():
        if isinstance(role, dict):
            yield from _of_role(role, f"roles.{name}.")
        else:
            yield f"roles.{name}: expected a table, got {role!r}"
    yield from _of_classes({name: role for name, role in roles.items() if isinstance(role, dict)})


def _of_role(role: dict[str, Any], place: str) -> Iterator[str]:
    yield from _unknown(role, _ROLE_FIELDS, place)
    yield from _texts(role, ("run", "on"), place)
    share, count = role.get("share"), role.get("count")
    if share is not None and count is not None:
        yield f"{place}count: expected a share or a count, got both"
    if share is not None and not (_is_number(share) and 0 < share <= 1):
        yield f"{place}share: expected a number above 0, at most 1, got {share!r}"
    if count is not None and not (type(count) is int and count > 0):
        yield f"{place}count: expected a whole number above 0, got {count!r}"
    serves = role.get("serves", [])
    if not isinstance(serves, list) or not _SERVED.issuperset(map(str, serves)):
        yield f"{place}serves: expected some of {sorted(_SERVED)}, got {serves!r}"
    yield from _of_metrics(role.get("metrics"), place)
    yield from _of_env(role.get("env", {}), place)


def _of_metrics(metrics: Any, place: str) -> Iterator[str]:
    if metrics is None:
        return
    port = str(metrics).partition("/")[0]
    if not (port.isdecimal() and 0 < int(port) < 65_536):
        yield f"{place}metrics: expected PORT/PATH, got {metrics!r}"


def _of_env(env: Any, place: str) -> Iterator[str]:
    if not isinstance(env, dict):
        yield f"{place}env: expected a table of texts, got {env!r}"
        return
    for name, value in env.items():
        is_name = name.replace("_", "").isalnum() and name == name.upper()
        if not is_name or name in _REFUSED_NAMES or name.startswith(_REFUSED_PREFIXES):
            yield f"{place}env.{name}: expected capitals, digits and _, and no name of a runtime"
        if not isinstance(value, str):
            yield f"{place}env.{name}: expected a text, got {value!r}"
        elif name == MECHANISMS_VARIABLE:
            yield from (f"{place}env.{name}: {problem}" for problem in _of_mechanisms(value))


def _of_mechanisms(text: str) -> list[str]:
    try:
        Mechanisms.parse(text)
    except SettingsError as error:
        return error.problems
    return []


def _of_classes(roles: dict[str, dict[str, Any]]) -> Iterator[str]:
    by_class: dict[Any, list[str]] = {}
    for name, role in roles.items():
        by_class.setdefault(role.get("on"), []).append(name)
    for host_class, names in by_class.items():
        if len(names) > _MOST_ROLES_PER_CLASS:
            yield f"roles: expected {_MOST_ROLES_PER_CLASS} on {host_class} at most, got {names}"
        for served in sorted(_SERVED):
            serving = [name for name in names if served in roles[name].get("serves", ())]
            if len(serving) > 1:
                yield f"roles: expected one on {host_class} that serves {served}, got {serving}"


def _unknown(table: dict[str, Any], known: frozenset[str], place: str) -> Iterator[str]:
    for name in table:
        if name not in known:
            yield f"{place}{name}: expected one of {sorted(known)}, got an unknown field"


def _texts(table: dict[str, Any], names: tuple[str, ...], place: str) -> Iterator[str]:
    for name in names:
        value = table.get(name)
        if not isinstance(value, str) or not value.strip():
            yield f"{place}{name}: expected a text, got {value!r}"


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
