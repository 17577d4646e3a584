"""Parses the headers of callers and endpoints, and builds the headers for endpoints."""

from collections.abc import Sequence

import attrs

from beryljunction.platform import headers
from beryljunction.platform.fields import parse_digits

__all__ = [
    "CallerHeaders",
    "REQUIRED_HEADERS",
    "endpoint_headers",
    "has_leaving_header",
    "is_misdirected",
    "is_response_to",
    "parse_caller_headers",
    "parse_retry_after",
    "was_not_executed",
    "with_last_event_id",
]

_Headers = Sequence[tuple[bytes, bytes]]

# Headers that identify and describe the request to the endpoint; they are never removed.
REQUIRED_HEADERS = frozenset(
    (
        b"host",
        b"content-type",
        headers.REQUEST_ID,
        headers.PROMPT_PARTS,
        headers.TOKEN_COUNTS,
        headers.LAST_EVENT_ID,
        headers.RESUMED_REQUEST_ID,
        b"x-model",
        b"x-length-hint",
    )
)
_SINGLE_HEADERS = (b"host", headers.REQUEST_ID, headers.API_KEY)
_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
# No endpoint pauses for longer than this; a larger value is an error of its writer.
_MAX_PAUSE_S = 3_600.0


@attrs.frozen
class CallerHeaders:
    """Values that a caller's headers specify for the request.

    Attributes:
        host: Value of the Host header without the port.
        deadline_ms: How long the caller waits, from when it sent the request; None if not given.
        prompt_parts: Ids of the parts of the prompt, in order.
        prompt_tokens: Number of tokens of each part.
        last_event_id: Id of the last event that the caller has of a stream; None if it has none, or
            the id is not a number.
        has_last_event_id: Whether the caller resumes a stream of which it has events.
        resumed_request_id: Request id of the attempt that brought the first of them; empty if the
            caller doesn't name it.
        expected_endpoint: Id of the endpoint that an entry sent it to; empty from a caller.
    """

    request_id: str
    host: str
    api_key: str | None
    deadline_ms: int | None
    prompt_parts: tuple[str, ...]
    prompt_tokens: tuple[int, ...]
    last_event_id: int | None = None
    has_last_event_id: bool = False
    resumed_request_id: str = ""
    expected_endpoint: str = ""


def parse_caller_headers(lines: _Headers) -> CallerHeaders | str:
    """Parse a caller's headers; return an error message if they are invalid."""
    values = dict(reversed(lines))
    for name in _SINGLE_HEADERS:
        count = sum(1 for key, _ in lines if key == name)
        if count > 1 or (name == b"host" and count == 0):
            return f"expected one {name.decode()} header, got {count}"
    key = values.get(headers.API_KEY)
    parts = _parse_prompt_parts(values.get(headers.PROMPT_PARTS, b""))
    return CallerHeaders(
        request_id=values.get(headers.REQUEST_ID, b"").decode("latin-1"),
        host=values[b"host"].decode("latin-1").partition(":")[0],
        api_key=key.decode("latin-1") if key is not None else None,
        deadline_ms=_parse_int(values.get(headers.REMAINING_DEADLINE_MS)),
        prompt_parts=tuple(part for part, _ in parts),
        prompt_tokens=tuple(tokens for _, tokens in parts),
        last_event_id=_parse_int(values.get(headers.LAST_EVENT_ID)),
        has_last_event_id=bool(values.get(headers.LAST_EVENT_ID)),
        resumed_request_id=values.get(headers.RESUMED_REQUEST_ID, b"").decode("latin-1"),
        expected_endpoint=values.get(headers.EXPECTED_ENDPOINT, b"").decode(errors="replace"),
    )


def endpoint_headers(
    lines: _Headers,
    dropped: frozenset[bytes],
    endpoint_id: str,
    remaining_ms: int,
    account: str | None,
    urgency: int,
    fetch_from: tuple[str, int] | None = None,
) -> list[tuple[bytes, bytes]]:
    """Return the request headers that are sent to an endpoint.

    Args:
        lines: The caller's headers.
        dropped: Names of headers that apply only to the caller's connection.
        endpoint_id: The only endpoint that may run the request.
        remaining_ms: Remaining time until the caller's deadline.
        account: Client account of the caller; None for an anonymous caller.
        urgency: Priority class; 0 is served first.
        fetch_from: Address of an endpoint that has more of the prompt in its cache.
    """
    kept = [
        (name, value)
        for name, value in lines
        if name not in dropped and name not in headers.STRIPPED_FROM_REQUESTS
    ]
    kept.append((headers.REMAINING_DEADLINE_MS, b"%d" % remaining_ms))
    kept.append((headers.EXPECTED_ENDPOINT, endpoint_id.encode()))
    kept.append((headers.URGENCY, b"%d" % max(0, min(9, urgency))))
    if fetch_from is not None:
        kept.append((headers.FETCH_FROM, b"%b:%d" % (fetch_from[0].encode(), fetch_from[1])))
    if account is not None:
        kept.append((headers.CLIENT_ACCOUNT, account.encode()))
    return kept


def with_last_event_id(lines: _Headers, position: int) -> list[tuple[bytes, bytes]]:
    """Return the headers with a last-event-id, after which the endpoint resumes the stream."""
    kept = [line for line in lines if line[0] != headers.LAST_EVENT_ID]
    return [*kept, (headers.LAST_EVENT_ID, b"%d" % position)]


def was_not_executed(status: int, lines: _Headers) -> bool:
    """Return whether the response states that the endpoint did not run the request."""
    return status == _STATUS_MISDIRECTED or any(name == headers.NOT_EXECUTED for name, _ in lines)


def is_response_to(request_id: str, lines: _Headers) -> bool:
    """Return whether a response belongs to the request and has no content encoding.

    A slow endpoint may send the response to an earlier request in place of the current one.
    """
    values_by_name = dict(lines)
    echoed = values_by_name.get(headers.REQUEST_ID, b"").decode("latin-1")
    return echoed == request_id and b"content-encoding" not in values_by_name


def is_misdirected(status: int) -> bool:
    """Return whether another endpoint than the expected one responded at the address."""
    return status == _STATUS_MISDIRECTED


def has_leaving_header(status: int, lines: _Headers) -> bool:
    """Return whether the response states that the endpoint is draining.

    A 421 comes from another endpoint at the same address, so its header is ignored.
    """
    return status != _STATUS_MISDIRECTED and (headers.LEAVING, b"1") in lines


def parse_retry_after(status: int, lines: _Headers) -> float:
    """Return the Retry-After time of an endpoint's 503 response; 0 for any other response.

    A value that is not a number of seconds counts as 0.
    """
    if status != _STATUS_UNAVAILABLE:
        return 0.0
    value = next((value for name, value in lines if name == headers.RETRY_AFTER_S), b"")
    try:
        pause_s = float(value)
    except ValueError:
        return 0.0
    return min(pause_s, _MAX_PAUSE_S) if pause_s > 0.0 else 0.0


def _parse_int(value: bytes | None) -> int | None:
    return parse_digits(value) if value is not None else None


def _parse_prompt_parts(value: bytes) -> list[tuple[str, int]]:
    """Decode "ID:TOKENS,..."; an invalid part ends the list, since parts form a prefix."""
    parts = []
    for entry in value.split(b","):
        name, _, tokens = entry.strip().partition(b":")
        count = parse_digits(tokens) if tokens.isdigit() else None
        if not name or count is None:
            break
        parts.append((name.decode("latin-1"), count))
    return parts
