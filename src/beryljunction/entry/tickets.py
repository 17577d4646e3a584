"""Brings a request that may not be repeated to an endpoint, under a ticket or a key."""

import heapq

import attrs

from beryljunction.entry.exchanges import Exchange
from beryljunction.entry.sidecars import SidecarClient
from beryljunction.entry.tries import Tries
from beryljunction.entry.writers import KEY_HEADER, TICKET_HEADER
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.systems import (
    GiveUp,
    KeyUnavailable,
    TicketMint,
    body_digest,
    chat_key_of,
    claim_shard,
    key_digest,
    key_refusal,
    rendezvous_score,
)
from beryljunction.systems.state.ticket_attempts import Mint, TicketAttempts, TicketStep, UseTicket
from beryljunction.tables import Endpoint, EndpointState, EndpointTable
from beryljunction.wire import KEY_SHARDS, Envelope, KeyWish, claim_stream

__all__ = ["TicketRouter"]

# A ticket's life counts from its stamp. One that is minted on an old stamp would expire early and
# leave its caller with "unknown", so the sidecar is asked for a new one instead.
_FRESH_STAMP_S = 60.0
# Stamps that go along for successors: as many as a chain of tickets may be long.
_MOST_CANDIDATES = 4
# A second home covers the loss of the first; more would wait on hosts that are all unreachable.
_MOST_HOMES = 2


@attrs.frozen
class _Offer:
    """A request that may not be repeated, on its way.

    Attributes:
        untried: Candidates that it has not been offered to.
    """

    exchange: Exchange
    envelope: Envelope
    body: bytes
    silence_s: float
    untried: list[Endpoint]


class TicketRouter:
    """Walks requests along their chains of tickets."""

    def __init__(
        self, endpoints: EndpointTable, sidecars: SidecarClient, tries: Tries, fleet_key: bytes
    ) -> None:
        self._endpoints = endpoints
        self._sidecars = sidecars
        self._tries = tries
        self._mint = TicketMint(fleet_key)

    async def route(
        self,
        exchange: Exchange,
        envelope: Envelope,
        body: bytes,
        candidates: list[Endpoint],
        silence_s: float,
    ) -> Refusal | None:
        """Bring the request to an endpoint; None when the caller has its answer."""
        ticket = exchange.header(TICKET_HEADER)
        key = exchange.header(KEY_HEADER)
        if ticket is None and key is not None:
            settled = await self._settle_key(envelope, body, key, candidates)
            if isinstance(settled, Refusal):
                return settled
            ticket = settled
        offer = _Offer(exchange, envelope, body, silence_s, list(candidates))
        return await self._walk(offer, TicketAttempts(candidates, ticket))

    async def fetch(self, candidates: list[Endpoint], account: str) -> str | None:
        """Fetch a ticket that its caller may use later; its sidecar was alive a moment ago."""
        for endpoint in candidates[:_MOST_CANDIDATES]:
            ticket = await self._sidecars.ticket(endpoint, account)
            if ticket is not None:
                return ticket
        return None

    async def _walk(self, offer: _Offer, attempts: TicketAttempts) -> Refusal | None:
        step = attempts.first()
        while not isinstance(step, GiveUp):
            ticket = await self._ticket_for(step, offer.envelope.account)
            refusal = await self._try(offer, ticket, step)
            if refusal is None:
                return None
            attempt = offer.envelope.attempt + 1
            offer = attrs.evolve(offer, envelope=attrs.evolve(offer.envelope, attempt=attempt))
            step = attempts.after(refusal, ticket)
        return step.refusal

    async def _settle_key(
        self, envelope: Envelope, body: bytes, key: str, candidates: list[Endpoint]
    ) -> str | Refusal:
        """Return the ticket that a key stands for: one minted now, or that of an earlier request.

        Any sidecar may settle it, the log decides. The shard's homes are asked so that few
        processes read each stream and claims share their appends.
        """
        ticket = await self.fetch(candidates, envelope.account)
        if ticket is None:
            message = "expected a sidecar that gives tickets, found none; retry with the same key"
            return Refusal(RefusalCode.NO_ENDPOINT, message, Ran.UNKNOWN, 1.0, try_ran=Ran.NO)
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

    async def _ticket_for(self, step: TicketStep, account: str) -> str | None:
        if isinstance(step, Mint):
            heard = self._sidecars.heard(step.endpoint)
            if heard is None or heard.age_s > _FRESH_STAMP_S:
                return await self._sidecars.ticket(step.endpoint, account)
            return self._mint.mint(heard.stamp, account)
        assert not isinstance(step, GiveUp)
        return step.ticket

    async def _try(self, offer: _Offer, ticket: str | None, step: TicketStep) -> Refusal | None:
        endpoint = self._endpoint_of(ticket, offer.envelope.service)
        if isinstance(endpoint, Refusal):
            return endpoint
        offer.untried[:] = [row for row in offer.untried if row.endpoint_id != endpoint.endpoint_id]
        stamps = self._fresh_stamps(offer.untried)[:_MOST_CANDIDATES]
        is_last = isinstance(step, UseTicket) and step.last_resort
        envelope = attrs.evolve(
            offer.envelope, ticket=ticket, last_resort=is_last or not stamps, candidates=stamps
        )
        assert ticket is not None
        offer.exchange.caller.put(TICKET_HEADER, ticket.encode())
        return await self._tries.run(
            offer.exchange, endpoint, envelope, offer.body, offer.silence_s
        )

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
