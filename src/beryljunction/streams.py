"""Server-sent events with sequence numbers, which detect incomplete responses.

A frame is one event with its blank line. The sidecar numbers the frames of a response from 1 and
adds the count to the last; the entry forwards frames only in order and without gaps. A stream is
identified by endpoint, incarnation of the sidecar and request, so that its reader can resume it
through any entry and never resumes another incarnation's stream by mistake.
"""

import attrs

from beryljunction.replay_buffer import ReplayBuffer

__all__ = [
    "DONE",
    "HEARTBEAT",
    "FrameParser",
    "ReplayBuffer",
    "FrameNumberer",
    "SequenceChecker",
    "StreamId",
    "error_event",
    "parse_event_id",
]

FRAME_END = b"\n\n"
DONE = b"data: [DONE]"
HEARTBEAT = b": heartbeat" + FRAME_END
_ID_PREFIX = b"id: "
_COUNT_PREFIX = b": count="
_ERROR_PREFIX = b"event: error\ndata: "
_CR = b"\r"
# An endpoint that never ends its frame would exhaust the sidecar's memory. The largest frames in
# practice are tool calls of some tens of kilobytes.
_MAX_FRAME_BYTES = 1_048_576


@attrs.frozen
class StreamId:
    """Identifies the stream of one response; the part of an event id before the sequence."""

    endpoint_id: str
    incarnation: str
    request_id: str

    def __str__(self) -> str:
        return f"{self.endpoint_id}.{self.incarnation}.{self.request_id}"

    def can_resume(self, asked: "StreamId | None") -> bool:
        """Return whether a caller that resumes the given stream may read this one; None is any.

        The sidecar may have restarted and run the same request again because of a delayed message.
        The new frames have the same numbers but different text, so the caller would get the
        beginning of one response and the end of another.
        """
        return asked is None or self == asked

    @classmethod
    def parse(cls, text: str) -> "StreamId | None":
        """Return the parsed name, or None if the text is invalid; endpoint ids may contain dots."""
        parts = text.rsplit(".", 2)
        return cls(*parts) if len(parts) == 3 and all(parts) else None


def error_event(body: bytes) -> bytes:
    """Return the event that ends a response which can't be completed."""
    return _ERROR_PREFIX + body + FRAME_END


def parse_event_id(event_id: str) -> tuple[StreamId, int] | None:
    """Return the stream and sequence of an event id, or None if it has another format."""
    text, _, sequence = event_id.rpartition(".")
    name = StreamId.parse(text)
    if name is None or not (sequence.isascii() and sequence.isdigit()):
        return None
    return name, int(sequence)


class FrameParser:
    """Splits a stream of bytes into complete frames and converts line ends to LF.

    Args:
        frame_bytes: Maximum size of a buffered incomplete frame.
    """

    def __init__(self, frame_bytes: int = _MAX_FRAME_BYTES) -> None:
        self._tail = b""
        self._frame_bytes = frame_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that are complete now, each without its blank line."""
        if self._tail:
            data = self._tail + data
        if _CR in data:
            data = data.replace(b"\r\n", b"\n")
        *frames, self._tail = data.split(FRAME_END)
        return frames

    @property
    def has_partial_frame(self) -> bool:
        """Whether bytes of an incomplete frame are buffered."""
        return bool(self._tail)

    @property
    def is_frame_too_long(self) -> bool:
        """Whether the incomplete frame exceeds the maximum size."""
        return len(self._tail) > self._frame_bytes


class FrameNumberer:
    """Adds an id to each frame of one response and the frame count to the last."""

    def __init__(self, name: StreamId) -> None:
        self._prefix = _ID_PREFIX + str(name).encode() + b"."
        self.sequence = 0
        self.done = False

    def add_ids(self, frames: list[bytes]) -> list[bytes]:
        """Return the frames in the format that is sent.

        Comments are dropped: an engine counts only data events when it resumes, so a numbered
        comment would make it skip a token. Anything after the last frame is dropped too.
        """
        numbered = []
        for frame in frames:
            if self.done or frame.startswith(b":") and b"\ndata:" not in frame:
                continue
            self.sequence += 1
            if frame == DONE:
                self.done = True
                frame = b"%sdata: [DONE]" % self._id()
                numbered.append(b"%s%d\n%s\n\n" % (_COUNT_PREFIX, self.sequence, frame))
            else:
                numbered.append(b"%s%s\n\n" % (self._id(), frame))
        return numbered

    def _id(self) -> bytes:
        return b"%s%d\n" % (self._prefix, self.sequence)


class SequenceChecker:
    """Forwards the frames of one response in order, once each, and stops at a gap.

    Duplicate and late frames are dropped by their sequence number. After a gap nothing is
    forwarded until the reader calls :meth:`restart` and requests the rest on a new connection.

    Attributes:
        last_sequence: Sequence number of the last frame that was forwarded.
        complete: Whether the final frame of the response was forwarded.
        error: Body of the error that ended the response, if any.
    """

    def __init__(self, name: StreamId, last_sequence: int = 0) -> None:
        self._prefix = _ID_PREFIX + str(name).encode() + b"."
        self.last_sequence = last_sequence
        self.complete = False
        self.error: bytes | None = None
        self.has_gap = False
        self._parser = FrameParser()
        self._update_next_id()

    def restart(self) -> None:
        """Discard buffered data of a connection that was abandoned."""
        self.has_gap = False
        self._parser = FrameParser()

    def feed(self, data: bytes) -> bytes:
        """Return the bytes to forward to the caller now."""
        # Fast path: nearly every chunk is exactly the next frame, which is forwarded unchanged.
        whole = data.startswith(self._next_id_line) and data.find(FRAME_END) == len(data) - 2
        if whole and not self._parser.has_partial_frame and not self.has_gap:
            self.last_sequence += 1
            self._update_next_id()
            return data
        return b"".join(
            [frame + FRAME_END for frame in self._parser.feed(data) if self._accept(frame)]
        )

    def _update_next_id(self) -> None:
        self._next_id_line = b"%s%d\n" % (self._prefix, self.last_sequence + 1)

    def _accept(self, frame: bytes) -> bool:
        sequence, count = self._position(frame)
        if sequence is None or self.has_gap or self.complete or sequence <= self.last_sequence:
            return False
        if sequence != self.last_sequence + 1:
            self.has_gap = True
            return False
        self.last_sequence = sequence
        self._update_next_id()
        self.complete = count == sequence
        return True

    def _position(self, frame: bytes) -> tuple[int | None, int | None]:
        """Return the sequence and, for the final frame, the count; None for comments and errors."""
        count = None
        head, _, rest = frame.partition(b"\n")
        if head.startswith(_COUNT_PREFIX):
            count = _number(head[len(_COUNT_PREFIX) :])
            head = rest.partition(b"\n")[0]
        if head.startswith(self._prefix):
            return _number(head[len(self._prefix) :]), count
        if frame.startswith(_ERROR_PREFIX):
            self.error = frame.removeprefix(_ERROR_PREFIX)
        return None, None


def _number(text: bytes) -> int | None:
    return int(text) if text.isdigit() else None
