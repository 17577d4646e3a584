"""Exchange of load progress between the sidecars of one service."""

import abc
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import httpcore

from beryljunction.servers import Receive, Send, read_body, send_response
from beryljunction.tables.orders import OrderRow
from beryljunction.wire import FLEET_KEY_HEADER, decode, encode

__all__ = ["ORDERS_PATH", "HttpRolloutPeers", "RolloutPeers", "handle_row_exchange"]

ORDERS_PATH = "/beryl/v1/orders"
_TIMEOUT_S = 1.0
_MAX_ROW_BYTES = 4096


class RolloutPeers(abc.ABC):
    """The other sidecars of the service."""

    @abc.abstractmethod
    def endpoint_ids(self) -> list[str]:
        """Return the ids of the other endpoints of the service in the host list."""

    @abc.abstractmethod
    async def exchange(self, own: OrderRow) -> list[OrderRow]:
        """Send the row of this endpoint to all peers; return the rows of those that answer."""


class HttpRolloutPeers(RolloutPeers):
    """Exchanges rows with the other sidecars of the service over HTTP."""

    def __init__(
        self,
        addresses: Callable[[], Mapping[str, str]],
        pool: httpcore.AsyncConnectionPool,
        fleet_key: str,
    ) -> None:
        self._addresses = addresses
        self._pool = pool
        self._fleet_key = fleet_key.encode()

    def endpoint_ids(self) -> list[str]:
        """Return the ids of the other endpoints; see :meth:`RolloutPeers.endpoint_ids`."""
        return list(self._addresses())

    async def exchange(self, own: OrderRow) -> list[OrderRow]:
        """Exchange rows with all peers; see :meth:`RolloutPeers.exchange`."""
        rows: list[OrderRow] = []
        async with anyio.create_task_group() as group:
            for address in self._addresses().values():
                group.start_soon(self._ask, address, encode(own), rows)
        return rows

    async def _ask(self, address: str, body: bytes, rows: list[OrderRow]) -> None:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), _TIMEOUT_S)
        try:
            response = await self._pool.request(
                "POST",
                f"http://{address}{ORDERS_PATH}",
                headers=[(FLEET_KEY_HEADER, self._fleet_key)],
                content=body,
                extensions={"timeout": timeouts},
            )
            if response.status == 200:
                rows.append(decode(response.content, OrderRow))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return
        except ValueError:
            return


async def handle_row_exchange(
    receive_row: Callable[[OrderRow], None],
    own_row: Callable[[], OrderRow],
    receive: Receive,
    send: Send,
) -> None:
    """Answer POST ORDERS_PATH: store the sender's row and return the row of this endpoint.

    The calling code has checked the fleet key.
    """
    body: Any = await read_body(receive, _MAX_ROW_BYTES)
    try:
        receive_row(decode(body or b"", OrderRow))
    except ValueError as error:
        await send_response(send, 400, str(error).encode(), content_type=b"text/plain")
        return
    await send_response(send, 200, encode(own_row()))
