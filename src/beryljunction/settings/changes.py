"""Changes of the tree, as they stand on the log, and what became of each."""

import enum
from typing import Any

import attrs
import cattrs

from beryljunction.settings.paths import Path, parse_path

__all__ = [
    "CHANGES_STREAM",
    "SNAPSHOTS_STREAM",
    "Accepted",
    "Change",
    "Conflict",
    "Edit",
    "Match",
    "Read",
    "Refused",
    "Skipped",
    "Verdict",
]

CHANGES_STREAM = "settings-changes"
SNAPSHOTS_STREAM = "settings-snapshots"

_converter = cattrs.Converter(omit_if_default=True)


class Match(enum.StrEnum):
    """Which paths a read covers."""

    EXACT = "exact"
    OVERLAP = "overlap"
    UNDER = "under"


@attrs.frozen
class Read:
    """A part of the tree that a change relied on besides the paths that it edits.

    Attributes:
        path: The path read; with ``Match.UNDER`` its field is not looked at.
        match: The path alone, the field at all overlapping scopes, or all below the scope.
    """

    path: str
    match: Match = Match.EXACT

    def covers(self, changed: Path) -> bool:
        """Whether a change of that path touches what was read."""
        own = parse_path(self.path)
        if self.match is Match.UNDER:
            return own.scope.contains(changed.scope)
        if self.match is Match.OVERLAP:
            return own.field == changed.field and own.scope.overlaps(changed.scope)
        return own == changed


@attrs.frozen
class Edit:
    """One path set to a value, or unset so that it inherits again."""

    path: str
    value: Any = None
    unset: bool = False


@attrs.frozen
class Change:
    """What an operator publishes.

    Attributes:
        change_id: Unique id, by which a lost answer is looked up.
        base: Version of the tree that the operator saw.
        reads: What the change's validity relied on. It travels with the change, so that readers
            of other program versions, which know other rules, judge it alike.
    """

    change_id: str
    base: int
    operator: str
    edits: tuple[Edit, ...]
    reads: tuple[Read, ...] = ()
    note: str = ""

    def to_data(self) -> Any:
        """Return the record's data; the id stands beside it in the record."""
        data = _converter.unstructure(self)
        return {"kind": "change", **{k: v for k, v in data.items() if k != "change_id"}}

    @staticmethod
    def from_data(change_id: str, data: Any) -> "Change":
        """Return the change in a record.

        Raises:
            ValueError: When the data is no change; readers skip such a record.
        """
        try:
            if data["kind"] != "change" or not data["edits"]:
                raise ValueError("expected a change with edits")
            _check_scalars(data)
            fields = {k: v for k, v in data.items() if k != "kind"}
            change = _converter.structure({"change_id": change_id, **fields}, Change)
            for path in [edit.path for edit in change.edits] + [read.path for read in change.reads]:
                parse_path(path)
        except (cattrs.BaseValidationError, KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"expected a change, got {str(data)[:80]}: {error}") from error
        return change


def _check_scalars(data: Any) -> None:
    if type(data["base"]) is not int or type(data["operator"]) is not str:
        raise ValueError("expected a version as base and a name as operator")


@attrs.frozen
class Conflict:
    """A path that somebody else changed after the base.

    Attributes:
        version: Version since which the winner's value is in force.
        value: The winner's value; None when the winner unset the path.
    """

    path: str
    operator: str
    change_id: str
    version: int
    value: Any


@attrs.frozen
class Accepted:
    """The change is in force from this version on."""

    version: int


@attrs.frozen
class Refused:
    """The change has no effect, at any reader."""

    reason: str
    conflicts: tuple[Conflict, ...] = ()


@attrs.frozen
class Skipped:
    """The record is no change that can be judged; it has no effect, at any reader."""

    reason: str


Verdict = Accepted | Refused | Skipped
