"""What operators and their tools ask a process, on a listener of its own."""

import ipaddress
import json
import re
from collections.abc import Callable

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from beryljunction.errors import StartError
from beryljunction.metrics import Metrics
from beryljunction.operators import EVENTS_PATH, STATUS_PATH, NodeStatus, shows_key
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.servers import Asgi, Receive, Scope, Send, respond
from beryljunction.settings import ProcessSettings
from beryljunction.timeline import HLC_HEADER, Timeline
from beryljunction.wire import DRAIN_PATH, Drain, decode, encode, refusal_body

__all__ = ["OperatorKeys", "operator_app", "operator_keys"]

_LAST_EVENTS = 1_000
_SHA256 = re.compile(r"[0-9a-f]{64}")
# The platform's probes and scrapers hold no key of ours. What they see names no request, client
# account or chat, and none of it changes anything; without them a restart or an alarm would hang on
# the distribution of a secret.
_OPEN_PATHS = frozenset(("/livez", "/readyz", "/metrics"))


class OperatorKeys:
    """Lets who shows an operator's key on to an application; a few paths are open to all.

    Harm: whoever reaches the address could drain endpoints one after the other until no one serves.
    Every path that is not named as open wants the key, so that a new one can't be left out.

    Args:
        digests: SHA-256 of each key that is taken; without any, everything is open.
    """

    def __init__(self, app: Asgi, digests: tuple[str, ...]) -> None:
        self._app = app
        self._digests = digests

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if not self._digests or scope["path"] in _OPEN_PATHS or self._knows(scope):
            await self._app(scope, receive, send)
            return
        message = "expected an operator's key as 'Authorization: Bearer KEY'"
        refusal = Refusal(RefusalCode.UNAUTHENTICATED, message, Ran.NO)
        await respond(send, 401, refusal_body(refusal, ""), [(b"www-authenticate", b"Bearer")])

    def _knows(self, scope: Scope) -> bool:
        given: bytes = dict(scope["headers"]).get(b"authorization", b"")
        return shows_key(given, self._digests)


def operator_keys(process: ProcessSettings) -> tuple[str, ...]:
    """Return the digests of a process's settings, checked.

    Raises:
        StartError: When one is not a digest, or there is none and others could reach the listener.
    """
    digests = process.operator_keys_sha256
    for digest in digests:
        if not _SHA256.fullmatch(digest):
            expected = "64 lowercase hexadecimal digits each"
            raise StartError(f"process.operator_keys_sha256: expected {expected}, got {digest!r}")
    if not digests and not _is_loopback(process.operator_listen):
        raise StartError(
            "process.operator_keys_sha256: expected a key, since process.operator_listen is not a "
            f"loopback address; got none with {process.operator_listen!r}"
        )
    return digests


def _is_loopback(address: str) -> bool:
    host = address.rpartition(":")[0].strip("[]")
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def operator_app(
    timeline: Timeline,
    metrics: Metrics,
    status: Callable[[], NodeStatus],
    drain: Callable[[bool], None],
) -> Starlette:
    """Return the application of the operator listener.

    It shows request ids and can drain the process; :class:`OperatorKeys` stands before it.
    """

    async def show_metrics(_: Request) -> Response:
        return Response(metrics.render(), media_type=metrics.content_type)

    async def is_live(_: Request) -> Response:
        return JSONResponse({"live": True})

    async def is_ready(_: Request) -> Response:
        reason = status().not_ready
        return JSONResponse({"ready": not reason, "reason": reason}, 503 if reason else 200)

    async def show_events(request: Request) -> Response:
        stamp = request.headers.get(HLC_HEADER.decode(), "").encode()
        timeline.clock.heard_stamp(stamp)
        events = timeline.events(request.query_params.get("request_id"))
        events = events[-int(request.query_params.get("last", _LAST_EVENTS)) :]
        body = json.dumps({"events": [attrs.astuple(event) for event in events]})
        return Response(body, media_type="application/json")

    async def show_status(_: Request) -> Response:
        return Response(encode(status()), media_type="application/json")

    async def set_drain(request: Request) -> Response:
        try:
            drain(decode(await request.body() or b"{}", Drain).leaving)
        except ValueError as error:
            return JSONResponse({"error": str(error)}, 400)
        return Response(encode(status()), 202, media_type="application/json")

    return Starlette(
        routes=[
            Route("/metrics", show_metrics),
            Route("/livez", is_live),
            Route("/readyz", is_ready),
            Route(EVENTS_PATH, show_events),
            Route(STATUS_PATH, show_status),
            Route(DRAIN_PATH, set_drain, methods=["POST"]),
        ]
    )
