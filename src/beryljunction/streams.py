"""Server-sent events with sequence numbers: whole answers, or an error in their place.

A frame is one event with its blank line. The sidecar numbers the frames of an answer from 1 and
puts the count into the last; the entry passes on frames in order and without gaps only. A stream
is named by endpoint, incarnation of the sidecar and request, so that its reader finds it again
from any entry and never takes up another incarnation's stream by mistake.
"""

import attrs

from beryljunction.framelog import FrameLog

__all__ = [
    "DONE",
    "HEARTBEAT",
    "FrameCutter",
    "FrameLog",
    "FrameNumberer",
    "SequenceChecker",
    "StreamName",
    "error_event",
    "event_position",
]

FRAME_END = b"\n\n"
DONE = b"data: [DONE]"
HEARTBEAT = b": heartbeat" + FRAME_END
_ID = b"id: "
_COUNT = b": count="
_ERROR = b"event: error\ndata: "
_CR = b"\r"
# An endpoint that never ends its frame would fill the memory of the sidecar; the largest frames
# seen are tool calls of some tens of kilobytes.
_FRAME_BYTES = 1_048_576


@attrs.frozen
class StreamName:
    """Where one answer's frames are: the part of an event id before the sequence."""

    endpoint_id: str
    incarnation: str
    request_id: str

    def __str__(self) -> str:
        return f"{self.endpoint_id}.{self.incarnation}.{self.request_id}"

    def is_rest_of(self, asked: "StreamName | None") -> bool:
        """Whether this stream is the one that a caller wants the rest of; None is any.

        The sidecar may have started anew and run the same request again, from a message that came
        late. Its frames have the same numbers and other words, and the caller would get the
        beginning of one answer with the end of another.
        """
        return asked is None or self == asked

    @classmethod
    def parse(cls, text: str) -> "StreamName | None":
        """Return the name, or None when the text is not one; endpoint ids may hold dots."""
        parts = text.rsplit(".", 2)
        return cls(*parts) if len(parts) == 3 and all(parts) else None


def error_event(body: bytes) -> bytes:
    """Return the event that ends an answer which can't be completed."""
    return _ERROR + body + FRAME_END


def event_position(event_id: str) -> tuple[StreamName, int] | None:
    """Return the stream and sequence of an event id, or None when it is not one of ours."""
    text, _, sequence = event_id.rpartition(".")
    name = StreamName.parse(text)
    if name is None or not (sequence.isascii() and sequence.isdigit()):
        return None
    return name, int(sequence)


class FrameCutter:
    """Cuts a stream of bytes into whole frames; line ends become LF.

    Args:
        frame_bytes: Longest unfinished frame that is held.
    """

    def __init__(self, frame_bytes: int = _FRAME_BYTES) -> None:
        self._tail = b""
        self._frame_bytes = frame_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that are whole now, each without its blank line."""
        if self._tail:
            data = self._tail + data
        if _CR in data:
            data = data.replace(b"\r\n", b"\n")
        *frames, self._tail = data.split(FRAME_END)
        return frames

    @property
    def partial(self) -> bool:
        """Whether bytes of an unfinished frame are held."""
        return bool(self._tail)

    @property
    def overlong(self) -> bool:
        """Whether the unfinished frame is longer than any that is taken."""
        return len(self._tail) > self._frame_bytes


class FrameNumberer:
    """Gives each frame of one answer its id and the last one the count."""

    def __init__(self, name: StreamName) -> None:
        self._prefix = _ID + str(name).encode() + b"."
        self.sequence = 0
        self.done = False

    def number(self, frames: list[bytes]) -> list[bytes]:
        """Return the frames as they go over the wire.

        Comments are left out: an engine's resume counts data events only, so a numbered comment
        would make the engine skip a token. Whatever follows the last frame is left out too.
        """
        numbered = []
        for frame in frames:
            if self.done or frame.startswith(b":") and b"\ndata:" not in frame:
                continue
            self.sequence += 1
            if frame == DONE:
                self.done = True
                frame = b"%sdata: [DONE]" % self._id()
                numbered.append(b"%s%d\n%s\n\n" % (_COUNT, self.sequence, frame))
            else:
                numbered.append(b"%s%s\n\n" % (self._id(), frame))
        return numbered

    def _id(self) -> bytes:
        return b"%s%d\n" % (self._prefix, self.sequence)


class SequenceChecker:
    """Passes on the frames of one answer in order, once each; stops at a gap.

    Duplicated and late frames are dropped by their sequence. After a gap nothing is passed on:
    the reader asks for the rest again, by :meth:`restart` and a new connection.

    Attributes:
        last: Sequence of the newest frame that was passed on.
        complete: Whether the last frame of the answer was passed on.
        error: Body of the error that ended the answer, if one did.
    """

    def __init__(self, name: StreamName, last: int = 0) -> None:
        self._prefix = _ID + str(name).encode() + b"."
        self.last = last
        self.complete = False
        self.error: bytes | None = None
        self.gap = False
        self._cutter = FrameCutter()
        self._expect()

    def restart(self) -> None:
        """Forget the rest of the connection that was given up."""
        self.gap = False
        self._cutter = FrameCutter()

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that the caller gets now."""
        # Nearly every chunk is one whole frame, the one that was expected: pass it on as it is.
        whole = data.startswith(self._next) and data.find(FRAME_END) == len(data) - 2
        if whole and not self._cutter.partial and not self.gap:
            self.last += 1
            self._expect()
            return data
        return b"".join(
            [frame + FRAME_END for frame in self._cutter.feed(data) if self._take(frame)]
        )

    def _expect(self) -> None:
        self._next = b"%s%d\n" % (self._prefix, self.last + 1)

    def _take(self, frame: bytes) -> bool:
        sequence, count = self._position(frame)
        if sequence is None or self.gap or self.complete or sequence <= self.last:
            return False
        if sequence != self.last + 1:
            self.gap = True
            return False
        self.last = sequence
        self._expect()
        self.complete = count == sequence
        return True

    def _position(self, frame: bytes) -> tuple[int | None, int | None]:
        """Return sequence and, on the last frame, count; None for comments and errors."""
        count = None
        head, _, rest = frame.partition(b"\n")
        if head.startswith(_COUNT):
            count = _number(head[len(_COUNT) :])
            head = rest.partition(b"\n")[0]
        if head.startswith(self._prefix):
            return _number(head[len(self._prefix) :]), count
        if frame.startswith(_ERROR):
            self.error = frame.removeprefix(_ERROR)
        return None, None


def _number(text: bytes) -> int | None:
    return int(text) if text.isdigit() else None
