"""Routes a validated request: selects endpoints, retries, reports where a chat was served."""

import random
import time

import attrs

from beryljunction.entry.attempt_runner import AttemptRunner
from beryljunction.entry.client_requests import ClientRequest
from beryljunction.entry.request_state import RequestContext
from beryljunction.entry.response_writer import (
    IDEMPOTENCY_KEY_HEADER,
    ROUTE_HINT_HEADER,
    TICKET_HEADER,
)
from beryljunction.entry.sidecar_client import SidecarClient
from beryljunction.entry.ticket_router import TicketRouter
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.settings import ResolvedSettings
from beryljunction.systems import (
    EndpointSelector,
    GiveUp,
    PlacementQuery,
    RequestAttempts,
    RetryBudget,
    Try,
    chat_key_of,
)
from beryljunction.tables import Endpoint, EndpointTable
from beryljunction.timeline import Timeline
from beryljunction.wire import (
    MOVED_PATH,
    ChatMoved,
    Envelope,
)

__all__ = ["Router"]

_MAX_CHAT_ID_CHARS = 256


class Router:
    """Sends requests to their candidate endpoints, one after another.

    Attributes:
        view: Current settings.
    """

    def __init__(
        self,
        view: ResolvedSettings,
        endpoints: EndpointTable,
        sidecars: SidecarClient,
        timeline: Timeline,
        availability_zone: str,
        region: str,
        fleet_key: bytes,
    ) -> None:
        self.view = view
        self._sidecars = sidecars
        self._timeline = timeline
        self._zone = availability_zone
        self._attempt_runner = AttemptRunner(sidecars, timeline)
        self._tickets = TicketRouter(endpoints, sidecars, self._attempt_runner, fleet_key)
        self._placement = EndpointSelector(endpoints, region=region)
        self._budget = RetryBudget()
        self._random = random.Random()

    async def route(self, context: RequestContext, request: ClientRequest) -> Refusal | None:
        """Route the request to an endpoint; return None if the caller received its answer."""
        self._timeline.add("arrived", context.response_writer.request_id, request.service)
        chat_key = chat_key_of(context.account, request.chat_id) if request.chat_id else None
        envelope = self._envelope(context, request, chat_key)
        query = self._query(context, request, chat_key)
        refers_to_earlier = context.header(TICKET_HEADER) or context.header(IDEMPOTENCY_KEY_HEADER)
        if request.idempotent and not refers_to_earlier:
            return await self._route_repeatable(context, envelope, request.body, query)
        candidates = self._placement.candidates(query, time.monotonic())
        envelope = attrs.evolve(envelope, idempotent=False)
        silence_s = self._silence_s(envelope)
        return await self._tickets.route(context, envelope, request.body, candidates, silence_s)

    async def fetch_ticket(self, service: str, account: str) -> str | Refusal:
        """Return a ticket issued by one of the service's sidecars."""
        query = PlacementQuery(service, self._random.getrandbits(64), self._zone)
        candidates = self._placement.candidates(query, time.monotonic())
        ticket = await self._tickets.fetch(candidates, account)
        if ticket is not None:
            return ticket
        message = "expected a sidecar that gives tickets, found none; retry later"
        return Refusal(RefusalCode.NO_ENDPOINT, message, ExecutionStatus.NO, 1.0)

    async def _route_repeatable(
        self, context: RequestContext, envelope: Envelope, body: bytes, query: PlacementQuery
    ) -> Refusal | None:
        """Try the candidates in turn with a request that may safely run more than once."""
        attempts = self._attempts(query, envelope)
        step = attempts.first()
        while isinstance(step, Try):
            attempt_envelope = _envelope_for_attempt(envelope, step)
            silence_s = self._silence_s(envelope)
            refusal = await self._attempt_runner.run(
                context, step.endpoint, attempt_envelope, body, silence_s
            )
            if refusal is None:
                self._budget.earn()
                await self._notify_pointer_holders(attempts, step.endpoint, envelope)
                return None
            envelope = attrs.evolve(envelope, attempt=envelope.attempt + 1)
            step = attempts.after(refusal, step.endpoint)
        assert isinstance(step, GiveUp)
        return step.refusal

    def _attempts(self, query: PlacementQuery, envelope: Envelope) -> RequestAttempts:
        now_s = time.monotonic()
        candidates = self._placement.candidates(query, now_s)
        previous_home = None
        if envelope.chat_key is not None and query.hint is None:
            previous_home = self._placement.previous_home(candidates, now_s)
        home = self._placement.home(query, now_s) if query.hint else None
        return RequestAttempts(candidates, self._budget, envelope.idempotent, previous_home, home)

    async def _notify_pointer_holders(
        self, attempts: RequestAttempts, server: Endpoint, envelope: Envelope
    ) -> None:
        """Tell the sidecars that hold a chat's pointer where it was served.

        A lost message costs only a warm prefix cache.
        """
        if envelope.chat_key is None:
            return
        tokens = envelope.prompt_tokens + envelope.output_tokens
        moved = ChatMoved(envelope.chat_key, server.endpoint_id, tokens)
        for holder in attempts.pointer_holders(server):
            await self._sidecars.send_control(holder, MOVED_PATH, moved)

    def _silence_s(self, envelope: Envelope) -> float:
        return self.view.services[envelope.service].silence_s

    def _query(
        self, context: RequestContext, request: ClientRequest, chat_key: int | None
    ) -> PlacementQuery:
        return PlacementQuery(
            request.service,
            chat_key if chat_key is not None else self._random.getrandbits(64),
            self._zone,
            prefer_zone=self.view.services[request.service].kind == "plain",
            hint=context.header(ROUTE_HINT_HEADER),
        )

    def _envelope(
        self, context: RequestContext, request: ClientRequest, chat_key: int | None
    ) -> Envelope:
        return Envelope(
            request_id=context.response_writer.request_id,
            account=context.account,
            service=request.service,
            wait_s=self.view.service_for(request.service, context.account).deadline_s,
            chat_key=chat_key,
            chat_id=_chat_id_for_header(request.chat_id),
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            idempotent=request.idempotent,
            streamed=request.streamed,
            method=request.method,
            path=request.path,
            headers=request.headers,
        )


def _chat_id_for_header(chat_id: str | None) -> str:
    """Return the chat id, or "" if it is too long for a header; its prefix then is not moved."""
    return chat_id if chat_id and len(chat_id) <= _MAX_CHAT_ID_CHARS else ""


def _envelope_for_attempt(envelope: Envelope, step: Try) -> Envelope:
    return attrs.evolve(
        envelope,
        warm=step.warm,
        last_resort=step.last_resort,
        only_if_warm=step.only_if_warm,
        ignore_pointer=step.ignore_pointer,
        loads=step.loads,
    )
