"""Encoding of the datagrams in which entries announce streams that have begun."""

import hashlib
import struct
from collections.abc import Iterable, Sequence

from beryljunction.gateway.load_datagrams import incarnation_digest, incarnations_by_digest
from beryljunction.platform import InvalidRecord
from beryljunction.routing import KnownEndpoint

__all__ = [
    "MAX_STREAMS",
    "decode_streams",
    "encode_streams",
    "is_stream_datagram",
    "key_digest",
]

# First bytes of each datagram: the name and the version of the format.
_HEADER = b"BS1"
_KEY_BYTES = 8
# Digest of the stream's key, and of the incarnation at which it has begun.
_ROW = struct.Struct(f"!{_KEY_BYTES}sI")
MAX_STREAMS = 32


def key_digest(key: str) -> str:
    """Return the name by which datagrams know a stream."""
    return hashlib.blake2b(key.encode(), digest_size=_KEY_BYTES).hexdigest()


def is_stream_datagram(data: bytes) -> bool:
    """Return whether a datagram is of this kind."""
    return data.startswith(_HEADER)


def encode_streams(rows: Iterable[tuple[str, tuple[str, int]]]) -> bytes:
    """Return a datagram with digests of keys and incarnations, `MAX_STREAMS` at most."""
    packed = (_ROW.pack(bytes.fromhex(name), incarnation_digest(row)) for name, row in rows)
    return _HEADER + b"".join(packed)


def decode_streams(
    data: bytes, known: Sequence[KnownEndpoint]
) -> list[tuple[str, KnownEndpoint]] | InvalidRecord:
    """Return the streams of known endpoints; those of others are left out."""
    rows = data[len(_HEADER) :]
    if len(rows) % _ROW.size or len(rows) > MAX_STREAMS * _ROW.size:
        return InvalidRecord(f"expected a datagram of streams, got {len(data)} bytes")
    endpoints = incarnations_by_digest(known)
    found = ((name.hex(), endpoints.get(digest)) for name, digest in _ROW.iter_unpack(rows))
    return [(name, endpoint) for name, endpoint in found if endpoint is not None]
