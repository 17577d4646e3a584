"""Transport for updates from one entry to another."""

import abc

import httpcore

from beryljunction.response_body import read_body
from beryljunction.routing import Address
from beryljunction.timeouts import fail_after

__all__ = ["UPDATE_PATH", "HttpUpdateClient", "UpdateClient"]

UPDATE_PATH = "/v1/update"
# An entry answers within a few ms, even from another zone; an unreachable one never does.
_ANSWER_TIMEOUT_S = 0.3
_MAX_KEEPALIVE_CONNECTIONS = 12
_MAX_ANSWER_BYTES = 1_048_576
_TRANSPORT_ERRORS = (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError)


class UpdateClient(abc.ABC):
    """Sends updates to another entry."""

    @abc.abstractmethod
    async def send_update(self, address: Address, message: bytes) -> bytes | None:
        """Send a message and return the answer; None if there was none."""


class HttpUpdateClient(UpdateClient):
    """Sends updates over HTTP on keep-alive connections."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_keepalive_connections=_MAX_KEEPALIVE_CONNECTIONS
        )

    async def send_update(self, address: Address, message: bytes) -> bytes | None:
        """Send a message and return the answer; None, with the connection closed, on a timeout."""
        url = f"http://{address[0]}:{address[1]}{UPDATE_PATH}"
        try:
            with fail_after(_ANSWER_TIMEOUT_S):
                async with self._pool.stream("POST", url, content=message) as response:
                    body = await read_body(response, _MAX_ANSWER_BYTES)
        except (TimeoutError, *_TRANSPORT_ERRORS):
            return None
        return body if response.status == 200 else None
