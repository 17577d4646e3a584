"""Paths in the settings tree: a scope and a field.

The levels are fleet > region > client account > service. A scope names some of the levels in this
order, followed by a field: ``max_running``, ``service.drafter.max_running``,
``region.gj-west.service.drafter.max_running``. Operators have a separate level, which does not
inherit: ``operator.asha.may_change``.
"""

import re

import attrs

__all__ = ["FLEET", "Path", "Scope", "parse_path", "parse_scope"]

_LEVELS = ("region", "account", "service")
_OPERATOR = "operator"
_NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")
_FLEET = "fleet"


@attrs.frozen(order=True)
class Scope:
    """The part of the fleet that a value applies to; an empty name matches the whole level."""

    region: str = ""
    account: str = ""
    service: str = ""
    operator: str = ""

    def contains(self, other: "Scope") -> bool:
        """Return whether the other scope lies within this one."""
        pairs = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        return all(not own or own == others for own, others in pairs)

    def overlaps(self, other: "Scope") -> bool:
        """Return whether some combination of region, account and service lies in both scopes."""
        if bool(self.operator) != bool(other.operator):
            return False
        pairs = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        return all(not own or not others or own == others for own, others in pairs)

    def __str__(self) -> str:
        named = [(level, getattr(self, level)) for level in (*_LEVELS, _OPERATOR)]
        return ".".join(f"{level}.{name}" for level, name in named if name) or _FLEET


FLEET = Scope()


@attrs.frozen(order=True)
class Path:
    """The path of one leaf of the tree.

    Attributes:
        field: Name of the setting, with its group if it has one, as in ``limits.body_bytes``.
    """

    scope: Scope
    field: str

    def __str__(self) -> str:
        return self.field if self.scope == FLEET else f"{self.scope}.{self.field}"


def parse_path(text: str) -> Path:
    """Parse a path.

    All readers must reach the same verdict on a record, so this grammar must not change between
    program versions; the set of fields may.

    Raises:
        ValueError: When the text is not a path.
    """
    scope, rest = _split_scope(text)
    if not rest or not all(_NAME.fullmatch(part) for part in rest):
        raise ValueError(f"{text}: expected [region.R.][account.A.][service.S.]FIELD")
    return Path(scope, ".".join(rest))


def parse_scope(text: str) -> Scope:
    """Parse a scope; "fleet" is the whole fleet.

    Raises:
        ValueError: When the text is not a scope.
    """
    scope, rest = _split_scope("" if text == _FLEET else text)
    if rest:
        raise ValueError(f"{text}: expected 'fleet' or [region.R][.account.A][.service.S]")
    return scope


def _split_scope(text: str) -> tuple[Scope, list[str]]:
    rest = text.split(".") if text else []
    names = {}
    for level in (*_LEVELS, _OPERATOR):
        if len(rest) > 1 and rest[0] == level and _NAME.fullmatch(rest[1]):
            names[level] = rest[1]
            rest = rest[2:]
    if len(names) > 1 and _OPERATOR in names:
        raise ValueError(f"{text}: expected operator.NAME without another level")
    return Scope(**names), rest
