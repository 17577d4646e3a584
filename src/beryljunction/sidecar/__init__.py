"""The process beside each endpoint."""

from beryljunction.sidecar.app import SidecarApp
from beryljunction.sidecar.runs import Run

__all__ = ["Run", "SidecarApp"]
