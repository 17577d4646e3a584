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
from beryljunction.engines.load_turn_log import LoadTurnLog
from beryljunction.engines.reconcile_loop import ReconcileLoop, RequestGate
from beryljunction.engines.rollout_peers import (
    ORDERS_PATH,
    HttpRolloutPeers,
    RolloutPeers,
    handle_row_exchange,
)

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
