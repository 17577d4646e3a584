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
from beryljunction.engines.orders import ReconcileLoop, RequestGate
from beryljunction.engines.peers import (
    ORDERS_PATH,
    HttpRolloutPeers,
    RolloutPeers,
    handle_row_exchange,
)
from beryljunction.engines.turns import LoadTurnLog

__all__ = [
    "ORDERS_PATH",
    "EngineControl",
    "HttpEngineControl",
    "HttpRolloutPeers",
    "NoEngine",
    "OrderFenced",
    "OrderOutcome",
    "RolloutPeers",
    "OrderRefused",
    "ReconcileLoop",
    "OrderTaken",
    "OrderUnknown",
    "LoadTurnLog",
    "RequestGate",
    "handle_row_exchange",
]
