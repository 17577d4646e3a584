"""Form of the message by which entries tell each other of moved sessions."""

import json

from beryljunction.routing import MovedSession

__all__ = ["decode_moved", "encode_moved"]

# Limits of a message that is taken in: more can't come from an entry of this fleet.
_MOST_ROWS = 256
_MOST_PARTS = 64
_MOST_ID_CHARS = 128


def encode_moved(sessions: tuple[MovedSession, ...]) -> bytes:
    """Return sessions as JSON."""
    rows = [[*row.start, *row.part_ids] for row in sessions]
    return json.dumps({"moved": rows}, separators=(",", ":")).encode()


def decode_moved(data: bytes) -> tuple[MovedSession, ...]:
    """Read sessions from JSON.

    Raises:
        ValueError: They are none, or more than an entry tells at a time.
    """
    try:
        rows = json.loads(data)["moved"]
        sessions = tuple(_decode_row(*row) for row in rows)
    except (KeyError, TypeError) as error:
        raise ValueError(f"expected moved sessions, got {error!r}") from error
    if len(sessions) > _MOST_ROWS:
        raise ValueError(f"expected {_MOST_ROWS} sessions at most, got {len(sessions)}")
    return sessions


def _decode_row(endpoint_id: object, born_ms: object, *part_ids: object) -> MovedSession:
    texts = (endpoint_id, *part_ids)
    if not isinstance(born_ms, int) or not 1 <= len(part_ids) <= _MOST_PARTS:
        raise ValueError(f"expected an endpoint, its birth and parts, got {len(part_ids)} parts")
    for text in texts:
        if not isinstance(text, str) or len(text) > _MOST_ID_CHARS:
            raise ValueError(f"expected an id of {_MOST_ID_CHARS} characters at most")
    return MovedSession(tuple(str(part) for part in part_ids), (str(endpoint_id), born_ms))
