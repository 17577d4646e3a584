"""Writing a run's answer to the connection that reads it now.

The run lives in a task of its own and only fills its log; a reader copies from the log. So a
reader may break off or hang for good without touching the run, and another one goes on where it
stopped.
"""

import time

import anyio
import attrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.servers import Receive, wait_disconnect
from beryljunction.sidecar.runs import Reader, Run
from beryljunction.sidecar.writers import Writer
from beryljunction.streams import HEARTBEAT, StreamName, error_event
from beryljunction.wire import refusal_body

__all__ = ["Place", "serve_reader"]


@attrs.frozen
class Place:
    """Who reads a run, and from where on.

    Attributes:
        request_id: The reader's own request; it has one connection at a time.
        after: Sequence of the last frame that the reader has.
        pending_s: Time after which it is told to ask again when there is nothing to read.
        alone: Whether all other connections to the run are given up.
    """

    request_id: str
    after: int
    pending_s: float
    alone: bool = False


async def serve_reader(
    run: Run, name: StreamName, place: Place, receive: Receive, writer: Writer
) -> None:
    """Write the answer from a sequence on, until it ends or the connection does.

    Args:
        run: The run to read.
        name: Name of the run's stream.
        place: Who reads, and from where on.
        receive: Tells when the connection has ended.
        writer: Where the answer goes.
    """
    async with anyio.create_task_group() as group:
        reader = Reader(place.request_id, group.cancel_scope)
        run.take_reader(reader, place.alone)
        try:
            group.start_soon(wait_disconnect, receive, group.cancel_scope)
            await _write(run, reader, name, place, writer)
        finally:
            run.drop_reader(reader, time.monotonic())
        group.cancel_scope.cancel()


async def _write(run: Run, reader: Reader, name: StreamName, place: Place, writer: Writer) -> None:
    with anyio.move_on_after(place.pending_s):
        while not run.readable:
            await run.changed.wait()
    if not run.readable:
        await writer.pending()
    elif run.answer is not None:
        await writer.answer(run.answer)
    elif not run.streaming:
        await writer.refuse(_ending(run), place.request_id)
    elif not run.log.reaches(place.after):
        await writer.refuse(_too_late(place.after), place.request_id)
    else:
        await writer.open_stream(name)
        await _write_stream(run, reader, place.after, writer)


async def _write_stream(run: Run, reader: Reader, after: int, writer: Writer) -> None:
    send = writer.send
    log = run.log
    while log.reaches(after):
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
    ending = _ending(run) if log.reaches(after) else _too_late(after)
    whole = run.complete and after == log.last
    tail = b"" if whole else error_event(refusal_body(ending, reader.request_id))
    await send({"type": "http.response.body", "body": tail})


def _too_late(after: int) -> Refusal:
    message = f"expected a sequence whose followers are still kept, got {after}; ask anew"
    return Refusal(RefusalCode.INCOMPLETE, message, Ran.YES)


def _ending(run: Run) -> Refusal:
    if run.refusal is not None:
        return run.refusal
    return Refusal(RefusalCode.CANCELLED, "the run was cancelled; ask anew", _proof(run))


def _proof(run: Run) -> Ran:
    return Ran.YES if run.streaming else run.ran
