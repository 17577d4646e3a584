"""Gives a sidecar its order runner."""

from collections.abc import Callable, Mapping

import httpcore

from beryljunction.engines import (
    ORDERS_PATH,
    HttpEngineControl,
    HttpOrderPeers,
    OrderRunner,
    WorkGate,
    answer_orders,
)
from beryljunction.node.hosts import HostView
from beryljunction.servers import Asgi, Receive, Scope, Send
from beryljunction.settings import FleetView, SidecarFile
from beryljunction.sidecar import SidecarApp

__all__ = ["AdmissionGate", "order_routes", "order_runner"]


class AdmissionGate(WorkGate):
    """Opens and shuts the admission of a sidecar; a drain by an operator stays a drain."""

    def __init__(self, sidecar: SidecarApp) -> None:
        self._sidecar = sidecar

    def set_open(self, is_open: bool) -> None:
        """Take new work or not; see :meth:`WorkGate.set_open`."""
        self._sidecar.admission.loading = not is_open

    def running(self) -> int:
        """Return what is not over; see :meth:`WorkGate.running`."""
        return self._sidecar.in_flight


def order_runner(
    file: SidecarFile,
    sidecar: SidecarApp,
    view: Callable[[], FleetView],
    hosts: HostView,
    pools: Mapping[str, httpcore.AsyncConnectionPool],
) -> OrderRunner:
    """Return the runner that keeps the sidecar's engine at the settings.

    The engine stands on the sidecar's host and has a pool of its own, which speaks no TLS.
    """

    def others() -> dict[str, str]:
        return {
            row.endpoint_id: row.address
            for row in hosts.rows.values()
            if row.service == file.service
            and row.region == file.process.region
            and row.endpoint_id not in ("", file.endpoint_id)
        }

    return OrderRunner(
        file.endpoint_id,
        file.service,
        view,
        HttpEngineControl(file.endpoint_address, pools["engine"]),
        HttpOrderPeers(others, pools["fleet"], file.process.fleet_key),
        AdmissionGate(sidecar),
    )


def order_routes(runner: OrderRunner) -> dict[str, Asgi]:
    """Return the path on which other sidecars ask how far this one is."""

    async def answer(scope: Scope, receive: Receive, send: Send) -> None:
        await answer_orders(runner, receive, send)

    return {ORDERS_PATH: answer}
