"""Requests in flight at a sidecar, from admission until nobody can ask for their answer."""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Iterator

import anyio
import attrs

from beryljunction.outcomes import Ran, Refusal
from beryljunction.streams import FrameLog
from beryljunction.wire import Envelope

__all__ = ["Answer", "Reader", "Run", "RunTable", "Signal"]

# Some 10 MB each at the very most; an ordinary sidecar at the target sees 12 requests a second,
# 7,200 past ids in ten minutes, and a tombstone only after a broken connection.
_MAX_TOMBSTONES = 65_536
_MAX_PAST = 65_536
_KEPT_TOTAL_BYTES = 8_388_608


class Signal:
    """Wakes the one task that waits now, once a chunk.

    anyio's events can't be cleared, and making one for each frame costs a tenth of the frame
    (issue 3); the servers run on asyncio's loop in any case.
    """

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self.notify = self._event.set

    async def wait(self) -> None:
        """Wait for the next notification."""
        self._event.clear()
        await self._event.wait()


@attrs.frozen
class Answer:
    """A whole answer of the endpoint."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@attrs.define(eq=False)
class Reader:
    """The connection that reads a run now.

    Attributes:
        quiet: Nothing was written since the last look of the heartbeat ticker.
        beat: A heartbeat is due.
    """

    scope: anyio.CancelScope
    quiet: bool = False
    beat: bool = False

    def beat_if_quiet(self, changed: Signal) -> None:
        """Make a heartbeat due when nothing was written since the last call."""
        if self.quiet:
            self.beat = True
            changed.notify()
        self.quiet = True


@attrs.define(eq=False)
class Run:
    """One request at this sidecar.

    Attributes:
        ran: Whether the endpoint ran it, as far as this sidecar can prove.
        decided: Set when the request may start or was refused.
        scope: Cancelled to end the run.
        changed: Notified when there is more to read.
        given: Notified when a reader has taken frames.
        streaming: Whether the answer is a stream; frames are in ``log``.
        complete: Whether the stream ended cleanly.
        refusal: How the run ended if it was refused, failed or was cut.
        detached_s: Monotonic time since when nobody reads; None while somebody does.
        ended_s: Monotonic time of the end; None before.
    """

    envelope: Envelope
    body: bytes
    log: FrameLog
    ran: Ran = Ran.NO
    decided: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    changed: Signal = attrs.field(factory=Signal)
    given: Signal = attrs.field(factory=Signal)
    streaming: bool = False
    complete: bool = False
    answer: Answer | None = None
    refusal: Refusal | None = None
    reader: Reader | None = None
    detached_s: float | None = None
    ended_s: float | None = None

    @property
    def readable(self) -> bool:
        """Whether a reader can be told anything yet."""
        return self.streaming or self.ended_s is not None

    @property
    def refused_unrun(self) -> bool:
        """Whether the run waited and was refused; the entry may offer it here again."""
        return self.ended_s is not None and self.ran is Ran.NO

    @property
    def kept_bytes(self) -> int:
        """Memory of the answer."""
        return self.log.size_bytes + (len(self.answer.body) if self.answer is not None else 0)

    @property
    def may_be_cut(self) -> bool:
        """Whether the run may be cancelled; a request that may not be repeated is run to its end.

        Cancelling it would leave its caller with an effect but no answer, for good.
        """
        return self.envelope.idempotent or self.ran is Ran.NO

    async def add_frames(self, frames: list[bytes]) -> None:
        """Keep frames for readers; waits while the reader lags by more than the bound."""
        self.streaming = True
        self.log.append(frames)
        self.changed.notify()
        while self.log.full:
            await self.given.wait()

    def end(self, now_s: float) -> None:
        """Mark the end; readers are told."""
        self.ended_s = now_s
        self.changed.notify()

    def take_reader(self, reader: Reader) -> None:
        """Make this the one reader; an earlier connection is given up."""
        if self.reader is not None:
            self.reader.scope.cancel()
        self.reader = reader
        self.detached_s = None

    def drop_reader(self, reader: Reader, now_s: float) -> None:
        """Note that a connection ended; a reader that was replaced changes nothing."""
        if self.reader is reader:
            self.reader = None
            self.detached_s = now_s


class RunTable:
    """Runs by request id, and tombstones of tries that must not start here any more.

    A tombstone is what makes "not run" true: the entry that is told so has lost a connection whose
    bytes may still arrive. It lives longer than any connection can hold bytes back.

    The ids of runs that are over are remembered for a while too, or a run that ended and was
    dropped would look like one that never came. What has been forgotten is bounded by a time:
    "never came" is said only of requests that were sent after it.

    Args:
        tombstone_s: Life of a tombstone.
        past_s: Time for which the id of a run that is over is remembered.

    Attributes:
        kept_total_bytes: Memory for the answers of runs that ended.
        remembers_since_s: Monotonic time; every run that came later is remembered.
    """

    def __init__(self, tombstone_s: float = 3600.0, past_s: float = 600.0) -> None:
        self._runs: dict[str, Run] = {}
        self._past: OrderedDict[str, float] = OrderedDict()
        self._tombstones: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._tombstone_s = tombstone_s
        self._past_s = past_s
        self.kept_total_bytes = _KEPT_TOTAL_BYTES
        self.remembers_since_s = -math.inf

    def __len__(self) -> int:
        return len(self._runs)

    def __iter__(self) -> Iterator[Run]:
        return iter(tuple(self._runs.values()))

    def get(self, request_id: str) -> Run | None:
        """Return the run, or None when it is not known here (any more)."""
        return self._runs.get(request_id)

    def add(self, run: Run) -> None:
        """Insert a run."""
        self._runs[run.envelope.request_id] = run

    def remove(self, run: Run, now_s: float) -> None:
        """Forget a run's answer; that it was here is remembered for a while."""
        self._runs.pop(run.envelope.request_id, None)
        self._past[run.envelope.request_id] = now_s
        while self._past:
            removed_s = next(iter(self._past.values()))
            if len(self._past) <= _MAX_PAST and now_s - removed_s <= self._past_s:
                break
            self._past.popitem(last=False)
            self.remembers_since_s = removed_s

    def never_came(self, request_id: str, sent_s: float) -> bool:
        """Whether a request that was sent after this time has certainly not arrived."""
        known = request_id in self._runs or request_id in self._past
        return not known and sent_s > self.remembers_since_s

    def bury(self, request_id: str, attempt: int, now_s: float) -> bool:
        """Make sure that a try never starts here; False when there is no room to remember it."""
        while self._tombstones and next(iter(self._tombstones.values())) <= now_s:
            self._tombstones.popitem(last=False)
        key = (request_id, attempt)
        if key not in self._tombstones and len(self._tombstones) >= _MAX_TOMBSTONES:
            return False
        self._tombstones[key] = now_s + self._tombstone_s
        self._tombstones.move_to_end(key)
        return True

    def is_buried(self, request_id: str, attempt: int) -> bool:
        """Whether a try must not start here."""
        return (request_id, attempt) in self._tombstones

    def expire(self, now_s: float, resume_s: float) -> list[Run]:
        """Forget ended runs whose time for a resume is over, and the oldest above the bound.

        Returns:
            Runs without a reader for so long that they should be cancelled.
        """
        ended = sorted(
            (run for run in self if run.ended_s is not None and run.reader is None),
            key=lambda run: run.ended_s or 0.0,
        )
        kept_bytes = sum(run.kept_bytes for run in ended)
        for run in ended:
            ended_s = run.ended_s if run.ended_s is not None else now_s
            too_old = now_s - max(ended_s, run.detached_s or 0.0) > resume_s
            if too_old or kept_bytes > self.kept_total_bytes:
                kept_bytes -= run.kept_bytes
                self.remove(run, now_s)
        return [
            run
            for run in self
            if run.ended_s is None
            and run.detached_s is not None
            and now_s - run.detached_s > resume_s
            and run.may_be_cut
        ]
