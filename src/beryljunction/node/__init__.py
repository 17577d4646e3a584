"""Parts common to all fleet processes: listeners, host list, settings, metrics, shutdown."""

from beryljunction.node.client import HostResponses, OperatorClient
from beryljunction.node.entry_role import EntryRole
from beryljunction.node.hosts import HostListCache, HostListWatcher
from beryljunction.node.process import FleetProcess
from beryljunction.node.roles import ProcessRole, RoleContext
from beryljunction.node.sidecar_role import SidecarRole
from beryljunction.operators import ProcessStatus

__all__ = [
    "HostResponses",
    "EntryRole",
    "HostListWatcher",
    "HostListCache",
    "FleetProcess",
    "ProcessRole",
    "ProcessStatus",
    "OperatorClient",
    "RoleContext",
    "SidecarRole",
]
