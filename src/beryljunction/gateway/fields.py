"""Checks the fields of messages between entries; what no entry writes is an error."""

from typing import Any

__all__ = ["read_rows", "read_start", "read_text"]

# Limits of a message that is taken in: more can't come from an entry of this fleet.
_MOST_ROWS = 256
_MOST_CHARS = 128


def read_rows(rows: Any, what: str) -> list[Any]:
    """Return a list of a bounded length.

    Raises:
        ValueError: It is none.
    """
    if not isinstance(rows, list) or len(rows) > _MOST_ROWS:
        raise ValueError(f"expected a list of {_MOST_ROWS} {what} at most")
    return rows


def read_text(text: Any) -> str:
    """Return a name or id.

    Raises:
        ValueError: It is none, or longer than any.
    """
    if not isinstance(text, str) or len(text) > _MOST_CHARS:
        raise ValueError(f"expected a text of {_MOST_CHARS} characters at most")
    return text


def read_start(endpoint_id: Any, born_ms: Any) -> tuple[str, int]:
    """Return the id and birth of an endpoint.

    Raises:
        ValueError: They are none.
    """
    if not isinstance(born_ms, int):
        raise ValueError(f"expected an endpoint's birth in ms, got {born_ms!r}")
    return read_text(endpoint_id), born_ms
