"""Brings a checked request to an endpoint: candidates, tries, pointers."""

import random
import time

import attrs

from beryljunction.entry.callers import CallerRequest
from beryljunction.entry.exchanges import Exchange
from beryljunction.entry.sidecars import SidecarClient
from beryljunction.entry.tickets import TicketRouter
from beryljunction.entry.tries import Tries
from beryljunction.entry.writers import KEY_HEADER, ROUTE_HINT_HEADER, TICKET_HEADER
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.settings import FleetView
from beryljunction.systems import (
    AttemptSystem,
    GiveUp,
    PlacementQuery,
    PlacementSystem,
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

_CHAT_ID_CHARS = 256


class Router:
    """Walks requests through their candidates.

    Attributes:
        view: Settings in force.
    """

    def __init__(
        self,
        view: FleetView,
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
        self._tries = Tries(sidecars, timeline)
        self._tickets = TicketRouter(endpoints, sidecars, self._tries, fleet_key)
        self._placement = PlacementSystem(endpoints, region=region)
        self._budget = RetryBudget()
        self._random = random.Random()

    async def route(self, exchange: Exchange, request: CallerRequest) -> Refusal | None:
        """Bring the request to an endpoint; None when the caller has its answer."""
        self._timeline.add("arrived", exchange.caller.request_id, request.service)
        chat_key = chat_key_of(exchange.account, request.chat_id) if request.chat_id else None
        envelope = self._envelope(exchange, request, chat_key)
        query = self._query(exchange, request, chat_key)
        names_earlier = exchange.header(TICKET_HEADER) or exchange.header(KEY_HEADER)
        if request.idempotent and not names_earlier:
            return await self._route_freely(exchange, envelope, request.body, query)
        candidates = self._placement.candidates(query, time.monotonic())
        envelope = attrs.evolve(envelope, idempotent=False)
        silence_s = self._silence_s(envelope)
        return await self._tickets.route(exchange, envelope, request.body, candidates, silence_s)

    async def fetch_ticket(self, service: str, account: str) -> str | Refusal:
        """Return a ticket of one of the service's sidecars."""
        query = PlacementQuery(service, self._random.getrandbits(64), self._zone)
        candidates = self._placement.candidates(query, time.monotonic())
        ticket = await self._tickets.fetch(candidates, account)
        if ticket is not None:
            return ticket
        message = "expected a sidecar that gives tickets, found none; retry later"
        return Refusal(RefusalCode.NO_ENDPOINT, message, Ran.NO, 1.0)

    async def _route_freely(
        self, exchange: Exchange, envelope: Envelope, body: bytes, query: PlacementQuery
    ) -> Refusal | None:
        """Walk the candidates with a request that may run again after a failure."""
        attempts = self._attempts(query, envelope)
        step = attempts.first()
        while isinstance(step, Try):
            offer = _offer(envelope, step)
            silence_s = self._silence_s(envelope)
            refusal = await self._tries.run(exchange, step.endpoint, offer, body, silence_s)
            if refusal is None:
                self._budget.earn()
                await self._tell_keepers(attempts, step.endpoint, envelope)
                return None
            envelope = attrs.evolve(envelope, attempt=envelope.attempt + 1)
            step = attempts.after(refusal, step.endpoint)
        assert isinstance(step, GiveUp)
        return step.refusal

    def _attempts(self, query: PlacementQuery, envelope: Envelope) -> AttemptSystem:
        now_s = time.monotonic()
        candidates = self._placement.candidates(query, now_s)
        previous_home = None
        if envelope.chat_key is not None and query.hint is None:
            previous_home = self._placement.previous_home(candidates, now_s)
        home = self._placement.home(query, now_s) if query.hint else None
        return AttemptSystem(candidates, self._budget, envelope.idempotent, previous_home, home)

    async def _tell_keepers(
        self, attempts: AttemptSystem, taker: Endpoint, envelope: Envelope
    ) -> None:
        """Tell who keeps a chat's pointer who took it; a lost message costs a warm cache only."""
        if envelope.chat_key is None:
            return
        tokens = envelope.prompt_tokens + envelope.output_tokens
        moved = ChatMoved(envelope.chat_key, taker.endpoint_id, tokens)
        for keeper in attempts.keepers(taker):
            await self._sidecars.tell(keeper, MOVED_PATH, moved)

    def _silence_s(self, envelope: Envelope) -> float:
        return self.view.services[envelope.service].silence_s

    def _query(
        self, exchange: Exchange, request: CallerRequest, chat_key: int | None
    ) -> PlacementQuery:
        return PlacementQuery(
            request.service,
            chat_key if chat_key is not None else self._random.getrandbits(64),
            self._zone,
            prefer_zone=self.view.services[request.service].kind == "plain",
            hint=exchange.header(ROUTE_HINT_HEADER),
        )

    def _envelope(
        self, exchange: Exchange, request: CallerRequest, chat_key: int | None
    ) -> Envelope:
        return Envelope(
            request_id=exchange.caller.request_id,
            account=exchange.account,
            service=request.service,
            wait_s=self.view.service_for(request.service, exchange.account).deadline_s,
            chat_key=chat_key,
            chat_id=_short(request.chat_id),
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            idempotent=request.idempotent,
            streamed=request.streamed,
            method=request.method,
            path=request.path,
            headers=request.headers,
        )


def _short(chat_id: str | None) -> str:
    """Return a chat id that fits a header; an overlong one only keeps its prefix from moving."""
    return chat_id if chat_id and len(chat_id) <= _CHAT_ID_CHARS else ""


def _offer(envelope: Envelope, step: Try) -> Envelope:
    return attrs.evolve(
        envelope,
        warm=step.warm,
        last_resort=step.last_resort,
        only_if_warm=step.only_if_warm,
        ignore_pointer=step.ignore_pointer,
        loads=step.loads,
    )
