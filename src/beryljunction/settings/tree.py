"""The settings tree, built from the log's records; it is the same at every reader.

Whether a change is accepted depends only on the record and the tree before it. Types and ranges
are not checked here: they may differ between two program versions, and the trees of the fleet would
diverge permanently if one version accepted a record that the other refused. Values are validated
before they are published and again when they are used (:mod:`beryljunction.settings.resolver`).
"""

import json
from typing import Any

import attrs
import xxhash

from beryljunction.settings.changes import (
    Accepted,
    Change,
    Conflict,
    Edit,
    Refused,
    Skipped,
    Verdict,
)
from beryljunction.settings.paths import Path, Scope, parse_path, parse_scope
from beryljunction.stores.log import LogRecord

__all__ = ["Leaf", "SettingsTree"]

# Removed paths are kept for this many versions to detect conflicts with changes that have an older
# base. 20,000 records are nine days of changes at the target of 2,100 a day. A change with a base
# before that is refused, and the operator has to publish it again.
_MAX_BASE_AGE_VERSIONS = 20_000
_CLEANUP_INTERVAL_VERSIONS = 1_000


@attrs.frozen
class Leaf:
    """The newest change of one path.

    Attributes:
        value: The value in force; None when the path was unset.
        is_set: False for a path that was unset and inherits again.
        version: Version that set or unset the path.
    """

    value: Any
    is_set: bool
    version: int
    operator: str
    change_id: str


class SettingsTree:
    """Leaves by path. The version is the offset of the last record that was applied."""

    def __init__(self, version: int = 0, leaves: dict[Path, Leaf] | None = None) -> None:
        self.version = version
        self.leaves = leaves if leaves is not None else {}

    def apply(self, record: LogRecord) -> Verdict:
        """Apply the next record; the version advances whatever the verdict is."""
        verdict = self._evaluate(record)
        self.version = record.offset
        if self.version % _CLEANUP_INTERVAL_VERSIONS == 0:
            self._drop_old_removals()
        return verdict

    def value(self, path: Path) -> Any:
        """Return the value set at exactly this path, or None."""
        leaf = self.leaves.get(path)
        return leaf.value if leaf is not None else None

    def values(self) -> dict[Path, Any]:
        """Return the values of all paths that are set, sorted by path."""
        return {path: leaf.value for path, leaf in sorted(self.leaves.items()) if leaf.is_set}

    def with_edits(self, edits: tuple[Edit, ...]) -> "SettingsTree":
        """Return a copy with the edits applied, to validate them before they are published."""
        copy = SettingsTree(self.version, dict(self.leaves))
        copy._write(Change("", self.version, "", edits), self.version)
        return copy

    def to_data(self) -> Any:
        """Return the data of a snapshot of the tree."""
        leaves = [[str(path), *attrs.astuple(leaf)] for path, leaf in sorted(self.leaves.items())]
        return {"kind": "snapshot", "version": self.version, "leaves": leaves}

    @staticmethod
    def from_data(data: Any) -> "SettingsTree":
        """Decode the data of a snapshot.

        Raises:
            ValueError: When the data is not a snapshot.
        """
        try:
            if data["kind"] != "snapshot" or type(data["version"]) is not int:
                raise ValueError("expected a snapshot with a version")
            leaves = {parse_path(row[0]): _leaf_of(row, data["version"]) for row in data["leaves"]}
        except (KeyError, TypeError, IndexError, AttributeError) as error:
            raise ValueError(f"expected a snapshot, got {str(data)[:80]}: {error}") from error
        return SettingsTree(data["version"], leaves)

    def digest(self) -> str:
        """Return a hash of the whole tree; all trees of one version must have the same hash."""
        text = json.dumps(self.to_data(), sort_keys=True, separators=(",", ":"))
        return xxhash.xxh3_64_hexdigest(text.encode())

    def may_change(self, operator: str, scope: Scope) -> bool:
        """Return whether an operator may change a scope; if no operators are set, everyone may."""
        operators = {path.scope.operator for path in self.values() if path.scope.operator}
        if not operators:
            return True
        allowed = self.value(Path(Scope(operator=operator), "may_change"))
        if not isinstance(allowed, list):
            return False
        return any(_covers(text, scope) for text in allowed)

    def _evaluate(self, record: LogRecord) -> Verdict:
        try:
            change = Change.from_data(record.record_id, record.data)
        except ValueError as error:
            return Skipped(str(error))
        if not record.offset - _MAX_BASE_AGE_VERSIONS <= change.base < record.offset:
            return Refused(f"expected a recent base below {record.offset}, got {change.base}")
        for edit in change.edits:
            if not self.may_change(change.operator, parse_path(edit.path).scope):
                return Refused(f"{edit.path}: operator {change.operator!r} may not change it")
        conflicts = self._conflicts(change)
        if conflicts:
            return Refused("changed since the base", conflicts)
        self._write(change, record.offset)
        return Accepted(record.offset)

    def _conflicts(self, change: Change) -> tuple[Conflict, ...]:
        """Return the paths that this change edits or depends on and that changed since its base.

        Ten operators and their scripts make 2,100 changes a day. If the base were compared with
        the version of the whole tree, nearly all changes of a burst would be refused although they
        are unrelated; compared by path, only true conflicts are (docs/design/settings.md).
        """
        edited = {parse_path(edit.path) for edit in change.edits}
        newer = [(path, leaf) for path, leaf in self.leaves.items() if leaf.version > change.base]
        return tuple(
            Conflict(str(path), leaf.operator, leaf.change_id, leaf.version, leaf.value)
            for path, leaf in sorted(newer)
            if path in edited or any(read.covers(path) for read in change.reads)
        )

    def _write(self, change: Change, version: int) -> None:
        for edit in change.edits:
            value = None if edit.unset else edit.value
            leaf = Leaf(value, not edit.unset, version, change.operator, change.change_id)
            self.leaves[parse_path(edit.path)] = leaf

    def _drop_old_removals(self) -> None:
        oldest = self.version - _MAX_BASE_AGE_VERSIONS
        expired_paths = [
            p for p, leaf in self.leaves.items() if not leaf.is_set and leaf.version < oldest
        ]
        for path in expired_paths:
            del self.leaves[path]


def _leaf_of(row: Any, newest: int) -> Leaf:
    leaf = Leaf(*row[1:])
    if type(leaf.is_set) is not bool or type(leaf.version) is not int or leaf.version > newest:
        raise ValueError(f"expected a leaf of a snapshot of version {newest}, got {row}")
    return leaf


def _covers(text: Any, scope: Scope) -> bool:
    try:
        return parse_scope(text).contains(scope)
    except (ValueError, AttributeError):
        return False
