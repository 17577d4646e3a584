"""Operator listener of a process: probes, metrics, status, events and drain."""

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
from beryljunction.operator_api import (
    EVENTS_PATH,
    STATUS_PATH,
    ProcessStatus,
    is_operator_authorized,
)
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.servers import Asgi, Receive, Scope, Send, send_response
from beryljunction.settings import ProcessSettings
from beryljunction.timeline import HLC_HEADER, Timeline
from beryljunction.wire import DRAIN_PATH, Drain, decode, encode, encode_refusal

__all__ = ["OperatorKeyMiddleware", "operator_app", "operator_key_digests"]

_DEFAULT_EVENT_COUNT = 1_000
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
# The platform's probes and metric scrapers have no operator key; requiring one would make restarts
# and alarms depend on distributing a secret. These paths are read-only and name no request, client
# account or chat.
_PUBLIC_PATHS = frozenset(("/livez", "/readyz", "/metrics"))


class OperatorKeyMiddleware:
    """ASGI middleware that requires an operator key on all but a few public paths.

    Without a key, anyone who reaches the listener could drain one endpoint after another until none
    serves. Paths need the key unless listed as public, so a new path is protected by default.

    Args:
        digests: SHA-256 digests of the accepted keys; if empty, no key is required.
    """

    def __init__(self, app: Asgi, digests: tuple[str, ...]) -> None:
        self._app = app
        self._digests = digests

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if not self._digests or scope["path"] in _PUBLIC_PATHS or self._has_operator_key(scope):
            await self._app(scope, receive, send)
            return
        message = "expected an operator's key as 'Authorization: Bearer KEY'"
        refusal = Refusal(RefusalCode.UNAUTHENTICATED, message, ExecutionStatus.NO)
        await send_response(
            send, 401, encode_refusal(refusal, ""), [(b"www-authenticate", b"Bearer")]
        )

    def _has_operator_key(self, scope: Scope) -> bool:
        given: bytes = dict(scope["headers"]).get(b"authorization", b"")
        return is_operator_authorized(given, self._digests)


def operator_key_digests(process: ProcessSettings) -> tuple[str, ...]:
    """Return the validated operator key digests from a process's settings.

    Raises:
        StartError: If a digest is malformed, or none is set and the listener is not on loopback.
    """
    digests = process.operator_keys_sha256
    for digest in digests:
        if not _SHA256_HEX.fullmatch(digest):
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
    status: Callable[[], ProcessStatus],
    drain: Callable[[bool], None],
) -> Starlette:
    """Return the application of the operator listener.

    It exposes request ids and can drain the process, so wrap it in :class:`OperatorKeyMiddleware`.
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
        timeline.clock.update_from_header(stamp)
        events = timeline.events(request.query_params.get("request_id"))
        events = events[-int(request.query_params.get("last", _DEFAULT_EVENT_COUNT)) :]
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
