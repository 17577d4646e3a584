"""The process that takes callers: checks, picks candidates, relays, retries within a budget."""

import json
import random
import ssl
import time
import uuid
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs

from beryljunction.entry.callers import AccountIndex, CallerRequest, chat_request, plain_request
from beryljunction.entry.relays import Relay
from beryljunction.entry.sidecars import SidecarClient
from beryljunction.entry.writers import ROUTE_HINT_HEADER, CallerWriter
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.servers import Receive, Scope, Send, client_pool, read_body, wait_disconnect
from beryljunction.settings import EntryFile, FleetView
from beryljunction.stops import Stoppable
from beryljunction.streams import event_position
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
from beryljunction.watches import WatchList
from beryljunction.wire import MOVED_PATH, Attach, ChatMoved, Envelope

__all__ = ["EntryApp"]

_CHAT_PATH = "/v1/chat/completions"
_MODELS_PATH = "/v1/models"
_STREAMS_PREFIX = "/v1/streams/"
_PLAIN_PREFIX = "/services/"
_CANCEL_S = 3.0


@attrs.define
class _Exchange:
    """One caller's request, its account known, and the answer to it.

    Attributes:
        relay: The try under way, which has to hear of the caller's hang-up.
    """

    scope: Scope
    headers: dict[bytes, bytes]
    account: str
    body: bytes
    caller: CallerWriter
    relay: Relay | None = None

    @property
    def path(self) -> str:
        return str(self.scope["path"])

    @property
    def method(self) -> str:
        return str(self.scope["method"])


_Handler = Callable[[_Exchange], Awaitable[Refusal | None]]


class EntryApp(Stoppable):
    """ASGI application of an entry; decisions are left to its systems."""

    def __init__(
        self,
        file: EntryFile,
        view: FleetView,
        endpoints: EndpointTable,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.file = file
        self.endpoints = endpoints
        self.timeline = Timeline(file.process.host, file.process.availability_zone)
        self.watches = WatchList()
        self.leaving = False
        self._in_flight = 0
        self._placement = PlacementSystem(endpoints)
        self._budget = RetryBudget()
        self._pool = client_pool(tls)
        self._sidecars = SidecarClient(
            self._pool, self.watches, file.process.fleet_key, self.timeline.clock
        )
        self._random = random.Random()
        self._routes: dict[tuple[str, str], _Handler] = {
            ("POST", _CHAT_PATH): self._chat,
            ("GET", _MODELS_PATH): self._models,
        }
        self._prefixes: list[tuple[str, _Handler]] = [
            (_STREAMS_PREFIX, self._resume),
            (_PLAIN_PREFIX, self._plain),
        ]
        self.apply(view)

    def apply(self, view: FleetView) -> None:
        """Put settings in force."""
        self.view = view
        self._accounts = AccountIndex(view.accounts)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Work until cancelled."""
        async with self._pool:
            task_status.started()
            await self.watches.run()

    @property
    def in_flight(self) -> int:
        """Callers that wait for an answer or read one."""
        return self._in_flight

    def refuse_new(self) -> None:
        """Take no new work; what is under way goes on."""
        self.leaving = True

    async def hand_over(self) -> None:
        """Hand over nothing: an entry knows nothing that others don't."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request of a caller."""
        caller = CallerWriter(send, uuid.uuid4().hex)
        self._in_flight += 1
        try:
            exchange = await self._accept(scope, receive, caller)
            if isinstance(exchange, Refusal):
                await self._refuse(caller, exchange)
            else:
                await self._serve(exchange, receive)
        finally:
            self._in_flight -= 1

    async def _accept(
        self, scope: Scope, receive: Receive, caller: CallerWriter
    ) -> _Exchange | Refusal:
        """Check what can be checked before the request is understood."""
        limits = self.view.limits
        if self.leaving or self._in_flight > limits.connections:
            return self._busy(scope)
        if sum(len(k) + len(v) for k, v in scope["headers"]) > limits.header_bytes:
            return _no(RefusalCode.TOO_LARGE, f"expected {limits.header_bytes} bytes of headers")
        headers = dict(scope["headers"])
        account = self._accounts.account_of(headers)
        if isinstance(account, Refusal):
            return account
        body = await read_body(receive, limits.body_bytes, limits.body_s)
        if body is None:
            message = f"expected at most {limits.body_bytes} bytes within {limits.body_s:g} s"
            return _no(RefusalCode.TOO_LARGE, message)
        return _Exchange(scope, headers, account, body, caller)

    def _busy(self, scope: Scope) -> Refusal:
        """Refuse before anything is read.

        Of a stream that is to be resumed this entry knows nothing: it may well have run.
        """
        ran = Ran.UNKNOWN if scope["path"].startswith(_STREAMS_PREFIX) else Ran.NO
        if self.leaving:
            message = "this entry is stopping; ask another one"
            return Refusal(RefusalCode.LEAVING, message, ran, 1.0)
        message = f"expected at most {self.view.limits.connections} requests at the same time"
        return Refusal(RefusalCode.OVERLOADED, message, ran, 1.0)

    async def _serve(self, exchange: _Exchange, receive: Receive) -> None:
        handler = self._handler(exchange)
        async with anyio.create_task_group() as group:
            group.start_soon(wait_disconnect, receive, group.cancel_scope)
            refusal = await handler(exchange)
            if refusal is not None:
                await self._refuse(exchange.caller, refusal)
            group.cancel_scope.cancel()
        if not exchange.caller.complete:
            await self._hang_up(exchange)

    async def _hang_up(self, exchange: _Exchange) -> None:
        """Tell the sidecar that its caller is gone, so that it works for nobody no longer."""
        self.timeline.add("hung_up", exchange.caller.request_id)
        if exchange.relay is not None:
            with anyio.move_on_after(_CANCEL_S, shield=True):
                await exchange.relay.cancel()

    def _handler(self, exchange: _Exchange) -> _Handler:
        handler = self._routes.get((exchange.method, exchange.path))
        if handler is not None:
            return handler
        for prefix, prefixed in self._prefixes:
            if exchange.path.startswith(prefix):
                return prefixed
        return self._not_found

    async def _not_found(self, exchange: _Exchange) -> Refusal:
        known = ", ".join(f"{method} {path}" for method, path in self._routes)
        got = f"{exchange.method} {exchange.path}"
        return _no(RefusalCode.NOT_FOUND, f"expected one of {known}, got {got}")

    async def _models(self, exchange: _Exchange) -> None:
        rows = [
            {"id": model, "object": "model", "created": 0, "owned_by": name}
            for name, service in self.view.services.items()
            for model in service.models
        ]
        await exchange.caller.json(json.dumps({"object": "list", "data": rows}).encode())

    async def _chat(self, exchange: _Exchange) -> Refusal | None:
        request = chat_request(exchange.body, exchange.headers, self.view)
        return request if isinstance(request, Refusal) else await self._route(exchange, request)

    async def _plain(self, exchange: _Exchange) -> Refusal | None:
        service, _, rest = exchange.path.removeprefix(_PLAIN_PREFIX).partition("/")
        query = exchange.scope["query_string"].decode("latin-1")
        path = f"/{rest}?{query}" if query else f"/{rest}"
        headers = exchange.scope["headers"]
        request = plain_request(service, exchange.method, path, exchange.body, headers, self.view)
        return request if isinstance(request, Refusal) else await self._route(exchange, request)

    async def _resume(self, exchange: _Exchange) -> Refusal | None:
        """Take up a stream that any entry began, after the event that the caller saw last."""
        stream_id = exchange.path.removeprefix(_STREAMS_PREFIX)
        event_id = exchange.headers.get(b"last-event-id", b"").decode("latin-1")
        position = event_position(event_id or f"{stream_id}.0")
        if position is None or stream_id not in (str(position[0]), position[0].request_id):
            message = "expected /v1/streams/STREAM with the id of an event of it as Last-Event-ID"
            return _no(RefusalCode.BAD_REQUEST, message)
        name, after = position
        endpoint = self.endpoints.get(name.endpoint_id)
        if endpoint is None:
            message = f"expected a live endpoint, got {name.endpoint_id!r}; ask anew"
            return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, Ran.UNKNOWN)
        exchange.caller.request_id = name.request_id
        attach = Attach(name.request_id, exchange.account, name.incarnation, after, resume=True)
        silence_s = self.view.services[endpoint.service].silence_s
        relay = Relay(self._sidecars, endpoint, attach, exchange.caller, silence_s)
        return await relay.resume()

    async def _route(self, exchange: _Exchange, request: CallerRequest) -> Refusal | None:
        """Walk the candidates; None when the caller has its answer."""
        request_id = exchange.caller.request_id
        self.timeline.add("arrived", request_id, request.service)
        chat_key = chat_key_of(exchange.account, request.chat_id) if request.chat_id else None
        envelope = self._envelope(exchange, request, chat_key)
        query = self._query(exchange, request, chat_key)
        attempts = self._attempts(query, request)
        step = attempts.first()
        while isinstance(step, Try):
            refusal = await self._try(exchange, step, envelope, request.body)
            if refusal is None:
                self._budget.earn()
                await self._tell_home(attempts.home, step.endpoint, envelope)
                return None
            self.timeline.add("try_refused", request_id, refusal.code)
            envelope = attrs.evolve(envelope, attempt=envelope.attempt + 1)
            step = attempts.after(refusal, step.endpoint)
        assert isinstance(step, GiveUp)
        return step.refusal

    def _attempts(self, query: PlacementQuery, request: CallerRequest) -> AttemptSystem:
        now_s = time.monotonic()
        candidates = self._placement.candidates(query, now_s)
        previous_home = None
        if request.chat_id and query.hint is None:
            previous_home = self._placement.previous_home(candidates, now_s)
        home = self._placement.home(query, now_s) if query.hint else None
        return AttemptSystem(candidates, self._budget, request.idempotent, previous_home, home)

    async def _tell_home(self, home: Endpoint | None, taker: Endpoint, envelope: Envelope) -> None:
        """Tell a chat's home who took the chat; a message that is lost costs a warm cache only."""
        if home is None or home is taker or envelope.chat_key is None:
            return
        tokens = envelope.prompt_tokens + envelope.output_tokens
        moved = ChatMoved(envelope.chat_key, taker.endpoint_id, tokens)
        await self._sidecars.tell(home, MOVED_PATH, moved)

    def _query(
        self, exchange: _Exchange, request: CallerRequest, chat_key: int | None
    ) -> PlacementQuery:
        return PlacementQuery(
            request.service,
            chat_key if chat_key is not None else self._random.getrandbits(64),
            self.file.process.availability_zone,
            prefer_zone=self.view.services[request.service].kind == "plain",
            hint=exchange.headers.get(ROUTE_HINT_HEADER, b"").decode("latin-1") or None,
        )

    def _envelope(
        self, exchange: _Exchange, request: CallerRequest, chat_key: int | None
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

    async def _try(
        self, exchange: _Exchange, step: Try, envelope: Envelope, body: bytes
    ) -> Refusal | None:
        endpoint = step.endpoint
        # The incarnation that was known before a byte went out: only its word is a proof.
        attach = Attach(
            envelope.request_id,
            envelope.account,
            endpoint.incarnation,
            attempt=envelope.attempt,
        )
        silence_s = self.view.services[envelope.service].silence_s
        exchange.caller.extra = [(ROUTE_HINT_HEADER, endpoint.endpoint_id.encode())]
        exchange.relay = Relay(self._sidecars, endpoint, attach, exchange.caller, silence_s)
        envelope = attrs.evolve(
            envelope,
            warm=step.warm,
            last_resort=step.last_resort,
            only_if_warm=step.only_if_warm,
            ignore_pointer=step.ignore_pointer,
            loads=step.loads,
        )
        return await exchange.relay.run(envelope, body)

    async def _refuse(self, caller: CallerWriter, refusal: Refusal) -> None:
        self.timeline.add("refused", caller.request_id, refusal.code)
        await caller.refuse(refusal)


def _no(code: RefusalCode, message: str, retry_after_s: float | None = None) -> Refusal:
    return Refusal(code, message, Ran.NO, retry_after_s)
