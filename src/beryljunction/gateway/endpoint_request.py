"""Builds the request that is sent to an endpoint."""

from beryljunction.gateway.messages import HttpRequest, hop_by_hop_names
from beryljunction.platform.request_headers import (
    REQUIRED_HEADERS,
    endpoint_headers,
    with_last_event_id,
)
from beryljunction.routing import Admitted

__all__ = ["build_endpoint_request"]


def build_endpoint_request(
    request: HttpRequest,
    admitted: Admitted,
    endpoint_id: str,
    time_ms: int,
    last_event_id: int | None,
    fetch_from: tuple[str, int] | None,
) -> bytes:
    """Return the request to send; method, target and body are the caller's, unchanged.

    Args:
        request: The caller's complete request; a chunked body is sent with a Content-Length.
        admitted: The route and client account that it was admitted for.
        endpoint_id: The only endpoint that may run the request.
        time_ms: How long the endpoint may work on it.
        last_event_id: Id of the last event that the caller received of a stream to resume; None to
            start from the beginning.
        fetch_from: Address of an endpoint that has more of the prompt in its KV cache; None for
            none.
    """
    route, account = admitted.route, admitted.account
    lines = request.headers
    if last_event_id is not None:
        lines = with_last_event_id(lines, last_event_id)
    urgency = route.priority
    if account is not None and account.priority is not None:
        urgency = account.priority
    headers = endpoint_headers(
        lines,
        hop_by_hop_names(request.headers, REQUIRED_HEADERS),
        endpoint_id,
        time_ms,
        account.name if account is not None else None,
        urgency,
        fetch_from,
    )
    had_body = request.header(b"content-length") or request.header(b"transfer-encoding")
    if had_body is not None:
        headers.append((b"content-length", b"%d" % len(request.body)))
    start = b"%b %b HTTP/1.1\r\n" % (request.method, request.target)
    head = b"".join(b"%b: %b\r\n" % line for line in headers)
    return start + head + b"\r\n" + request.body
