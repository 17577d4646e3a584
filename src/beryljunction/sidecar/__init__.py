"""The process beside each endpoint."""

from beryljunction.sidecar.app import Call, Handler, SidecarApp
from beryljunction.sidecar.runs import Run, RunTable

__all__ = ["Call", "Handler", "Run", "RunTable", "SidecarApp"]
