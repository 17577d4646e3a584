"""ASGI application of an entry: authenticates, reads and routes client requests."""

import json
import ssl
import uuid
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs

from beryljunction.entry.client_requests import ApiKeyIndex, parse_chat_request, parse_plain_request
from beryljunction.entry.relays import Relay
from beryljunction.entry.request_state import RequestContext
from beryljunction.entry.response_writer import (
    IDEMPOTENCY_KEY_HEADER,
    TICKET_HEADER,
    ResponseWriter,
)
from beryljunction.entry.router import Router
from beryljunction.entry.sidecar_client import SidecarClient
from beryljunction.entry.uploads import UPLOAD_RETRY_S, UploadReader
from beryljunction.graceful_stop import Stoppable
from beryljunction.idle_timeouts import IdleTimeouts
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.servers import Receive, Scope, Send, cancel_on_disconnect, create_client_pool
from beryljunction.settings import EntryFile, ResolvedSettings
from beryljunction.streams import parse_event_id
from beryljunction.systems import MembershipTracker
from beryljunction.tables import EndpointTable
from beryljunction.timeline import Timeline
from beryljunction.wire import Attach, TicketGrant, decode, encode

__all__ = ["EntryApp"]

_CHAT_PATH = "/v1/chat/completions"
_MODELS_PATH = "/v1/models"
_TICKETS_PATH = "/v1/tickets"
_STREAMS_PREFIX = "/v1/streams/"
_SERVICES_PREFIX = "/services/"
_CANCEL_TIMEOUT_S = 3.0
_EARLIER_REQUEST_HEADERS = frozenset((TICKET_HEADER, IDEMPOTENCY_KEY_HEADER))


@attrs.frozen
class _ServiceWish:
    """Body of a ticket request."""

    service: str


_Handler = Callable[[RequestContext], Awaitable[Refusal | None]]


class EntryApp(Stoppable):
    """ASGI application of an entry; placement and retry decisions are made in `systems`."""

    def __init__(
        self,
        file: EntryFile,
        view: ResolvedSettings,
        endpoints: EndpointTable,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.file = file
        self.endpoints = endpoints
        self.timeline = Timeline(file.process.host, file.process.availability_zone)
        self.idle_timeouts = IdleTimeouts()
        self.leaving = False
        self._in_flight = 0
        self.membership = MembershipTracker(endpoints)
        self._pool = create_client_pool(tls)
        self._sidecars = SidecarClient(
            self._pool,
            self.idle_timeouts,
            file.process.fleet_key,
            self.timeline.clock,
            self.membership,
        )
        self._router = Router(
            view,
            endpoints,
            self._sidecars,
            self.timeline,
            file.process.availability_zone,
            file.process.region,
            file.process.fleet_key.encode(),
        )
        self.uploads = UploadReader(view)
        self._routes: dict[tuple[str, str], _Handler] = {
            ("POST", _CHAT_PATH): self._chat,
            ("GET", _MODELS_PATH): self._models,
            ("POST", _TICKETS_PATH): self._ticket,
        }
        self._prefixes: list[tuple[str, _Handler]] = [
            (_STREAMS_PREFIX, self._resume),
            (_SERVICES_PREFIX, self._plain),
        ]
        self.apply(view)

    def apply(self, view: ResolvedSettings) -> None:
        """Apply new settings."""
        self.view = view
        self._router.view = view
        self.uploads.view = view
        self._accounts = ApiKeyIndex(view.accounts)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Hold the connection pool open and run the silence timeouts until cancelled."""
        async with self._pool:
            task_status.started()
            await self.idle_timeouts.run()

    @property
    def in_flight(self) -> int:
        """Number of requests whose answer has not been sent completely."""
        return self._in_flight

    def start_draining(self) -> None:
        """Refuse new requests; those in flight continue."""
        self.leaving = True

    async def hand_over(self) -> None:
        """Do nothing: an entry holds no state that another entry lacks."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        writer = ResponseWriter(send, uuid.uuid4().hex)
        self._in_flight += 1
        try:
            context = await self._read_request(scope, receive, writer)
            if isinstance(context, Refusal):
                await self._refuse(writer, context)
            else:
                await self._serve(context, receive)
        finally:
            self._in_flight -= 1

    async def _read_request(
        self, scope: Scope, receive: Receive, writer: ResponseWriter
    ) -> RequestContext | Refusal:
        """Check limits and API key and read the body, before the path and body are parsed."""
        limits = self.view.limits
        if self.leaving or self._in_flight > limits.connections:
            return self._overload_refusal(scope)
        if sum(len(k) + len(v) for k, v in scope["headers"]) > limits.header_bytes:
            return _not_run_refusal(
                RefusalCode.TOO_LARGE, f"expected {limits.header_bytes} bytes of headers"
            )
        headers = dict(scope["headers"])
        account = self._accounts.authenticate(headers)
        if isinstance(account, Refusal):
            return account
        body = await self.uploads.read(receive, headers, account)
        if body is RefusalCode.OVERLOADED:
            message = f"expected at most {limits.upload_bytes} bytes of bodies at the same time"
            return _unread_refusal(scope, body, message, UPLOAD_RETRY_S)
        if isinstance(body, RefusalCode):
            message = f"expected at most {limits.body_bytes} bytes within {limits.body_s:g} s"
            return _unread_refusal(scope, body, message)
        return RequestContext(scope, headers, account, body, writer)

    def _overload_refusal(self, scope: Scope) -> Refusal:
        """Return the refusal for a request that is rejected before its body is read."""
        if self.leaving:
            message = "this entry is stopping; ask another one"
            return _unread_refusal(scope, RefusalCode.LEAVING, message, 1.0)
        message = f"expected at most {self.view.limits.connections} requests at the same time"
        return _unread_refusal(scope, RefusalCode.OVERLOADED, message, 1.0)

    async def _serve(self, context: RequestContext, receive: Receive) -> None:
        handler = self._handler(context)
        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_disconnect, receive, group.cancel_scope)
            refusal = await handler(context)
            if refusal is not None:
                await self._refuse(context.response_writer, refusal)
            group.cancel_scope.cancel()
        if not context.response_writer.complete:
            await self._cancel_relay(context)

    async def _cancel_relay(self, context: RequestContext) -> None:
        """Tell the sidecar that the caller disconnected, so that it stops generating the answer."""
        self.timeline.add("hung_up", context.response_writer.request_id)
        if context.relay is not None:
            with anyio.move_on_after(_CANCEL_TIMEOUT_S, shield=True):
                await context.relay.cancel()

    def _handler(self, context: RequestContext) -> _Handler:
        handler = self._routes.get((context.method, context.path))
        if handler is not None:
            return handler
        for prefix, prefixed in self._prefixes:
            if context.path.startswith(prefix):
                return prefixed
        return self._not_found

    async def _not_found(self, context: RequestContext) -> Refusal:
        known = ", ".join(f"{method} {path}" for method, path in self._routes)
        got = f"{context.method} {context.path}"
        return _not_run_refusal(RefusalCode.NOT_FOUND, f"expected one of {known}, got {got}")

    async def _models(self, context: RequestContext) -> None:
        rows = [
            {"id": model, "object": "model", "created": 0, "owned_by": name}
            for name, service in self.view.services.items()
            for model in service.models
        ]
        await context.response_writer.send_json(
            json.dumps({"object": "list", "data": rows}).encode()
        )

    async def _ticket(self, context: RequestContext) -> Refusal | None:
        """Return a ticket; a request that is sent with it runs at most once."""
        try:
            requested = decode(context.body, _ServiceWish)
        except ValueError as error:
            return _not_run_refusal(RefusalCode.BAD_REQUEST, str(error))
        if requested.service not in self.view.services:
            return _not_run_refusal(
                RefusalCode.NOT_FOUND, f"expected a service, got {requested.service!r}"
            )
        ticket = await self._router.fetch_ticket(requested.service, context.account)
        if isinstance(ticket, Refusal):
            return ticket
        await context.response_writer.send_json(encode(TicketGrant(ticket)))
        return None

    async def _chat(self, context: RequestContext) -> Refusal | None:
        request = parse_chat_request(context.body, self.view, context.account)
        return (
            request if isinstance(request, Refusal) else await self._router.route(context, request)
        )

    async def _plain(self, context: RequestContext) -> Refusal | None:
        service, _, rest = context.path.removeprefix(_SERVICES_PREFIX).partition("/")
        query = context.scope["query_string"].decode("latin-1")
        path = f"/{rest}?{query}" if query else f"/{rest}"
        headers = context.scope["headers"]
        request = parse_plain_request(
            service, context.method, path, context.body, headers, self.view, context.account
        )
        return (
            request if isinstance(request, Refusal) else await self._router.route(context, request)
        )

    async def _resume(self, context: RequestContext) -> Refusal | None:
        """Resume a stream that any entry began, after the last event the caller received."""
        stream_id = context.path.removeprefix(_STREAMS_PREFIX)
        position = parse_event_id(context.header(b"last-event-id") or f"{stream_id}.0")
        if position is None or stream_id not in (str(position[0]), position[0].request_id):
            message = "expected /v1/streams/STREAM with the id of an event of it as Last-Event-ID"
            return _not_run_refusal(RefusalCode.BAD_REQUEST, message)
        name, after = position
        endpoint = self.endpoints.get(name.endpoint_id)
        if endpoint is None:
            message = f"expected a live endpoint, got {name.endpoint_id!r}; ask anew"
            return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, ExecutionStatus.UNKNOWN)
        context.response_writer.request_id = name.request_id
        attach = Attach(name.request_id, context.account, after=after, resume=True)
        silence_s = self.view.services[endpoint.service].silence_s
        relay = Relay(self._sidecars, endpoint, attach, context.response_writer, silence_s)
        return await relay.resume(name)

    async def _refuse(self, writer: ResponseWriter, refusal: Refusal) -> None:
        self.timeline.add("refused", writer.request_id, refusal.code)
        await writer.send_error(refusal)


def _unread_refusal(
    scope: Scope, code: RefusalCode, message: str, retry_after_s: float | None = None
) -> Refusal:
    """Return the refusal of a request whose body was not read completely.

    A resumed stream, or a request with a ticket or idempotency key, may already have run through
    another entry, so its outcome is unknown. This attempt itself is known not to have run.
    """
    if scope["path"].startswith(_STREAMS_PREFIX):
        return Refusal(code, message, ExecutionStatus.UNKNOWN, retry_after_s)
    if _EARLIER_REQUEST_HEADERS.isdisjoint(name for name, _ in scope["headers"]):
        return Refusal(code, message, ExecutionStatus.NO, retry_after_s)
    return Refusal(
        code, message, ExecutionStatus.UNKNOWN, retry_after_s, try_ran=ExecutionStatus.NO
    )


def _not_run_refusal(
    code: RefusalCode, message: str, retry_after_s: float | None = None
) -> Refusal:
    return Refusal(code, message, ExecutionStatus.NO, retry_after_s)
