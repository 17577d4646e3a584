"""Compressed buffer of a response's frames, from which readers can resume.

Frames of one response differ only in a token and a number, so frames that a reader has received
are stored compressed, about thirty frames a block. They are read again only after a connection
has failed.
"""

import itertools
import zlib
from array import array
from collections import deque

import attrs

__all__ = ["ReplayBuffer"]

# A frame of 262 bytes, as sent by engines with the usual chat API, takes 14 bytes in blocks of 8 KB
# and 1.5 us of CPU time, spent once. With blocks of 4 KB it takes 21 bytes and 2.4 us. Blocks of
# 16 KB leave more recent frames uncompressed than they save.
_BLOCK_BYTES = 8_192
_COMPRESSION_LEVEL = 1
# A window of 4 KB spans a dozen frames, enough to find the text that they share. With zlib's
# default window each compression allocates and clears 260 KB.
_WINDOW_BITS = 12
_MEM_LEVEL = 4


@attrs.frozen
class _Block:
    """Frames that a reader has received, compressed if that makes them smaller.

    Attributes:
        first: Sequence number of the first frame.
        ends: End offset of each frame in the uncompressed data.
        kept: Stored data, compressed or not.
    """

    first: int
    ends: "array[int]"
    kept: bytes

    @classmethod
    def pack(cls, first: int, frames: list[bytes]) -> "_Block":
        """Return a block of consecutive frames."""
        compressor = zlib.compressobj(_COMPRESSION_LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEM_LEVEL)
        data = b"".join(frames)
        packed = compressor.compress(data) + compressor.flush()
        kept = packed if len(packed) < len(data) else data
        return cls(first, array("I", itertools.accumulate(map(len, frames))), kept)

    @property
    def last(self) -> int:
        """Sequence number of the last frame."""
        return self.first + len(self.ends) - 1

    @property
    def frame_bytes(self) -> int:
        """Uncompressed size of the frames."""
        return self.ends[-1]

    def after(self, sequence: int) -> bytes:
        """Return the frames after a sequence number; all frames if it precedes the first."""
        skipped = max(0, sequence - self.first + 1)
        is_packed = len(self.kept) < self.frame_bytes
        data = zlib.decompress(self.kept) if is_packed else self.kept
        return data[self.ends[skipped - 1] if skipped else 0 :]


class ReplayBuffer:
    """Numbered frames of one response, retained so that readers can resume.

    Of the frames that a reader has received, the newest are retained, up to a limit in bytes.
    Frames that no reader has received are never dropped; :attr:`full` tells the producer to wait.

    Attributes:
        last_sequence: Sequence number of the newest frame.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._blocks: deque[_Block] = deque()
        self._block_frame_bytes = 0
        self._frames: list[bytes] = []
        self._last_compressed = 0
        self._last_sent = 0
        self._sent_bytes = 0
        self._unsent_bytes = 0
        self.last_sequence = 0

    @property
    def size_bytes(self) -> int:
        """Size of all retained frames as stored."""
        packed_bytes = sum(len(block.kept) for block in self._blocks)
        return packed_bytes + self._sent_bytes + self._unsent_bytes

    @property
    def full(self) -> bool:
        """Whether the reader lags by more than the limit."""
        return self._unsent_bytes > self._limit_bytes

    def append(self, frames: list[bytes]) -> None:
        """Append the next frames of the response."""
        self._frames.extend(frames)
        self.last_sequence += len(frames)
        self._unsent_bytes += sum(map(len, frames))

    def can_resume_after(self, after: int) -> bool:
        """Return whether all frames after a valid sequence number are still retained."""
        first = self._blocks[0].first if self._blocks else self._last_compressed + 1
        return first <= after + 1 <= self.last_sequence + 1

    def read_after(self, sequence: int) -> bytes:
        """Return the frames after a sequence number, and mark them as sent.

        The caller checks the sequence number with :meth:`can_resume_after` first.
        """
        start = sequence - self._last_compressed
        if start < 0:
            packed = (block.after(sequence) for block in self._blocks if block.last > sequence)
            data = b"".join([*packed, *self._frames])
        else:
            frames = self._frames[start:] if start else self._frames
            data = frames[0] if len(frames) == 1 else b"".join(frames)
        if self._last_sent < self.last_sequence:
            self._last_sent = self.last_sequence
            self._sent_bytes += self._unsent_bytes
            self._unsent_bytes = 0
            if self._sent_bytes > min(_BLOCK_BYTES, self._limit_bytes):
                self._compress_sent()
        return data

    def _compress_sent(self) -> None:
        """Compress the sent frames, and drop the oldest blocks that the limit doesn't cover."""
        block = _Block.pack(self._last_compressed + 1, self._frames)
        self._blocks.append(block)
        self._block_frame_bytes += block.frame_bytes
        self._last_compressed = self.last_sequence
        self._frames = []
        self._sent_bytes = 0
        while self._block_frame_bytes - self._blocks[0].frame_bytes >= self._limit_bytes:
            self._block_frame_bytes -= self._blocks.popleft().frame_bytes
