"""Requests at a sidecar, from admission until their answers expire."""

import asyncio
from collections.abc import Callable, Iterator

import anyio
import attrs

from beryljunction.outcomes import ExecutionStatus, Refusal
from beryljunction.streams import ReplayBuffer
from beryljunction.tables import Answer
from beryljunction.wire import Envelope

__all__ = ["Reader", "Run", "RunTable", "ReusableEvent"]

_DEFAULT_KEPT_TOTAL_BYTES = 8_388_608


class ReusableEvent:
    """Reusable event for one waiting task, notified once per chunk.

    It wraps asyncio's event, since the servers always run on asyncio. anyio's events cannot be
    cleared, and a new one for each frame takes a tenth of the time of the frame (issue 3).
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
    """A connection that currently reads a run.

    Attributes:
        idle: Whether nothing was written since the last heartbeat check.
        heartbeat_due: Whether a heartbeat is due.
    """

    request_id: str
    scope: anyio.CancelScope
    idle: bool = False
    heartbeat_due: bool = False

    def request_heartbeat_if_idle(self, data_available: ReusableEvent) -> None:
        """Request a heartbeat if nothing was written since the last call."""
        if self.idle:
            self.heartbeat_due = True
            data_available.notify()
        self.idle = True


@attrs.define(eq=False)
class Run:
    """One request at this sidecar.

    Attributes:
        ran: Whether the endpoint ran the request, as far as this sidecar can prove it.
        admission_decided: Set when the request may start or was refused.
        scope: Cancelled to end the run.
        data_available: Notified when there is data to read, a heartbeat is due or the run ended.
        data_read: Notified when a reader has read frames.
        streaming: Whether the answer is a stream; frames are in ``log``.
        complete: Whether the stream ended cleanly.
        serial: Serial number of its ticket; None for idempotent requests.
        joined_request_ids: Ids of other requests that read this run.
        refusal: Why the run was refused, failed or ended early; None if it did not.
        detached_s: Monotonic time at which the last reader disconnected; None while there is one.
        ended_s: Monotonic time at which the run ended; None before.
    """

    envelope: Envelope
    body: bytes
    log: ReplayBuffer
    ran: ExecutionStatus = ExecutionStatus.NO
    admission_decided: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    data_available: ReusableEvent = attrs.field(factory=ReusableEvent)
    data_read: ReusableEvent = attrs.field(factory=ReusableEvent)
    streaming: bool = False
    complete: bool = False
    answer: Answer | None = None
    refusal: Refusal | None = None
    serial: str | None = None
    joined_request_ids: list[str] = attrs.field(factory=list)
    readers: list[Reader] = attrs.field(factory=list)
    detached_s: float | None = None
    ended_s: float | None = None

    @property
    def readable(self) -> bool:
        """Whether there is anything to send to a reader yet."""
        return self.streaming or self.ended_s is not None

    @property
    def ended_without_running(self) -> bool:
        """Whether the run ended without having run; the entry may send the request here again."""
        return self.ended_s is not None and self.ran is ExecutionStatus.NO

    @property
    def kept_bytes(self) -> int:
        """Size of the stored answer in memory."""
        return self.log.size_bytes + (len(self.answer.body) if self.answer is not None else 0)

    @property
    def may_be_cancelled(self) -> bool:
        """Whether the run may be cancelled.

        A non-idempotent request that may have started runs to its end. Cancelling it would leave
        the caller with an effect whose answer is lost for good.
        """
        return self.envelope.idempotent or self.ran is ExecutionStatus.NO

    async def add_frames(self, frames: list[bytes]) -> None:
        """Append frames to the log; wait while the reader lags by more than the log's bound."""
        self.streaming = True
        self.log.append(frames)
        self.data_available.notify()
        while self.log.full:
            await self.data_read.wait()

    def end(self, now_s: float) -> None:
        """Mark the run as ended and notify its readers."""
        self.ended_s = now_s
        self.data_available.notify()

    def add_reader(self, reader: Reader, exclusive: bool) -> None:
        """Add a reader; replace earlier connections of the same request, or all if `exclusive`.

        A dead connection may stay open for a quarter of an hour. When its request reconnects, the
        old connection must not count as a reader for that time.
        """
        for other in tuple(self.readers):
            if exclusive or other.request_id == reader.request_id:
                other.scope.cancel()
                self.readers.remove(other)
        self.readers.append(reader)
        self.detached_s = None

    def remove_reader(self, reader: Reader, now_s: float) -> None:
        """Remove a reader whose connection ended; ignored if it was replaced before."""
        if reader in self.readers:
            self.readers.remove(reader)
            self.detached_s = None if self.readers else now_s

    def is_abandoned(self, now_s: float, resume_s: float) -> bool:
        """Whether to cancel the run because it had no reader for longer than `resume_s`."""
        if self.ended_s is not None or self.detached_s is None or not self.may_be_cancelled:
            return False
        return now_s - self.detached_s > resume_s


class RunTable:
    """Runs by request id; a run is also found by the ids of retries that joined it.

    Attributes:
        kept_total_bytes: Maximum memory for the answers of ended runs.
    """

    def __init__(self) -> None:
        self._runs: dict[str, Run] = {}
        self.kept_total_bytes = _DEFAULT_KEPT_TOTAL_BYTES

    def __len__(self) -> int:
        return len(self._unique_runs())

    def __iter__(self) -> Iterator[Run]:
        return iter(self._unique_runs())

    def get(self, request_id: str) -> Run | None:
        """Return the run, or None if it is unknown or has been removed."""
        return self._runs.get(request_id)

    def add(self, run: Run) -> None:
        """Add a run under the id of its own request."""
        self._runs[run.envelope.request_id] = run

    def join(self, run: Run, request_id: str) -> None:
        """Add a run under the id of another request that joins it."""
        self._runs[request_id] = run
        run.joined_request_ids.append(request_id)

    def remove(self, run: Run) -> None:
        """Remove a run under all its ids."""
        for request_id in (run.envelope.request_id, *run.joined_request_ids):
            self._runs.pop(request_id, None)

    def expire(self, now_s: float, resume_s: Callable[[Run], float]) -> list[Run]:
        """Remove ended runs that can no longer be resumed, and the oldest ones above the bound.

        Returns:
            Abandoned runs, which should be cancelled.
        """
        ended = sorted(
            (run for run in self if run.ended_s is not None and not run.readers),
            key=lambda run: run.ended_s or 0.0,
        )
        kept_bytes = sum(run.kept_bytes for run in ended)
        for run in ended:
            idle_s = now_s - max(run.ended_s or 0.0, run.detached_s or 0.0)
            if idle_s > resume_s(run) or kept_bytes > self.kept_total_bytes:
                kept_bytes -= run.kept_bytes
                self.remove(run)
        return [run for run in self if run.is_abandoned(now_s, resume_s(run))]

    def _unique_runs(self) -> list[Run]:
        return [run for key, run in self._runs.items() if key == run.envelope.request_id]
