"""Orders from a sidecar to the engine beside it.

The engine's side, HTTP with JSON:

``GET /v1/state`` answers 200 with what the engine holds::

    {"models": {"drafter": "v3"}, "adapters": ["gu"], "role": "both",
     "loading": {"drafter": "v4"}, "loading_adapters": [], "fence": 17, "failed": ""}

``fence`` is left out by an engine that ignores fencing numbers; ``failed`` says why the last load
failed and is empty again after the next order.

``PUT /v1/orders`` names the whole state to hold, so that it may be repeated::

    {"fence": 18, "models": {"drafter": "v4"}, "adapters": ["gu"], "role": "both"}

200 means taken (loads go on afterwards; the state says how far), 409 ``{"fence": 20}`` that the
engine took an order with a higher number before, 429 or 503 that it can't take one now. What is
not named is dropped at once, a load of it is cancelled.
"""

import abc
import json

import attrs
import httpcore

from beryljunction.systems.recovery.orders import Order
from beryljunction.tables.orders import EngineState

__all__ = [
    "EngineControl",
    "HttpEngineControl",
    "NoEngine",
    "OrderFenced",
    "OrderOutcome",
    "OrderRefused",
    "OrderTaken",
    "OrderUnknown",
]

_STATE_PATH = "/v1/state"
_ENGINE_ORDERS_PATH = "/v1/orders"
_ANSWER_S = 2.0


@attrs.frozen
class OrderTaken:
    """The engine took the order."""


@attrs.frozen
class OrderFenced:
    """The engine took an order with a higher number before."""


@attrs.frozen
class OrderRefused:
    """The engine did not take the order now."""

    reason: str


@attrs.frozen
class OrderUnknown:
    """No answer: the engine may have taken it; the next read-back tells."""


OrderOutcome = OrderTaken | OrderFenced | OrderRefused | OrderUnknown


@attrs.frozen
class NoEngine:
    """The engine did not say what it holds."""

    reason: str


class EngineControl(abc.ABC):
    """How a sidecar meets the orders interface of its engine."""

    @abc.abstractmethod
    async def state(self) -> EngineState | NoEngine:
        """Read back what the engine holds."""

    @abc.abstractmethod
    async def order(self, order: Order) -> OrderOutcome:
        """Tell the engine what to hold."""


class HttpEngineControl(EngineControl):
    """An engine's orders interface over HTTP."""

    def __init__(self, address: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._address = address
        self._pool = pool

    async def state(self) -> EngineState | NoEngine:
        """Read back; see :meth:`EngineControl.state`."""
        try:
            response = await self._request("GET", _STATE_PATH, b"")
            if response.status != 200:
                return NoEngine(f"the engine answered {response.status}")
            return EngineState.from_data(json.loads(response.content))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            return NoEngine(f"no answer from the engine: {type(error).__name__}")
        except ValueError as error:
            return NoEngine(str(error))

    async def order(self, order: Order) -> OrderOutcome:
        """Order; see :meth:`EngineControl.order`."""
        body = json.dumps(attrs.asdict(order)).encode()
        try:
            response = await self._request("PUT", _ENGINE_ORDERS_PATH, body)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return OrderUnknown()
        if response.status == 200:
            return OrderTaken()
        if response.status == 409:
            return OrderFenced()
        return OrderRefused(f"status {response.status}")

    async def _request(self, method: str, path: str, body: bytes) -> httpcore.Response:
        return await self._pool.request(
            method,
            self._address + path,
            headers=[("content-type", "application/json")],
            content=body,
            extensions={"timeout": dict.fromkeys(("connect", "read", "write", "pool"), _ANSWER_S)},
        )
