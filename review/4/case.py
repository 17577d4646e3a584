"""A second answer is written to a kept connection, as if it were that of the next request."""

import asyncio
import pathlib
import signal
import sys
import time

import kit

# A worker begins each answer at its end, after this time.
WORK_S = 0.5
DEADLINE_MS = 1000
DOWN_S = 1.9
FREEZE_LIMIT_S = 4.0
# Both parts stand before that of the request itself; all requests of this route share them.
SHARED_PARTS = "aa11:400,bb22:80"


def request(number):
    parts = [
        ("X-Model", "m"),
        ("X-Token-Counts", "500,40"),
        ("X-Prompt-Prefix", f"{SHARED_PARTS},c{number:x}:20"),
    ]
    return kit.request_bytes(
        "POST", f"/ask/{number}", f"ask{number}", DEADLINE_MS, parts, body=b"{}"
    )


async def play(record, folder):
    store = kit.Store()
    await store.start()
    operator = kit.Operator(store)
    routes = [kit.route("/ask/", "model", "idempotent", **{"sticky-sessions": True})]
    operator.write(routes, [kit.service("model", is_engine=True)], [kit.KEY])

    async def whole(request, writer, worker):
        await asyncio.sleep(WORK_S)
        writer.write(kit.whole_answer(200, worker.headers(request), request.target.encode()))

    workers = [kit.Worker(store, f"model-{n}", "model", whole, record) for n in (1, 2, 3)]
    entries = [kit.Entry(f"entry-{n}", f"127.0.0.{n + 1}", store, folder) for n in (1, 2)]
    try:
        for worker in workers:
            await worker.start()
        for entry in entries:
            entry.start()
        for entry in entries:
            await entry.wait_until_ready()
        await asyncio.sleep(3.0)
        return await check(record, workers, entries)
    finally:
        for entry in entries:
            entry.end()
        for worker in workers:
            worker.stop()


async def trouble(record, workers, entries):
    """Freeze entry-2; crash the workers one after the other while they have requests."""
    entries[1].signal(signal.SIGSTOP)
    frozen_s = time.monotonic()
    record.write("entry-2 stands still")
    asked = [
        asyncio.ensure_future(kit.ask(entries[0].callers, request(100 + n), 2.0)) for n in range(12)
    ]
    for step, worker in enumerate(workers):
        for n in range(8):
            await asyncio.sleep(0.0125)
            number = 200 + 10 * step + n
            asked.append(asyncio.ensure_future(kit.ask(entries[0].callers, request(number), 2.0)))
        worker.crash()
    await asyncio.sleep(DOWN_S)
    for worker in workers:
        await worker.start()
        record.write(f"worker {worker.name} is back")
    await asyncio.gather(*asked)
    return frozen_s


async def check(record, workers, entries):
    reader, writer = await asyncio.open_connection(*entries[0].callers)
    frozen_s = time.monotonic()
    if kit.TROUBLE:
        frozen_s = await trouble(record, workers, entries)
        while not entries[0].events("request_suspected"):
            if time.monotonic() - frozen_s > FREEZE_LIMIT_S:
                raise kit.CannotRun("nothing came under suspicion while entry-2 stood still")
            await asyncio.sleep(0.02)
    wrong = []
    for number in range(1, 5):
        request_id = f"ask{number}"
        record.write(f"client sends {request_id} on its kept connection")
        writer.write(request(number))
        try:
            async with asyncio.timeout(3.0):
                answer = await kit.read_answer(reader)
        except TimeoutError:
            answer = None
        if answer is None:
            record.write(f"client gets nothing for {request_id}")
            break
        record.write(
            f"client gets {answer.status} with X-Request-Id {answer.request_id}, "
            f"body {answer.body!r}"
        )
        if answer.request_id != request_id:
            wrong.append(f"{request_id} got the answer to {answer.request_id}")
        if answer.headers.get("connection") == "close":
            break
    frozen_for_s = time.monotonic() - frozen_s
    if kit.TROUBLE:
        entries[1].signal(signal.SIGCONT)
        record.write(f"entry-2 goes on after {frozen_for_s:.1f} s")
    writer.close()
    for line in entries[0].events("request_suspected", "quarantine_lifted", "failed"):
        if "failed" not in line or any(f"request_id=ask{n} " in line for n in range(1, 5)):
            record.write(f"entry-1 logs: {line}")
    record.write(f"answers that belong to another request: {wrong}")
    return not wrong


if __name__ == "__main__":
    sys.exit(kit.run_case(pathlib.Path(__file__).parent, play))
