"""Client for the operator listeners of all processes on the host list."""

import json
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar
from urllib.parse import urlencode

import anyio
import attrs
import httpcore

from beryljunction.operator_api import EVENTS_PATH, STATUS_PATH, ProcessStatus
from beryljunction.stores import HostRow, HttpHostList
from beryljunction.timeline import HLC_HEADER, Event, HybridClock
from beryljunction.wire import DRAIN_PATH, Drain, decode, encode

__all__ = ["HostResponses", "OperatorClient"]

# A fleet of the target size has 1,050 processes. With 64 concurrent requests of a few milliseconds
# each, all answer within a second or two, and the operator's host needs few sockets.
_MAX_CONCURRENT_REQUESTS = 64
_TIMEOUT_S = 3.0

T = TypeVar("T")


@attrs.define
class HostResponses(Generic[T]):
    """Responses of the processes by host, and error texts of those that failed."""

    values: dict[str, T] = attrs.field(factory=dict)
    failures: dict[str, str] = attrs.field(factory=dict)


class OperatorClient:
    """Queries the operator listeners of the processes on the host list.

    Args:
        pool: Pool for the host list, a platform service outside the fleet's TLS.
        process_pool: Pool for the processes; defaults to `pool`.
        key: Operator key for the listeners; empty to send none.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        hosts_url: str,
        process_pool: httpcore.AsyncConnectionPool | None = None,
        key: str = "",
    ) -> None:
        self._process_pool = process_pool if process_pool is not None else pool
        self._key_header = [(b"authorization", b"Bearer " + key.encode())] if key else []
        self._hosts = HttpHostList(pool, hosts_url)
        self._clock = HybridClock()

    async def list_hosts(self) -> list[HostRow]:
        """Return the rows of the host list.

        Raises:
            PlatformUnavailableError: If the host list did not answer.
        """
        return list((await self._hosts.fetch_changes(0, 0.0)).rows)

    async def status(self, rows: list[HostRow]) -> HostResponses[ProcessStatus]:
        """Return the status of each process."""

        async def ask(row: HostRow) -> ProcessStatus:
            return decode(await self._request(row, "GET", STATUS_PATH), ProcessStatus)

        return await self._gather(rows, ask)

    async def events(
        self, rows: list[HostRow], request_id: str | None, last: int
    ) -> HostResponses[list[Event]]:
        """Return the `last` newest events of each process, optionally of one request only."""
        query = {"last": str(last)}
        if request_id is not None:
            query["request_id"] = request_id

        async def ask(row: HostRow) -> list[Event]:
            body = await self._request(row, "GET", f"{EVENTS_PATH}?{urlencode(query)}")
            return [Event(*fields) for fields in json.loads(body)["events"]]

        return await self._gather(rows, ask)

    async def drain(self, row: HostRow, leaving: bool) -> HostResponses[ProcessStatus]:
        """Drain a process, or end its drain if `leaving` is false."""

        async def ask(row: HostRow) -> ProcessStatus:
            body = await self._request(row, "POST", DRAIN_PATH, encode(Drain(leaving)))
            return decode(body, ProcessStatus)

        return await self._gather([row], ask)

    async def _gather(
        self, rows: list[HostRow], ask: Callable[[HostRow], Awaitable[T]]
    ) -> HostResponses[T]:
        responses: HostResponses[T] = HostResponses()
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)

        async def ask_one(row: HostRow) -> None:
            async with limiter:
                try:
                    responses.values[row.host] = await ask(row)
                except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                    responses.failures[row.host] = f"{row.operator_address}: {error}"
                except httpcore.TimeoutException:
                    responses.failures[row.host] = f"{row.operator_address}: no answer in time"
                except ValueError as error:
                    responses.failures[row.host] = f"{row.operator_address}: {error}"

        async with anyio.create_task_group() as group:
            for row in rows:
                group.start_soon(ask_one, row)
        return responses

    async def _request(self, row: HostRow, method: str, path: str, body: bytes = b"") -> bytes:
        response = await self._process_pool.request(
            method,
            f"http://{row.operator_address}{path}",
            headers=[(HLC_HEADER, self._clock.header_value()), *self._key_header],
            content=body,
            extensions={"timeout": dict.fromkeys(("connect", "read", "write", "pool"), _TIMEOUT_S)},
        )
        if response.status == 401:
            raise ValueError(
                "expected the key of the operator listener, got status 401 (key missing or unknown)"
            )
        if response.status not in (200, 202):
            raise ValueError(f"expected status 200, got {response.status}")
        return response.content
