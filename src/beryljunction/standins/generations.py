"""Answers that a stand-in engine is writing, apart from the connections that read them."""

import json
from collections import OrderedDict

import anyio
import attrs

__all__ = ["Generation", "GenerationTable"]

_KEPT_FINISHED = 512
DONE_FRAME = b"data: [DONE]\n\n"


@attrs.define(eq=False)
class Generation:
    """One answer: its frames so far; readers come and go.

    Attributes:
        frames: Server-sent events, whole, without ids; resume counts them.
        done: Whether the last frame is written or the answer was cancelled.
    """

    request_id: str
    chat: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    frames: list[bytes] = attrs.field(factory=list)
    cached_tokens: int = 0
    done: bool = False
    readers: int = 0
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    _grown: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def words(self) -> list[str]:
        """The answer's words, the same for every run of the same length."""
        return [f"word{i} " for i in range(self.output_tokens)]

    @property
    def usage(self) -> dict[str, object]:
        """The usage report, with the tokens that were found cached."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.output_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def add_word(self, number: int, word: str) -> None:
        """Write one token's frame; the first one carries the usage."""
        chunk: dict[str, object] = {"choices": [{"index": 0, "delta": {"content": word}}]}
        if number == 0:
            chunk["usage"] = self.usage
        self.frames.append(b"data: " + json.dumps(chunk).encode() + b"\n\n")
        self._wake()

    def end(self, cancelled: bool = False) -> None:
        """Write the last frame, unless the answer was cancelled."""
        if self.done:
            return
        if not cancelled:
            self.frames.append(DONE_FRAME)
        self.done = True
        self._wake()

    async def wait_after(self, count: int) -> None:
        """Wait until there are more than ``count`` frames or no more will come."""
        while len(self.frames) <= count and not self.done:
            await self._grown.wait()

    async def wait_done(self) -> None:
        """Wait until the answer is whole or cancelled."""
        while not self.done:
            await self._grown.wait()

    def _wake(self) -> None:
        self._grown.set()
        self._grown = anyio.Event()


class GenerationTable:
    """Answers by request id; finished ones are kept for a resume, a bounded number of them."""

    def __init__(self) -> None:
        self._rows: OrderedDict[str, Generation] = OrderedDict()

    def get(self, request_id: str) -> Generation | None:
        """Return the answer of a request, or None when it is not known."""
        return self._rows.get(request_id)

    def add(self, generation: Generation) -> None:
        """Insert an answer and forget the oldest finished ones that are too many."""
        self._rows[generation.request_id] = generation
        while len(self._rows) > _KEPT_FINISHED:
            oldest = next(iter(self._rows.values()))
            if not oldest.done:
                break
            del self._rows[oldest.request_id]
