"""Brings a checked request to an endpoint: candidates, tries, tickets."""

import heapq
import random
import time

import attrs

from beryljunction.entry.callers import CallerRequest
from beryljunction.entry.exchanges import Exchange
from beryljunction.entry.relays import Relay
from beryljunction.entry.sidecars import SidecarClient
from beryljunction.entry.writers import KEY_HEADER, ROUTE_HINT_HEADER, TICKET_HEADER
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.settings import FleetView
from beryljunction.systems import (
    AttemptSystem,
    GiveUp,
    KeyUnavailable,
    PlacementQuery,
    PlacementSystem,
    RetryBudget,
    TicketMint,
    Try,
    body_digest,
    chat_key_of,
    claim_shard,
    key_digest,
    key_refusal,
    rendezvous_score,
)
from beryljunction.systems.ticket_attempts import Mint, TicketAttempts, TicketStep, UseTicket
from beryljunction.tables import Endpoint, EndpointState, EndpointTable
from beryljunction.timeline import Timeline
from beryljunction.wire import (
    KEY_SHARDS,
    MOVED_PATH,
    Attach,
    ChatMoved,
    Envelope,
    KeyWish,
    claim_stream,
)

__all__ = ["Router"]

# A ticket's life counts from its stamp. One that is minted on an old stamp would expire early and
# leave its caller with "unknown", so the sidecar is asked for a new one instead.
_FRESH_STAMP_S = 60.0
# Stamps that go along for successors: as many as a chain of tickets may be long.
_MOST_CANDIDATES = 4
# A second home covers the loss of the first; more would wait on hosts that are all unreachable.
_MOST_HOMES = 2


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
        fleet_key: bytes,
    ) -> None:
        self.view = view
        self._endpoints = endpoints
        self._sidecars = sidecars
        self._timeline = timeline
        self._zone = availability_zone
        self._mint = TicketMint(fleet_key)
        self._placement = PlacementSystem(endpoints)
        self._budget = RetryBudget()
        self._random = random.Random()

    async def route(self, exchange: Exchange, request: CallerRequest) -> Refusal | None:
        """Bring the request to an endpoint; None when the caller has its answer."""
        self._timeline.add("arrived", exchange.caller.request_id, request.service)
        chat_key = chat_key_of(exchange.account, request.chat_id) if request.chat_id else None
        envelope = self._envelope(exchange, request, chat_key)
        query = self._query(exchange, request, chat_key)
        ticket = exchange.header(TICKET_HEADER)
        key = exchange.header(KEY_HEADER)
        if request.idempotent and ticket is None and key is None:
            return await self._route_freely(exchange, envelope, request.body, query)
        candidates = self._placement.candidates(query, time.monotonic())
        envelope = attrs.evolve(envelope, idempotent=False)
        if ticket is None and key is not None:
            settled = await self._settle_key(envelope, request.body, key, candidates)
            if isinstance(settled, Refusal):
                return settled
            ticket = settled
        return await self._route_once(exchange, envelope, request.body, candidates, ticket)

    async def fetch_ticket(self, service: str, account: str) -> str | Refusal:
        """Return a ticket of one of the service's sidecars."""
        query = PlacementQuery(service, self._random.getrandbits(64), self._zone)
        candidates = self._placement.candidates(query, time.monotonic())
        ticket = await self._first_ticket(candidates, account)
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
            refusal = await self._try(exchange, step.endpoint, _offer(envelope, step), body)
            if refusal is None:
                self._budget.earn()
                await self._tell_home(attempts.home, step.endpoint, envelope)
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

    async def _tell_home(self, home: Endpoint | None, taker: Endpoint, envelope: Envelope) -> None:
        """Tell a chat's home who took the chat; a message that is lost costs a warm cache only."""
        if home is None or home is taker or envelope.chat_key is None:
            return
        tokens = envelope.prompt_tokens + envelope.output_tokens
        moved = ChatMoved(envelope.chat_key, taker.endpoint_id, tokens)
        await self._sidecars.tell(home, MOVED_PATH, moved)

    async def _route_once(
        self,
        exchange: Exchange,
        envelope: Envelope,
        body: bytes,
        candidates: list[Endpoint],
        ticket: str | None,
    ) -> Refusal | None:
        """Walk a chain of tickets with a request that may not run twice."""
        attempts = TicketAttempts(candidates, ticket)
        untried = list(candidates)
        step = attempts.first()
        while not isinstance(step, GiveUp):
            ticket = await self._ticket_for(step, envelope.account)
            refusal = await self._try_ticket(exchange, envelope, body, untried, ticket, step)
            if refusal is None:
                return None
            envelope = attrs.evolve(envelope, attempt=envelope.attempt + 1)
            step = attempts.after(refusal, ticket)
        return step.refusal

    async def _settle_key(
        self, envelope: Envelope, body: bytes, key: str, candidates: list[Endpoint]
    ) -> str | Refusal:
        """Return the ticket that a key stands for: one minted now, or that of an earlier request.

        Any sidecar may settle it, the log decides. The shard's homes are asked so that few
        processes read each stream and claims share their appends.
        """
        ticket = await self._first_ticket(candidates, envelope.account)
        if ticket is None:
            message = "expected a sidecar that gives tickets, found none; retry with the same key"
            return Refusal(RefusalCode.NO_ENDPOINT, message, Ran.UNKNOWN, 1.0)
        digest = key_digest(envelope.account, envelope.service, key)
        shard = claim_shard(digest, KEY_SHARDS)
        request = body_digest(envelope.method.encode(), envelope.path.encode(), body)
        wish = KeyWish(envelope.request_id, shard, digest, request, ticket)
        for home in self._homes(shard):
            settled = await self._sidecars.claim(home, wish)
            if settled is not None:
                return settled
        return key_refusal(KeyUnavailable(1.0))

    def _homes(self, shard: int) -> list[Endpoint]:
        key = chat_key_of("", claim_stream(shard))
        live = [row for row in self._endpoints if row.state is EndpointState.LIVE]
        return heapq.nlargest(
            _MOST_HOMES, live, key=lambda row: rendezvous_score(key, row.endpoint_id, row.weight)
        )

    async def _first_ticket(self, candidates: list[Endpoint], account: str) -> str | None:
        """Fetch a ticket that its caller may use later; its sidecar was alive a moment ago."""
        for endpoint in candidates[:_MOST_CANDIDATES]:
            ticket = await self._sidecars.ticket(endpoint, account)
            if ticket is not None:
                return ticket
        return None

    async def _ticket_for(self, step: TicketStep, account: str) -> str | None:
        if isinstance(step, Mint):
            heard = self._sidecars.heard(step.endpoint)
            if heard is None or heard.age_s > _FRESH_STAMP_S:
                return await self._sidecars.ticket(step.endpoint, account)
            return self._mint.mint(heard.stamp, account)
        assert not isinstance(step, GiveUp)
        return step.ticket

    async def _try_ticket(
        self,
        exchange: Exchange,
        envelope: Envelope,
        body: bytes,
        untried: list[Endpoint],
        ticket: str | None,
        step: TicketStep,
    ) -> Refusal | None:
        endpoint = self._endpoint_of(ticket, envelope.service)
        if isinstance(endpoint, Refusal):
            return endpoint
        untried[:] = [row for row in untried if row.endpoint_id != endpoint.endpoint_id]
        stamps = self._fresh_stamps(untried)[:_MOST_CANDIDATES]
        is_last = isinstance(step, UseTicket) and step.last_resort
        offer = attrs.evolve(
            envelope, ticket=ticket, last_resort=is_last or not stamps, candidates=stamps
        )
        assert ticket is not None
        exchange.caller.put(TICKET_HEADER, ticket.encode())
        return await self._try(exchange, endpoint, offer, body)

    def _fresh_stamps(self, endpoints: list[Endpoint]) -> tuple[str, ...]:
        rows = [heard for row in endpoints if (heard := self._sidecars.heard(row)) is not None]
        return tuple(row.stamp.to_text() for row in rows if row.age_s <= _FRESH_STAMP_S)

    def _endpoint_of(self, ticket: str | None, service: str) -> Endpoint | Refusal:
        """Return the endpoint whose sidecar the ticket is bound to."""
        if ticket is None:
            message = "the endpoint's sidecar gave no ticket"
            return Refusal(RefusalCode.ENDPOINT_FAILED, message, Ran.NO, 1.0)
        read = self._mint.read(ticket)
        if read is None:
            message = "expected a ticket as POST /v1/tickets gives it"
            return Refusal(RefusalCode.TICKET_INVALID, message, Ran.NO)
        endpoint = self._endpoints.get(read.stamp.endpoint_id)
        if endpoint is None:
            message = "the endpoint of this ticket is gone; look up the outcome before asking again"
            return Refusal(RefusalCode.TICKET_INVALID, message, Ran.UNKNOWN)
        if endpoint.service != service:
            message = f"expected a ticket for {service!r}, got one for {endpoint.service!r}"
            return Refusal(RefusalCode.TICKET_INVALID, message, Ran.NO)
        return endpoint

    async def _try(
        self, exchange: Exchange, endpoint: Endpoint, envelope: Envelope, body: bytes
    ) -> Refusal | None:
        caller = exchange.caller
        heard = self._sidecars.heard(endpoint)
        # What was heard before a byte went out: only the incarnation that got it can prove "no".
        stamp = heard.stamp.to_text() if heard is not None else ""
        age_s = heard.age_s if heard is not None else 0.0
        attach = Attach(
            envelope.request_id,
            envelope.account,
            heard=stamp,
            attempt=envelope.attempt,
            heard_age_s=age_s,
        )
        envelope = attrs.evolve(envelope, heard=stamp, heard_age_s=age_s)
        silence_s = self.view.services[envelope.service].silence_s
        caller.put(ROUTE_HINT_HEADER, endpoint.endpoint_id.encode())
        exchange.relay = Relay(self._sidecars, endpoint, attach, caller, silence_s)
        refusal = await exchange.relay.run(envelope, body)
        if refusal is not None:
            self._timeline.add("try_refused", envelope.request_id, refusal.code)
        return refusal

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
            wait_s=self.view.services[request.service].deadline_s,
            chat_key=chat_key,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            idempotent=request.idempotent,
            streamed=request.streamed,
            method=request.method,
            path=request.path,
            headers=request.headers,
        )


def _offer(envelope: Envelope, step: Try) -> Envelope:
    return attrs.evolve(
        envelope,
        warm=step.warm,
        last_resort=step.last_resort,
        only_if_warm=step.only_if_warm,
        ignore_pointer=step.ignore_pointer,
        loads=step.loads,
    )
