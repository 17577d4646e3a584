"""Writing the answer of a run to the connections that read it.

A run has a task of its own that only appends to its frame log, and readers copy from this log. So
a reader may disconnect or hang without any effect on the run, and another reader may continue at
the same position.
"""

import time

import anyio
import attrs

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.servers import Receive, cancel_on_disconnect
from beryljunction.sidecar.runs import Reader, Run
from beryljunction.sidecar.writers import ResponseWriter
from beryljunction.streams import HEARTBEAT, StreamId, error_event
from beryljunction.wire import encode_refusal

__all__ = ["ReadRequest", "serve_reader"]


@attrs.frozen
class ReadRequest:
    """A request to read a run from a position on.

    Attributes:
        request_id: The reader's own request, which has only one connection at a time.
        after: Sequence number of the last frame that the reader has.
        pending_s: Time in seconds after which a reader with no data is told to ask again.
        exclusive: Whether all other connections to the run are closed.
    """

    request_id: str
    after: int
    pending_s: float
    exclusive: bool = False


async def serve_reader(
    run: Run, name: StreamId, read_request: ReadRequest, receive: Receive, writer: ResponseWriter
) -> None:
    """Write the answer from a position on until it ends or the reader disconnects.

    Args:
        run: The run to read.
        name: Name of the run's stream.
        read_request: The reader and its position.
        receive: ASGI receive channel, which signals a disconnect.
        writer: Writes to the connection.
    """
    async with anyio.create_task_group() as group:
        reader = Reader(read_request.request_id, group.cancel_scope)
        run.add_reader(reader, read_request.exclusive)
        try:
            group.start_soon(cancel_on_disconnect, receive, group.cancel_scope)
            await _write_answer(run, reader, name, read_request, writer)
        finally:
            run.remove_reader(reader, time.monotonic())
        group.cancel_scope.cancel()


async def _write_answer(
    run: Run, reader: Reader, name: StreamId, read_request: ReadRequest, writer: ResponseWriter
) -> None:
    with anyio.move_on_after(read_request.pending_s):
        while not run.readable:
            await run.data_available.wait()
    if not run.readable:
        await writer.pending()
    elif run.answer is not None:
        await writer.answer(run.answer)
    elif not run.streaming:
        await writer.refuse(_end_refusal(run), read_request.request_id)
    elif not run.log.can_resume_after(read_request.after):
        await writer.refuse(_dropped_frames_refusal(read_request.after), read_request.request_id)
    else:
        await writer.open_stream(name)
        await _write_stream(run, reader, read_request.after, writer)


async def _write_stream(run: Run, reader: Reader, after: int, writer: ResponseWriter) -> None:
    send = writer.send
    log = run.log
    while log.can_resume_after(after):
        if log.last_sequence > after:
            data = log.read_after(after)
            after = log.last_sequence
            run.data_read.notify()
        elif run.ended_s is not None:
            break
        elif reader.heartbeat_due:
            data = HEARTBEAT
        else:
            await run.data_available.wait()
            continue
        reader.idle = reader.heartbeat_due = False
        await send({"type": "http.response.body", "body": data, "more_body": True})
    refusal = _end_refusal(run) if log.can_resume_after(after) else _dropped_frames_refusal(after)
    is_complete = run.complete and after == log.last_sequence
    last_event = b"" if is_complete else error_event(encode_refusal(refusal, reader.request_id))
    await send({"type": "http.response.body", "body": last_event})


def _dropped_frames_refusal(after: int) -> Refusal:
    message = f"expected a sequence whose followers are still kept, got {after}; ask anew"
    return Refusal(RefusalCode.INCOMPLETE, message, ExecutionStatus.YES)


def _end_refusal(run: Run) -> Refusal:
    if run.refusal is not None:
        return run.refusal
    return Refusal(RefusalCode.CANCELLED, "the run was cancelled; ask anew", _proven_outcome(run))


def _proven_outcome(run: Run) -> ExecutionStatus:
    return ExecutionStatus.YES if run.streaming else run.ran
