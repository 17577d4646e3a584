"""Limits the requests of this entry to endpoints that are warming up ("cold")."""

import math
from collections.abc import Sequence

import attrs

from beryljunction.routing.fleet import Service
from beryljunction.routing.known_endpoint import KnownEndpoint
from beryljunction.routing.rendezvous import rendezvous_rank

__all__ = ["ColdStartLimit", "ColdStartLimiter", "entry_share"]

# Requests are counted over one second, plus a margin for clock rounding.
_WINDOW_S = 1.05
# Part of the limit that is divided; the rest is left to entries that the others don't know yet.
_SHARED_RATIO = 0.85
# Number of endpoints whose rendezvous position is cached.
_MAX_CACHED_POSITIONS = 512


@attrs.frozen
class ColdStartLimit:
    """Fleet-wide limit on the requests to a cold endpoint.

    Attributes:
        overshoot: Factor on the request rate that the service sets for a cold endpoint.
        slack: Requests per second on top of that.
    """

    overshoot: float = 1.0
    slack: float = 0.0

    def requests_per_s(self, service: Service) -> float:
        """Return how many requests all entries together may send in any one second."""
        return service.cold_per_s * self.overshoot + self.slack


def entry_share(position: int, entries: int, requests_per_s: float) -> int:
    """Return how many requests one entry may send in any one second.

    The first few entries get equal whole numbers. The others get none, since even one request from
    each of them could exceed what the endpoint can handle.

    Args:
        position: Position of the entry in an order on which all entries agree.
        entries: Number of entries that may be alive.
        requests_per_s: Limit for all entries together.
    """
    shared = int(requests_per_s * _SHARED_RATIO)
    senders = min(entries, shared)
    return shared // senders if position < senders else 0


class ColdStartLimiter:
    """Keeps the fleet's requests to a cold endpoint below the limit without coordination.

    An endpoint that has just started crashes above a certain request rate. The share of each entry
    depends only on the list of entries, so the sum stays below the limit even if entries are cut
    off from the store or from each other. An entry that has just started doesn't know what its
    previous process sent, so it sends nothing to cold endpoints for one second.

    Args:
        host: Name of this entry's host.
        limit: Limit in force.
        started_s: When this entry started.
    """

    def __init__(self, host: str, limit: ColdStartLimit, started_s: float) -> None:
        self._host = host
        self._started_s = started_s
        self._hosts: tuple[str, ...] = ()
        self._positions: dict[str, int] = {}
        self.limit = limit

    def note_entries(self, hosts: Sequence[str]) -> None:
        """Update the hosts of all listed entries."""
        if tuple(hosts) != self._hosts:
            self._hosts = tuple(hosts)
            self._positions.clear()

    def is_cold(self, row: KnownEndpoint, service: Service | None, now_s: float) -> bool:
        """Return whether an endpoint is, or may be, warming up."""
        if service is None or service.cold_per_s <= 0.0:
            return False
        return now_s < max(row.cold_until_s, row.may_be_cold_s + service.cold_start_s)

    def allows(self, row: KnownEndpoint, service: Service | None, now_s: float) -> bool:
        """Return whether this entry may send a request to an endpoint now."""
        if service is None or not self.is_cold(row, service, now_s):
            return True
        if not self._hosts or now_s - self._started_s < _WINDOW_S:
            return False
        recent = sum(1 for sent_s in row.cold_sends_s if now_s - sent_s <= _WINDOW_S)
        return recent < self._share(row.record.endpoint_id, service)

    def allowed(
        self, rows: Sequence[KnownEndpoint], service: Service | None, now_s: float
    ) -> Sequence[KnownEndpoint]:
        """Return the endpoints to which this entry may send a request now."""
        if service is None or service.cold_per_s <= 0.0:
            return rows
        return [row for row in rows if self.allows(row, service, now_s)]

    def note_send(self, row: KnownEndpoint, service: Service | None, now_s: float) -> None:
        """Count a request to any endpoint, since it may turn out to be cold a moment later."""
        if service is None or service.cold_per_s <= 0.0:
            return
        while row.cold_sends_s and now_s - row.cold_sends_s[0] > _WINDOW_S:
            row.cold_sends_s.popleft()
        row.cold_sends_s.append(now_s)

    def _share(self, endpoint_id: str, service: Service) -> int:
        position = self._positions.get(endpoint_id)
        if position is None:
            position = self._position(endpoint_id)
            if len(self._positions) >= _MAX_CACHED_POSITIONS:
                self._positions.clear()
            self._positions[endpoint_id] = position
        per_s = self.limit.requests_per_s(service)
        return entry_share(position, len(self._hosts), per_s) if math.isfinite(per_s) else 0

    def _position(self, endpoint_id: str) -> int:
        """Return this entry's position in the rendezvous order of the entries for an endpoint.

        An entry that only some of the others know of shifts each of them by at most one position.
        """
        mine = rendezvous_rank(endpoint_id, self._host)
        return sum(1 for host in self._hosts if rendezvous_rank(endpoint_id, host) < mine)
