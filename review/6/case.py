"""One answer whose bytes come without end, in small chunks, stops an entry for seconds."""

import asyncio
import pathlib
import sys
import time

import kit

# The sheets' smallest kinds of request: a stream of 15 s, a look-up of 1 s.
STREAM_DEADLINE_MS = 15000
LOOKUP_TIMEOUT_S = 1.0
LOOKUP_DEADLINE_MS = 4000
ALLOWANCE_S = 0.5
# The events of the sheets' streams hold 4 tokens; a chunk of the endless bytes is as large.
CHUNK_BYTES = 64
TROUBLE_S = 5.0
LOAD_S = 16.0
LOOKUPS_PER_S = 10
STREAMS_PER_S = 1
EVENTS = 13


async def sound_stream(request, writer, worker):
    headers = worker.headers(request) + [("content-type", "text/event-stream")]
    writer.write(kit.answer_head(200, headers, chunked=True))
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(0.02)
        writer.write(kit.chunk(f"id: {number}\ndata: piece {number}\n\n".encode()))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


class TroubledWorker:
    """Streams soundly, but while in trouble begins an answer whose bytes never end."""

    def __init__(self, record):
        self.is_in_trouble = False
        self._record = record

    async def stream(self, request, writer, worker):
        if not self.is_in_trouble:
            await sound_stream(request, writer, worker)
            return
        self._record.write(f"worker {worker.name} writes bytes without end to {request.request_id}")
        headers = worker.headers(request) + [("content-type", "text/event-stream")]
        writer.write(kit.answer_head(200, headers, chunked=True))
        bytes_without_end = kit.chunk(b"\xff" * CHUNK_BYTES) * 64
        sent = 0
        try:
            while not writer.transport.is_closing():
                writer.write(bytes_without_end)
                sent += len(bytes_without_end)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self._record.write(f"{request.request_id} is closed after {sent} bytes")


async def play(record, folder):
    store = kit.Store()
    await store.start()
    operator = kit.Operator(store)
    stream = kit.route(
        "/chat/",
        "model",
        "streaming",
        **{"timeout-ms": STREAM_DEADLINE_MS, "sticky-sessions": True, "resume-streams": True},
    )
    lookup = kit.route(
        "/status/", "app", "idempotent", **{"timeout-ms": int(LOOKUP_TIMEOUT_S * 1000)}
    )
    services = [kit.service("model", is_engine=True), kit.service("app")]
    operator.write([stream, lookup], services, [kit.KEY])

    async def whole(request, writer, worker):
        await asyncio.sleep(0.045)
        writer.write(kit.whole_answer(200, worker.headers(request), b"d" * 800))

    troubled = TroubledWorker(record)
    workers = [
        kit.Worker(store, "model-1", "model", troubled.stream, record),
        kit.Worker(store, "model-2", "model", sound_stream, record),
        kit.Worker(store, "app-1", "app", whole, record),
    ]
    entry = kit.Entry("entry-1", "127.0.0.1", store, folder)
    try:
        for worker in workers:
            await worker.start()
        entry.start()
        await entry.wait_until_ready()
        await asyncio.sleep(2.0)
        return await check(record, entry, troubled)
    finally:
        entry.end()
        for worker in workers:
            worker.stop()


async def look_up(entry, number, rows):
    sent_s = time.monotonic()
    data = kit.request_bytes("GET", f"/status/{number}", f"status{number}", LOOKUP_DEADLINE_MS)
    answer = await kit.ask(entry.callers, data, LOOKUP_DEADLINE_MS / 1000)
    took_s = time.monotonic() - sent_s
    rows.append((number, sent_s, took_s, answer.status if answer is not None else 0))


async def stream(entry, number, rows):
    parts = [
        ("X-Model", "m"),
        ("X-Token-Counts", "700,52"),
        ("X-Prompt-Prefix", f"b{number:x}:600,c{number:x}:100"),
    ]
    data = kit.request_bytes(
        "POST", f"/chat/{number}", f"chat{number}", STREAM_DEADLINE_MS, parts, body=b"{}"
    )
    answer = await kit.ask(entry.callers, data, STREAM_DEADLINE_MS / 1000)
    rows.append((number, answer.status if answer is not None else 0))


async def probe(entry, gaps, record):
    """Ask whether the entry is ready each second, as the platform does."""
    while True:
        began_s = time.monotonic()
        if not await entry.is_ready(1.0):
            gaps.append(began_s)
            record.write("readiness: no 200 within a second")
        await asyncio.sleep(max(0.0, began_s + 1.0 - time.monotonic()))


async def check(record, entry, troubled):
    lookups, streams, gaps, tasks = [], [], [], []
    probing = asyncio.ensure_future(probe(entry, gaps, record))
    began_s = time.monotonic()
    number = 0
    while (now_s := time.monotonic() - began_s) < LOAD_S:
        if kit.TROUBLE:
            troubled.is_in_trouble = 3.0 <= now_s < 3.0 + TROUBLE_S
        tasks.append(asyncio.ensure_future(look_up(entry, number, lookups)))
        if number % (LOOKUPS_PER_S // STREAMS_PER_S) == 0:
            tasks.append(asyncio.ensure_future(stream(entry, number, streams)))
        number += 1
        await asyncio.sleep(max(0.0, began_s + number / LOOKUPS_PER_S - time.monotonic()))
    await asyncio.gather(*tasks)
    probing.cancel()
    for row in sorted(lookups):
        record.write(
            f"status{row[0]}: sent at {row[1] - began_s:.2f} s, "
            f"status {row[3]} after {row[2]:.2f} s"
        )
    for row in sorted(streams):
        record.write(f"chat{row[0]}: status {row[1]}")
    for line in entry.events("stalled"):
        record.write(f"entry-1 logs: {line}")
    waiting = [row for row in lookups if row[2] > LOOKUP_TIMEOUT_S]
    late = [row for row in waiting if row[2] > LOOKUP_TIMEOUT_S + ALLOWANCE_S]
    record.write(
        f"look-ups unanswered at their route's timeout: {len(waiting)} of {len(lookups)}; "
        f"of these without an answer half a second later: {len(late)}; "
        f"readiness missed: {len(gaps)}; "
        f"longest answer {max(row[2] for row in lookups):.2f} s"
    )
    return not (len(waiting) >= 8 and len(late) > len(waiting) / 2)


if __name__ == "__main__":
    sys.exit(kit.run_case(pathlib.Path(__file__).parent, play))
