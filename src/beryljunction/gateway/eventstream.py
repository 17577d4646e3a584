"""Splits an event stream into whole events, so that none is handed on in part."""

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

# An event larger than this is no event of a stream; the answer is given up.
_MOST_EVENT_BYTES = 1_048_576


@attrs.frozen
class StreamEvent:
    """One event with its closing blank line; `position` is its id where that is a number."""

    raw: bytes
    position: int | None


class EventSplitter:
    """Collects parts of a stream until an event is whole.

    Attributes:
        rest: Bytes of the event that has begun.
    """

    def __init__(self) -> None:
        self.rest = b""

    @property
    def is_overlong(self) -> bool:
        """Whether the event that has begun is too long to be one."""
        return len(self.rest) > _MOST_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now."""
        pieces = (self.rest + data).split(b"\n\n")
        self.rest = pieces.pop()
        return [StreamEvent(piece + b"\n\n", _position(piece)) for piece in pieces]


def _position(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
