"""The role of an entry within the common process wiring."""

import time
from typing import Any

import anyio
import attrs

from beryljunction.entry import EntryApp
from beryljunction.fleet_process.roles import LEAVING, ProcessRole, RoleContext
from beryljunction.operator_api import ProcessStatus
from beryljunction.settings import EntryFile, ResolvedSettings
from beryljunction.stores import HostRow
from beryljunction.systems import ListedEndpoint
from beryljunction.tables import EndpointTable

__all__ = ["EntryRole"]

_TICK_INTERVAL_S = 0.5


class EntryRole(ProcessRole):
    """An entry: relays client requests to the endpoints on the host list."""

    name = "entry"
    requires_client_certificate = False

    def __init__(self, file: EntryFile, view: ResolvedSettings, context: RoleContext) -> None:
        self.process = file.process
        self.endpoints = EndpointTable()
        self.app = self.stoppable = self.entry = EntryApp(file, view, self.endpoints, context.tls)
        self.timeline = self.entry.timeline
        self.routes = {}
        self._listed_incarnations: dict[str, str] = {}

    async def run(self, *, task_status: Any) -> None:
        """Run the entry and expire the suspect state of endpoints."""
        async with anyio.create_task_group() as group:
            await group.start(self.entry.run)
            task_status.started()
            while True:
                await anyio.sleep(_TICK_INTERVAL_S)
                self.entry.membership.tick(time.monotonic())

    def apply_settings(self, view: ResolvedSettings) -> None:
        """Apply new settings."""
        self.entry.apply(view)

    def update_hosts(self, rows: list[HostRow]) -> None:
        """Update the membership, which combines the list with this entry's own observations."""
        now_s = time.monotonic()
        membership = self.entry.membership
        endpoints = [row for row in rows if row.endpoint_id]
        for row in endpoints:
            if self._is_replaced(row):
                membership.note_replaced(row.endpoint_id, now_s)
        membership.apply_list([_listed(row) for row in endpoints], now_s)

    def drain(self, leaving: bool) -> None:
        """Do nothing: the readiness probe informs the load balancer; callers are still served."""

    def status(self, status: ProcessStatus) -> ProcessStatus:
        """Add the number of known endpoints."""
        return attrs.evolve(status, endpoints=len(self.endpoints))

    def _is_replaced(self, row: HostRow) -> bool:
        """Return whether the list now has a different host for an endpoint id.

        The list's incarnation comes from the platform and only shows that something changed.
        Tickets and attached readers are bound to the incarnation that the sidecar itself reports.
        """
        known = self._listed_incarnations.get(row.endpoint_id, row.incarnation)
        self._listed_incarnations[row.endpoint_id] = row.incarnation
        return known != row.incarnation


def _listed(row: HostRow) -> ListedEndpoint:
    return ListedEndpoint(
        row.endpoint_id,
        row.service,
        row.availability_zone,
        row.address,
        leaving=row.state == LEAVING,
        region=row.region,
    )
