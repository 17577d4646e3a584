"""Validates the deploy file: how the platform builds the programs, and which hosts run them."""

import pathlib
import tomllib
from collections.abc import Iterator
from typing import Any

import attrs

from beryljunction.errors import SettingsError
from beryljunction.platform.hostfile import MECHANISMS_VARIABLE
from beryljunction.routing import Mechanisms

__all__ = ["DeployedRole", "read_deploy_file"]

# Fields of a role. The platform ignores unknown names, so a misspelt field would have no effect.
_ROLE_FIELDS = frozenset(
    ("run", "on", "share", "count", "apart", "serves", "metrics", "template", "env")
)
_FILE_FIELDS = frozenset(("build", "packages", "roles"))
_INTERFACES = frozenset(("front", "side", "control"))
# The platform runs at most two processes on a host, and only one may serve an interface.
_MAX_ROLES_PER_CLASS = 2
_FORBIDDEN_ENV_PREFIXES = ("LD_", "JAVA", "NODE_", "PYTHON")
_FORBIDDEN_ENV_NAMES = frozenset(("PATH", "HOME"))


@attrs.frozen
class DeployedRole:
    """A program and the class of hosts that run it."""

    name: str
    command: tuple[str, ...]
    host_class: str
    serves: tuple[str, ...]
    mechanisms: Mechanisms = Mechanisms()


def read_deploy_file(path: pathlib.Path) -> tuple[DeployedRole, ...]:
    """Read and validate the deploy file.

    Raises:
        SettingsError: With one line per problem: location, expected value and actual value.
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
    yield from _unknown_field_problems(table, _FILE_FIELDS, "")
    yield from _string_problems(table, ("build",), "")
    roles = table.get("roles")
    if not isinstance(roles, dict) or not roles:
        yield f"roles: expected one table per role, got {roles!r}"
        return
    for name, role in roles.items():
        if isinstance(role, dict):
            yield from _role_problems(role, f"roles.{name}.")
        else:
            yield f"roles.{name}: expected a table, got {role!r}"
    yield from _host_class_problems(
        {name: role for name, role in roles.items() if isinstance(role, dict)}
    )


def _role_problems(role: dict[str, Any], prefix: str) -> Iterator[str]:
    yield from _unknown_field_problems(role, _ROLE_FIELDS, prefix)
    yield from _string_problems(role, ("run", "on"), prefix)
    share, count = role.get("share"), role.get("count")
    if share is not None and count is not None:
        yield f"{prefix}count: expected either share or count, got both"
    if share is not None and not (_is_number(share) and 0 < share <= 1):
        yield f"{prefix}share: expected a number above 0 and at most 1, got {share!r}"
    if count is not None and not (type(count) is int and count > 0):
        yield f"{prefix}count: expected a whole number above 0, got {count!r}"
    serves = role.get("serves", [])
    if not isinstance(serves, list) or not _INTERFACES.issuperset(map(str, serves)):
        yield f"{prefix}serves: expected a list from {sorted(_INTERFACES)}, got {serves!r}"
    yield from _metrics_problems(role.get("metrics"), prefix)
    yield from _env_problems(role.get("env", {}), prefix)


def _metrics_problems(metrics: Any, prefix: str) -> Iterator[str]:
    if metrics is None:
        return
    port = str(metrics).partition("/")[0]
    if not (port.isdecimal() and 0 < int(port) < 65_536):
        yield f"{prefix}metrics: expected PORT/PATH, got {metrics!r}"


def _env_problems(env: Any, prefix: str) -> Iterator[str]:
    if not isinstance(env, dict):
        yield f"{prefix}env: expected a table of strings, got {env!r}"
        return
    for name, value in env.items():
        is_valid_name = name.replace("_", "").isalnum() and name == name.upper()
        if (
            not is_valid_name
            or name in _FORBIDDEN_ENV_NAMES
            or name.startswith(_FORBIDDEN_ENV_PREFIXES)
        ):
            yield (
                f"{prefix}env.{name}: expected capital letters, digits and _, and no variable "
                "that is reserved for a language runtime"
            )
        if not isinstance(value, str):
            yield f"{prefix}env.{name}: expected a string, got {value!r}"
        elif name == MECHANISMS_VARIABLE:
            yield from (f"{prefix}env.{name}: {problem}" for problem in _mechanisms_problems(value))


def _mechanisms_problems(text: str) -> list[str]:
    try:
        Mechanisms.parse(text)
    except SettingsError as error:
        return error.problems
    return []


def _host_class_problems(roles: dict[str, dict[str, Any]]) -> Iterator[str]:
    roles_by_class: dict[Any, list[str]] = {}
    for name, role in roles.items():
        roles_by_class.setdefault(role.get("on"), []).append(name)
    for host_class, names in roles_by_class.items():
        if len(names) > _MAX_ROLES_PER_CLASS:
            yield f"roles: expected at most {_MAX_ROLES_PER_CLASS} on {host_class}, got {names}"
        for interface in sorted(_INTERFACES):
            serving = [name for name in names if interface in roles[name].get("serves", ())]
            if len(serving) > 1:
                yield f"roles: expected one on {host_class} that serves {interface}, got {serving}"


def _unknown_field_problems(
    table: dict[str, Any], known: frozenset[str], prefix: str
) -> Iterator[str]:
    for name in table:
        if name not in known:
            yield f"{prefix}{name}: expected one of {sorted(known)}, got an unknown field"


def _string_problems(table: dict[str, Any], names: tuple[str, ...], prefix: str) -> Iterator[str]:
    for name in names:
        value = table.get(name)
        if not isinstance(value, str) or not value.strip():
            yield f"{prefix}{name}: expected a non-empty string, got {value!r}"


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
