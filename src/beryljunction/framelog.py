"""Frames of an answer that readers may come back for, kept small.

Frames of one answer differ in a token and a number, so what was given to a reader is kept
compressed, some thirty frames a block. It is looked at again only when a connection broke.
"""

import itertools
import zlib
from array import array
from collections import deque

import attrs

__all__ = ["FrameLog"]

# Frames of 262 bytes, as engines of the usual protocol send them, take 14 bytes each in blocks of
# 8 KB, for 1.5 us of processor time once. Blocks of 4 KB come to 21 bytes and 2.4 us a frame;
# blocks of 16 KB hold more of the newest frames uncompressed than they save.
_BLOCK_BYTES = 8_192
_LEVEL = 1
# A window of 4 KB spans a dozen frames, enough to find the text that they share. The library's
# usual window makes each block allocate and clear 260 KB for its time.
_WINDOW_BITS = 12
_MEMORY_LEVEL = 4


@attrs.frozen
class _Block:
    """Frames that were given, kept compressed where that makes them smaller.

    Attributes:
        first: Sequence of the first frame.
        ends: Where each frame ends in the data before compression.
    """

    first: int
    ends: "array[int]"
    kept: bytes

    @classmethod
    def pack(cls, first: int, frames: list[bytes]) -> "_Block":
        """Return a block of frames that follow one another."""
        compressor = zlib.compressobj(_LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL)
        data = b"".join(frames)
        packed = compressor.compress(data) + compressor.flush()
        kept = packed if len(packed) < len(data) else data
        return cls(first, array("I", itertools.accumulate(map(len, frames))), kept)

    @property
    def last(self) -> int:
        """Sequence of the last frame."""
        return self.first + len(self.ends) - 1

    @property
    def frame_bytes(self) -> int:
        """Bytes of the frames before compression."""
        return self.ends[-1]

    def after(self, sequence: int) -> bytes:
        """Return the frames after a sequence, all when it is before the first."""
        skipped = max(0, sequence - self.first + 1)
        is_packed = len(self.kept) < self.frame_bytes
        data = zlib.decompress(self.kept) if is_packed else self.kept
        return data[self.ends[skipped - 1] if skipped else 0 :]


class FrameLog:
    """Numbered frames of one answer, kept for readers that come back.

    Frames that a reader was given are kept up to a bound in bytes, the newest first. Frames that
    none was given are never dropped; :attr:`full` tells the producer to wait instead.

    Attributes:
        last: Sequence of the newest frame.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._blocks: deque[_Block] = deque()
        self._block_frame_bytes = 0
        self._frames: list[bytes] = []
        self._before = 0
        self._given = 0
        self._given_bytes = 0
        self._new_bytes = 0
        self.last = 0

    @property
    def size_bytes(self) -> int:
        """Bytes that all kept frames take, as they are kept."""
        packed_bytes = sum(len(block.kept) for block in self._blocks)
        return packed_bytes + self._given_bytes + self._new_bytes

    @property
    def full(self) -> bool:
        """Whether the reader lags by more than the bound."""
        return self._new_bytes > self._limit_bytes

    def append(self, frames: list[bytes]) -> None:
        """Add the next frames of the answer."""
        self._frames.extend(frames)
        self.last += len(frames)
        self._new_bytes += sum(map(len, frames))

    def reaches(self, after: int) -> bool:
        """Whether every frame after this sequence is still kept, and the sequence is ours."""
        first = self._blocks[0].first if self._blocks else self._before + 1
        return first <= after + 1 <= self.last + 1

    def after(self, sequence: int) -> bytes:
        """Return the frames after a sequence that :meth:`reaches`, and count them as given."""
        start = sequence - self._before
        if start < 0:
            packed = (block.after(sequence) for block in self._blocks if block.last > sequence)
            data = b"".join([*packed, *self._frames])
        else:
            frames = self._frames[start:] if start else self._frames
            data = frames[0] if len(frames) == 1 else b"".join(frames)
        if self._given < self.last:
            self._given = self.last
            self._given_bytes += self._new_bytes
            self._new_bytes = 0
            if self._given_bytes > min(_BLOCK_BYTES, self._limit_bytes):
                self._pack_given()
        return data

    def _pack_given(self) -> None:
        """Compress what was given, and drop the oldest blocks that the bound does not ask for."""
        block = _Block.pack(self._before + 1, self._frames)
        self._blocks.append(block)
        self._block_frame_bytes += block.frame_bytes
        self._before = self.last
        self._frames = []
        self._given_bytes = 0
        while self._block_frame_bytes - self._blocks[0].frame_bytes >= self._limit_bytes:
            self._block_frame_bytes -= self._blocks.popleft().frame_bytes
