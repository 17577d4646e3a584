"""Small stand-ins for the platform and for endpoints, for the demo, tests and measurements."""

from beryljunction.standins.engine import EngineModel, EngineStandIn
from beryljunction.standins.log import LogModel, LogModelSettings, LogStandIn, ModelLogClient
from beryljunction.standins.plain import PlainStandIn

__all__ = [
    "EngineModel",
    "EngineStandIn",
    "LogModel",
    "LogModelSettings",
    "LogStandIn",
    "ModelLogClient",
    "PlainStandIn",
]
