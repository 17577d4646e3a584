"""Results of reads from the store, and their encoding on the wire."""

import base64
import struct
from typing import Any

import attrs

from beryljunction.platform.positions import era_of, offset_of, position_of

__all__ = [
    "Expired",
    "NewestRecords",
    "Page",
    "Record",
    "Records",
    "Unavailable",
    "decode_end",
    "decode_page",
    "decode_records",
    "encode_record",
]

_LENGTH_PREFIX = struct.Struct(">I")
_END_AND_FIRST = struct.Struct(">QQ")


@attrs.frozen
class Record:
    """A key and its new value; the value is None if the key was removed."""

    key: str
    value: bytes | None


@attrs.frozen
class Records:
    """Records from the requested position on, as many as fit into one answer.

    Attributes:
        next_position: Position for the next read.
        end: Position of the topic's end when the store answered; the answer stops before it if
            there are more records than the store returns at once.
    """

    records: tuple[Record, ...]
    next_position: int
    end: int

    @property
    def is_complete(self) -> bool:
        """Whether the records reach the end of the topic, so that nothing newer existed."""
        return self.next_position >= self.end


@attrs.frozen
class NewestRecords:
    """The newest record of each key.

    Attributes:
        next_position: Position of the next read, which returns records written while paging.
    """

    records: tuple[Record, ...]
    next_position: int


@attrs.frozen
class Expired:
    """The requested records are gone; the caller has to fetch the newest record of each key."""


@attrs.frozen
class Unavailable:
    """There was no usable response; a retry is harmless."""

    reason: str


def encode_record(content: bytes) -> bytes:
    """Return a record with its length prefix, as the store's append call expects it."""
    return _LENGTH_PREFIX.pack(len(content)) + content


@attrs.frozen
class Page:
    """A page of the newest records of keys; `end` is the position of the topic's end."""

    records: tuple[Record, ...]
    end: int
    has_more: bool


def decode_page(page: Any, era: int) -> Page:
    """Decode a page of the newest records of keys."""
    records = tuple(
        Record(row["key"], base64.b64decode(row["value"]) or None) for row in page["items"]
    )
    return Page(records, position_of(era, int(page["end"])), bool(page.get("has-more")))


def decode_end(body: bytes, era: int) -> int | None:
    """Return the position of the topic's end from the start of a body; None if it is too short."""
    if len(body) < _END_AND_FIRST.size:
        return None
    return position_of(era, _END_AND_FIRST.unpack_from(body)[0])


def decode_records(body: bytes, asked: int) -> Records | Expired:
    """Decode the end and first offset (8 bytes each), then length-prefixed records.

    A position past the end is a wrong value from another entry, and a read from there would wait
    forever. One before the first record would leave a gap. `Expired` makes the caller fetch the
    newest records and the actual end instead.
    """
    end, first = _END_AND_FIRST.unpack_from(body)
    offset = offset_of(asked)
    if not first <= offset <= end:
        return Expired()
    position = _END_AND_FIRST.size
    records: list[Record] = []
    while position < len(body):
        (length,) = _LENGTH_PREFIX.unpack_from(body, position)
        position += _LENGTH_PREFIX.size
        if position + length > len(body):
            raise ValueError("record is truncated")
        records.append(_decode_keyed_record(body[position : position + length]))
        position += length
    era = era_of(asked)
    return Records(tuple(records), position_of(era, offset + len(records)), position_of(era, end))


def _decode_keyed_record(content: bytes) -> Record:
    """Decode one byte of key length, the key, and the value; an empty value removes the key."""
    key_end = 1 + (content[0] if content else 0)
    key = content[1:key_end].decode(errors="replace")
    return Record(key, content[key_end:] or None)
