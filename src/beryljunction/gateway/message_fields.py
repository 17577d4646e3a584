"""Validates the fields of messages between entries."""

from typing import Any

__all__ = ["read_rows", "read_start", "read_text"]

# Limits of a received message; no entry sends more.
_MAX_ROWS = 256
_MAX_CHARS = 128


def read_rows(rows: Any, what: str) -> list[Any]:
    """Return a list after checking its type and length.

    Raises:
        ValueError: The value is not a list, or the list is too long.
    """
    if not isinstance(rows, list) or len(rows) > _MAX_ROWS:
        raise ValueError(f"expected a list of {_MAX_ROWS} {what} at most, got {rows!r:.80}")
    return rows


def read_text(text: Any) -> str:
    """Return a name or id after checking its type and length.

    Raises:
        ValueError: The value is not a string, or the string is too long.
    """
    if not isinstance(text, str) or len(text) > _MAX_CHARS:
        raise ValueError(f"expected a string of {_MAX_CHARS} characters at most, got {text!r:.80}")
    return text


def read_start(endpoint_id: Any, started_ms: Any) -> tuple[str, int]:
    """Return the id and start time of an endpoint after checking their types.

    Raises:
        ValueError: One of them has the wrong type, or the id is too long.
    """
    if not isinstance(started_ms, int):
        raise ValueError(f"expected an endpoint's start time in ms, got {started_ms!r}")
    return read_text(endpoint_id), started_ms
