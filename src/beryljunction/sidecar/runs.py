"""Requests in flight at a sidecar, from admission until nobody can ask for their answer."""

import asyncio
from collections.abc import Callable, Iterator

import anyio
import attrs

from beryljunction.outcomes import Ran, Refusal
from beryljunction.streams import FrameLog
from beryljunction.tables import Answer
from beryljunction.wire import Envelope

__all__ = ["Reader", "Run", "RunTable", "Signal"]

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


@attrs.define(eq=False)
class Reader:
    """A connection that reads a run now.

    Attributes:
        quiet: Nothing was written since the last look of the heartbeat ticker.
        beat: A heartbeat is due.
    """

    request_id: str
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
        serial: Serial of the ticket that it runs under; None for idempotent work.
        joined: Ids of further requests that were led to this run.
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
    serial: str | None = None
    joined: list[str] = attrs.field(factory=list)
    readers: list[Reader] = attrs.field(factory=list)
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

    def take_reader(self, reader: Reader, alone: bool) -> None:
        """Add a reader; it replaces the earlier connection of its request, or all if alone.

        A connection that has gone silent does not end by itself for a quarter of an hour. Its
        request comes back on a new one, and the old one must not count as a reader until then.
        """
        for other in tuple(self.readers):
            if alone or other.request_id == reader.request_id:
                other.scope.cancel()
                self.readers.remove(other)
        self.readers.append(reader)
        self.detached_s = None

    def drop_reader(self, reader: Reader, now_s: float) -> None:
        """Note that a connection ended; a reader that was replaced changes nothing."""
        if reader in self.readers:
            self.readers.remove(reader)
            self.detached_s = None if self.readers else now_s

    def is_abandoned(self, now_s: float, resume_s: float) -> bool:
        """Whether nobody has read for so long that the work should end."""
        if self.ended_s is not None or self.detached_s is None or not self.may_be_cut:
            return False
        return now_s - self.detached_s > resume_s


class RunTable:
    """Runs by request id; a retry that joins a run finds it under its own id too.

    Attributes:
        kept_total_bytes: Memory for the answers of runs that ended.
    """

    def __init__(self) -> None:
        self._runs: dict[str, Run] = {}
        self.kept_total_bytes = _KEPT_TOTAL_BYTES

    def __len__(self) -> int:
        return len(self._all())

    def __iter__(self) -> Iterator[Run]:
        return iter(self._all())

    def get(self, request_id: str) -> Run | None:
        """Return the run, or None when it is not known here (any more)."""
        return self._runs.get(request_id)

    def add(self, run: Run) -> None:
        """Insert a run."""
        self._runs[run.envelope.request_id] = run

    def join(self, run: Run, request_id: str) -> None:
        """Make a run known under the id of a request that joins it."""
        self._runs[request_id] = run
        run.joined.append(request_id)

    def remove(self, run: Run) -> None:
        """Forget a run."""
        for request_id in (run.envelope.request_id, *run.joined):
            self._runs.pop(request_id, None)

    def expire(self, now_s: float, resume_s: Callable[[Run], float]) -> list[Run]:
        """Forget ended runs whose time for a resume is over, and the oldest above the bound.

        Returns:
            Runs without a reader for so long that they should be cancelled.
        """
        ended = sorted(
            (run for run in self if run.ended_s is not None and not run.readers),
            key=lambda run: run.ended_s or 0.0,
        )
        kept_bytes = sum(run.kept_bytes for run in ended)
        for run in ended:
            quiet_s = now_s - max(run.ended_s or 0.0, run.detached_s or 0.0)
            if quiet_s > resume_s(run) or kept_bytes > self.kept_total_bytes:
                kept_bytes -= run.kept_bytes
                self.remove(run)
        return [run for run in self if run.is_abandoned(now_s, resume_s(run))]

    def _all(self) -> list[Run]:
        return [run for key, run in self._runs.items() if key == run.envelope.request_id]
