"""Endpoints known to one process."""

import enum
import math
from collections.abc import Iterable, Iterator

import attrs

__all__ = ["Endpoint", "EndpointState", "EndpointTable"]


class EndpointState(enum.StrEnum):
    """Whether new work may be offered to an endpoint."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@attrs.define
class Endpoint:
    """A model engine or plain service with its sidecar.

    Attributes:
        endpoint_id: Stable name of the slot; it stays the same when the host is replaced.
        incarnation: Changes whenever the slot's sidecar restarts; empty if unknown.
        weight: Share of new chats relative to the other endpoints of the service.
        suspect_until_s: Monotonic time until which the endpoint is suspect.
        joined_s: Monotonic time at which this process first saw the current incarnation; minus
            infinity if it was there from the start.
    """

    endpoint_id: str
    service: str
    availability_zone: str
    address: str
    incarnation: str = ""
    weight: float = 1.0
    state: EndpointState = EndpointState.LIVE
    suspect_until_s: float = 0.0
    joined_s: float = -math.inf
    region: str = ""


class EndpointTable:
    """Endpoints by id and by service; iteration order is the order of insertion."""

    def __init__(self, rows: Iterable[Endpoint] = ()) -> None:
        self._rows: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        for row in rows:
            self.put(row)

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[Endpoint]:
        return iter(tuple(self._rows.values()))

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return the row, or None if the endpoint is unknown."""
        return self._rows.get(endpoint_id)

    def put(self, row: Endpoint) -> None:
        """Insert a row or replace the one with the same id."""
        self.remove(row.endpoint_id)
        self._rows[row.endpoint_id] = row
        self._by_service.setdefault(row.service, {})[row.endpoint_id] = row

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint; unknown ids are ignored."""
        row = self._rows.pop(endpoint_id, None)
        if row is not None:
            del self._by_service[row.service][endpoint_id]

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service in any state."""
        return list(self._by_service.get(service, {}).values())
