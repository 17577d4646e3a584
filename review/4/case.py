"""A second answer is written to a kept connection, as if it were that of the next request."""

import asyncio
import pathlib
import signal
import sys
import time

import kit

# A worker begins each answer at its end, after this time; one with the bad part sooner.
WORK_S = 0.5
BAD_WORK_S = 0.05
DEADLINE_MS = 1000
DOWN_S = 1.9
FREEZE_LIMIT_S = 4.0
# The trouble comes again, with other parts, if the shared parts don't come under suspicion: in
# about one of ten tries the entry finds the bad part without a trial.
TRIES = 3
PAUSE_S = 5.0


def shared_part(attempt):
    """Return the first part of a prompt, which all requests of one try share."""
    return f"aa{attempt}"


def request(number, attempt, is_bad=False):
    """Return a request; the shared parts stand before that of the request itself."""
    bad = f",dead{attempt}:40" if is_bad else ""
    shared = f"{shared_part(attempt)}:400,bb{attempt}:80"
    parts = [
        ("X-Model", "m"),
        ("X-Token-Counts", "500,40"),
        ("X-Prompt-Prefix", f"{shared}{bad},c{number:x}:20"),
    ]
    return kit.request_bytes(
        "POST", f"/ask/{number}", f"ask{number}", DEADLINE_MS, parts, body=b"{}"
    )


class Worker(kit.Worker):
    has_crashed = False

    def crash(self):
        if not self.has_crashed:
            self.has_crashed = True
            super().crash()


async def play(record, folder):
    store = kit.Store()
    await store.start()
    operator = kit.Operator(store)
    routes = [kit.route("/ask/", "model", "idempotent", **{"sticky-sessions": True})]
    operator.write(routes, [kit.service("model", is_engine=True)], [kit.KEY])

    async def whole(request, writer, worker):
        if ",dead" in request.headers["x-prompt-prefix"]:
            await asyncio.sleep(BAD_WORK_S)
            worker.crash()
            return
        await asyncio.sleep(WORK_S)
        writer.write(kit.whole_answer(200, worker.headers(request), request.target.encode()))

    workers = [Worker(store, f"model-{n}", "model", whole, record) for n in (1, 2, 3)]
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


async def trouble(record, workers, entries, attempt):
    """Freeze entry-2; let requests with the bad part crash each worker beside sound requests.

    Returns when entry-2 began to stand still; None if nothing came under suspicion meanwhile.
    """
    entries[1].signal(signal.SIGSTOP)
    frozen_s = time.monotonic()
    record.write("entry-2 stands still")
    base = 1000 * attempt
    asked = [
        asyncio.ensure_future(kit.ask(entries[0].callers, request(base + 100 + n, attempt), 2.0))
        for n in range(18)
    ]
    for n in range(32):
        await asyncio.sleep(0.0125)
        data = request(base + 200 + n, attempt, is_bad=n % 3 == 2)
        asked.append(asyncio.ensure_future(kit.ask(entries[0].callers, data, 2.0)))
    while not all(worker.has_crashed for worker in workers):
        if time.monotonic() - frozen_s > FREEZE_LIMIT_S:
            raise kit.CannotRun("the bad part didn't reach each worker")
        await asyncio.sleep(0.01)
    await asyncio.sleep(DOWN_S)
    for worker in workers:
        await worker.start()
        record.write(f"worker {worker.name} is back")
    await asyncio.gather(*asked)
    while not any(
        f'parts="{shared_part(attempt)},' in line for line in entries[0].events("request_suspected")
    ):
        if time.monotonic() - frozen_s > FREEZE_LIMIT_S:
            return None
        await asyncio.sleep(0.02)
    return frozen_s


def wake(record, entry, frozen_for_s):
    entry.signal(signal.SIGCONT)
    record.write(f"{entry.name} goes on after {frozen_for_s:.1f} s")


async def check(record, workers, entries):
    frozen_s, attempt = time.monotonic(), 1
    while kit.TROUBLE:
        frozen_s = await trouble(record, workers, entries, attempt)
        if frozen_s is not None:
            break
        wake(record, entries[1], FREEZE_LIMIT_S)
        for line in entries[0].events("request_quarantined"):
            record.write(f"entry-1 logs: {line}")
        if attempt == TRIES:
            raise kit.CannotRun("nothing came under suspicion while entry-2 stood still")
        attempt += 1
        for worker in workers:
            worker.has_crashed = False
        await asyncio.sleep(PAUSE_S)
    reader, writer = await asyncio.open_connection(*entries[0].callers)
    wrong = []
    for number in range(1, 5):
        request_id = f"ask{number}"
        record.write(f"client sends {request_id} on its kept connection")
        writer.write(request(number, attempt))
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
    if kit.TROUBLE:
        wake(record, entries[1], time.monotonic() - frozen_s)
    writer.close()
    for line in entries[0].events("request_suspected", "quarantine_lifted", "failed"):
        if "failed" not in line or any(f"request_id=ask{n} " in line for n in range(1, 5)):
            record.write(f"entry-1 logs: {line}")
    record.write(f"answers that belong to another request: {wrong}")
    return not wrong


if __name__ == "__main__":
    sys.exit(kit.run_case(pathlib.Path(__file__).parent, play))
