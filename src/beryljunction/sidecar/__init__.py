"""The sidecar: the process that runs on the host of each endpoint and sends it requests."""

from beryljunction.sidecar.app import SidecarApp
from beryljunction.sidecar.calls import Call, Handler
from beryljunction.sidecar.runs import Run, RunTable

__all__ = ["Call", "Handler", "Run", "RunTable", "SidecarApp"]
