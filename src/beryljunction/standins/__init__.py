"""Small stand-ins for the platform and for endpoints, for the demo, tests and measurements."""

from beryljunction.standins.engine import EngineStandIn
from beryljunction.standins.faults import EngineFaults, HostListFaults
from beryljunction.standins.hosts import HostListModel, HostListStandIn
from beryljunction.standins.model import CacheChange, EngineModel
from beryljunction.standins.orders import OrderState
from beryljunction.standins.plain import PlainStandIn

__all__ = [
    "CacheChange",
    "EngineFaults",
    "EngineModel",
    "EngineStandIn",
    "HostListFaults",
    "HostListModel",
    "HostListStandIn",
    "OrderState",
    "PlainStandIn",
]
