"""Encoding of the datagrams in which entries share the loads of endpoints."""

import functools
import struct
import zlib
from collections.abc import Iterable, Sequence

from beryljunction.platform import InvalidRecord
from beryljunction.routing import KnownEndpoint, LoadSample

__all__ = ["DATAGRAM_BYTES", "decode_loads", "encode_loads"]

# First bytes of each datagram: the name and the version of the format.
_HEADER = b"BL1"
# Digest of the incarnation, all requests, waiting requests, and age in units of 10 ms.
_ROW = struct.Struct("!IHBB")
_AGE_UNITS_PER_S = 100
_MAX_REQUESTS, _MAX_WAITING, _MAX_AGE_UNITS = 0xFFFF, 0xFF, 0xFF
_MAX_ROWS = 10
# Size of the largest datagram with its IP and UDP headers.
DATAGRAM_BYTES = 28 + len(_HEADER) + _MAX_ROWS * _ROW.size


def encode_loads(loads: Iterable[LoadSample]) -> bytes:
    """Return a datagram with the first ten loads."""
    rows = [
        _ROW.pack(
            _digest(load.incarnation_id),
            min(load.requests, _MAX_REQUESTS),
            min(load.waiting, _MAX_WAITING),
            min(round(load.age_s * _AGE_UNITS_PER_S), _MAX_AGE_UNITS),
        )
        for load in loads
    ]
    return _HEADER + b"".join(rows[:_MAX_ROWS])


def decode_loads(
    data: bytes, known: Sequence[KnownEndpoint]
) -> tuple[LoadSample, ...] | InvalidRecord:
    """Return the loads of known endpoints; those of others are left out."""
    rows = data[len(_HEADER) :]
    if not data.startswith(_HEADER) or len(rows) % _ROW.size or len(rows) > _MAX_ROWS * _ROW.size:
        return InvalidRecord(f"expected a datagram of loads, got {len(data)} bytes {data[:8]!r}")
    incarnations: dict[int, tuple[str, int] | None] = {}
    for row in known:
        digest = _digest(row.incarnation_id)
        # Two incarnations with one digest can't be told apart.
        incarnations[digest] = None if digest in incarnations else row.incarnation_id
    loads = []
    for digest, requests, waiting, age in _ROW.iter_unpack(rows):
        incarnation_id = incarnations.get(digest)
        if incarnation_id is not None:
            waiting = min(waiting, requests)
            loads.append(LoadSample(incarnation_id, requests, age / _AGE_UNITS_PER_S, waiting))
    return tuple(loads)


@functools.lru_cache(maxsize=4_096)
def _digest(incarnation_id: tuple[str, int]) -> int:
    endpoint_id, started_ms = incarnation_id
    return zlib.crc32(f"{endpoint_id}/{started_ms}".encode())
