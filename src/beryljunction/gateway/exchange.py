"""Walks one caller's request to its answer."""

import time
from typing import Any, Protocol

import anyio
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.calls import EndpointCall, EndpointUnreachable, open_call
from beryljunction.gateway.eventstream import EventSplitter, StreamEvent
from beryljunction.gateway.messages import Head, Headers, HttpRequest, hop_by_hop
from beryljunction.gateway.state import EntryState
from beryljunction.platform.headers import ENDPOINT_ONLY, RETRY_AFTER_S
from beryljunction.platform.requests import (
    MUST_STAY,
    CallerNeeds,
    endpoint_headers,
    has_not_run,
    is_answer_to,
    load_of,
    read_needs,
    with_last_event,
)
from beryljunction.routing import (
    Admitted,
    AttemptPlan,
    Demand,
    Denial,
    DenialReason,
    KnownEndpoint,
    LoadReport,
    Outcome,
    PromptParts,
    Repeat,
    Verdict,
    admit,
)

__all__ = ["Exchange"]

# Answers up to this size are read whole before a byte goes to the caller, so that one that breaks
# off can still become an honest failure or be asked for elsewhere.
_MOST_HELD_BYTES = 1_048_576
# A request with less time left than this can't be answered in time by any endpoint.
_LEAST_LEFT_S = 0.02
# Callers come back after this time, spread, and within a third of the time that they have left.
_RETRY_AFTER_S = 0.25
_RETRY_SPREAD_S = 0.5
_LEFT_SHARE = 1 / 3.0
_DENIAL_STATUS = {DenialReason.NO_ROUTE: 404, DenialReason.UNKNOWN_KEY: 401}
_NO_DEADLINE_MS = 60_000


class Answering(Protocol):
    """What an exchange needs of its caller's connection."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""

    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length."""

    async def write_part(self, data: bytes) -> None:
        """Write a part of it."""

    def end(self) -> None:
        """End it as complete."""

    def abort(self) -> None:
        """Break the connection."""


@attrs.define
class _Progress:
    """What the caller has of its answer.

    Attributes:
        position: Id of the last event handed on.
    """

    has_begun: bool = False
    position: int | None = None


class Exchange:
    """One request of a caller, from its arrival to the end of its answer."""

    def __init__(self, state: EntryState, request: HttpRequest, caller: Answering) -> None:
        self._state = state
        self._request = request
        self._caller = caller
        self._needs: CallerNeeds | None = None
        self._progress = _Progress()
        self._tried: set[KnownEndpoint] = set()
        self._retry_after_s: float | None = None
        self.outcome = "left"

    async def run(self) -> None:
        """Serve the request; cancelled when its caller leaves."""
        needs = read_needs(self._request.headers)
        if isinstance(needs, str):
            self._finish(400, needs)
            return
        self._needs = needs
        admitted = self._admit(needs)
        if isinstance(admitted, Denial):
            self._deny(admitted)
            return
        route = admitted.route
        limit_ms = min(needs.deadline_ms or _NO_DEADLINE_MS, route.timeout_ms)
        self._ends_s = self._request.arrived_s + limit_ms / 1000
        service = route.service_for(self._state.random.random())
        share = self._state.share(service)
        share.count_request(time.monotonic())
        plan = AttemptPlan(route.repeat, route.max_attempts, share)
        with anyio.move_on_after(max(0.0, self._left_s())):
            await self._walk(admitted, service, plan)
            return
        self._time_out(plan)

    def _admit(self, needs: CallerNeeds) -> Admitted | Denial:
        state = self._state
        path, now_s = self._request.path, boot_time_s()
        return admit(state.config, state.lease, needs.host, path, needs.api_key, now_s)

    def _left_s(self) -> float:
        return self._ends_s - boot_time_s()

    async def _walk(self, admitted: Admitted, service: str, plan: AttemptPlan) -> None:
        """Send to one endpoint after the other until one has answered or nothing is left to do."""
        self._service = service
        self._demand = Demand(self._shared_parts())
        while True:
            endpoint = self._state.choose(service, self._demand, self._tried)
            if endpoint is None or self._left_s() < _LEAST_LEFT_S:
                self._give_up(plan.give_up(), "no_endpoint" if endpoint is None else "no_time")
                return
            self._tried.add(endpoint)
            outcome, detail = await self._try(endpoint, admitted, plan)
            if outcome is None:
                return
            verdict = plan.after(outcome)
            self._log(
                "attempt_ended",
                endpoint=endpoint.record.endpoint_id,
                outcome=outcome.value,
                verdict=verdict.value,
                detail=detail,
            )
            if verdict is not Verdict.AGAIN:
                self._give_up(verdict, outcome.value)
                return

    def _shared_parts(self) -> PromptParts:
        """Return the parts that other requests have too: all but the last, which is its own."""
        assert self._needs is not None
        ids, tokens = self._needs.prompt_parts, self._needs.prompt_tokens
        return PromptParts(ids[:-1], tokens[:-1]) if len(ids) > 1 else PromptParts(ids, tokens)

    async def _try(
        self, endpoint: KnownEndpoint, admitted: Admitted, plan: AttemptPlan
    ) -> tuple[Outcome | None, str]:
        """Send to one endpoint; None when the caller has its answer."""
        record = endpoint.record
        endpoint.in_flight += 1
        try:
            call = await open_call(record.address, self._request.method == b"HEAD")
        except EndpointUnreachable as error:
            endpoint.in_flight -= 1
            endpoint.note_failure(time.monotonic())
            return Outcome.NOT_SENT, str(error)
        except BaseException:
            endpoint.in_flight -= 1
            raise
        try:
            with call:
                return await self._send(call, endpoint, admitted, plan)
        finally:
            endpoint.in_flight -= 1

    async def _send(
        self, call: EndpointCall, endpoint: KnownEndpoint, admitted: Admitted, plan: AttemptPlan
    ) -> tuple[Outcome | None, str]:
        """Send the request and hand its answer on.

        Settings and membership may have changed, or their age may have passed what is allowed,
        while the connection was being made or this process was paused.
        """
        if not self._state.registry.is_usable(endpoint):
            return Outcome.NOT_SENT, "endpoint is leaving"
        assert self._needs is not None
        again = self._admit(self._needs)
        if isinstance(again, Denial):
            self._give_up(plan.give_up(), again.reason.value, again)
            return None, ""
        if not plan.before_send(time.monotonic()):
            self._give_up(plan.give_up(), "retry_budget")
            return None, ""
        call.send(self._message(endpoint, again))
        self._log(
            "sent",
            endpoint=endpoint.record.endpoint_id,
            load=round(endpoint.load(time.monotonic()), 1),
            own=endpoint.in_flight,
            route=again.route.name,
            left_ms=int(self._left_s() * 1000),
        )
        head = await call.head()
        if head is None:
            endpoint.note_failure(time.monotonic())
            return Outcome.FAILED, call.problem
        return await self._take(call, head, endpoint, again)

    async def _take(
        self, call: EndpointCall, head: Head, endpoint: KnownEndpoint, admitted: Admitted
    ) -> tuple[Outcome | None, str]:
        """Judge an answer by its head, and hand it on."""
        assert self._needs is not None
        self._note_load(endpoint, head)
        if has_not_run(head.status, head.headers):
            return Outcome.DECLINED, str(head.status)
        if not is_answer_to(self._needs.request_id, head.headers):
            endpoint.note_failure(time.monotonic())
            return Outcome.FAILED, "answer to another request"
        endpoint.note_answer()
        if admitted.route.streamed and head.status == 200:
            return await self._stream(call, head, admitted.route.repeat)
        return await self._hold(call, head, admitted.route.repeat)

    async def _hold(
        self, call: EndpointCall, head: Head, repeat: Repeat
    ) -> tuple[Outcome | None, str]:
        """Read an answer whole, then hand it on."""
        parts: list[bytes] = []
        size = 0
        while (part := await call.part()) is not None:
            parts.append(part)
            size += len(part)
            if size > _MOST_HELD_BYTES:
                return await self._pass_on(call, head, parts)
        if not call.is_complete:
            return Outcome.FAILED, call.problem
        if self._progress.has_begun:
            return Outcome.FAILED, f"status {head.status} in place of the rest of a stream"
        if head.status >= 500 and repeat is not Repeat.NEVER:
            self._error = (head, b"".join(parts))
            return Outcome.ERRORED, str(head.status)
        self.outcome = str(head.status)
        self._caller.answer(head.status, self._answer_headers(head), b"".join(parts))
        return None, ""

    async def _pass_on(
        self, call: EndpointCall, head: Head, parts: list[bytes]
    ) -> tuple[Outcome | None, str]:
        """Hand a large answer on as it comes."""
        self._caller.begin(head.status, self._answer_headers(head))
        self._progress.has_begun = True
        for part in parts:
            await self._caller.write_part(part)
        while (more := await call.part()) is not None:
            await self._caller.write_part(more)
        if not call.is_complete:
            return Outcome.FAILED, call.problem
        self.outcome = str(head.status)
        self._caller.end()
        return None, ""

    async def _stream(
        self, call: EndpointCall, head: Head, repeat: Repeat
    ) -> tuple[Outcome | None, str]:
        """Hand events on, whole ones only and each once."""
        splitter = EventSplitter()
        while (part := await call.part()) is not None:
            events = [event for event in splitter.feed(part) if self._is_new(event)]
            if splitter.is_overlong:
                return Outcome.FAILED, "an event without end"
            await self._hand_on(head, events)
        if not call.is_complete or splitter.rest:
            return Outcome.FAILED, call.problem or "an event that ends early"
        if not self._progress.has_begun:
            await self._hand_on(head, [], is_last=True)
        self.outcome = str(head.status)
        self._caller.end()
        return None, ""

    async def _hand_on(self, head: Head, events: list[StreamEvent], is_last: bool = False) -> None:
        if not events and not is_last:
            return
        if not self._progress.has_begun:
            self._caller.begin(head.status, self._answer_headers(head))
            self._progress.has_begun = True
        await self._caller.write_part(b"".join(event.raw for event in events))

    def _is_new(self, event: StreamEvent) -> bool:
        """Note an event's position; False for one that the caller has already."""
        if event.position is None:
            return True
        if self._progress.position is not None and event.position <= self._progress.position:
            return False
        self._progress.position = event.position
        return True

    def _message(self, endpoint: KnownEndpoint, admitted: Admitted) -> bytes:
        """Return the request as the endpoint gets it: target and body byte for byte."""
        request, route, account = self._request, admitted.route, admitted.account
        lines = request.headers
        if self._progress.position is not None:
            lines = with_last_event(lines, self._progress.position)
        urgency = route.priority
        if account is not None and account.priority is not None:
            urgency = account.priority
        headers = endpoint_headers(
            lines,
            hop_by_hop(request.headers, MUST_STAY),
            endpoint.record.endpoint_id,
            max(1, int(self._left_s() * 1000)),
            account.name if account is not None else None,
            urgency,
            self._state.source(self._service, endpoint, self._demand),
        )
        had_body = request.value(b"content-length") or request.value(b"transfer-encoding")
        if had_body is not None:
            headers.append((b"content-length", b"%d" % len(request.body)))
        start = b"%b %b HTTP/1.1\r\n" % (request.method, request.target)
        head = b"".join(b"%b: %b\r\n" % line for line in headers)
        return start + head + b"\r\n" + request.body

    def _answer_headers(self, head: Head) -> Headers:
        dropped = hop_by_hop(head.headers, frozenset()) | ENDPOINT_ONLY
        return [line for line in head.headers if line[0] not in dropped]

    def _note_load(self, endpoint: KnownEndpoint, head: Head) -> None:
        load = load_of(head.headers)
        if load is not None:
            running, waiting = load
            now_s = time.monotonic()
            endpoint.report = LoadReport(running, waiting, endpoint.in_flight, now_s)

    # Ends without an endpoint's answer

    def _deny(self, denial: Denial) -> None:
        if denial.is_final:
            self._finish(_DENIAL_STATUS[denial.reason], denial.reason.value)
        else:
            self._finish(503, denial.reason.value)

    def _give_up(self, verdict: Verdict, reason: str, denial: Denial | None = None) -> None:
        """End the request at once, with what is true of it."""
        if self._progress.has_begun:
            self._break_off(reason)
        elif verdict is Verdict.DELIVER:
            head, body = self._error
            self.outcome = str(head.status)
            self._caller.answer(head.status, self._answer_headers(head), body)
        elif verdict is Verdict.REFUSE and denial is not None:
            self._deny(denial)
        elif verdict is Verdict.REFUSE:
            self._finish(503, reason)
        else:
            self._finish(502, reason)

    def _time_out(self, plan: AttemptPlan) -> None:
        """End a request whose time is over; nothing waits beyond its route's time-out."""
        if self._progress.has_begun:
            self._break_off("deadline")
        elif plan.sends:
            self._finish(504, "deadline")
        else:
            self._finish(503, "deadline")

    def _break_off(self, reason: str) -> None:
        """Break the connection: an answer that can't be completed must not look complete."""
        self.outcome = "broken_off"
        self._log("broken_off", reason=reason)
        self._caller.abort()

    def _finish(self, status: int, reason: str) -> None:
        headers: Headers = [(b"content-type", b"text/plain")]
        if self._needs is not None and self._needs.request_id:
            headers.append((b"x-request-id", self._needs.request_id.encode("latin-1")))
        if status == 503:
            headers.append((RETRY_AFTER_S, b"%.2f" % self._pause_s()))
        self.outcome = f"{status} {reason}"
        self._log("refused" if status == 503 else "failed", status=status, reason=reason)
        self._caller.answer(status, headers, f"{reason}\n".encode())

    def _pause_s(self) -> float:
        """Return when to come back: spread, so that callers refused together don't return so."""
        pause_s = _RETRY_AFTER_S + self._state.random.random() * _RETRY_SPREAD_S
        deadline_ms = self._needs.deadline_ms if self._needs is not None else None
        if deadline_ms is None:
            return pause_s
        left_s = self._request.arrived_s + deadline_ms / 1000 - boot_time_s()
        return max(0.01, min(pause_s, left_s * _LEFT_SHARE))

    def _log(self, event: str, **fields: Any) -> None:
        request_id = self._needs.request_id if self._needs is not None else ""
        self._state.events.write(
            event,
            request_id=request_id,
            settings_age_s=round(self._state.lease.age_s(boot_time_s()), 3),
            **fields,
        )
