"""Paths in the tree of settings: a scope and a field.

The levels are fleet > region > client account > service. A scope names some of the levels, in this
order, and a field follows: ``max_running``, ``service.drafter.max_running``,
``region.gj-west.service.drafter.max_running``. Operators have a level of their own, which inherits
nothing: ``operator.asha.may_change``.
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
    """The part of the fleet that a value is for; an empty name leaves a level open."""

    region: str = ""
    account: str = ""
    service: str = ""
    operator: str = ""

    def contains(self, other: "Scope") -> bool:
        """Whether everything in the other scope lies in this one."""
        pairs = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        return all(not own or own == others for own, others in pairs)

    def overlaps(self, other: "Scope") -> bool:
        """Whether some process, account and service lie in both scopes."""
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
    """One leaf of the tree.

    Attributes:
        field: Name of the setting; with its group where it has one, as in ``limits.body_bytes``.
    """

    scope: Scope
    field: str

    def __str__(self) -> str:
        return self.field if self.scope == FLEET else f"{self.scope}.{self.field}"


def parse_path(text: str) -> Path:
    """Return the path in its written form.

    The grammar is part of the rule by which all readers judge a record, so it is the same in all
    versions of the program; which fields exist is not.

    Raises:
        ValueError: When the text is not a path.
    """
    scope, rest = _split(text)
    if not rest or not all(_NAME.fullmatch(part) for part in rest):
        raise ValueError(f"{text}: expected [region.R.][account.A.][service.S.]FIELD")
    return Path(scope, ".".join(rest))


def parse_scope(text: str) -> Scope:
    """Return the scope in its written form; "fleet" is the whole.

    Raises:
        ValueError: When the text is not a scope.
    """
    scope, rest = _split("" if text == _FLEET else text)
    if rest:
        raise ValueError(f"{text}: expected 'fleet' or [region.R][.account.A][.service.S]")
    return scope


def _split(text: str) -> tuple[Scope, list[str]]:
    rest = text.split(".") if text else []
    names = {}
    for level in (*_LEVELS, _OPERATOR):
        if len(rest) > 1 and rest[0] == level and _NAME.fullmatch(rest[1]):
            names[level] = rest[1]
            rest = rest[2:]
    if len(names) > 1 and _OPERATOR in names:
        raise ValueError(f"{text}: expected operator.NAME alone")
    return Scope(**names), rest
