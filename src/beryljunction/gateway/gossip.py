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
            return cls(
                host=read_text(values["host"]),
                incarnation=read_text(values["life"]),
                moved=tuple(_decode_moved(*row) for row in moved),
                loads=tuple(_decode_load(*row) for row in loads),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"expected gossip of an entry, got {error!r}") from error


def _decode_moved(endpoint_id: Any, started_ms: Any, *part_ids: Any) -> MovedSession:
    if not 1 <= len(part_ids) <= _MAX_PARTS:
        raise ValueError(f"expected 1 to {_MAX_PARTS} parts, got {len(part_ids)}")
    return MovedSession(
        tuple(read_text(part) for part in part_ids), read_start(endpoint_id, started_ms)
    )


def _decode_load(endpoint_id: Any, started_ms: Any, requests: Any, age_s: Any) -> LoadSample:
    if not isinstance(requests, int) or not 0 <= requests <= _MAX_REQUESTS:
        raise ValueError(f"expected 0 to {_MAX_REQUESTS} requests, got {requests!r}")
    return LoadSample(read_start(endpoint_id, started_ms), requests, _age(age_s))


def _age(age_s: Any) -> float:
    if not isinstance(age_s, int | float) or not math.isfinite(age_s) or age_s < 0:
        raise ValueError(f"expected an age of 0 s or more, got {age_s!r}")
    return age_s
