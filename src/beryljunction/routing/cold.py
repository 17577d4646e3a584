"""How many requests this entry may send to an endpoint that is warming up."""

import math
from collections.abc import Sequence

import attrs

from beryljunction.routing.fleet import Service
from beryljunction.routing.knownendpoint import KnownEndpoint
from beryljunction.routing.rendezvous import rendezvous_rank

__all__ = ["ColdLimit", "ColdShare", "share_of"]

# Requests are counted per second; a little more absorbs rounding of the clocks.
_WINDOW_S = 1.05
# Part of the limit that is shared out: the rest is left to entries that others don't know yet.
_SHARED_RATIO = 0.85
# Rendezvous positions are kept for this many cold endpoints.
_MOST_KEPT = 512


@attrs.frozen
class ColdLimit:
    """The fleet's promise for a cold endpoint.

    Attributes:
        overshoot: Multiple of an endpoint's own rate that it may get.
        slack: Requests a second on top of that.
    """

    overshoot: float = 1.0
    slack: float = 0.0

    def requests_per_s(self, service: Service) -> float:
        """Return the requests that all entries together may send in any second."""
        return service.cold_per_s * self.overshoot + self.slack


def share_of(position: int, entries: int, requests_per_s: float) -> int:
    """Return the requests that one entry may send in any second.

    Each of the first few entries gets an equal whole number; the others get none, since one request
    from each of them may already be more than the endpoint bears.

    Args:
        position: Place of the entry in an order that all entries agree on.
        entries: Entries that may be alive.
        requests_per_s: Limit for all of them together.
    """
    shared = int(requests_per_s * _SHARED_RATIO)
    senders = min(entries, shared)
    return shared // senders if position < senders else 0


class ColdShare:
    """Keeps the requests to a cold endpoint below the limit of the fleet without agreement.

    An endpoint that has just started crashes above a rate of its own. Each entry takes a share that
    depends only on the list of entries, so the sum holds also for entries that are cut off from the
    store or from each other. An entry that has just started doesn't know what its process sent
    before, and sends nothing to cold endpoints for a second.

    Args:
        host: Name of this entry's host.
        limit: The promise in force.
        started_s: When this entry started.
    """

    def __init__(self, host: str, limit: ColdLimit, started_s: float) -> None:
        self._host = host
        self._started_s = started_s
        self._hosts: tuple[str, ...] = ()
        self._positions: dict[str, int] = {}
        self.limit = limit

    def note_entries(self, hosts: Sequence[str]) -> None:
        """Take in the hosts of all entries that are listed."""
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
        """Count a request to an endpoint, which may be found to be cold a moment later."""
        if service is None or service.cold_per_s <= 0.0:
            return
        while row.cold_sends_s and now_s - row.cold_sends_s[0] > _WINDOW_S:
            row.cold_sends_s.popleft()
        row.cold_sends_s.append(now_s)

    def _share(self, endpoint_id: str, service: Service) -> int:
        position = self._positions.get(endpoint_id)
        if position is None:
            position = self._position(endpoint_id)
            if len(self._positions) >= _MOST_KEPT:
                self._positions.clear()
            self._positions[endpoint_id] = position
        per_s = self.limit.requests_per_s(service)
        return share_of(position, len(self._hosts), per_s) if math.isfinite(per_s) else 0

    def _position(self, endpoint_id: str) -> int:
        """Return this entry's place in the rendezvous order of the entries for an endpoint.

        An entry that only some know of moves each of the others by one place at most.
        """
        mine = rendezvous_rank(endpoint_id, self._host)
        return sum(1 for host in self._hosts if rendezvous_rank(endpoint_id, host) < mine)
