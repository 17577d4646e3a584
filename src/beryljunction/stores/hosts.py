"""The platform's lagging list of live and leaving hosts, read as deltas.

A full list of 1,050 rows is some 200 KB; read each second it alone would break the 4 KB/s that a
node may spend on control. So a reader names the version that it has and gets only what changed.
"""

import abc

import attrs
import httpcore

from beryljunction.errors import PlatformUnavailableError
from beryljunction.wire import decode

__all__ = ["HOSTS_PATH", "HostChanges", "HostList", "HostRow", "HttpHostList"]

HOSTS_PATH = "/v1/hosts"
_CONNECT_S = 2.0
_READ_MARGIN_S = 5.0


@attrs.frozen
class HostRow:
    """One host as the platform lists it.

    Attributes:
        endpoint_id: Endpoint beside which the host's process stands; empty for an entry host.
        address: IP address and port of the process for requests.
        incarnation: Changes when the host is replaced, also under the same address.
        state: "live" or "leaving".
        operator_address: IP address and port of the process's operator listener.
    """

    host: str
    endpoint_id: str
    service: str
    availability_zone: str
    region: str
    address: str
    incarnation: str = ""
    state: str = "live"
    operator_address: str = ""

    @property
    def key(self) -> str:
        """What the row is replaced and removed by: the endpoint's name, or the host's."""
        return self.endpoint_id or self.host


@attrs.frozen
class HostChanges:
    """What changed since the version that the reader had.

    Attributes:
        version: Version that the reader has after these changes.
        rows: Rows that are new or changed.
        gone: Keys of rows that were taken off the list.
        full: Whether ``rows`` is the whole list, so that everything else is gone.
    """

    version: int
    rows: tuple[HostRow, ...] = ()
    gone: tuple[str, ...] = ()
    full: bool = False


class HostList(abc.ABC):
    """Reader of the platform's host list."""

    @abc.abstractmethod
    async def changes(self, after: int, wait_s: float) -> HostChanges:
        """Return what changed after a version, waiting up to ``wait_s`` for a first change.

        Raises:
            PlatformUnavailableError: When the list did not answer.
        """


class HttpHostList(HostList):
    """The host list over HTTP with JSON."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, base_url: str) -> None:
        self._pool = pool
        self._url = base_url.rstrip("/") + HOSTS_PATH

    async def changes(self, after: int, wait_s: float) -> HostChanges:
        """Ask for the changes after a version."""
        url = f"{self._url}?after={after}&wait_s={wait_s:g}"
        timeout = {"connect": _CONNECT_S, "read": wait_s + _READ_MARGIN_S}
        try:
            response = await self._pool.request("GET", url, extensions={"timeout": timeout})
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise PlatformUnavailableError(f"{url}: {type(error).__name__}") from error
        if response.status != 200:
            raise PlatformUnavailableError(f"{url}: expected status 200, got {response.status}")
        try:
            return decode(response.content, HostChanges)
        except ValueError as error:
            raise PlatformUnavailableError(f"{url}: {error}") from error
