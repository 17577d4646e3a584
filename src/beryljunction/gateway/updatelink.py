"""Way of updates from one entry to another."""

import abc

import anyio
import httpcore

from beryljunction.routing import Address

__all__ = ["UPDATE_PATH", "HttpUpdateLink", "UpdateLink"]

UPDATE_PATH = "/v1/update"
# An entry answers in a few ms, also from another zone; one that is out of reach never does.
_ANSWER_S = 0.3
_CONNECTIONS = 12
_NO_ANSWER = (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError)


class UpdateLink(abc.ABC):
    """Sends updates to another entry."""

    @abc.abstractmethod
    async def update(self, address: Address, message: bytes) -> bytes | None:
        """Return its answer; None for none."""


class HttpUpdateLink(UpdateLink):
    """Speaks to other entries over HTTP, on connections that are kept."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(max_keepalive_connections=_CONNECTIONS)

    async def update(self, address: Address, message: bytes) -> bytes | None:
        """Return its answer; None for none. A connection that went silent is closed."""
        url = f"http://{address[0]}:{address[1]}{UPDATE_PATH}"
        try:
            with anyio.fail_after(_ANSWER_S):
                response = await self._pool.request("POST", url, content=message)
        except (TimeoutError, *_NO_ANSWER):
            return None
        return response.content if response.status == 200 else None
