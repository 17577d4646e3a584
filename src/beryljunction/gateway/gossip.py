"""Encoding of the message that informs entries of moved sessions and loads of endpoints."""

import json
import math
from typing import Any

import attrs

from beryljunction.gateway.message_fields import read_rows, read_start, read_text
from beryljunction.routing import LoadSample, MovedSession

__all__ = ["Gossip"]

# Limit of the parts of a session; no entry sends more.
_MAX_PARTS = 64
# No endpoint has this many requests; a larger number would only distort the mean.
_MAX_REQUESTS = 100_000


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
    def decode(cls, data: bytes) -> "Gossip":
        """Decode it from JSON.

        Raises:
            ValueError: The data is not a message of this kind, or it exceeds a size limit.
        """
        try:
            values = json.loads(data)
            moved = read_rows(values["moved"], "moved sessions")
            loads = read_rows(values["loads"], "loads")
            queues = dict(
                _decode_queue(*row) for row in read_rows(values.get("queues", []), "queues")
            )
            return cls(
                host=read_text(values["host"]),
                incarnation=read_text(values["life"]),
                moved=tuple(_decode_moved(*row) for row in moved),
                loads=tuple(_decode_load(queues.get(n, 0), *row) for n, row in enumerate(loads)),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"expected gossip of an entry, got {error!r}") from error


def _decode_moved(endpoint_id: Any, started_ms: Any, *part_ids: Any) -> MovedSession:
    if not 1 <= len(part_ids) <= _MAX_PARTS:
        raise ValueError(f"expected 1 to {_MAX_PARTS} parts, got {len(part_ids)}")
    return MovedSession(
        tuple(read_text(part) for part in part_ids), read_start(endpoint_id, started_ms)
    )


def _decode_queue(load_index: Any, waiting: Any) -> tuple[int, int]:
    """Decode the number of a load in the message and its waiting requests."""
    if not isinstance(load_index, int) or load_index < 0:
        raise ValueError(f"expected the number of a load, got {load_index!r}")
    return load_index, _requests(waiting)


def _decode_load(
    waiting: int, endpoint_id: Any, started_ms: Any, requests: Any, age_s: Any
) -> LoadSample:
    total = _requests(requests)
    if waiting > total:
        raise ValueError(f"expected {total} waiting requests at most, got {waiting}")
    return LoadSample(read_start(endpoint_id, started_ms), total, _age(age_s), waiting)


def _requests(value: Any) -> int:
    if not isinstance(value, int) or not 0 <= value <= _MAX_REQUESTS:
        raise ValueError(f"expected 0 to {_MAX_REQUESTS} requests, got {value!r}")
    return value


def _age(age_s: Any) -> float:
    if not isinstance(age_s, int | float) or not math.isfinite(age_s) or age_s < 0:
        raise ValueError(f"expected an age of 0 s or more, got {age_s!r}")
    return age_s
