"""What the store answers to reads, and its form on the wire."""

import base64
import struct
from typing import Any

import attrs

from beryljunction.platform.positions import era_of, offset_of, position_of

__all__ = [
    "Expired",
    "Newest",
    "Page",
    "Record",
    "Records",
    "Unavailable",
    "decode_page",
    "decode_records",
    "encode_record",
]

_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")


@attrs.frozen
class Record:
    """The value that a key got; None where the key was removed."""

    key: str
    value: bytes | None


@attrs.frozen
class Records:
    """Records from the asked position on.

    Attributes:
        next_offset: Position from which to read on.
    """

    records: tuple[Record, ...]
    next_offset: int


@attrs.frozen
class Newest:
    """The newest record of each key.

    Attributes:
        next_offset: Position from which to read what was written while the pages were fetched.
    """

    records: tuple[Record, ...]
    next_offset: int


@attrs.frozen
class Expired:
    """The asked records are no longer there; the newest of each key are to be fetched."""


@attrs.frozen
class Unavailable:
    """No usable answer; reading again is harmless."""

    reason: str


def encode_record(content: bytes) -> bytes:
    """Return a record as it is appended."""
    return _LENGTH.pack(len(content)) + content


@attrs.frozen
class Page:
    """A page of the newest records of keys; `end` is a position."""

    records: tuple[Record, ...]
    end: int
    has_more: bool


def decode_page(page: Any, era: int) -> Page:
    """Decode a page of the newest records of keys."""
    records = tuple(
        Record(row["key"], base64.b64decode(row["value"]) or None) for row in page["items"]
    )
    return Page(records, position_of(era, int(page["end"])), bool(page.get("has-more")))


def decode_records(body: bytes, asked: int) -> Records | Expired:
    """Decode the end and first offset (8 bytes each), then length-prefixed records.

    A position behind the end was never read here: another entry told it wrongly, and reading on
    from there would wait for ever. The newest records say where the topic really is.
    """
    end, first = _ENDS.unpack_from(body)
    offset = offset_of(asked)
    if offset > end:
        return Expired()
    start = max(offset, first)
    position = _ENDS.size
    records: list[Record] = []
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise ValueError("a record that ends early")
        records.append(_decode_keyed(body[position : position + length]))
        position += length
    return Records(tuple(records), position_of(era_of(asked), start + len(records)))


def _decode_keyed(content: bytes) -> Record:
    """Decode one byte of key length, the key, and the value; no value removes the key."""
    key_end = 1 + (content[0] if content else 0)
    key = content[1:key_end].decode(errors="replace")
    return Record(key, content[key_end:] or None)
