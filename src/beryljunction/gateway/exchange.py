"""Serves one request of a caller: admission, endpoint selection, attempts and the answer."""

from functools import partial

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.attempt_monitor import AttemptMonitor
from beryljunction.gateway.caller_answer import AnswerWriter, CallerAnswer
from beryljunction.gateway.calls import (
    EndpointCall,
    EndpointUnreachable,
    open_call,
    open_checked_call,
)
from beryljunction.gateway.endpoint_request import build_endpoint_request
from beryljunction.gateway.exchangelog import ExchangeLog
from beryljunction.gateway.messages import Headers, HttpRequest, ResponseHead
from beryljunction.gateway.quarantine import request_features
from beryljunction.gateway.relay import AttemptResult, Relay
from beryljunction.gateway.response_headers import apply_response_headers
from beryljunction.gateway.state import VERSION_NOT_SERVED, EntryState
from beryljunction.platform import REPORT_REQUEST, check_request, decode_report_start
from beryljunction.platform.headers import REQUEST_ID, RETRY_AFTER_S
from beryljunction.platform.request_headers import (
    is_response_to,
    parse_caller_headers,
    was_not_executed,
)
from beryljunction.routing import (
    Admitted,
    AttemptDecision,
    AttemptOutcome,
    AttemptPlan,
    Choice,
    Denial,
    DenialReason,
    KnownEndpoint,
    PlacementRequest,
    PromptParts,
    RepeatPolicy,
    StreamOrigin,
    admit,
    request_digest,
    stream_key,
)

__all__ = ["Exchange"]

# No endpoint can answer a request in time when less than this remains until its deadline.
_MIN_REMAINING_S = 0.02
_DENIAL_STATUS = {DenialReason.NO_ROUTE: 404, DenialReason.UNKNOWN_KEY: 401}
_DEFAULT_DEADLINE_MS = 60_000
_MIN_ERROR_STATUS = 400
# Part of the remaining time in which an entry finds out where a stream began. Its caller needs the
# rest for the stream, or for another entry.
_SEARCH_RATIO = 1 / 3
_QUARANTINED = "quarantined"
_SUSPECTED = "suspected"
# A trial mostly shows within this time whether a suspicion is right.
_SUSPECTED_RETRY_AFTER_S = 1.0
_STOPPING = "stopping"
_FAULT = "fault"
_OVER_BUDGET = "retry_budget"
_MISDIRECTED = "misdirected"


class Exchange:
    """Handles one request of a caller from its arrival to the end of its answer."""

    def __init__(self, state: EntryState, request: HttpRequest, caller: AnswerWriter) -> None:
        self._state = state
        self._request = request
        self._caller_answer = CallerAnswer(caller)
        self._tried: set[KnownEndpoint] = set()
        self._endpoint_error: tuple[ResponseHead, bytes] | None = None
        self._service = ""
        self._origin: StreamOrigin | None = None
        self._features: frozenset[str] = frozenset()
        self._is_trial = False
        self._plan: AttemptPlan | None = None
        self._log = ExchangeLog(state)

    def refuse(self) -> None:
        """Refuse the request because the process exits."""
        if self._read_caller_headers():
            self._answer_error(503, _STOPPING)

    def end_unfinished(self) -> None:
        """Answer a request that was cancelled while its caller waits, because the process exits."""
        self._end_early(_STOPPING)

    def end_after_fault(self) -> None:
        """Answer a request that an unexpected exception has ended here."""
        self._end_early(_FAULT)

    def _end_early(self, reason: str) -> None:
        """End the answer; 503 only if no endpoint was sent a byte of the request."""
        if self._caller_answer.is_complete:
            return
        if self._caller_answer.has_started:
            self._abort_answer(reason)
        else:
            was_sent = self._plan is not None and self._plan.sends > 0
            self._answer_error(502 if was_sent else 503, reason)

    async def run(self) -> None:
        """Serve the request; cancelled when the caller disconnects or the process exits."""
        if not self._read_caller_headers():
            return
        if self._is_misdirected():
            self._answer_error(421, _MISDIRECTED)
            return
        admitted = self._admit()
        if isinstance(admitted, Denial):
            self._deny(admitted)
            return
        try:
            await self._serve(admitted)
        finally:
            self._keep_error(None)
            self._log.log_ended(self._caller_answer, self._request.arrived_s)

    def _read_caller_headers(self) -> bool:
        """Parse the headers; answer 400 and return False if they are invalid."""
        caller_headers = parse_caller_headers(self._request.headers)
        if isinstance(caller_headers, str):
            self._answer_error(400, caller_headers)
            return False
        self._caller_headers = caller_headers
        self._log.request_id = caller_headers.request_id
        self._log.resumed_request_id = caller_headers.resumed_request_id
        return True

    def _is_misdirected(self) -> bool:
        """Return whether an entry sent this to an endpoint whose record has an entry's address."""
        return self._state.registry.find(self._caller_headers.expected_endpoint) is not None

    async def _serve(self, admitted: Admitted) -> None:
        route = admitted.route
        deadline_ms = self._caller_headers.deadline_ms or _DEFAULT_DEADLINE_MS
        timeout_s = self._request.arrived_s + route.timeout_ms / 1000
        self._deadline_s = min(self._caller_deadline_s(deadline_ms), timeout_s)
        self._services = tuple(target.service for target in route.targets)
        self._service = route.service_for(self._state.random.random())
        is_resumed = route.streamed and self._caller_headers.has_last_event_id
        if is_resumed and not await self._find_origin(admitted):
            self._answer_error(503, VERSION_NOT_SERVED)
            return
        if route.repeat is RepeatPolicy.RESUME:
            self._caller_answer.last_event_id = self._caller_headers.last_event_id
        digest = self._log.digest = self._digest_for(admitted)
        self._features = request_features(digest, self._caller_headers.prompt_parts)
        self._placement_request = PlacementRequest(self._shared_parts())
        share = self._state.retry_share(self._service)
        share.count_request(boot_time_s())
        may_send_again = self._state.mechanisms.second_sends
        plan = self._plan = AttemptPlan(route.repeat, route.max_attempts, share, may_send_again)
        if not self._can_end(route.name):
            self._give_up(plan.give_up(), _STOPPING)
            return
        with anyio.move_on_after(max(0.0, self._remaining_s())) as scope:
            await self._try_endpoints(plan)
        if scope.cancelled_caught:
            self._time_out(plan)
        if self._is_trial:
            self._state.trial_permits.release(self._service, self._features)

    def _admit(self) -> Admitted | Denial:
        state, caller_headers = self._state, self._caller_headers
        path, now_s = self._request.path, boot_time_s()
        return admit(
            state.config, state.lease, caller_headers.host, path, caller_headers.api_key, now_s
        )

    def _digest_for(self, admitted: Admitted) -> str:
        request = self._request
        account = admitted.account.name if admitted.account is not None else ""
        host = self._caller_headers.host
        return request_digest(account, request.method, host, request.target, request.body)

    async def _find_origin(self, admitted: Admitted) -> bool:
        """Find out where the stream began that the caller resumes; return whether it can go on."""
        key = self._stream_key(admitted, self._caller_headers.resumed_request_id)
        with anyio.move_on_after(max(0.0, self._remaining_s() * _SEARCH_RATIO)):
            self._origin = await self._state.streams.find(key, self._services)
        if self._origin is None or self._origin.service not in self._services:
            return False
        self._service = self._origin.service
        return True

    @staticmethod
    def _stream_key(admitted: Admitted, request_id: str) -> str:
        return stream_key(admitted.account.name if admitted.account else "", request_id)

    def _caller_deadline_s(self, deadline_ms: int) -> float:
        """Return until when the caller waits, who has also waited while the request was unread."""
        return self._request.arrived_s - self._request.unread_s + deadline_ms / 1000

    def _remaining_s(self) -> float:
        return self._deadline_s - boot_time_s()

    def _can_end(self, route: str) -> bool:
        """Return whether an answer that begins now ends before this process does."""
        left_s = self._state.stop.left_s(boot_time_s())
        if self._remaining_s() <= left_s:
            return True
        return self._state.answer_times.can_end_within(route, left_s)

    def _shared_parts(self) -> PromptParts:
        """Return the prompt parts that other requests may share: not the last one, unless alone."""
        ids, tokens = self._caller_headers.prompt_parts, self._caller_headers.prompt_tokens
        if len(ids) > 1:
            return PromptParts(ids[:-1], tokens[:-1], tokens[-1])
        return PromptParts(ids, tokens)

    async def _try_endpoints(self, plan: AttemptPlan) -> None:
        """Try endpoints in turn until one answers or no further attempt is allowed."""
        while not (self._end_if_quarantined(plan) or self._end_if_over_budget(plan)):
            choice = self._state.choose_endpoint(
                self._service,
                self._placement_request,
                self._tried,
                self._origin,
                begins_stream=plan.repeat is RepeatPolicy.RESUME,
                is_retry=plan.sends > 0,
            )
            if choice is None or self._remaining_s() < _MIN_REMAINING_S:
                reason = "no_time"
                if choice is None:
                    reason = self._state.no_endpoint_reason(self._service, self._origin)
                self._give_up(plan.give_up(), reason)
                return
            endpoint = choice.endpoint
            if not await self._may_send():
                self._give_up(plan.give_up(), _SUSPECTED)
                return
            self._tried.add(endpoint)
            result = await self._attempt(choice, plan)
            if result.outcome is None:
                return
            if result.error_answer is not None:
                self._keep_error(result.error_answer)
            decision = plan.after(result.outcome)
            self._log.write(
                "attempt_ended",
                digest=self._log.digest,
                endpoint=endpoint.record.endpoint_id,
                outcome=result.outcome.value,
                verdict=decision.value,
                detail=result.detail,
            )
            if decision is not AttemptDecision.AGAIN:
                self._give_up(decision, result.outcome.value)
                return

    def _keep_error(self, answer: tuple[ResponseHead, bytes] | None) -> None:
        """Keep an endpoint's error answer, not an earlier one, if there is memory for it."""
        memory = self._state.memory
        if self._endpoint_error is not None:
            memory.unpin(len(self._endpoint_error[1]))
            self._endpoint_error = None
        if answer is not None and memory.can_pin(len(answer[1])):
            memory.pin(len(answer[1]))
            self._endpoint_error = answer

    def _end_if_quarantined(self, plan: AttemptPlan) -> bool:
        """End the request if it is quarantined for crashing endpoints; return whether it is."""
        if self._state.quarantine.remaining_s(self._features) <= 0.0:
            return False
        self._give_up(plan.give_up(), _QUARANTINED)
        return True

    def _end_if_over_budget(self, plan: AttemptPlan) -> bool:
        """End the request if it may not be sent again, before an endpoint is checked for it."""
        now_s = boot_time_s()
        self._state.unread_sends.expire(now_s)
        if plan.is_in_budget(now_s):
            return False
        self._give_up(plan.give_up(), _OVER_BUDGET)
        return True

    async def _may_send(self) -> bool:
        """Return whether the request isn't under suspicion, or may be sent as a trial."""
        if self._is_trial or not self._state.quarantine.is_suspected(self._features):
            return True
        self._is_trial = await self._state.trial_permits.ask(self._service, self._features)
        return self._is_trial

    async def _attempt(self, choice: Choice, plan: AttemptPlan) -> AttemptResult:
        """Connect to one endpoint and send the request to it."""
        endpoint = choice.endpoint
        endpoint.in_flight += 1
        if plan.sends:
            endpoint.unread.add(plan)
        try:
            call = await self._connect(endpoint, plan)
            endpoint.reached_s = boot_time_s()
            with call:
                return await self._send(call, choice, plan)
        except EndpointUnreachable as error:
            endpoint.note_failure(boot_time_s())
            endpoint.note_unreachable(boot_time_s())
            self._state.losses.probe_soon(endpoint)
            return AttemptResult(AttemptOutcome.NOT_SENT, str(error))
        finally:
            endpoint.in_flight -= 1
            self._state.unread_sends.end_attempt(endpoint, plan)

    async def _connect(self, endpoint: KnownEndpoint, plan: AttemptPlan) -> EndpointCall:
        """Connect to an endpoint; for a retry, to one that is known to run.

        One that stands still would read the retry later, together with all others that it was sent
        meanwhile.
        """
        address, is_head = endpoint.record.address, self._request.method == b"HEAD"
        if not plan.sends:
            return await open_call(address, is_head, self._state.memory)
        check = check_request(self._state.known_service(self._service))
        return await open_checked_call(address, is_head, check, self._state.memory)

    async def _send(self, call: EndpointCall, choice: Choice, plan: AttemptPlan) -> AttemptResult:
        """Send the request and relay the answer."""
        endpoint = choice.endpoint
        admitted = await self._check_before_send(call, endpoint, plan)
        if isinstance(admitted, AttemptResult):
            return admitted
        prefill = self._state.prefill_plan(self._service, endpoint, self._placement_request)
        self._state.note_send(self._service, endpoint)
        origin = self._note_origin(admitted, endpoint, plan)
        is_trial, self._is_trial = self._is_trial, False
        time_s = self._time_to_hand_over_s(admitted, plan)
        call.send(self._build_request(endpoint, admitted, time_s, prefill.source))
        self._log.log_sent(
            choice,
            admitted.route,
            admitted.account,
            self._placement_request,
            prefill,
            service=self._service,
            attempt=plan.sends,
            left_ms=int(self._remaining_s() * 1000),
            handed_ms=int(time_s * 1000),
        )
        sent_s = endpoint.pending_since_s[call] = boot_time_s()
        endpoint.prefill_tokens += prefill.uncached_tokens
        monitor = AttemptMonitor(self._state, endpoint, self._features, sent_s, is_trial)
        with monitor.until_closed(call):
            try:
                head = await call.read_head()
            finally:
                endpoint.prefill_tokens -= prefill.uncached_tokens
                took_ms = endpoint.end_wait(call, boot_time_s()) * 1000
                self._note_read(call, endpoint, plan, sent_s)
            if not admitted.route.streamed:
                endpoint.latency.note(took_ms, boot_time_s())
            if head is not None and head.status == 200:
                self._state.note_first_byte(self._service, prefill, took_ms)
            result = await self._handle_answer(call, head, endpoint, admitted, monitor)
            if self._origin is None and self._caller_answer.has_started:
                self._origin = origin
            is_bad = result.outcome is not None or (head is not None and head.status >= 500)
            if result.outcome is None and head is not None and head.status < _MIN_ERROR_STATUS:
                begin_s = took_ms / 1000
                rest_s = boot_time_s() - sent_s - begin_s
                self._state.answer_times.note(admitted.route.name, begin_s, rest_s)
            if not call.was_unread:
                endpoint.error_rate.note(is_bad, boot_time_s())
            if self._caller_answer.is_complete and call.is_complete:
                monitor.note_complete()
            else:
                await monitor.note_lost_connection(call)
        if is_trial and not monitor.is_lost:
            self._state.trial_permits.release(self._service, self._features)
        return result

    def _time_to_hand_over_s(self, admitted: Admitted, plan: AttemptPlan) -> float:
        """Return how long the endpoint may work from when it reads the request."""
        left_s = min(self._remaining_s(), self._state.stop.left_s(boot_time_s()))
        if plan.sends <= 1:
            return left_s
        route = admitted.route
        return self._state.answer_times.retry_time_s(route.name, route.streamed, left_s)

    def _note_read(
        self, call: EndpointCall, endpoint: KnownEndpoint, plan: AttemptPlan, sent_s: float
    ) -> None:
        """Record whether the endpoint is known to have read the request."""
        now_s = boot_time_s()
        if call.has_received:
            self._state.unread_sends.note_answer(endpoint, sent_s, now_s)
        if call.has_received or call.was_ended:
            plan.note_read(now_s)
            endpoint.unread.discard(plan)
        else:
            self._state.unread_sends.add(endpoint, plan, sent_s, now_s)

    async def _confirm_incarnation(self, call: EndpointCall, endpoint: KnownEndpoint) -> bool:
        """Return whether the incarnation that this entry knows has the connection.

        An endpoint that restarted under its id may have another software version, which its record
        says only when it arrives. If its report doesn't state a start, later records decide.
        """
        if not endpoint.record.may_reuse_id:
            return True
        connected_s = boot_time_s()
        report = await call.fetch(REPORT_REQUEST)
        started_ms = decode_report_start(report) if report is not None else None
        if started_ms is None:
            return await self._state.streams.wait_for_records(connected_s)
        return started_ms == endpoint.record.started_ms

    def _note_origin(
        self, admitted: Admitted, endpoint: KnownEndpoint, plan: AttemptPlan
    ) -> StreamOrigin:
        """Return where the stream begins if this endpoint sends its first event."""
        origin = self._state.stream_origin(endpoint, plan.sends)
        if self._origin is None and admitted.route.repeat is RepeatPolicy.RESUME:
            key = self._stream_key(admitted, self._log.request_id)
            note_begun = partial(self._state.streams.note_begun, key, origin, self._services)
            self._caller_answer.on_start = note_begun
        return origin

    async def _handle_answer(
        self,
        call: EndpointCall,
        head: ResponseHead | None,
        endpoint: KnownEndpoint,
        admitted: Admitted,
        monitor: AttemptMonitor,
    ) -> AttemptResult:
        """Check the status and headers of an answer, then relay it or fail the attempt."""
        if head is None:
            endpoint.note_failure(boot_time_s())
            return AttemptResult(AttemptOutcome.FAILED, call.problem)
        apply_response_headers(endpoint, head, self._log, self._state.report_coverage)
        if was_not_executed(head.status, head.headers):
            monitor.note_declined()
            return AttemptResult(AttemptOutcome.DECLINED, str(head.status))
        if not is_response_to(self._log.request_id, head.headers):
            endpoint.note_failure(boot_time_s())
            return AttemptResult(AttemptOutcome.FAILED, "answer to another request")
        monitor.note_head(head)
        relay = Relay(call, head, self._caller_answer, endpoint.latency, monitor)
        if admitted.route.streamed and head.status == 200:
            return await relay.relay_events()
        return await relay.relay_buffered(admitted.route.repeat)

    async def _check_before_send(
        self, call: EndpointCall, endpoint: KnownEndpoint, plan: AttemptPlan
    ) -> Admitted | AttemptResult:
        """Return for what the request is admitted, or how the attempt ended without a send.

        Admission and endpoint state are checked again: while the connection was being made or this
        process was paused, settings and membership may have changed or become too old.
        """
        is_confirmed = self._origin is None or await self._confirm_incarnation(call, endpoint)
        problem = self._state.reason_not_to_send(self._service, endpoint, self._origin)
        if not is_confirmed:
            problem = "another incarnation of the endpoint"
        if problem:
            return AttemptResult(AttemptOutcome.NOT_SENT, problem)
        admitted = self._admit()
        if isinstance(admitted, Denial):
            self._give_up(plan.give_up(), admitted.reason.value, admitted)
            return AttemptResult()
        if self._end_if_quarantined(plan):
            return AttemptResult()
        if not self._is_trial and self._state.quarantine.is_suspected(self._features):
            self._give_up(plan.give_up(), _SUSPECTED)
            return AttemptResult()
        if not self._can_end(admitted.route.name):
            self._give_up(plan.give_up(), _STOPPING)
            return AttemptResult()
        if plan.sends >= admitted.route.max_attempts:
            self._give_up(plan.give_up(), "max_attempts")
            return AttemptResult()
        if not plan.before_send(boot_time_s()):
            self._give_up(plan.give_up(), _OVER_BUDGET)
            return AttemptResult()
        return admitted

    def _build_request(
        self,
        endpoint: KnownEndpoint,
        admitted: Admitted,
        time_s: float,
        source: KnownEndpoint | None,
    ) -> bytes:
        return build_endpoint_request(
            self._request,
            admitted,
            endpoint.record.endpoint_id,
            max(1, int(time_s * 1000)),
            self._caller_answer.last_event_id,
            source.record.address if source is not None else None,
        )

    # Answers of the entry itself

    def _deny(self, denial: Denial) -> None:
        status = _DENIAL_STATUS[denial.reason] if denial.is_final else 503
        self._answer_error(status, denial.reason.value)

    def _give_up(
        self, decision: AttemptDecision, reason: str, denial: Denial | None = None
    ) -> None:
        """End the request without another attempt; the verdict decides the answer."""
        if self._caller_answer.has_started:
            self._abort_answer(reason)
        elif decision is AttemptDecision.DELIVER and self._endpoint_error is not None:
            self._caller_answer.relay_answer(*self._endpoint_error)
        elif decision is not AttemptDecision.REFUSE:
            self._answer_error(502, reason)
        elif denial is not None:
            self._deny(denial)
        else:
            self._answer_error(503, reason)

    def _time_out(self, plan: AttemptPlan) -> None:
        """End a request whose deadline or route timeout has expired, unless it is answered."""
        if self._caller_answer.is_complete:
            return
        if self._caller_answer.has_started:
            self._abort_answer("deadline")
        else:
            self._answer_error(504 if plan.sends else 503, "deadline")

    def _abort_answer(self, reason: str) -> None:
        self._log.write("broken_off", reason=reason)
        self._caller_answer.abort()

    def _answer_error(self, status: int, reason: str) -> None:
        headers: Headers = [(b"content-type", b"text/plain")]
        if self._log.request_id:
            headers.append((REQUEST_ID, self._log.request_id.encode("latin-1")))
        delay_s = self._retry_after_s(reason) if status == 503 else None
        if delay_s is not None:
            headers.append((RETRY_AFTER_S, b"%.2f" % delay_s))
        event = "refused" if status == 503 else "failed"
        self._log.write(event, digest=self._log.digest, status=status, reason=reason)
        self._caller_answer.write_answer(status, headers, f"{reason}\n".encode())

    def _retry_after_s(self, reason: str) -> float | None:
        """Return the Retry-After value of a refusal in seconds; None to send no such header."""
        if reason == _QUARANTINED:
            return self._state.quarantine.remaining_s(self._features)
        if reason == _SUSPECTED:
            return _SUSPECTED_RETRY_AFTER_S
        if reason == _STOPPING:
            return self._state.stop.reachable_for_s(boot_time_s())
        if reason in (VERSION_NOT_SERVED, _FAULT):
            return None
        deadline_ms = self._caller_headers.deadline_ms
        left_s = None
        if deadline_ms is not None:
            left_s = self._caller_deadline_s(deadline_ms) - boot_time_s()
        return self._state.retry_after_s(self._service, self._tried, left_s)
