"""Messages between the fleet's own processes: JSON in headers and bodies over HTTP."""

import json
from typing import Any, TypeVar

import attrs
import cattrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.tables.peers import LoadRow

__all__ = [
    "ENVELOPE_HEADER",
    "FLEET_KEY_HEADER",
    "MOVED_PATH",
    "RUN_PATH",
    "ChatMoved",
    "Envelope",
    "decode",
    "decode_rows",
    "encode",
    "encode_rows",
    "refusal_body",
    "refusal_from_body",
]

FLEET_KEY_HEADER = b"beryl-fleet-key"
ENVELOPE_HEADER = b"beryl-envelope"
RUN_PATH = "/beryl/v1/run"
MOVED_PATH = "/beryl/v1/moved"

T = TypeVar("T")

_converter = cattrs.Converter(omit_if_default=True)
_row_converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)


@attrs.frozen
class Envelope:
    """What an entry tells a sidecar about a request besides its body.

    Attributes:
        request_id: Unique for each request of a caller, the same for all its tries.
        chat_key: 64-bit hash of account and chat id; None for work without a chat.
        wait_s: Longest wait for a start, relative, since clocks of hosts differ.
        streamed: Whether the answer is a stream of server-sent events.
        method: HTTP method at the endpoint.
        path: Path and query at the endpoint.
        headers: Caller's headers that the endpoint gets.
        loads: Loads of the endpoints that refused this request just now.
        ticket: Ticket that the request runs under; None for idempotent requests.
    """

    request_id: str
    account: str
    service: str
    wait_s: float
    chat_key: int | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    priority: int = 0
    idempotent: bool = True
    streamed: bool = False
    warm: bool = False
    last_resort: bool = False
    only_if_warm: bool = False
    ignore_pointer: bool = False
    loads: tuple[LoadRow, ...] = ()
    method: str = "POST"
    path: str = "/v1/chat/completions"
    headers: tuple[tuple[str, str], ...] = ()
    ticket: str | None = None


@attrs.frozen
class ChatMoved:
    """What an entry tells a chat's home when a later candidate took the chat.

    Attributes:
        tokens: Length of the prefix that the endpoint now holds.
    """

    chat_key: int
    endpoint_id: str
    tokens: int


def encode(message: Any) -> bytes:
    """Return an attrs message as compact JSON; fields that hold their default are left out."""
    plain = _converter.unstructure(message)
    return json.dumps(plain, separators=(",", ":")).encode()


def decode(data: bytes, cls: type[T]) -> T:
    """Return the message in JSON bytes.

    Raises:
        ValueError: When the bytes are not JSON or do not fit the class.
    """
    try:
        return _converter.structure(json.loads(data), cls)
    except (cattrs.BaseValidationError, KeyError, TypeError) as error:
        raise ValueError(f"expected a {cls.__name__}, got {data[:80]!r}: {error}") from error


def refusal_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of an error, the same between our processes and to callers."""
    fields = attrs.asdict(refusal, filter=lambda _, value: value is not None)
    return json.dumps({"error": {**fields, "request_id": request_id}}).encode()


def refusal_from_body(data: bytes) -> Refusal:
    """Return the refusal in an error body; what can't be read proves nothing, so it is unknown."""
    try:
        fields = json.loads(data)["error"]
        return _converter.structure(fields, Refusal)
    except (cattrs.BaseValidationError, ValueError, KeyError, TypeError):
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, "unreadable answer", Ran.UNKNOWN)


def encode_rows(rows: list[LoadRow]) -> bytes:
    """Return load rows as JSON arrays without names, which would be most of their bytes."""
    return json.dumps([attrs.astuple(row) for row in rows], separators=(",", ":")).encode()


def decode_rows(data: bytes) -> list[LoadRow]:
    """Return the load rows in JSON bytes.

    Raises:
        ValueError: When the bytes are not JSON or do not fit.
    """
    try:
        return [_row_converter.structure(row, LoadRow) for row in json.loads(data)]
    except (cattrs.BaseValidationError, KeyError, TypeError, IndexError) as error:
        raise ValueError(f"expected load rows, got {data[:80]!r}: {error}") from error
