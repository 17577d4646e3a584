"""The platform's list of live and leaving hosts, which lags behind and is read as deltas.

A full list of 1,050 rows is about 200 KB. Reading it every second would exceed the limit of 4 KB/s
of control traffic per host, so a reader sends the version it has and gets only the changes.
"""

import abc

import attrs
import httpcore

from beryljunction.errors import PlatformUnavailableError
from beryljunction.wire import decode

__all__ = ["HOSTS_PATH", "HostChanges", "HostList", "HostRow", "HttpHostList"]

HOSTS_PATH = "/v1/hosts"
_CONNECT_TIMEOUT_S = 2.0
_READ_MARGIN_S = 5.0


@attrs.frozen
class HostRow:
    """One host in the platform's list.

    Attributes:
        endpoint_id: Endpoint that the host's sidecar serves; empty for the host of an entry.
        address: IP address and port where the process accepts requests.
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
        """Key for replacing and removing the row: the endpoint's id, or else the host's name."""
        return self.endpoint_id or self.host


@attrs.frozen
class HostChanges:
    """Changes to the host list since a given version.

    Attributes:
        version: Version of the list after these changes.
        rows: Rows that are new or changed.
        gone: Keys of rows that were removed.
        full: Whether ``rows`` is the complete list, so that any other row is removed.
    """

    version: int
    rows: tuple[HostRow, ...] = ()
    gone: tuple[str, ...] = ()
    full: bool = False


class HostList(abc.ABC):
    """Interface for reading the platform's host list."""

    @abc.abstractmethod
    async def fetch_changes(self, after: int, wait_s: float) -> HostChanges:
        """Return the changes after a version, waiting up to ``wait_s`` for the first one.

        Raises:
            PlatformUnavailableError: When the host list service does not respond.
        """


class HttpHostList(HostList):
    """Client of the host list service (JSON over HTTP)."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, base_url: str) -> None:
        self._pool = pool
        self._url = base_url.rstrip("/") + HOSTS_PATH

    async def fetch_changes(self, after: int, wait_s: float) -> HostChanges:
        """Return the changes after a version; see :meth:`HostList.fetch_changes`."""
        url = f"{self._url}?after={after}&wait_s={wait_s:g}"
        timeout = {"connect": _CONNECT_TIMEOUT_S, "read": wait_s + _READ_MARGIN_S}
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
