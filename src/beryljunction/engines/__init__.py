"""Control of the model engine of a sidecar: which models and adapters it loads, and when."""

from beryljunction.engines.control import (
    EngineControl,
    HttpEngineControl,
    NoEngine,
    OrderFenced,
    OrderOutcome,
    OrderRefused,
    OrderTaken,
    OrderUnknown,
)
from beryljunction.engines.orders import OrderRunner, WorkGate
from beryljunction.engines.peers import ORDERS_PATH, HttpOrderPeers, OrderPeers, answer_orders
from beryljunction.engines.turns import TurnLog

__all__ = [
    "ORDERS_PATH",
    "EngineControl",
    "HttpEngineControl",
    "HttpOrderPeers",
    "NoEngine",
    "OrderFenced",
    "OrderOutcome",
    "OrderPeers",
    "OrderRefused",
    "OrderRunner",
    "OrderTaken",
    "OrderUnknown",
    "TurnLog",
    "WorkGate",
    "answer_orders",
]
