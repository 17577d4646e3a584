"""Encoding of the datagrams in which entries share the loads of endpoints."""

import functools
import struct
import zlib
from collections.abc import Iterable, Sequence

from beryljunction.platform import InvalidRecord
from beryljunction.routing import KnownEndpoint, LoadSample

__all__ = [
    "DATAGRAM_BYTES",
    "decode_loads",
    "encode_loads",
    "incarnation_digest",
    "incarnations_by_digest",
]

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
            incarnation_digest(load.incarnation_id),
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
    endpoints = incarnations_by_digest(known)
    loads = []
    for digest, requests, waiting, age in _ROW.iter_unpack(rows):
        endpoint = endpoints.get(digest)
        if endpoint is not None:
            age_s = age / _AGE_UNITS_PER_S
            waiting = min(waiting, requests)
            loads.append(LoadSample(endpoint.incarnation_id, requests, age_s, waiting))
    return tuple(loads)


def incarnations_by_digest(known: Sequence[KnownEndpoint]) -> dict[int, KnownEndpoint | None]:
    """Return the endpoints by digest; None where two incarnations can't be told apart."""
    endpoints: dict[int, KnownEndpoint | None] = {}
    for row in known:
        digest = incarnation_digest(row.incarnation_id)
        endpoints[digest] = None if digest in endpoints else row
    return endpoints


@functools.lru_cache(maxsize=4_096)
def incarnation_digest(incarnation_id: tuple[str, int]) -> int:
    """Return the name by which datagrams know an incarnation."""
    endpoint_id, started_ms = incarnation_id
    return zlib.crc32(f"{endpoint_id}/{started_ms}".encode())
