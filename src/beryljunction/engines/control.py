"""Client for the control interface of an engine, which loads models and adapters.

The engine serves this interface over HTTP with JSON:

``GET /v1/state`` answers 200 with the state of the engine::

    {"models": {"drafter": "v3"}, "adapters": ["gu"], "role": "both",
     "loading": {"drafter": "v4"}, "loading_adapters": [], "fence": 17, "failed": ""}

``fence`` is the highest fencing number of an order; engines that ignore fencing numbers omit it.
``failed`` says why the last load failed; the next order clears it.

``PUT /v1/orders`` sends the complete target state, so that the request is idempotent::

    {"fence": 18, "models": {"drafter": "v4"}, "adapters": ["gu"], "role": "both"}

200 means accepted (loads continue afterwards, and the state shows their progress). 409
``{"fence": 20}`` means that the engine has accepted an order with a higher number. 429 or 503 means
that it cannot accept an order now. Models and adapters that the order does not name are unloaded
at once, and loads of them are cancelled.
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

_ENGINE_STATE_PATH = "/v1/state"
_ENGINE_ORDERS_PATH = "/v1/orders"
_TIMEOUT_S = 2.0


@attrs.frozen
class OrderTaken:
    """The engine accepted the order."""


@attrs.frozen
class OrderFenced:
    """The engine rejected the order, as it has accepted one with a higher fencing number."""


@attrs.frozen
class OrderRefused:
    """The engine cannot accept an order now."""

    reason: str


@attrs.frozen
class OrderUnknown:
    """The engine did not answer. Its next state shows whether it accepted the order."""


OrderOutcome = OrderTaken | OrderFenced | OrderRefused | OrderUnknown


@attrs.frozen
class NoEngine:
    """The state of the engine could not be read."""

    reason: str


class EngineControl(abc.ABC):
    """Control interface of an engine."""

    @abc.abstractmethod
    async def read_state(self) -> EngineState | NoEngine:
        """Return the models and adapters that the engine holds."""

    @abc.abstractmethod
    async def send_order(self, order: Order) -> OrderOutcome:
        """Send the target state to the engine."""


class HttpEngineControl(EngineControl):
    """Control interface of an engine over HTTP."""

    def __init__(self, address: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._address = address
        self._pool = pool

    async def read_state(self) -> EngineState | NoEngine:
        """Read the state; see :meth:`EngineControl.read_state`."""
        try:
            response = await self._request("GET", _ENGINE_STATE_PATH, b"")
            if response.status != 200:
                return NoEngine(f"the engine answered with status {response.status}")
            return EngineState.from_data(json.loads(response.content))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            return NoEngine(f"no answer from the engine: {type(error).__name__}")
        except ValueError as error:
            return NoEngine(str(error))

    async def send_order(self, order: Order) -> OrderOutcome:
        """Send an order; see :meth:`EngineControl.send_order`."""
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
            extensions={"timeout": dict.fromkeys(("connect", "read", "write", "pool"), _TIMEOUT_S)},
        )
