"""Results of reads from the store, and their encoding on the wire."""

import base64
import struct
import urllib.parse
from typing import Any

import attrs

from beryljunction.platform.fields import (
    FieldError,
    InvalidRecord,
    describe,
    is_text,
    parse_json,
    whole_number,
)
from beryljunction.platform.positions import MAX_OFFSET, era_of, offset_of, position_of

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
    "encode_keyed_record",
    "encode_record",
    "is_storable_key",
    "quote_key",
]

_LENGTH_PREFIX = struct.Struct(">I")
_END_AND_FIRST = struct.Struct(">QQ")
# The length of a key is written in one byte.
_MAX_KEY_BYTES = 255


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


def is_storable_key(key: str) -> bool:
    """Return whether a record of a compacted topic can have a key."""
    return is_text(key) and 0 < len(key.encode()) <= _MAX_KEY_BYTES


def encode_keyed_record(key: str, value: bytes | None) -> bytes:
    """Return a record of a compacted topic; its key has to be storable."""
    name = key.encode()
    return encode_record(bytes([len(name)]) + name + (value or b""))


@attrs.frozen
class Page:
    """A page of the newest records of keys.

    Attributes:
        end: Position of the topic's end.
        last_key: Last key as the store wrote it, after which the next page begins.
    """

    records: tuple[Record, ...]
    end: int
    has_more: bool
    last_key: str = ""


def decode_page(body: bytes, era: int) -> Page | InvalidRecord:
    """Decode a page of the newest records of keys."""
    try:
        page = parse_json(body)
        rows = page["items"]
        end = whole_number(page["end"], 0, MAX_OFFSET)
        if end is None:
            raise FieldError(f"end: expected an offset, got {describe(page['end'])}")
        records = tuple(
            Record(_decode_json_key(row["key"]), base64.b64decode(row["value"]) or None)
            for row in rows
        )
        last_key = rows[-1]["key"] if rows else ""
        return Page(records, position_of(era, end), bool(page.get("has-more")), last_key)
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        return InvalidRecord(f"expected a page of records, got {describe(str(error))}")


def _decode_json_key(key: Any) -> str:
    """Return a key as a read of the history decodes it: what isn't UTF-8 is replaced."""
    if not isinstance(key, str):
        raise FieldError(f"key: expected a string, got {describe(key)}")
    return key if key.isascii() else _key_bytes(key).decode(errors="replace")


def _key_bytes(key: str) -> bytes:
    """Return the bytes of a key in JSON, in which surrogates may stand for single bytes."""
    try:
        return key.encode(errors="surrogateescape")
    except UnicodeEncodeError:
        return key.encode(errors="surrogatepass")


def quote_key(key: str) -> str:
    """Return a key of a page as a part of a query."""
    return urllib.parse.quote(_key_bytes(key), safe="")


def decode_end(body: bytes, era: int) -> int | None:
    """Return the position of the topic's end from the start of a body.

    None if the body is too short, or the end is out of range.
    """
    if len(body) < _END_AND_FIRST.size:
        return None
    end = int(_END_AND_FIRST.unpack_from(body)[0])
    return position_of(era, end) if end <= MAX_OFFSET else None


def decode_records(body: bytes, asked: int) -> Records | Expired | InvalidRecord:
    """Decode the end and first offset (8 bytes each), then length-prefixed records.

    A position past the end is a wrong value from another entry, and a read from there would wait
    forever. One before the first record would leave a gap. `Expired` makes the caller fetch the
    newest records and the actual end instead.
    """
    era, offset = era_of(asked), offset_of(asked)
    end_position = decode_end(body, era)
    if end_position is None:
        return InvalidRecord(f"expected records, got a body of {len(body)} bytes without an end")
    _, first = _END_AND_FIRST.unpack_from(body)
    if not first <= offset <= offset_of(end_position):
        return Expired()
    position = _END_AND_FIRST.size
    records: list[Record] = []
    while position < len(body):
        start = position + _LENGTH_PREFIX.size
        if start > len(body):
            return InvalidRecord("expected the length of a record, got the end of the body")
        (length,) = _LENGTH_PREFIX.unpack_from(body, position)
        position = start + length
        if position > len(body):
            return InvalidRecord("expected a whole record, got a part of it")
        records.append(_decode_keyed_record(body[start:position]))
    return Records(tuple(records), position_of(era, offset + len(records)), end_position)


def _decode_keyed_record(content: bytes) -> Record:
    """Decode one byte of key length, the key, and the value; an empty value removes the key."""
    key_end = 1 + (content[0] if content else 0)
    key = content[1:key_end].decode(errors="replace")
    return Record(key, content[key_end:] or None)
