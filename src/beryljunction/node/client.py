"""What an operator's program asks the processes of the fleet, found by the host list."""

import json
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar
from urllib.parse import urlencode

import anyio
import attrs
import httpcore

from beryljunction.operators import EVENTS_PATH, STATUS_PATH, NodeStatus
from beryljunction.stores import HostRow, HttpHostList
from beryljunction.timeline import HLC_HEADER, Event, HybridClock
from beryljunction.wire import DRAIN_PATH, Drain, decode, encode

__all__ = ["Answers", "OperatorClient"]

# At the target there are 1,050 processes: asked 64 at a time, each within some milliseconds, they
# have all answered within a second or two, and the operator's host needs few sockets.
_AT_A_TIME = 64
_ANSWER_S = 3.0

T = TypeVar("T")


@attrs.define
class Answers(Generic[T]):
    """What the processes answered, by host, and why others did not."""

    values: dict[str, T] = attrs.field(factory=dict)
    failures: dict[str, str] = attrs.field(factory=dict)


class OperatorClient:
    """Asks the operator listeners of the processes on the host list.

    Args:
        pool: For the host list, which is the platform's and has no TLS of the fleet.
        nodes: For the processes, where that is another pool.
        key: Key that the listeners want to see; empty for none.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        hosts_url: str,
        nodes: httpcore.AsyncConnectionPool | None = None,
        key: str = "",
    ) -> None:
        self._nodes = nodes if nodes is not None else pool
        self._key = [(b"authorization", b"Bearer " + key.encode())] if key else []
        self._hosts = HttpHostList(pool, hosts_url)
        self._clock = HybridClock()

    async def rows(self) -> list[HostRow]:
        """Return the processes that the host list has.

        Raises:
            PlatformUnavailableError: When the list did not answer.
        """
        return list((await self._hosts.changes(0, 0.0)).rows)

    async def status(self, rows: list[HostRow]) -> Answers[NodeStatus]:
        """Return what each process says of itself."""

        async def ask(row: HostRow) -> NodeStatus:
            return decode(await self._ask(row, "GET", STATUS_PATH), NodeStatus)

        return await self._gather(rows, ask)

    async def events(
        self, rows: list[HostRow], request_id: str | None, last: int
    ) -> Answers[list[Event]]:
        """Return the newest events of each process, of one request or of all."""
        query = {"last": str(last)}
        if request_id is not None:
            query["request_id"] = request_id

        async def ask(row: HostRow) -> list[Event]:
            body = await self._ask(row, "GET", f"{EVENTS_PATH}?{urlencode(query)}")
            return [Event(*fields) for fields in json.loads(body)["events"]]

        return await self._gather(rows, ask)

    async def drain(self, row: HostRow, leaving: bool) -> Answers[NodeStatus]:
        """Have a process take no new work, or take it again."""

        async def ask(row: HostRow) -> NodeStatus:
            body = await self._ask(row, "POST", DRAIN_PATH, encode(Drain(leaving)))
            return decode(body, NodeStatus)

        return await self._gather([row], ask)

    async def _gather(
        self, rows: list[HostRow], ask: Callable[[HostRow], Awaitable[T]]
    ) -> Answers[T]:
        answers: Answers[T] = Answers()
        limiter = anyio.CapacityLimiter(_AT_A_TIME)

        async def one(row: HostRow) -> None:
            async with limiter:
                try:
                    answers.values[row.host] = await ask(row)
                except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                    answers.failures[row.host] = f"{row.operator_address}: {error}"
                except httpcore.TimeoutException:
                    answers.failures[row.host] = f"{row.operator_address}: no answer in time"
                except ValueError as error:
                    answers.failures[row.host] = f"{row.operator_address}: {error}"

        async with anyio.create_task_group() as group:
            for row in rows:
                group.start_soon(one, row)
        return answers

    async def _ask(self, row: HostRow, method: str, path: str, body: bytes = b"") -> bytes:
        response = await self._nodes.request(
            method,
            f"http://{row.operator_address}{path}",
            headers=[(HLC_HEADER, self._clock.stamp()), *self._key],
            content=body,
            extensions={"timeout": dict.fromkeys(("connect", "read", "write", "pool"), _ANSWER_S)},
        )
        if response.status == 401:
            raise ValueError("expected the key of the operator listener, got none that it knows")
        if response.status not in (200, 202):
            raise ValueError(f"expected status 200, got {response.status}")
        return response.content
