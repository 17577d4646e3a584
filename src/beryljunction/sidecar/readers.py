"""Writing a run's answer to the connection that reads it now.

The run lives in a task of its own and only fills its log; a reader copies from the log. So a
reader may break off or hang for good without touching the run, and another one goes on where it
stopped.
"""

import time

import anyio

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.servers import Receive, wait_disconnect
from beryljunction.sidecar.runs import Reader, Run
from beryljunction.sidecar.writers import Writer
from beryljunction.streams import HEARTBEAT, error_event
from beryljunction.wire import refusal_body

__all__ = ["serve_reader"]


async def serve_reader(
    run: Run, after: int, pending_s: float, receive: Receive, writer: Writer
) -> None:
    """Write the answer from a sequence on, until it ends or the connection does.

    Args:
        run: The run to read; an earlier reader of it is given up.
        after: Sequence of the last frame that the reader has.
        receive: Tells when the connection has ended.
        writer: Where the answer goes.
        pending_s: Time after which a reader is told to ask again when there is nothing to read.
    """
    async with anyio.create_task_group() as group:
        reader = Reader(group.cancel_scope)
        run.take_reader(reader)
        try:
            group.start_soon(wait_disconnect, receive, group.cancel_scope)
            await _write(run, reader, after, pending_s, writer)
        finally:
            run.drop_reader(reader, time.monotonic())
        group.cancel_scope.cancel()


async def _write(run: Run, reader: Reader, after: int, pending_s: float, writer: Writer) -> None:
    request_id = run.envelope.request_id
    with anyio.move_on_after(pending_s):
        while not run.readable:
            await run.changed.wait()
    if not run.readable:
        await writer.pending()
    elif run.answer is not None:
        await writer.answer(run.answer.status, run.answer.headers, run.answer.body)
    elif not run.streaming:
        await writer.refuse(_ending(run), request_id)
    elif not run.log.reaches(after):
        message = f"expected a sequence whose followers are still kept, got {after}; ask anew"
        await writer.refuse(Refusal(RefusalCode.INCOMPLETE, message, run.ran), request_id)
    else:
        await _write_stream(run, reader, after, writer)


async def _write_stream(run: Run, reader: Reader, after: int, writer: Writer) -> None:
    await writer.open_stream()
    send = writer.send
    log = run.log
    while True:
        if log.last > after:
            data = log.after(after)
            after = log.last
            run.given.notify()
        elif run.ended_s is not None:
            break
        elif reader.beat:
            data = HEARTBEAT
        else:
            await run.changed.wait()
            continue
        reader.quiet = reader.beat = False
        await send({"type": "http.response.body", "body": data, "more_body": True})
    tail = b"" if run.complete else error_event(refusal_body(_ending(run), run.envelope.request_id))
    await send({"type": "http.response.body", "body": tail})


def _ending(run: Run) -> Refusal:
    if run.refusal is not None:
        return run.refusal
    return Refusal(RefusalCode.CANCELLED, "the run was cancelled; ask anew", _proof(run))


def _proof(run: Run) -> Ran:
    return Ran.YES if run.streaming else run.ran
