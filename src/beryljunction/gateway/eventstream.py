"""Splits an event stream into complete events, so that no partial event is relayed."""

import re

import attrs

from beryljunction.platform.fields import parse_digits

__all__ = ["EventSplitter", "StreamEvent"]

# The answer fails when an event is larger than this.
_MAX_EVENT_BYTES = 1_048_576
_END_OF_EVENT = b"\n\n"
_ID_LINE = re.compile(rb"^id(?::(.*))?$", re.MULTILINE)


@attrs.frozen
class StreamEvent:
    """One event including its final blank line; `event_id` is its id if that is a number."""

    raw: bytes
    event_id: int | None


class EventSplitter:
    """Buffers parts of a stream until an event is complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def incomplete_event(self) -> bytes:
        """Bytes of the incomplete event at the end of the data so far."""
        return bytes(self._buffer)

    @property
    def size_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._buffer)

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event exceeds the size limit."""
        return len(self._buffer) > _MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add data and return the events that it completes."""
        # What is buffered has no end of an event, but may have the first byte of one.
        search_from = max(0, len(self._buffer) - 1)
        self._buffer += data
        if self._buffer.find(_END_OF_EVENT, search_from) < 0:
            return []
        pieces = bytes(self._buffer).split(_END_OF_EVENT)
        self._buffer = bytearray(pieces.pop())
        return [StreamEvent(piece + _END_OF_EVENT, _event_id(piece)) for piece in pieces]


def _event_id(event: bytes) -> int | None:
    found = _ID_LINE.search(event)
    return parse_digits(found[1] or b"") if found is not None else None
