"""Small stand-ins for the platform and for endpoints, for the demo, tests and measurements."""

from beryljunction.standins.engine import EngineStandIn
from beryljunction.standins.faults import EngineFaults, HostListFaults
from beryljunction.standins.hosts import HostListModel, HostListStandIn
from beryljunction.standins.log import LogModel, LogModelSettings, LogStandIn, ModelLogClient
from beryljunction.standins.model import CacheChange, EngineModel
from beryljunction.standins.orders import EngineOrdersModel, answer_engine_orders
from beryljunction.standins.plain import PlainStandIn
from beryljunction.standins.platform_endpoint import PlatformEndpointStandIn
from beryljunction.standins.platform_store import (
    PlatformStoreFaults,
    PlatformStoreModel,
    PlatformStoreStandIn,
)
from beryljunction.standins.weights import WeightStandIn, WeightStoreModel

__all__ = [
    "CacheChange",
    "EngineFaults",
    "EngineModel",
    "EngineOrdersModel",
    "EngineStandIn",
    "HostListFaults",
    "HostListModel",
    "HostListStandIn",
    "LogModel",
    "LogModelSettings",
    "LogStandIn",
    "ModelLogClient",
    "PlainStandIn",
    "PlatformEndpointStandIn",
    "PlatformStoreFaults",
    "PlatformStoreModel",
    "PlatformStoreStandIn",
    "WeightStandIn",
    "WeightStoreModel",
    "answer_engine_orders",
]
