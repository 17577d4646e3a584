"""Server-sent events with sequence numbers: whole answers, or an error in their place.

A frame is one event with its blank line. The sidecar numbers the frames of an answer from 1 and
puts the count into the last; the entry passes on frames in order and without gaps only.
"""

import attrs

__all__ = ["DONE", "FrameCutter", "FrameNumberer", "SequenceChecker", "StreamState"]

FRAME_END = b"\n\n"
DONE = b"data: [DONE]"
_ID = b"id: "
_COUNT = b": count="


class FrameCutter:
    """Cuts a stream of bytes into whole frames."""

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that are whole now, each without its blank line."""
        if self._tail:
            data = self._tail + data
        *frames, self._tail = data.split(FRAME_END)
        return frames

    @property
    def partial(self) -> bool:
        """Whether bytes of an unfinished frame are held."""
        return bool(self._tail)


class FrameNumberer:
    """Gives each frame of one answer its id and the last one the count."""

    def __init__(self, stream: str) -> None:
        self._prefix = _ID + stream.encode() + b"."
        self.sequence = 0
        self.done = False

    def number(self, frame: bytes) -> bytes:
        """Return the frame as it goes over the wire."""
        self.sequence += 1
        number = b"%d" % self.sequence
        if frame == DONE:
            self.done = True
            return _COUNT + number + b"\n" + self._prefix + number + b"\n" + frame + FRAME_END
        return self._prefix + number + b"\n" + frame + FRAME_END


@attrs.define
class StreamState:
    """Where the reader of one answer stands."""

    last: int = 0
    complete: bool = False


class SequenceChecker:
    """Passes on the frames of one answer in order, once each; stops at a gap."""

    def __init__(self, last: int = 0) -> None:
        self.state = StreamState(last)
        self.gap = False
        self._cutter = FrameCutter()

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that the caller gets now."""
        out = []
        for frame in self._cutter.feed(data):
            sequence, count = _position(frame)
            if sequence is None:
                continue
            if sequence <= self.state.last:
                continue
            if sequence != self.state.last + 1:
                self.gap = True
                break
            self.state.last = sequence
            self.state.complete = count == sequence
            out.append(frame)
        return FRAME_END.join(out) + FRAME_END if out else b""


def _position(frame: bytes) -> tuple[int | None, int | None]:
    """Return sequence and, on the last frame, count; None for comments such as heartbeats."""
    count = None
    if frame.startswith(_COUNT):
        head, _, frame = frame.partition(b"\n")
        count = int(head[len(_COUNT) :])
    if not frame.startswith(_ID):
        return None, None
    head, _, _ = frame.partition(b"\n")
    return int(head[head.rindex(b".") + 1 :]), count
