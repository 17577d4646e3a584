"""Validation before a change is published: single values, and constraints between values."""

from typing import Any

from beryljunction.settings.changes import Edit, Match, ReadDependency
from beryljunction.settings.paths import Path, Scope, parse_path, parse_scope
from beryljunction.settings.resolver import Resolver
from beryljunction.settings.rules import value_problem
from beryljunction.settings.schema import LimitSettings, ServiceSettings
from beryljunction.settings.tree import SettingsTree

__all__ = ["dependencies_of", "edits_between", "parse_leaves", "tree_from_leaves", "validate_tree"]

# Groups of fields with a constraint between them. If two operators change one field each, both
# changes may be valid against the tree that each saw while the result is not. So a change of one
# field reads the others, which makes such changes conflict: in the terms of Hamsaz (Houshmand and
# Lesani, POPL 2019), only calls that do not "permissible-right-commute" need an order.
_DEPENDENT_FIELDS = (
    ("floor_running", "max_running"),
    ("heartbeat_s", "silence_s"),
    ("models",),
    ("limits.body_bytes", "limits.upload_bytes"),
)
_DECLARED_BY = {"service": "kind", "account": "key_sha256"}


def parse_leaves(data: dict[str, Any]) -> tuple[dict[Path, Any], list[str]]:
    """Return the leaves of a TOML tree, and the problems of keys that are not valid paths."""
    leaves: dict[Path, Any] = {}
    problems = []
    pending = [("", data)]
    while pending:
        prefix, table = pending.pop()
        for key, value in table.items():
            text = f"{prefix}{key}"
            if isinstance(value, dict):
                pending.append((f"{text}.", value))
                continue
            try:
                leaves[parse_path(text)] = value
            except ValueError as error:
                problems.append(str(error))
    return leaves, problems


def tree_from_leaves(leaves: dict[Path, Any]) -> SettingsTree:
    """Return a tree with only these leaves."""
    return SettingsTree().with_edits(tuple(Edit(str(p), value) for p, value in leaves.items()))


def edits_between(old: dict[Path, Any], new: dict[Path, Any]) -> tuple[Edit, ...]:
    """Return the edits that turn one set of leaves into another."""
    unset = [Edit(str(path), unset=True) for path in sorted(old.keys() - new.keys())]
    changed = [Edit(str(p), v) for p, v in sorted(new.items()) if p not in old or old[p] != v]
    return (*unset, *changed)


def validate_tree(tree: SettingsTree) -> list[str]:
    """Return all problems of a tree, each with path, expected and actual value."""
    values = tree.values()
    problems = [
        p for path, value in values.items() if (p := value_problem(path, value)) is not None
    ]
    problems += _undeclared_problems(values)
    problems += _operator_problems(values)
    regions = sorted({path.scope.region for path in values})
    for region in dict.fromkeys(["", *regions]):
        problems += _region_problems(tree, region)
    return list(dict.fromkeys(problems))


def dependencies_of(edits: tuple[Edit, ...]) -> tuple[ReadDependency, ...]:
    """Return what the validity of edits depends on in addition to the paths that they change."""
    reads: dict[ReadDependency, None] = {}
    for edit in edits:
        path = parse_path(edit.path)
        for read in (*_dependent_field_reads(path), *_declaration_reads(path, edit.unset)):
            if read.path != edit.path or read.match is not Match.EXACT:
                reads[read] = None
    return tuple(reads)


def _dependent_field_reads(path: Path) -> list[ReadDependency]:
    return [
        ReadDependency(
            str(Path(Scope() if path.field == "models" else path.scope, name)), Match.OVERLAP
        )
        for group in _DEPENDENT_FIELDS
        if path.field in group
        for name in group
        if name != path.field or len(group) == 1
    ]


def _declaration_reads(path: Path, unset: bool) -> list[ReadDependency]:
    """Return the reads of declarations for an edit.

    A value below a service depends on the service's declaration; removing the service depends on
    all paths below it, since another operator may add one. The same goes for accounts.
    """
    reads = []
    for level, field in _DECLARED_BY.items():
        name = getattr(path.scope, level)
        if not name:
            continue
        declaration = Path(Scope(**{level: name}), field)
        reads.append(ReadDependency(str(declaration)))
        if unset and path == declaration:
            reads.append(ReadDependency(str(declaration), Match.UNDER))
    return reads


def _undeclared_problems(values: dict[Path, Any]) -> list[str]:
    problems = []
    for path in values:
        for level, field in _DECLARED_BY.items():
            name = getattr(path.scope, level)
            declaration = Path(Scope(**{level: name}), field) if name else None
            if declaration is not None and declaration not in values:
                problems.append(f"{path}: expected {declaration} to be set too, got none")
    return problems


def _operator_problems(values: dict[Path, Any]) -> list[str]:
    problems = []
    for path, allowed in values.items():
        if not path.scope.operator or path.field != "may_change" or not isinstance(allowed, list):
            continue
        for text in allowed:
            try:
                parse_scope(text)
            except (ValueError, AttributeError) as error:
                problems.append(f"{path}: {error}")
    return problems


def _limit_problems(limits: LimitSettings, place: str) -> list[str]:
    """Check that the longest allowed body fits into the total; otherwise it is never accepted."""
    if limits.upload_bytes >= limits.body_bytes:
        return []
    return [
        f"{place}limits.upload_bytes: expected at least limits.body_bytes {limits.body_bytes}, "
        f"got {limits.upload_bytes}"
    ]


def _region_problems(tree: SettingsTree, region: str) -> list[str]:
    resolver = Resolver(tree, region)
    place = f"region.{region}: " if region else ""
    problems = _limit_problems(resolver.build(LimitSettings, "limits."), place)
    model_owner: dict[str, str] = {}
    for name in resolver.services():
        service: ServiceSettings = resolver.build(ServiceSettings, service=name)
        where = f"{place}service.{name}"
        if service.floor_running > service.max_running:
            problems.append(
                f"{where}.floor_running: expected at most max_running {service.max_running}, "
                f"got {service.floor_running}"
            )
        if service.silence_s <= service.heartbeat_s:
            problems.append(
                f"{where}.silence_s: expected more than heartbeat_s {service.heartbeat_s:g}, "
                f"got {service.silence_s:g}"
            )
        for model in service.models:
            owner = model_owner.setdefault(model, name)
            if owner != name:
                problems.append(
                    f"{where}.models: expected {model!r} at one service, got it at {owner} too"
                )
    return problems
