"""Reads what callers and endpoints say in headers, and writes what endpoints are to read."""

from collections.abc import Sequence

import attrs

from beryljunction.platform import headers

__all__ = [
    "CallerNeeds",
    "MUST_STAY",
    "endpoint_headers",
    "has_not_run",
    "is_answer_to",
    "is_leaving",
    "load_of",
    "pause_s_of",
    "read_needs",
    "with_last_event",
]

_Headers = Sequence[tuple[bytes, bytes]]

# What tells an endpoint which request this is and what it asks; never dropped on the way.
MUST_STAY = frozenset(
    (
        b"host",
        b"content-type",
        headers.REQUEST_ID,
        headers.PROMPT_PARTS,
        headers.TOKEN_COUNTS,
        headers.LAST_EVENT,
        b"x-model",
        b"x-length-hint",
    )
)
_ONCE = (b"host", headers.REQUEST_ID, headers.API_KEY)
_MISDIRECTED = 421
_UNAVAILABLE = 503
# No endpoint is away for longer; a larger number is a fault of its writer.
_MOST_PAUSE_S = 3_600.0


@attrs.frozen
class CallerNeeds:
    """What a caller's headers ask for.

    Attributes:
        host: Name of the host without its port.
        deadline_ms: How long the caller waits, from its sending; None where it does not say.
        prompt_parts: Ids of the parts of the prompt, in order.
        prompt_tokens: Tokens of each part.
    """

    request_id: str
    host: str
    api_key: str | None
    deadline_ms: int | None
    prompt_parts: tuple[str, ...]
    prompt_tokens: tuple[int, ...]


def read_needs(lines: _Headers) -> CallerNeeds | str:
    """Return what a caller asks for; a text tells what is wrong with it."""
    values = dict(reversed(lines))
    for name in _ONCE:
        count = sum(1 for key, _ in lines if key == name)
        if count > 1 or (name == b"host" and count == 0):
            return f"expected one {name.decode()} header, got {count}"
    key = values.get(headers.API_KEY)
    parts = _parts(values.get(headers.PROMPT_PARTS, b""))
    return CallerNeeds(
        request_id=values.get(headers.REQUEST_ID, b"").decode("latin-1"),
        host=values[b"host"].decode("latin-1").partition(":")[0],
        api_key=key.decode("latin-1") if key is not None else None,
        deadline_ms=_whole(values.get(headers.DEADLINE_LEFT_MS)),
        prompt_parts=tuple(part for part, _ in parts),
        prompt_tokens=tuple(tokens for _, tokens in parts),
    )


def endpoint_headers(
    lines: _Headers,
    dropped: frozenset[bytes],
    endpoint_id: str,
    left_ms: int,
    account: str | None,
    urgency: int,
    fetch_from: tuple[str, int] | None = None,
) -> list[tuple[bytes, bytes]]:
    """Return the headers that an endpoint gets.

    Args:
        lines: The caller's headers.
        dropped: Names that concern the caller's connection only.
        endpoint_id: The only endpoint that may run the request.
        left_ms: Time that the caller still waits.
        account: Client account of the caller; None for an anonymous one.
        urgency: 0 is served first.
        fetch_from: Endpoint that keeps more of the prompt.
    """
    kept = [
        (name, value)
        for name, value in lines
        if name not in dropped and name not in headers.CALLER_MAY_NOT_SET
    ]
    kept.append((headers.DEADLINE_LEFT_MS, b"%d" % left_ms))
    kept.append((headers.EXPECTED_ENDPOINT, endpoint_id.encode()))
    kept.append((headers.URGENCY, b"%d" % max(0, min(9, urgency))))
    if fetch_from is not None:
        kept.append((headers.FETCH_FROM, b"%b:%d" % (fetch_from[0].encode(), fetch_from[1])))
    if account is not None:
        kept.append((headers.TENANT, account.encode()))
    return kept


def with_last_event(lines: _Headers, position: int) -> list[tuple[bytes, bytes]]:
    """Return the headers with the position after which a stream is to go on."""
    kept = [line for line in lines if line[0] != headers.LAST_EVENT]
    return [*kept, (headers.LAST_EVENT, b"%d" % position)]


def has_not_run(status: int, lines: _Headers) -> bool:
    """Return whether an endpoint says that it did not run the request."""
    return status == _MISDIRECTED or any(name == headers.NOT_RUN for name, _ in lines)


def is_answer_to(request_id: str, lines: _Headers) -> bool:
    """Return whether an answer is the request's own, in the encoding that its endpoint made.

    An endpoint that is slow may answer an earlier request where the next answer is due.
    """
    names = dict(lines)
    echoed = names.get(headers.REQUEST_ID, b"").decode("latin-1")
    return echoed == request_id and b"content-encoding" not in names


def is_leaving(status: int, lines: _Headers) -> bool:
    """Return whether the endpoint that was asked says in its answer that it leaves.

    An answer that says the address is another endpoint's now tells nothing of the one asked.
    """
    return status != _MISDIRECTED and (headers.LEAVING, b"1") in lines


def pause_s_of(status: int, lines: _Headers) -> float:
    """Return for how long an endpoint that turned a request away wants none; 0 where it is open.

    What is no number of seconds says nothing.
    """
    if status != _UNAVAILABLE:
        return 0.0
    value = next((value for name, value in lines if name == headers.RETRY_AFTER_S), b"")
    try:
        pause_s = float(value)
    except ValueError:
        return 0.0
    return min(pause_s, _MOST_PAUSE_S) if pause_s > 0.0 else 0.0


def load_of(lines: _Headers) -> tuple[int, int] | None:
    """Return the running and waiting requests that an endpoint states; None where it doesn't."""
    value = next((value for name, value in lines if name == headers.LOAD), b"")
    fields = value.split(b",")
    if len(fields) != 3 or not all(field.strip().isdigit() for field in fields):
        return None
    return int(fields[0]), int(fields[1])


def _whole(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.strip().isdigit() else None


def _parts(value: bytes) -> list[tuple[str, int]]:
    """Decode "ID:TOKENS,..."; what can't be read ends the list, since order matters."""
    parts = []
    for entry in value.split(b","):
        name, _, tokens = entry.strip().partition(b":")
        if not name or not tokens.isdigit():
            break
        parts.append((name.decode("latin-1"), int(tokens)))
    return parts
