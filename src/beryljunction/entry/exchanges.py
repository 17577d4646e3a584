"""One caller's request on its way through the entry."""

import attrs

from beryljunction.entry.relays import Relay
from beryljunction.entry.writers import CallerWriter
from beryljunction.servers import Scope

__all__ = ["Exchange"]


@attrs.define
class Exchange:
    """One caller's request, its account known, and the answer to it.

    Attributes:
        headers: The last of each name.
        relay: The try under way, which has to hear of the caller's hang-up.
    """

    scope: Scope
    headers: dict[bytes, bytes]
    account: str
    body: bytes
    caller: CallerWriter
    relay: Relay | None = None

    @property
    def path(self) -> str:
        """Path that was asked for, without its query."""
        return str(self.scope["path"])

    @property
    def method(self) -> str:
        """HTTP method."""
        return str(self.scope["method"])

    def header(self, name: bytes) -> str | None:
        """Return a header's value, or None when it is missing or empty."""
        return self.headers.get(name, b"").decode("latin-1") or None
