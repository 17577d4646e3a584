"""Encoding of the message that informs entries of moved sessions and loads of endpoints."""

import json
from typing import Any

import attrs

from beryljunction.gateway.message_fields import (
    decode_message,
    read_number,
    read_rows,
    read_start,
    read_text,
    read_whole,
)
from beryljunction.platform import InvalidRecord
from beryljunction.platform.fields import FieldError
from beryljunction.routing import LoadSample, MovedSession

__all__ = ["Gossip"]

# Limit of the parts of a session; no entry sends more.
_MAX_PARTS = 64
# No endpoint has this many requests; a larger number would only distort the mean.
_MAX_REQUESTS = 100_000
# No process runs for longer than this.
_MAX_AGE_S = 1e10


@attrs.frozen
class Gossip:
    """Moved sessions and endpoint loads, as one entry sends them to another.

    Attributes:
        host: Name of the sender's host.
        incarnation: Differs for each process start of the sender.
        moved: Sessions that are not at the endpoint where the receiver expects them.
        loads: Latest loads of endpoints.
    """

    host: str
    incarnation: str
    moved: tuple[MovedSession, ...] = ()
    loads: tuple[LoadSample, ...] = ()

    def encode(self) -> bytes:
        """Return it as JSON."""
        values = {
            "host": self.host,
            "life": self.incarnation,
            "moved": [[*row.incarnation_id, *row.part_ids] for row in self.moved],
            "loads": [
                [*row.incarnation_id, row.requests, round(row.age_s, 2)] for row in self.loads
            ],
        }
        queues = [[n, row.waiting] for n, row in enumerate(self.loads) if row.waiting]
        if queues:
            values["queues"] = queues
        return json.dumps(values, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Gossip | InvalidRecord":
        """Decode it from JSON; any data that is no message of this kind is an invalid record."""
        return decode_message(cls._parse, data, "gossip of an entry")

    @classmethod
    def _parse(cls, values: Any) -> "Gossip":
        moved = read_rows(values["moved"], "moved sessions")
        loads = read_rows(values["loads"], "loads")
        queues = dict(_decode_queue(*row) for row in read_rows(values.get("queues", []), "queues"))
        return cls(
            host=read_text(values["host"]),
            incarnation=read_text(values["life"]),
            moved=tuple(_decode_moved(*row) for row in moved),
            loads=tuple(_decode_load(queues.get(n, 0), *row) for n, row in enumerate(loads)),
        )


def _decode_moved(endpoint_id: Any, started_ms: Any, *part_ids: Any) -> MovedSession:
    if not 1 <= len(part_ids) <= _MAX_PARTS:
        raise FieldError(f"expected 1 to {_MAX_PARTS} parts, got {len(part_ids)}")
    return MovedSession(
        tuple(read_text(part) for part in part_ids), read_start(endpoint_id, started_ms)
    )


def _decode_queue(load_index: Any, waiting: Any) -> tuple[int, int]:
    """Decode the number of a load in the message and its waiting requests."""
    return read_whole(load_index), _requests(waiting)


def _decode_load(
    waiting: int, endpoint_id: Any, started_ms: Any, requests: Any, age_s: Any
) -> LoadSample:
    total = _requests(requests)
    if waiting > total:
        raise FieldError(f"expected {total} waiting requests at most, got {waiting}")
    age = read_number(age_s, 0.0, _MAX_AGE_S)
    return LoadSample(read_start(endpoint_id, started_ms), total, age, waiting)


def _requests(value: Any) -> int:
    return read_whole(value, 0, _MAX_REQUESTS)
