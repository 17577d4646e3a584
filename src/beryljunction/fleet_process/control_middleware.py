"""Serves the control paths between fleet processes, ahead of the role's application."""

import hmac
from collections.abc import Callable, Mapping

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.servers import Asgi, Receive, Scope, Send, send_response
from beryljunction.wire import FLEET_KEY_HEADER, encode_refusal

__all__ = ["ControlMiddleware"]

_STATUS_LINE_BYTES = len("HTTP/1.1 200 OK\r\n\r\n")
_HEADER_OVERHEAD_BYTES = len(": \r\n")


class ControlMiddleware:
    """ASGI middleware that serves control paths and forwards other requests to the role.

    Args:
        app: Application of the role.
        fleet_key: Shared secret that control requests must carry.
        routes: Handlers of the control paths.
        refusal: Returns why the role can't serve yet, or None if it can.
        count: Called after each control exchange with path, bytes sent and bytes received.
    """

    def __init__(
        self,
        app: Asgi,
        fleet_key: str,
        routes: Mapping[str, Asgi],
        refusal: Callable[[], Refusal | None],
        count: Callable[[str, int, int], None],
    ) -> None:
        self._app = app
        self._fleet_key = fleet_key.encode()
        self._routes = routes
        self._refusal = refusal
        self._count = count

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        route = self._routes.get(scope["path"])
        if route is None:
            await self._forward_to_role(scope, receive, send)
        elif hmac.compare_digest(
            dict(scope["headers"]).get(FLEET_KEY_HEADER, b""), self._fleet_key
        ):
            await self._answer_counted(route, scope, receive, send)
        else:
            refusal = Refusal(
                RefusalCode.UNAUTHENTICATED, "expected the fleet's key", ExecutionStatus.NO
            )
            await send_response(send, 401, encode_refusal(refusal, ""))

    async def _forward_to_role(self, scope: Scope, receive: Receive, send: Send) -> None:
        refusal = self._refusal()
        if refusal is None:
            await self._app(scope, receive, send)
        else:
            await send_response(send, 503, encode_refusal(refusal, ""), [(b"retry-after", b"1")])

    async def _answer_counted(
        self, route: Asgi, scope: Scope, receive: Receive, send: Send
    ) -> None:
        sent = received = 0

        async def receive_counted() -> dict[str, object]:
            nonlocal received
            message = await receive()
            received += len(message.get("body", b""))
            return dict(message)

        async def send_counted(message: dict[str, object]) -> None:
            nonlocal sent
            sent += len(message.get("body", b""))  # type: ignore[arg-type]
            sent += _head_bytes(message.get("headers", ()))  # type: ignore[arg-type]
            await send(message)

        received += _head_bytes(scope["headers"]) + len(scope["path"]) + len(scope["query_string"])
        await route(scope, receive_counted, send_counted)  # type: ignore[arg-type]
        self._count(scope["path"], sent, received)


def _head_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    if not headers:
        return 0
    return _STATUS_LINE_BYTES + sum(
        len(key) + len(value) + _HEADER_OVERHEAD_BYTES for key, value in headers
    )
