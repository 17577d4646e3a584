"""Validates messages between entries and their fields."""

from collections.abc import Callable
from typing import Any, TypeVar

from beryljunction.platform import InvalidRecord
from beryljunction.platform.fields import (
    MAX_INTEGER,
    MAX_TEXT_CHARS,
    FieldError,
    describe,
    finite_number,
    is_text,
    parse_json,
    whole_number,
)

__all__ = [
    "decode_message",
    "read_bytes",
    "read_key",
    "read_number",
    "read_position",
    "read_rows",
    "read_start",
    "read_text",
    "read_whole",
]

Message = TypeVar("Message")

# Limits of a received message; no entry sends more.
_MAX_ROWS = 256
_MAX_CHARS = 128
# Positions in a topic have 48 bits for the offset and 16 for the era.
_MAX_POSITION = 2**64 - 1


def decode_message(
    parse: Callable[[Any], Message], data: bytes, what: str
) -> Message | InvalidRecord:
    """Return the message that `parse` makes of JSON, or the problem; nothing is raised."""
    try:
        return parse(parse_json(data))
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        return InvalidRecord(f"expected {what}, got {type(error).__name__} {error!s:.200}")


def read_rows(rows: Any, what: str) -> list[Any]:
    """Return a list after checking its type and length.

    Raises:
        FieldError: The value is not a list, or the list is too long.
    """
    if not isinstance(rows, list) or len(rows) > _MAX_ROWS:
        raise FieldError(f"expected a list of {_MAX_ROWS} {what} at most, got {describe(rows)}")
    return rows


def read_text(text: Any, max_chars: int = _MAX_CHARS) -> str:
    """Return a name after checking its type and length.

    Raises:
        FieldError: The value is not a string, or the string is too long or can't be encoded.
    """
    if not is_text(text, max_chars):
        expected = f"a string of {max_chars} characters at most"
        raise FieldError(f"expected {expected}, got {describe(text)}")
    return str(text)


def read_key(text: Any) -> str:
    """Return a key of the store, or what a record under one may name, as `read_text` does."""
    return read_text(text, MAX_TEXT_CHARS)


def read_bytes(text: Any) -> bytes:
    """Return the bytes that a message has as Latin-1 text.

    Raises:
        FieldError: The value is not such a text.
    """
    if not isinstance(text, str):
        raise FieldError(f"expected a record as text, got {describe(text)}")
    return text.encode("latin-1")


def read_whole(value: Any, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Return a whole number after checking its type and range.

    Raises:
        FieldError: It is not a number, or out of range.
    """
    if not isinstance(value, int) or whole_number(value, minimum, maximum) is None:
        raise FieldError(f"expected a whole number from {minimum} on, got {describe(value)}")
    return value


def read_position(value: Any) -> int:
    """Return a position in a topic; -1 stands for none.

    Raises:
        FieldError: It is not a number, or out of range.
    """
    return read_whole(value, -1, _MAX_POSITION)


def read_number(value: Any, minimum: float, maximum: float) -> float:
    """Return a number after checking its type and range.

    Raises:
        FieldError: It is not a number, or out of range.
    """
    number = finite_number(value, minimum, maximum)
    if number is None:
        expected = f"a number from {minimum:g} to {maximum:g}"
        raise FieldError(f"expected {expected}, got {describe(value)}")
    return number


def read_start(endpoint_id: Any, started_ms: Any) -> tuple[str, int]:
    """Return the id and start time of an endpoint after checking their types.

    Raises:
        FieldError: One of them has the wrong type or is out of range, or the id is too long.
    """
    return read_key(endpoint_id), read_whole(started_ms)
