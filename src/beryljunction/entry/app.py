"""The process that takes callers: picks candidates, relays, retries within a budget."""

import contextlib
import random
import time
import uuid

import anyio
import httpcore

from beryljunction.entry.callers import CallerRequest, account_of, chat_request, plain_request
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.servers import Receive, Scope, Send, client_pool, read_body, respond
from beryljunction.settings import EntryFile, FleetView
from beryljunction.streams import SequenceChecker
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
    ENVELOPE_HEADER,
    FLEET_KEY_HEADER,
    MOVED_PATH,
    RUN_PATH,
    ChatMoved,
    Envelope,
    encode,
    refusal_body,
    refusal_from_body,
)

__all__ = ["EntryApp"]

_CHAT_PATH = "/v1/chat/completions"
_PLAIN_PREFIX = "/services/"
_CONNECT_S = 1.0
_SUSPECT_S = 3.0
_STATUS = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.QUEUE_FULL: 429,
    RefusalCode.OUTCOME_UNKNOWN: 502,
    RefusalCode.ENDPOINT_FAILED: 502,
}
_DEFAULT_STATUS = 503


class EntryApp:
    """ASGI application of an entry; decisions are left to its systems."""

    def __init__(self, file: EntryFile, view: FleetView, endpoints: EndpointTable) -> None:
        self.file = file
        self.view = view
        self.endpoints = endpoints
        self.timeline = Timeline(file.process.host, file.process.availability_zone)
        self._placement = PlacementSystem(endpoints)
        self._budget = RetryBudget()
        self._pool = client_pool()
        self._random = random.Random()
        self._fleet_key = file.process.fleet_key.encode()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request of a caller."""
        request_id = uuid.uuid4().hex
        headers = dict(scope["headers"])
        account = account_of(headers, self.view)
        if isinstance(account, Refusal):
            await self._refuse(send, account, request_id)
            return
        body = await read_body(receive, self.view.limits.body_bytes)
        if body is None:
            limit = self.view.limits.body_bytes
            refusal = Refusal(RefusalCode.TOO_LARGE, f"expected at most {limit} bytes", Ran.NO)
            await self._refuse(send, refusal, request_id)
            return
        request = self._parse(scope, headers, body)
        if isinstance(request, Refusal):
            await self._refuse(send, request, request_id)
            return
        await self._route(request, account, request_id, receive, send)

    def _parse(
        self, scope: Scope, headers: dict[bytes, bytes], body: bytes
    ) -> CallerRequest | Refusal:
        path: str = scope["path"]
        if path == _CHAT_PATH and scope["method"] == "POST":
            return chat_request(body, headers, self.view)
        if path.startswith(_PLAIN_PREFIX):
            service, _, rest = path.removeprefix(_PLAIN_PREFIX).partition("/")
            query = scope["query_string"].decode("latin-1")
            target = f"/{rest}?{query}" if query else f"/{rest}"
            return plain_request(service, scope["method"], target, body, headers, self.view)
        return Refusal(RefusalCode.NOT_FOUND, f"no such path {path}", Ran.NO)

    async def _route(
        self, request: CallerRequest, account: str, request_id: str, receive: Receive, send: Send
    ) -> None:
        self.timeline.add("arrived", request_id, request.service)
        async with anyio.create_task_group() as group:
            group.start_soon(_watch, receive, group.cancel_scope)
            refusal = await self._attempt(request, account, request_id, send)
            if refusal is not None:
                await self._refuse(send, refusal, request_id)
            group.cancel_scope.cancel()

    async def _attempt(
        self, request: CallerRequest, account: str, request_id: str, send: Send
    ) -> Refusal | None:
        """Walk the candidates; None when the caller has its answer."""
        chat_key = chat_key_of(account, request.chat_id) if request.chat_id else None
        query = PlacementQuery(
            request.service,
            chat_key if chat_key is not None else self._random.getrandbits(64),
            self.file.process.availability_zone,
            prefer_zone=self.view.services[request.service].kind == "plain",
        )
        candidates = self._placement.candidates(query, time.monotonic())
        previous_home = None
        if chat_key is not None:
            previous_home = self._placement.previous_home(candidates, time.monotonic())
        attempts = AttemptSystem(candidates, self._budget, request.idempotent, previous_home)
        step = attempts.first()
        while isinstance(step, Try):
            envelope = self._envelope(request, account, request_id, chat_key, step)
            refusal = await self._try(step, envelope, request.body, send)
            if refusal is None:
                self._budget.earn()
                await self._tell_home(attempts.home, step.endpoint, envelope)
                return None
            self.timeline.add("try_refused", request_id, refusal.code)
            step = attempts.after(refusal, step.endpoint)
        assert isinstance(step, GiveUp)
        return step.refusal

    def _envelope(
        self,
        request: CallerRequest,
        account: str,
        request_id: str,
        chat_key: int | None,
        step: Try,
    ) -> Envelope:
        return Envelope(
            request_id=request_id,
            account=account,
            service=request.service,
            wait_s=self.view.services[request.service].deadline_s,
            chat_key=chat_key,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            idempotent=request.idempotent,
            streamed=request.streamed,
            warm=step.warm,
            last_resort=step.last_resort,
            only_if_warm=step.only_if_warm,
            ignore_pointer=step.ignore_pointer,
            loads=step.loads,
            method=request.method,
            path=request.path,
            headers=request.headers,
        )

    async def _tell_home(self, home: Endpoint | None, taker: Endpoint, envelope: Envelope) -> None:
        """Tell a chat's home who took the chat; a message that is lost costs a warm cache only."""
        if home is None or home is taker or envelope.chat_key is None:
            return
        tokens = envelope.prompt_tokens + envelope.output_tokens
        moved = ChatMoved(envelope.chat_key, taker.endpoint_id, tokens)
        with contextlib.suppress(httpcore.NetworkError, httpcore.TimeoutException):
            await self._pool.request(
                "POST",
                f"http://{home.address}{MOVED_PATH}",
                headers=[(FLEET_KEY_HEADER, self._fleet_key)],
                content=encode(moved),
                extensions={"timeout": {"connect": _CONNECT_S, "read": _CONNECT_S}},
            )

    async def _try(self, step: Try, envelope: Envelope, body: bytes, send: Send) -> Refusal | None:
        headers = [
            (FLEET_KEY_HEADER, self._fleet_key),
            (ENVELOPE_HEADER, encode(envelope)),
            (b"content-length", b"%d" % len(body)),
        ]
        timeout = {"connect": _CONNECT_S, "read": self.view.limits.request_s}
        try:
            async with self._pool.stream(
                "POST",
                f"http://{step.endpoint.address}{RUN_PATH}",
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            ) as response:
                return await self._relay(response, envelope, send)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            step.endpoint.suspect_until_s = time.monotonic() + _SUSPECT_S
            message = "the endpoint's sidecar did not take the connection"
            return Refusal(RefusalCode.ENDPOINT_FAILED, message, Ran.NO, 1.0)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            step.endpoint.suspect_until_s = time.monotonic() + _SUSPECT_S
            message = f"the connection to the sidecar broke: {type(error).__name__}"
            return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, Ran.UNKNOWN)

    async def _relay(
        self, response: httpcore.Response, envelope: Envelope, send: Send
    ) -> Refusal | None:
        headers = [(key, value) for key, value in response.headers if key != b"transfer-encoding"]
        headers.append((b"beryl-request-id", envelope.request_id.encode()))
        is_stream = envelope.streamed and response.status == 200
        if not is_stream:
            body = await response.aread()
            if response.status == _DEFAULT_STATUS and body.startswith(b'{"error": {"code"'):
                return refusal_from_body(body)
            start = {"type": "http.response.start", "status": response.status, "headers": headers}
            await send(start)
            await send({"type": "http.response.body", "body": body})
            return None
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        checker = SequenceChecker()
        async for chunk in response.aiter_stream():
            data = checker.feed(chunk)
            if data:
                await send({"type": "http.response.body", "body": data, "more_body": True})
        tail = b""
        if not checker.state.complete:
            refusal = Refusal(RefusalCode.INCOMPLETE, "the answer broke off", Ran.YES)
            tail = b"event: error\ndata: " + refusal_body(refusal, envelope.request_id) + b"\n\n"
        await send({"type": "http.response.body", "body": tail})
        return None

    async def _refuse(self, send: Send, refusal: Refusal, request_id: str) -> None:
        self.timeline.add("refused", request_id, refusal.code)
        headers = [(b"beryl-request-id", request_id.encode())]
        if refusal.retry_after_s is not None:
            headers.append((b"retry-after", b"%d" % max(1, round(refusal.retry_after_s))))
        status = _STATUS.get(refusal.code, _DEFAULT_STATUS)
        await respond(send, status, refusal_body(refusal, request_id), headers)


async def _watch(receive: Receive, scope: anyio.CancelScope) -> None:
    """End the request when its caller hangs up."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
