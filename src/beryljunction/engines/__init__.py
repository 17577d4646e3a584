"""Model engines and plain services as a sidecar meets them."""

from beryljunction.engines.orders import (
    ORDERS_PATH,
    EngineControl,
    HttpEngineControl,
    HttpOrderPeers,
    NoEngine,
    OrderFenced,
    OrderOutcome,
    OrderPeers,
    OrderRefused,
    OrderRunner,
    OrderTaken,
    OrderUnknown,
    WorkGate,
    answer_orders,
)
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
