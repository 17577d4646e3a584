"""Small stand-ins for the platform and for endpoints, for the demo, tests and measurements."""

from beryljunction.standins.engine import EngineModel, EngineStandIn
from beryljunction.standins.log import LogModel, LogModelSettings, LogStandIn, ModelLogClient
from beryljunction.standins.orders import EngineOrdersModel, answer_engine_orders
from beryljunction.standins.plain import PlainStandIn
from beryljunction.standins.weights import WeightStandIn, WeightStoreModel

__all__ = [
    "EngineOrdersModel",
    "WeightStandIn",
    "WeightStoreModel",
    "answer_engine_orders",
    "EngineModel",
    "EngineStandIn",
    "LogModel",
    "LogModelSettings",
    "LogStandIn",
    "ModelLogClient",
    "PlainStandIn",
]
