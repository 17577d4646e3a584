"""What operators and their tools ask a process, on a listener of its own."""

import json
from collections.abc import Callable

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from beryljunction.metrics import Metrics
from beryljunction.node.roles import NodeStatus
from beryljunction.timeline import HLC_HEADER, Timeline
from beryljunction.wire import DRAIN_PATH, STATUS_PATH, Drain, decode, encode

__all__ = ["EVENTS_PATH", "operator_app"]

EVENTS_PATH = "/beryl/v1/events"
_LAST_EVENTS = 1_000


def operator_app(
    timeline: Timeline,
    metrics: Metrics,
    status: Callable[[], NodeStatus],
    drain: Callable[[bool], None],
) -> Starlette:
    """Return the application of the operator listener.

    It must not listen where callers reach it: it shows request ids and can drain the process.
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
