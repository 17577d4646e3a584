"""HTTP requests and response heads, as read from callers and endpoints."""

from collections.abc import Iterable

import attrs

__all__ = ["Headers", "HttpRequest", "ResponseHead", "hop_by_hop_names", "reason_phrase"]

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"expect",
    )
)
_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@attrs.define
class HttpRequest:
    """A caller's complete request.

    Attributes:
        target: Path and query, byte for byte.
        headers: Names in lower case.
        arrived_s: Boot time at which its first byte was read; that clock counts suspended time.
        unread_s: How long it had waited in the socket by then, which a caller counts too.
    """

    method: bytes
    target: bytes
    headers: Headers
    arrived_s: float
    body: bytes = b""
    keeps_alive: bool = True
    is_http_10: bool = False
    unread_s: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@attrs.frozen
class ResponseHead:
    """Status and headers of an endpoint's answer; names in lower case."""

    status: int
    headers: Headers


def hop_by_hop_names(
    headers: Iterable[tuple[bytes, bytes]], forwarded_names: frozenset[bytes]
) -> frozenset[bytes]:
    """Return the names of hop-by-hop headers, which a proxy must not forward.

    Args:
        headers: Headers of a message.
        forwarded_names: Names that are forwarded even if the message's Connection header lists
            them, so that a caller can't have the headers that identify its request removed.
    """
    listed = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return _HOP_BY_HOP | (listed - forwarded_names)


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status line."""
    return _PHRASES.get(status, b"Status")
