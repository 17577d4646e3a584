"""Routes requests that must not run twice, by means of tickets and idempotency keys."""

import heapq

import attrs

from beryljunction.entry.attempt_runner import AttemptRunner
from beryljunction.entry.request_state import RequestContext
from beryljunction.entry.response_writer import IDEMPOTENCY_KEY_HEADER, TICKET_HEADER
from beryljunction.entry.sidecar_client import SidecarClient
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
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
from beryljunction.wire import IDEMPOTENCY_KEY_SHARDS, Envelope, KeyWish, claim_log_stream

__all__ = ["TicketRouter"]

# A ticket's lifetime counts from its stamp. A ticket minted from an old stamp would expire early
# and leave its caller with "unknown", so the sidecar is asked for a new one instead.
_MAX_STAMP_AGE_S = 60.0
# Stamps sent along for successor tickets; equals the maximum length of a chain of tickets.
_MAX_CANDIDATES = 4
# The second home covers the loss of the first. Asking more would only add timeouts when hosts are
# unreachable.
_MAX_HOMES = 2


@attrs.frozen
class _PendingRequest:
    """A request that must not run twice, with the state of its routing.

    Attributes:
        untried: Candidates that have not received the request yet.
    """

    context: RequestContext
    envelope: Envelope
    body: bytes
    silence_s: float
    untried: list[Endpoint]


class TicketRouter:
    """Sends a request along its chain of tickets until one endpoint runs or refuses it."""

    def __init__(
        self,
        endpoints: EndpointTable,
        sidecars: SidecarClient,
        attempt_runner: AttemptRunner,
        fleet_key: bytes,
    ) -> None:
        self._endpoints = endpoints
        self._sidecars = sidecars
        self._attempt_runner = attempt_runner
        self._mint = TicketMint(fleet_key)

    async def route(
        self,
        context: RequestContext,
        envelope: Envelope,
        body: bytes,
        candidates: list[Endpoint],
        silence_s: float,
    ) -> Refusal | None:
        """Route the request to an endpoint; return None if the caller received its answer."""
        ticket = context.header(TICKET_HEADER)
        key = context.header(IDEMPOTENCY_KEY_HEADER)
        if ticket is None and key is not None:
            claimed = await self._claim_key(envelope, body, key, candidates)
            if isinstance(claimed, Refusal):
                return claimed
            ticket = claimed
        pending = _PendingRequest(context, envelope, body, silence_s, list(candidates))
        return await self._run_attempts(pending, TicketAttempts(candidates, ticket))

    async def fetch(self, candidates: list[Endpoint], account: str) -> str | None:
        """Return a ticket for later use, or None; its sidecar has just answered, so it is alive."""
        for endpoint in candidates[:_MAX_CANDIDATES]:
            ticket = await self._sidecars.ticket(endpoint, account)
            if ticket is not None:
                return ticket
        return None

    async def _run_attempts(
        self, pending: _PendingRequest, attempts: TicketAttempts
    ) -> Refusal | None:
        step = attempts.first()
        while not isinstance(step, GiveUp):
            ticket = await self._ticket_for(step, pending.envelope.account)
            refusal = await self._run_attempt(pending, ticket, step)
            if refusal is None:
                return None
            attempt = pending.envelope.attempt + 1
            pending = attrs.evolve(
                pending, envelope=attrs.evolve(pending.envelope, attempt=attempt)
            )
            step = attempts.after(refusal, ticket)
        return step.refusal

    async def _claim_key(
        self, envelope: Envelope, body: bytes, key: str, candidates: list[Endpoint]
    ) -> str | Refusal:
        """Return the ticket of an idempotency key: a new one, or that of an earlier request.

        Any sidecar could make the claim, since the log decides. Asking the shard's home endpoints
        keeps the readers of each log stream few and lets claims share appends.
        """
        ticket = await self.fetch(candidates, envelope.account)
        if ticket is None:
            message = "expected a sidecar that gives tickets, found none; retry with the same key"
            return Refusal(
                RefusalCode.NO_ENDPOINT,
                message,
                ExecutionStatus.UNKNOWN,
                1.0,
                try_ran=ExecutionStatus.NO,
            )
        digest = key_digest(envelope.account, envelope.service, key)
        shard = claim_shard(digest, IDEMPOTENCY_KEY_SHARDS)
        request = body_digest(envelope.method.encode(), envelope.path.encode(), body)
        key_claim = KeyWish(envelope.request_id, shard, digest, request, ticket)
        for home in self._shard_homes(shard):
            claimed = await self._sidecars.claim(home, key_claim)
            if claimed is not None:
                return claimed
        return key_refusal(KeyUnavailable(1.0))

    def _shard_homes(self, shard: int) -> list[Endpoint]:
        key = chat_key_of("", claim_log_stream(shard))
        live = [row for row in self._endpoints if row.state is EndpointState.LIVE]
        return heapq.nlargest(
            _MAX_HOMES, live, key=lambda row: rendezvous_score(key, row.endpoint_id, row.weight)
        )

    async def _ticket_for(self, step: TicketStep, account: str) -> str | None:
        if isinstance(step, Mint):
            known = self._sidecars.last_stamp(step.endpoint)
            if known is None or known.age_s > _MAX_STAMP_AGE_S:
                return await self._sidecars.ticket(step.endpoint, account)
            return self._mint.mint(known.stamp, account)
        assert not isinstance(step, GiveUp)
        return step.ticket

    async def _run_attempt(
        self, pending: _PendingRequest, ticket: str | None, step: TicketStep
    ) -> Refusal | None:
        endpoint = self._endpoint_of(ticket, pending.envelope.service)
        if isinstance(endpoint, Refusal):
            return endpoint
        pending.untried[:] = [
            row for row in pending.untried if row.endpoint_id != endpoint.endpoint_id
        ]
        stamps = self._fresh_stamps(pending.untried)[:_MAX_CANDIDATES]
        is_last = isinstance(step, UseTicket) and step.last_resort
        envelope = attrs.evolve(
            pending.envelope, ticket=ticket, last_resort=is_last or not stamps, candidates=stamps
        )
        assert ticket is not None
        pending.context.response_writer.set_header(TICKET_HEADER, ticket.encode())
        return await self._attempt_runner.run(
            pending.context, endpoint, envelope, pending.body, pending.silence_s
        )

    def _fresh_stamps(self, endpoints: list[Endpoint]) -> tuple[str, ...]:
        rows = [known for row in endpoints if (known := self._sidecars.last_stamp(row)) is not None]
        return tuple(row.stamp.to_text() for row in rows if row.age_s <= _MAX_STAMP_AGE_S)

    def _endpoint_of(self, ticket: str | None, service: str) -> Endpoint | Refusal:
        """Return the endpoint that the ticket is bound to, or a refusal."""
        if ticket is None:
            message = "the endpoint's sidecar gave no ticket"
            return Refusal(RefusalCode.ENDPOINT_FAILED, message, ExecutionStatus.NO, 1.0)
        parsed = self._mint.read(ticket)
        if parsed is None:
            message = "expected a ticket as POST /v1/tickets gives it"
            return Refusal(RefusalCode.TICKET_INVALID, message, ExecutionStatus.NO)
        endpoint = self._endpoints.get(parsed.stamp.endpoint_id)
        if endpoint is None:
            message = "the endpoint of this ticket is gone; look up the outcome before asking again"
            return Refusal(RefusalCode.TICKET_INVALID, message, ExecutionStatus.UNKNOWN)
        if endpoint.service != service:
            message = f"expected a ticket for {service!r}, got one for {endpoint.service!r}"
            return Refusal(RefusalCode.TICKET_INVALID, message, ExecutionStatus.NO)
        return endpoint
