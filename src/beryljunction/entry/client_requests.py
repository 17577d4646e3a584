"""Authentication and validation of client requests."""

import hashlib
import json
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.settings import AccountSettings, ResolvedSettings

__all__ = ["ApiKeyIndex", "ClientRequest", "parse_chat_request", "parse_plain_request"]

_BYTES_PER_TOKEN = 4
_DEFAULT_OUTPUT_TOKENS = 256
_IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))
# Not forwarded: headers of the caller's own connection, and credentials for the entry.
_NOT_FORWARDED_HEADERS = frozenset(
    (
        b"authorization",
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-request-id",
    )
)
_BERYL_PREFIX = b"beryl-"
_BEARER = b"Bearer "


@attrs.frozen
class ClientRequest:
    """A validated client request."""

    service: str
    body: bytes
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    idempotent: bool
    streamed: bool = False
    chat_id: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0


class ApiKeyIndex:
    """Client accounts by the SHA-256 digest of their API key.

    The lookup compares only digests, which reveal nothing about the keys, and the final comparison
    takes the same time wherever the digests differ.
    """

    def __init__(self, accounts: Mapping[str, AccountSettings]) -> None:
        self._names_by_digest = {row.key_sha256: name for name, row in accounts.items()}

    def authenticate(self, headers: Mapping[bytes, bytes]) -> str | Refusal:
        """Return the client account of the request's API key, or a refusal."""
        given = headers.get(b"authorization", b"")
        digest = hashlib.sha256(given.removeprefix(_BEARER)).hexdigest()
        name = self._names_by_digest.get(digest)
        if name is None or not given.startswith(_BEARER):
            message = "expected a known API key as 'Authorization: Bearer KEY'"
            return Refusal(RefusalCode.UNAUTHENTICATED, message, ExecutionStatus.NO)
        return name


def parse_chat_request(
    body: bytes, view: ResolvedSettings, account: str
) -> ClientRequest | Refusal:
    """Validate the body of a chat completion and return the request."""
    try:
        data = json.loads(body)
    except ValueError as error:
        return _bad_request_refusal(f"expected a JSON body, got {error}")
    problem = _chat_problem(data)
    if problem is not None:
        return _bad_request_refusal(problem)
    service = view.service_of_model(data["model"])
    if service is None:
        message = f"model: expected one that is served here, got {data['model']!r}"
        return Refusal(RefusalCode.NOT_FOUND, message, ExecutionStatus.NO)
    return ClientRequest(
        service=service,
        body=body,
        method="POST",
        path="/v1/chat/completions",
        headers=(("content-type", "application/json"),),
        idempotent=view.service_for(service, account).idempotent,
        streamed=data.get("stream") or False,
        chat_id=data.get("prompt_cache_key"),
        prompt_tokens=len(body) // _BYTES_PER_TOKEN,
        output_tokens=_output_tokens(data),
    )


def parse_plain_request(
    service: str,
    method: str,
    path: str,
    body: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    view: ResolvedSettings,
    account: str,
) -> ClientRequest | Refusal:
    """Validate a call of a plain service; method, path, headers and body are forwarded."""
    settings = view.services.get(service)
    if settings is None or settings.kind != "plain":
        return Refusal(
            RefusalCode.NOT_FOUND, f"expected a plain service, got {service!r}", ExecutionStatus.NO
        )
    passed = tuple(
        (key.decode("latin-1"), value.decode("latin-1"))
        for key, value in headers
        if key not in _NOT_FORWARDED_HEADERS and not key.startswith(_BERYL_PREFIX)
    )
    effective = view.service_for(service, account)
    idempotent = effective.idempotent or method in _IDEMPOTENT_METHODS
    return ClientRequest(service, body, method, path, passed, idempotent)


def _chat_problem(data: Any) -> str | None:
    if not isinstance(data, dict):
        return f"expected a JSON object, got {type(data).__name__}"
    expected: dict[str, tuple[type, bool]] = {
        "model": (str, True),
        "messages": (list, True),
        "stream": (bool, False),
        "prompt_cache_key": (str, False),
        "max_tokens": (int, False),
        "max_completion_tokens": (int, False),
    }
    for field, (kind, required) in expected.items():
        value = data.get(field)
        if value is None and not required:
            continue
        if not isinstance(value, kind) or isinstance(value, bool) and kind is int:
            return f"{field}: expected {kind.__name__}, got {json.dumps(value)[:80]}"
    return None


def _output_tokens(data: Mapping[str, Any]) -> int:
    tokens = data.get("max_completion_tokens") or data.get("max_tokens") or _DEFAULT_OUTPUT_TOKENS
    return max(1, int(tokens))


def _bad_request_refusal(message: str) -> Refusal:
    return Refusal(RefusalCode.BAD_REQUEST, message, ExecutionStatus.NO)
