"""What the processes of the fleet share: listeners, host list, settings, metrics and the stop."""

from beryljunction.node.client import Answers, OperatorClient
from beryljunction.node.hosts import HostFollower, HostView
from beryljunction.node.process import Node
from beryljunction.node.roles import EntryRole, NodeRole, NodeStatus, RoleTools, SidecarRole

__all__ = [
    "Answers",
    "EntryRole",
    "HostFollower",
    "HostView",
    "Node",
    "NodeRole",
    "NodeStatus",
    "OperatorClient",
    "RoleTools",
    "SidecarRole",
]
