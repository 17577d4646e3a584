"""Validation rules of the fields: type, unit, range and the levels where each may be set.

The fields are those of the classes in :mod:`beryljunction.settings.schema`. A range that is not
listed here follows from the field's unit.
"""

import functools
import re
import types
from typing import Any, get_args, get_origin

import attrs

from beryljunction.settings.paths import Path
from beryljunction.settings.schema import (
    AccountSettings,
    LimitSettings,
    OperatorSettings,
    ServiceSettings,
    WeightSettings,
)

__all__ = ["FieldRule", "rule_of", "value_problem"]

_FIELD_BOUNDS: dict[str, tuple[float, float]] = {
    "load_multiple": (1.0, 10.0),
    "max_running": (1, 4096),
    "floor_running": (1, 4096),
    "quantum_tokens": (1, 1_000_000),
    "priority": (-100, 100),
    "handover_s": (0.0, 600.0),
    "weight": (0.001, 1000.0),
    "deadline_s": (0.1, 3600.0),
    "heartbeat_s": (0.05, 60.0),
    "silence_s": (0.1, 600.0),
    "limits.request_s": (1.0, 86_400.0),
    "weights.parallel_loads": (1, 10_000),
    "weights.load_s": (1.0, 86_400.0),
}
_UNIT_BOUNDS: dict[str, tuple[float, float]] = {
    "_s": (0.0, 2_592_000.0),
    "_ms": (0.0, 2_592_000_000.0),
    "_bytes": (0, 2**40),
    "_tokens": (0, 10**9),
    "_ratio": (0.0, 1.0),
}
_UNITS = {"_s": "seconds", "_ms": "milliseconds", "_bytes": "bytes", "_tokens": "tokens"}
_DEFAULT_BOUNDS = (0, 10**9)
_CHOICES = {"kind": ("engine", "plain"), "role": ("both", "prefill", "decode")}
_SHA256 = re.compile(r"[0-9a-f]{64}")
# Service fields that an account may override; the others describe endpoints, which are shared.
_PER_ACCOUNT = frozenset(
    ("deadline_s", "max_waiting_per_account", "idempotent", "priority", "resume_s")
)
_GROUPS = {"limits": LimitSettings, "weights": WeightSettings}


@attrs.frozen
class FieldRule:
    """Allowed values of one field, and the levels where it may be set.

    Attributes:
        type: Python type of the value; a tuple stands for a list of strings.
        bounds: Smallest and largest number; None for other types.
        levels: Levels that a scope of this field may name.
        default: Value if no scope sets the field; None when there is no default.
    """

    name: str
    type: type
    bounds: tuple[float, float] | None
    choices: tuple[str, ...]
    levels: frozenset[str]
    default: Any = None

    @property
    def expected(self) -> str:
        """Description of the allowed values, for error messages."""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        if self.type is tuple:
            return "a list of strings"
        if self.name == "key_sha256":
            return "64 lowercase hexadecimal digits"
        if self.bounds is None:
            return {str: "a string", bool: "true or false"}[self.type]
        unit = next((u for s, u in _UNITS.items() if self.name.endswith(s)), "")
        noun = "a whole number" if self.type is int else "a number"
        of_unit = f" of {unit}" if unit else ""
        return f"{noun}{of_unit} from {self.bounds[0]:g} to {self.bounds[1]:g}"

    def accepts(self, value: Any) -> bool:
        """Return whether a value has the right type and is in the range."""
        if self.type is tuple:
            is_list = isinstance(value, (list, tuple))
            return is_list and all(isinstance(item, str) and item for item in value)
        if self.type is bool or isinstance(value, bool):
            return self.type is bool and isinstance(value, bool)
        if self.bounds is not None:
            accepted = (int,) if self.type is int else (int, float)
            return isinstance(value, accepted) and self.bounds[0] <= value <= self.bounds[1]
        return isinstance(value, str) and self._accepts_text(value)

    def _accepts_text(self, value: str) -> bool:
        if self.name == "key_sha256":
            return _SHA256.fullmatch(value) is not None
        return not self.choices or value in self.choices


def rule_of(path: Path) -> FieldRule | None:
    """Return the rule of a path's field, or None when this program does not know the field."""
    return _operator_rules().get(path.field) if path.scope.operator else _rules().get(path.field)


def value_problem(path: Path, value: Any) -> str | None:
    """Return the problem of a value: path, expected and actual value; None if it is valid."""
    rule = rule_of(path)
    if rule is None:
        return f"{path}: expected a known field, got {path.field!r}"
    used_levels = {
        level for level in ("region", "account", "service") if getattr(path.scope, level)
    }
    if not used_levels <= rule.levels:
        allowed = " > ".join(["fleet", *sorted(rule.levels, key=_level_order)])
        return f"{path}: expected {rule.name} at one of {allowed}, got it at {path.scope}"
    if rule.name == "key_sha256" and not (path.scope.account or path.scope.operator):
        return f"{path}: expected key_sha256 below an account or operator, got it at {path.scope}"
    if not rule.accepts(value):
        return f"{path}: expected {rule.expected}, got {type(value).__name__} {value!r}"
    return None


def _level_order(level: str) -> int:
    return ("region", "account", "service").index(level)


@functools.cache
def _rules() -> dict[str, FieldRule]:
    service = frozenset(("region", "service"))
    rules = _rules_of(ServiceSettings, "", service)
    for name in _PER_ACCOUNT & rules.keys():
        rules[name] = attrs.evolve(rules[name], levels=service | {"account"})
    rules |= _rules_of(AccountSettings, "", frozenset(("region", "account")))
    for group, cls in _GROUPS.items():
        rules |= _rules_of(cls, f"{group}.", frozenset(("region",)))
    return rules


@functools.cache
def _operator_rules() -> dict[str, FieldRule]:
    return _rules_of(OperatorSettings, "", frozenset())


def _rules_of(cls: type, prefix: str, levels: frozenset[str]) -> dict[str, FieldRule]:
    rules = {}
    for field in attrs.fields(attrs.resolve_types(cls)):
        kind = _plain_type(field.type)
        name = prefix + field.name
        bounds = _bounds_of(name) if kind in (int, float) else None
        choices = _CHOICES.get(name, ())
        default = None if field.default is attrs.NOTHING else field.default
        rules[name] = FieldRule(name, kind, bounds, choices, levels, default)
    return rules


def _plain_type(annotation: Any) -> type:
    if isinstance(annotation, types.UnionType):
        annotation = next(arg for arg in get_args(annotation) if arg is not type(None))
    origin = get_origin(annotation)
    kind: type = origin if origin is not None else annotation
    return kind


def _bounds_of(name: str) -> tuple[float, float]:
    by_unit = (bounds for suffix, bounds in _UNIT_BOUNDS.items() if name.endswith(suffix))
    return _FIELD_BOUNDS.get(name) or next(by_unit, _DEFAULT_BOUNDS)
