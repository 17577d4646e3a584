"""Streams of an entry that stands still can't go on elsewhere once a new version has come."""

import asyncio
import os
import pathlib
import signal
import sys
import time

import kit

EVENTS = 70
EVENT_GAP_S = 0.13
STREAMS = 20
DEADLINE_MS = 15000
GAP_MS = 400
# Clients abandon a stream after two seconds, four times the objective or eight times the pause.
ABANDON_S = max(2.0, 4 * 0.4, 8 * GAP_MS / 1000)
FREEZE_AFTER_S = 2.0
FREEZE_S = 3.8
# The worker of the new version comes this long after the entry has begun to stand still.
NEW_VERSION_AFTER_S = 1.0
NEW_EACH_S = 0.5
# TROUBLE=freeze leaves out the new version, TROUBLE=version the freeze.
FREEZES = os.environ.get("TROUBLE", "1") in ("1", "freeze")
NEW_VERSION_COMES = os.environ.get("TROUBLE", "1") in ("1", "version")


async def stream(request, writer, worker):
    headers = worker.headers(request) + [("content-type", "text/event-stream")]
    writer.write(kit.answer_head(200, headers, chunked=True))
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, EVENTS + 1):
        await asyncio.sleep(EVENT_GAP_S)
        if writer.transport.is_closing():
            return
        data = f"id: {number}\ndata: piece {number} by {worker.version}\n\n"
        writer.write(kit.chunk(data.encode()))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def play(record, folder):
    store = kit.Store()
    await store.start()
    operator = kit.Operator(store)
    chat = kit.route(
        "/chat/",
        "model",
        "streaming",
        **{
            "timeout-ms": DEADLINE_MS,
            "target-latency-ms": 400,
            "target-gap-ms": GAP_MS,
            "resume-streams": True,
            "sticky-sessions": True,
        },
    )
    operator.write([chat], [kit.service("model", is_engine=True)], [kit.KEY])
    workers = [kit.Worker(store, f"model-{n}", "model", stream, record) for n in range(1, 5)]
    for worker in workers[3:]:
        worker.version = "v2"
    entries = [kit.Entry(f"entry-{n}", f"127.0.0.{n + 1}", store, folder) for n in (1, 2, 3)]
    try:
        for worker in workers[:3]:
            await worker.start()
        for entry in entries:
            entry.start()
        for entry in entries:
            await entry.wait_until_ready()
        await asyncio.sleep(4.0)
        return await check(record, workers, entries)
    finally:
        for entry in entries:
            entry.end()
        for worker in workers:
            worker.stop()


def request(number, request_id, left_ms, headers=()):
    parts = [
        ("X-Model", "m"),
        ("X-Token-Counts", "700,280"),
        ("X-Prompt-Prefix", f"b{number:x}:600,c{number:x}:100"),
        *headers,
    ]
    return kit.request_bytes("POST", f"/chat/{number}", request_id, left_ms, parts, body=b"{}")


class Client:
    """A client whose stream begins at one entry; it goes on at another if it is abandoned."""

    def __init__(self, number, record):
        self.number, self._record = number, record
        self.body = b""
        self.is_whole = False
        self.took_up = None

    async def run(self, first, others):
        ends_s = time.monotonic() + DEADLINE_MS / 1000
        request_id = f"chat{self.number}"
        status = await self._read(first, request(self.number, request_id, DEADLINE_MS), ends_s)
        ids = kit.event_ids(self.body)
        if self.is_whole or not ids:
            self._record.write(
                f"{request_id}: status {status}, {len(ids)} events, " f"whole: {self.is_whole}"
            )
            return
        left_ms = int((ends_s - time.monotonic()) * 1000)
        again_id = f"chat{self.number}-again"
        headers = [("Last-Event-Id", ids[-1]), ("Resumes", request_id)]
        other = others[self.number % len(others)]
        before = len(ids)
        data = request(self.number, again_id, left_ms, headers)
        status = await self._read(other, data, ends_s)
        ids = kit.event_ids(self.body)
        self.took_up = len(ids) > before
        self._record.write(
            f"{request_id}: abandoned after event {before}; {other.name} answers "
            f"{status} to its being taken up, events now {len(ids)}, "
            f"whole: {self.is_whole}, in order: "
            f"{ids == list(range(1, len(ids) + 1))}"
        )

    async def _read(self, entry, data, ends_s):
        """Read a stream until its end, or a gap after which it is abandoned."""
        reader, writer = await asyncio.open_connection(*entry.callers)
        try:
            writer.write(data)
            async with asyncio.timeout(ABANDON_S):
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split()[1])
            if status != 200:
                return status
            while time.monotonic() < ends_s:
                async with asyncio.timeout(ABANDON_S):
                    size = int(await reader.readuntil(b"\r\n"), 16)
                    piece = await reader.readexactly(size + 2)
                if size == 0:
                    self.is_whole = True
                    return status
                self.body += piece[:-2]
            return status
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError, ValueError):
            return 0
        finally:
            writer.transport.abort()


async def begin_new(entries, began):
    """Begin new streams at the other entries, and note which get an event."""
    number = 1000
    tasks = []

    async def one(number, entry):
        data = request(number, f"new{number}", DEADLINE_MS)
        reader, writer = await asyncio.open_connection(*entry.callers)
        try:
            writer.write(data)
            async with asyncio.timeout(ABANDON_S):
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readuntil(b"\n\n")
            began.append(b" 200 " in head.partition(b"\r\n")[0])
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            began.append(False)
        finally:
            writer.transport.abort()

    try:
        while True:
            number += 1
            tasks.append(asyncio.ensure_future(one(number, entries[number % len(entries)])))
            await asyncio.sleep(NEW_EACH_S)
    finally:
        await asyncio.gather(*tasks)


async def check(record, workers, entries):
    clients = [Client(number, record) for number in range(STREAMS)]
    began = []
    running = [asyncio.ensure_future(client.run(entries[0], entries[1:])) for client in clients]
    beginning = asyncio.ensure_future(begin_new(entries[1:], began))
    await asyncio.sleep(FREEZE_AFTER_S)
    if FREEZES:
        entries[0].signal(signal.SIGSTOP)
        record.write("entry-1 stands still")
    await asyncio.sleep(NEW_VERSION_AFTER_S)
    if NEW_VERSION_COMES:
        for worker in workers[3:]:
            await worker.start()
            record.write(f"worker {worker.name} of version {worker.version} comes")
    await asyncio.sleep(FREEZE_S - NEW_VERSION_AFTER_S)
    if FREEZES:
        entries[0].signal(signal.SIGCONT)
        record.write("entry-1 goes on")
    await asyncio.gather(*running)
    beginning.cancel()
    await asyncio.gather(beginning, return_exceptions=True)
    again = [client for client in clients if client.took_up is not None]
    went_on = sum(client.took_up for client in again)
    new_share = sum(began) / max(1, len(began))
    for entry in entries[1:]:
        for line in entry.events("refused")[:3]:
            record.write(f"{entry.name} logs: {line}")
    record.write(
        f"streams taken up again: {len(again)}, went on: {went_on}; "
        f"new streams: {len(began)}, began: {sum(began)}; "
        "workers of v1 that serve all the while: 3"
    )
    return len(again) < 12 or went_on / len(again) >= new_share / 2


if __name__ == "__main__":
    sys.exit(kit.run_case(pathlib.Path(__file__).parent, play))
