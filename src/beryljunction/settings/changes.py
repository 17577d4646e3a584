"""Changes to the settings tree, their encoding on the log, and the verdicts on them."""

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
    "ReadDependency",
    "Refused",
    "Skipped",
    "Verdict",
]

CHANGES_STREAM = "settings-changes"
SNAPSHOTS_STREAM = "settings-snapshots"

_converter = cattrs.Converter(omit_if_default=True)


class Match(enum.StrEnum):
    """Which changed paths a read covers."""

    EXACT = "exact"
    OVERLAP = "overlap"
    UNDER = "under"


@attrs.frozen
class ReadDependency:
    """A part of the tree that a change depends on, in addition to the paths that it edits.

    Attributes:
        path: The path read; with ``Match.UNDER`` its field is ignored.
        match: The path alone, the field in all overlapping scopes, or everything below the scope.
    """

    path: str
    match: Match = Match.EXACT

    def covers(self, changed: Path) -> bool:
        """Return whether a change of this path affects the part that was read."""
        own = parse_path(self.path)
        if self.match is Match.UNDER:
            return own.scope.contains(changed.scope)
        if self.match is Match.OVERLAP:
            return own.field == changed.field and own.scope.overlaps(changed.scope)
        return own == changed


@attrs.frozen
class Edit:
    """Sets one path to a value, or unsets it so that it inherits again."""

    path: str
    value: Any = None
    unset: bool = False


@attrs.frozen
class Change:
    """A set of edits that an operator publishes together.

    Attributes:
        change_id: Unique id, used to find the change on the log after a lost response.
        base: Version of the tree that the operator saw.
        reads: Parts of the tree that the change's validity depends on. They are stored in the
            record, so that readers of other program versions, which have other rules, reach the
            same verdict.
    """

    change_id: str
    base: int
    operator: str
    edits: tuple[Edit, ...]
    reads: tuple[ReadDependency, ...] = ()
    note: str = ""

    def to_data(self) -> Any:
        """Return the data of the record; the record has the id in a field of its own."""
        data = _converter.unstructure(self)
        return {"kind": "change", **{k: v for k, v in data.items() if k != "change_id"}}

    @staticmethod
    def from_data(change_id: str, data: Any) -> "Change":
        """Decode the change in a record.

        Raises:
            ValueError: When the data is not a change; readers skip such a record.
        """
        try:
            if data["kind"] != "change" or not data["edits"]:
                raise ValueError("expected a change with edits")
            _check_types(data)
            fields = {k: v for k, v in data.items() if k != "kind"}
            change = _converter.structure({"change_id": change_id, **fields}, Change)
            for path in [edit.path for edit in change.edits] + [read.path for read in change.reads]:
                parse_path(path)
        except (cattrs.BaseValidationError, KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"expected a change, got {str(data)[:80]}: {error}") from error
        return change


def _check_types(data: Any) -> None:
    if type(data["base"]) is not int or type(data["operator"]) is not str:
        raise ValueError("expected an integer as base and a string as operator")


@attrs.frozen
class Conflict:
    """A path that another change edited after the base.

    Attributes:
        version: Version since which the other change's value is in force.
        value: The other change's value; None when it unset the path.
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
    """The change conflicts or is not allowed; it has no effect on any reader."""

    reason: str
    conflicts: tuple[Conflict, ...] = ()


@attrs.frozen
class Skipped:
    """The record can't be decoded as a change; it has no effect on any reader."""

    reason: str


Verdict = Accepted | Refused | Skipped
