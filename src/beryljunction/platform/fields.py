"""Checks of what comes from outside the process: JSON, numbers and texts of any kind.

Each check is total: it returns a value, or None for anything out of range.
"""

import json
import re
from typing import Any

import attrs

__all__ = [
    "FieldError",
    "InvalidRecord",
    "MAX_INTEGER",
    "MAX_TEXT_CHARS",
    "describe",
    "finite_number",
    "is_header_text",
    "is_text",
    "parse_digits",
    "parse_json",
    "whole_number",
]

MAX_INTEGER = 2**63 - 1
# Keys of the store have at most this many bytes, and names of services and hosts become keys.
MAX_TEXT_CHARS = 255
_MAX_NUMBER = 1e15
_MAX_DIGITS = 32
_MAX_SHOWN_CHARS = 80
_CONTROL = re.compile("[\x00-\x1f\x7f]")


@attrs.frozen
class InvalidRecord:
    """A record that can't be used; the problem has the location, expected and actual value."""

    problem: str


class FieldError(ValueError):
    """A field is missing or has an invalid value; decoders return it as an `InvalidRecord`."""


def parse_json(data: bytes) -> Any:
    """Parse JSON.

    Raises:
        FieldError: It can't be parsed, it has an integer of thousands of digits, or it is nested
            too deeply.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"expected JSON, got {error}") from error


def whole_number(value: Any, minimum: int = 0, maximum: int = MAX_INTEGER) -> int | None:
    """Return a number without its fraction; None for anything else and out of range."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return int(value) if is_number and minimum <= value <= maximum else None


def finite_number(
    value: Any, minimum: float = -_MAX_NUMBER, maximum: float = _MAX_NUMBER
) -> float | None:
    """Return a number as a float; None for anything else, NaN, infinities and out of range."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and minimum <= value <= maximum else None


def parse_digits(text: bytes) -> int | None:
    """Return a number in decimal digits; None for anything else and for many digits."""
    digits = text.strip()
    return int(digits) if digits.isdigit() and len(digits) <= _MAX_DIGITS else None


def is_text(value: Any, max_chars: int = MAX_TEXT_CHARS) -> bool:
    """Return whether a value is a string that can be encoded, up to a number of characters.

    JSON may have a lone surrogate in a string, which no message, header or digest can hold.
    """
    if not isinstance(value, str) or len(value) > max_chars:
        return False
    try:
        return value.isascii() or bool(value.encode())
    except UnicodeEncodeError:
        return False


def is_header_text(value: Any, max_chars: int = MAX_TEXT_CHARS) -> bool:
    """Return whether a value is a text that a header can hold, without control characters."""
    return is_text(value, max_chars) and bool(value) and _CONTROL.search(value) is None


def describe(value: Any) -> str:
    """Return a value for an error message; of containers, which may be deep, only the type."""
    if value is None or isinstance(value, bool | int | float | str | bytes):
        return f"{value!r:.{_MAX_SHOWN_CHARS}}"
    return type(value).__name__
