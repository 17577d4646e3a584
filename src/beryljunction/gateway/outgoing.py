"""Writes the request that an endpoint gets."""

from beryljunction.gateway.messages import HttpRequest, hop_by_hop
from beryljunction.platform.requests import MUST_STAY, endpoint_headers, with_last_event
from beryljunction.routing import Admitted

__all__ = ["endpoint_message"]


def endpoint_message(
    request: HttpRequest,
    admitted: Admitted,
    endpoint_id: str,
    left_ms: int,
    position: int | None,
    fetch_from: tuple[str, int] | None,
) -> bytes:
    """Return the bytes to send: method, target and body as the caller sent them.

    Args:
        request: The caller's request, read whole, so its body has a length now.
        admitted: The route and client account that it was admitted for.
        endpoint_id: The only endpoint that may run it.
        left_ms: Time that the caller still waits.
        position: Id of the last event that the caller has of a stream that is taken up.
        fetch_from: Endpoint that keeps more of the prompt.
    """
    route, account = admitted.route, admitted.account
    lines = request.headers
    if position is not None:
        lines = with_last_event(lines, position)
    urgency = route.priority
    if account is not None and account.priority is not None:
        urgency = account.priority
    headers = endpoint_headers(
        lines,
        hop_by_hop(request.headers, MUST_STAY),
        endpoint_id,
        left_ms,
        account.name if account is not None else None,
        urgency,
        fetch_from,
    )
    had_body = request.value(b"content-length") or request.value(b"transfer-encoding")
    if had_body is not None:
        headers.append((b"content-length", b"%d" % len(request.body)))
    start = b"%b %b HTTP/1.1\r\n" % (request.method, request.target)
    head = b"".join(b"%b: %b\r\n" % line for line in headers)
    return start + head + b"\r\n" + request.body
