"""Parts common to all fleet processes: listeners, host list, settings, metrics, shutdown."""

from beryljunction.fleet_process.entry_role import EntryRole
from beryljunction.fleet_process.fleet_client import HostResponses, OperatorClient
from beryljunction.fleet_process.hosts import HostListCache, HostListWatcher
from beryljunction.fleet_process.process import FleetProcess
from beryljunction.fleet_process.roles import ProcessRole, RoleContext
from beryljunction.fleet_process.sidecar_role import SidecarRole
from beryljunction.operator_api import ProcessStatus

__all__ = [
    "EntryRole",
    "FleetProcess",
    "HostListCache",
    "HostListWatcher",
    "HostResponses",
    "OperatorClient",
    "ProcessRole",
    "ProcessStatus",
    "RoleContext",
    "SidecarRole",
]
