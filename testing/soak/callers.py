"""Callers as the platform describes them: kept and new connections, and repeats."""

import asyncio
import itertools
import time

from soak.fleet import HOST, KEYS
from soak.records import ROUTES, Attempt, find_defect, find_events
from soak.wire import head_bytes, read_message

__all__ = ["Traffic"]

# A caller waits this much longer than its deadline before the attempt counts as unanswered; longer
# than any pause of the soak.
_PATIENCE_S = 8.0
_CONNECT_LIMIT_S = 1.0
_SENDS = 3
_SENDS_OF_STREAM = 6
_OPENERS = 3
# Share of broken streams that are resumed at an entry which is out of step, if there is one.
_PREFERENCE = 0.7


class Connection:
    """An open connection of a caller."""

    def __init__(self, entry, connected_s, reader, writer):
        self.entry, self.connected_s = entry, connected_s
        self.reader, self.writer = reader, writer
        self.answered = 0


class Traffic:
    """All callers of a run.

    Args:
        shares: Share of the usual number of callers by the name of the route; 1 for others.
        leave_share: Share of the new streams whose callers close the connection, and resume them.
        prompts: Draws the parts of a prompt, and when its caller leaves; None for no prompts.
    """

    def __init__(self, fleet, draw, shares, leave_share=0.0, prompts=None):
        self.fleet, self.draw, self.shares = fleet, draw, shares
        self.prompts = prompts
        self.leave_share = leave_share
        self.numbers = itertools.count()
        self.ends_s = float("inf")
        self.openers = set()

    async def connect(self, entry, limit_s=_CONNECT_LIMIT_S):
        from_s = time.monotonic()
        try:
            opened = asyncio.open_connection(*entry.address, limit=1 << 20)
            return Connection(entry, from_s, *await asyncio.wait_for(opened, limit_s))
        except (OSError, TimeoutError):
            return None

    async def send(self, connection, route, deadline_s, resumed_from=0, resumes=""):
        """Send one request; return its attempt once it is answered or given up.

        Args:
            resumed_from: Number of the last event that the caller has of the stream.
            resumes: Id of the attempt that brought the first event.
        """
        request_id = f"{route.name}-{next(self.numbers)}"
        key = self.draw.choice(KEYS) if self.draw.random() < 0.1 else KEYS[0]
        body = b"x" * self.draw.choice((10, 10, 2000)) if route.method == "POST" else b""
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Credential": key}
        headers |= {"X-Deadline-Ms": int(deadline_s * 1000), "Content-Length": len(body)}
        if resumed_from:
            headers |= {"Last-Event-Id": resumed_from, "Resumes": resumes}
        prompt = None
        if self.prompts is not None and route.kind == "streaming":
            prompt = self.prompts.draw(self.draw, request_id)
            headers |= {"X-Model": "m", "X-Token-Counts": f"{100 * len(prompt.parts)},30"}
            headers["X-Prompt-Prefix"] = ",".join(f"{part}:100" for part in prompt.parts)
            deadline_s = min(deadline_s, prompt.deadline_s)
            headers["X-Deadline-Ms"] = int(deadline_s * 1000)
        patience_s = deadline_s + _PATIENCE_S
        leaves = self.draw.random() < self.fleet.leaving if self.fleet.leaving else False
        if leaves:
            patience_s = self.draw.uniform(0.0, deadline_s)
        if prompt is not None and prompt.leaves_in_s < patience_s:
            leaves, patience_s = True, prompt.leaves_in_s
        now_s = time.monotonic()
        name = connection.entry.name
        attempt = Attempt(request_id, route, name, key, connection.connected_s, now_s)
        attempt.deadline_s, attempt.resumes = deadline_s, resumes
        attempt.parts = prompt.parts if prompt is not None else ()
        attempt.answered_before, attempt.first_event = connection.answered, resumed_from + 1
        self.fleet.evidence.attempts.append(attempt)
        first = f"{route.method} /{route.name}/{request_id} HTTP/1.1"
        message, leaving = None, self._plan_to_leave(connection, attempt)
        try:
            connection.writer.write(head_bytes(first, headers) + body)
            reading = read_message(connection.reader, is_answer=True)
            message = await asyncio.wait_for(reading, patience_s)
            attempt.problem = "closed" if message is None else ""
        except (OSError, TimeoutError, ValueError) as error:
            attempt.problem = type(error).__name__
            attempt.has_left = attempt.has_left or (leaves and isinstance(error, TimeoutError))
        finally:
            if leaving is not None:
                leaving.cancel()
        attempt.ended_s = time.monotonic()
        if message is not None:
            attempt.status, attempt.is_complete = message.status, message.is_complete
            attempt.refusal = (
                message.body.decode("latin-1").strip() if message.status == 503 else ""
            )
            attempt.signature = message.headers.get("x-server-signature", "")
            attempt.defect = find_defect(attempt, message)
            if route.kind == "streaming" and attempt.status == 200:
                attempt.events = find_events(message.body)
        return attempt, message

    def _plan_to_leave(self, connection, attempt):
        """Close the connection later, for some of the new streams that can be resumed."""
        if not attempt.route.resumes or attempt.resumes or self.draw.random() >= self.leave_share:
            return None

        def leave():
            attempt.has_left = True
            connection.writer.transport.abort()

        return asyncio.get_running_loop().call_later(self.draw.uniform(0.2, 1.0), leave)

    async def ask(self, route, place, connection=None):
        """Make one call with its repeats; return the connection if it can be kept, and a place."""
        ends_s, sends, resumed_from, resumes = time.monotonic() + route.timeout_s, 0, 0, ""
        while (left_s := ends_s - time.monotonic()) > 0.05 and sends < (
            _SENDS_OF_STREAM if resumes else _SENDS
        ):
            entry = self.fleet.entries[place % len(self.fleet.entries)]
            connection = connection or await self.connect(entry, min(left_s, _CONNECT_LIMIT_S))
            if connection is None:
                place += 1
                await asyncio.sleep(0.05)
                continue
            sends += 1
            left_s = max(0.05, ends_s - time.monotonic())
            attempt, message = await self.send(connection, route, left_s, resumed_from, resumes)
            if message is not None and message.is_complete and not attempt.may_resend:
                connection.answered += 1
                if message.headers.get("connection", "").lower() != "close":
                    return connection, place
            connection.writer.close()
            if not attempt.may_resend:
                connection, place = None, place + 1
                break
            if route.resumes and attempt.events:
                resumes = resumes or attempt.id
                resumed_from += len(attempt.events)
            connection, place = None, self.next_place(place, resumes)
            wait_s = float(message.headers.get("retry-after", 0.05)) if message else 0.05
            if wait_s > (ends_s - time.monotonic()) / 3:
                break
            await asyncio.sleep(wait_s)
        return None, place

    def next_place(self, place, resumes):
        """Return the place of the entry for the next attempt; a stream may prefer one."""
        others = sorted(+self.fleet.out_of_step)
        if resumes and others and self.draw.random() < _PREFERENCE:
            return self.draw.choice(others)
        return place + 1

    async def call_in_series(self, route, place, is_kept):
        """Call again and again, on one connection for as long as it lasts, or on new ones."""
        connection = None
        while time.monotonic() < self.ends_s:
            connection, place = await self.ask(route, place, connection)
            if connection is not None and not is_kept:
                connection.writer.close()
                connection = None
            await asyncio.sleep(self.draw.uniform(0.0, 2.0) * self.fleet.size.pause_s)
        if connection is not None:
            connection.writer.close()

    def open_early(self, entry):
        """Connect to a process that is just starting, as soon as it listens."""

        async def knock():
            ends_s = time.monotonic() + 3.0
            while time.monotonic() < ends_s:
                connection = await self.connect(entry)
                if connection is not None:
                    await self.send(connection, ROUTES["notes"], ROUTES["notes"].timeout_s)
                    connection.writer.close()
                    return
                await asyncio.sleep(0.005)

        if time.monotonic() < self.ends_s:
            for _ in range(_OPENERS):
                task = asyncio.create_task(knock())
                self.openers.add(task)
                task.add_done_callback(self.openers.discard)

    async def call_at_rate(self, route, per_s):
        """Call at a rate that jumps, however long the calls before take, on new connections."""
        level, changes_s = 1.0, 0.0
        async with asyncio.TaskGroup() as group:
            while (now_s := time.monotonic()) < self.ends_s:
                if now_s > changes_s:
                    level = self.draw.choice((0.1, 0.5, 1.0, 2.0))
                    changes_s = now_s + self.draw.uniform(2.0, 12.0)
                group.create_task(self._call_once(route))
                rate_per_s = per_s * level * self.fleet.traffic_ratio
                await asyncio.sleep(self.draw.expovariate(rate_per_s))

    async def _call_once(self, route):
        connection, _ = await self.ask(route, self.draw.randrange(len(self.fleet.entries)))
        if connection is not None:
            connection.writer.close()

    async def run(self):
        """Run all callers until the end of the traffic."""
        size = self.fleet.size
        async with asyncio.TaskGroup() as group:
            for route in ROUTES.values():
                for number in range(round(size.callers * self.shares.get(route.name, 1.0))):
                    group.create_task(self.call_in_series(route, number, number % 4 > 0))
                if size.rate_per_s:
                    group.create_task(self.call_at_rate(route, size.rate_per_s))
        await asyncio.gather(*self.openers)
