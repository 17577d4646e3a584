"""JSON encoding of messages, load rows and error bodies."""

import json
from typing import Any, TypeVar

import attrs
import cattrs

from beryljunction.loads import LoadRow
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode

__all__ = [
    "decode",
    "decode_load_rows",
    "encode",
    "encode_load_rows",
    "encode_refusal",
    "decode_refusal",
]

T = TypeVar("T")

_CLIENT_ERROR_CODES = frozenset(
    (
        RefusalCode.BAD_REQUEST,
        RefusalCode.UNAUTHENTICATED,
        RefusalCode.NOT_FOUND,
        RefusalCode.TOO_LARGE,
        RefusalCode.KEY_REUSED,
    )
)

_converter = cattrs.Converter(omit_if_default=True)
_row_converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)


def encode(message: Any) -> bytes:
    """Return an attrs message as compact JSON; fields with default values are omitted."""
    plain = _converter.unstructure(message)
    return json.dumps(plain, separators=(",", ":")).encode()


def decode(data: bytes, cls: type[T]) -> T:
    """Return the message decoded from JSON bytes.

    Raises:
        ValueError: When the bytes are not JSON or do not fit the class.
    """
    try:
        return _converter.structure(json.loads(data), cls)
    except (cattrs.BaseValidationError, KeyError, TypeError) as error:
        raise ValueError(f"expected a {cls.__name__}, got {data[:80]!r}: {error}") from error


def encode_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON error body, which has one format for fleet processes and callers.

    ``type`` and ``param`` are included because common chat API clients expect them.
    """
    fields = attrs.asdict(refusal, filter=lambda _, value: value is not None)
    kind = "invalid_request_error" if refusal.code in _CLIENT_ERROR_CODES else "server_error"
    error = {**fields, "type": kind, "param": None, "request_id": request_id}
    return json.dumps({"error": error}).encode()


def decode_refusal(data: bytes) -> Refusal:
    """Return the refusal in an error body.

    A body that can't be decoded doesn't prove whether the request ran, so the result is unknown.
    """
    try:
        fields = json.loads(data)["error"]
        return _converter.structure(fields, Refusal)
    except (cattrs.BaseValidationError, ValueError, KeyError, TypeError):
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, "unreadable answer", ExecutionStatus.UNKNOWN)


def encode_load_rows(rows: list[LoadRow]) -> bytes:
    """Return load rows as JSON arrays; field names would make up most of the bytes."""
    return json.dumps([attrs.astuple(row) for row in rows], separators=(",", ":")).encode()


def decode_load_rows(data: bytes) -> list[LoadRow]:
    """Return the load rows decoded from JSON bytes.

    Raises:
        ValueError: When the bytes are not JSON or do not fit.
    """
    try:
        return [_row_converter.structure(row, LoadRow) for row in json.loads(data)]
    except (cattrs.BaseValidationError, KeyError, TypeError, IndexError) as error:
        raise ValueError(f"expected load rows, got {data[:80]!r}: {error}") from error
