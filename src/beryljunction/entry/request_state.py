"""State of one client request while the entry handles it."""

import attrs

from beryljunction.entry.relays import Relay
from beryljunction.entry.response_writer import ResponseWriter
from beryljunction.servers import Scope

__all__ = ["RequestContext"]


@attrs.define
class RequestContext:
    """An authenticated client request and the writer of its answer.

    Attributes:
        headers: Request headers; of a repeated name, the last value.
        relay: The current attempt, which is cancelled when the caller disconnects.
    """

    scope: Scope
    headers: dict[bytes, bytes]
    account: str
    body: bytes
    response_writer: ResponseWriter
    relay: Relay | None = None

    @property
    def path(self) -> str:
        """Request path without the query string."""
        return str(self.scope["path"])

    @property
    def method(self) -> str:
        """HTTP method."""
        return str(self.scope["method"])

    def header(self, name: bytes) -> str | None:
        """Return a header's value, or None if it is missing or empty."""
        return self.headers.get(name, b"").decode("latin-1") or None
