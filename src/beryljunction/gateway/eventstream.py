"""Splits an event stream into complete events, so that no partial event is relayed."""

import attrs

from beryljunction.platform.fields import parse_digits

__all__ = ["EventSplitter", "StreamEvent"]

# The answer fails when an event is larger than this.
_MAX_EVENT_BYTES = 1_048_576


@attrs.frozen
class StreamEvent:
    """One event including its final blank line; `event_id` is its id if that is a number."""

    raw: bytes
    event_id: int | None


class EventSplitter:
    """Buffers parts of a stream until an event is complete.

    Attributes:
        incomplete_event: Bytes of the incomplete event at the end of the data so far.
    """

    def __init__(self) -> None:
        self.incomplete_event = b""

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event exceeds the size limit."""
        return len(self.incomplete_event) > _MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add data and return the events that it completes."""
        pieces = (self.incomplete_event + data).split(b"\n\n")
        self.incomplete_event = pieces.pop()
        return [StreamEvent(piece + b"\n\n", _event_id(piece)) for piece in pieces]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            return parse_digits(value)
    return None
