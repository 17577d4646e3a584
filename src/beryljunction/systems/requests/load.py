"""Load bound of one endpoint, from its own load and the loads that its peers report.

Each sidecar bounds the load of its own endpoint, which it knows exactly. The mean comes from load
rows that sidecars exchange by gossip, with one peer at a time, so that the control traffic stays
within its budget at any fleet size.
"""

import bisect
import math
import random

import attrs

from beryljunction.loads import LoadRow
from beryljunction.tables import PeerLoad, PeerTable

__all__ = ["LoadBound", "LoadLimits", "LoadTracker", "SpeedMeter"]

_MESSAGE_BYTES = 300
_ROW_BYTES = 48
_BUDGET_BYTES_PER_S = 1_500
_MIN_INTERVAL_S = 0.25
_MAX_INTERVAL_S = 1.0
_MAX_ROWS = 24
_FAST_EXCHANGES = 8
_SUMS_MAX_AGE_S = 0.05
_SPEED_WINDOW_S = 2.0
_SLOW_SPEED_RATIO = 0.5
# Running requests are not moved, so an endpoint at its bound exceeds the multiple when the mean
# falls. With nine endpoints the mean changes by 2% (standard deviation) in the second that load
# rows take to arrive. Three times that is kept free; more would turn away chats whose prefix is
# cached here (see docs/design/placement.md).
_LAG_MARGIN_RATIO = 0.06
_RAMP_S = 4.0
_MIN_RAMP_RATIO = 0.1


@attrs.frozen
class LoadLimits:
    """Limits of the load bound.

    Attributes:
        load_multiple: Most running requests here, as a multiple of the service's mean.
        cold_multiple: The same for requests without a cached prefix here, which lose nothing at
            another endpoint.
        work_multiple: The same for estimated tokens; larger, because tokens per request vary far
            more than the number of requests.
        floor_running: Requests that may always run, so that a small mean can't block the endpoint.
        max_running: Largest batch of the engine, in requests.
        peer_stale_s: Age from which a peer's load is ignored.
    """

    load_multiple: float = 1.25
    cold_multiple: float = 0.9
    work_multiple: float = 1.6
    floor_running: int = 4
    max_running: int = 32
    peer_stale_s: float = 10.0


@attrs.frozen
class LoadBound:
    """How much may run at this endpoint now.

    Attributes:
        running: Most running requests.
        cold_running: Running requests from which one without a cached prefix goes elsewhere.
        work_tokens: Most estimated tokens of the running requests.
        fleet_full: Whether the whole fleet is at its limits, so that no other endpoint has room
            either.
    """

    running: int
    cold_running: int
    work_tokens: float
    fleet_full: bool


class SpeedMeter:
    """Measures the tokens per second of one running request over the last seconds.

    Tokens are counted as they are sent. Counting finished requests only would show a slow endpoint
    after a whole answer, when it has already accumulated requests.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._running_s = 0.0
        self._last_s: float | None = None

    @property
    def tokens_per_s(self) -> float:
        """Speed of one request; 0 while there is too little data."""
        return self._tokens / self._running_s if self._running_s >= 1.0 else 0.0

    def note(self, tokens: float) -> None:
        """Count tokens that the endpoint has sent."""
        self._tokens += tokens

    def advance(self, running: int, now_s: float) -> None:
        """Account for the time since the last call, during which ``running`` requests ran."""
        if self._last_s is not None and now_s > self._last_s:
            passed_s = now_s - self._last_s
            kept = math.exp(-passed_s / _SPEED_WINDOW_S)
            self._tokens *= kept
            self._running_s = (self._running_s + running * passed_s) * kept
        self._last_s = now_s


@attrs.frozen
class _PeerSums:
    """Sums over the peers with a fresh load row.

    Attributes:
        tokens_per_s: Median speed of their requests.
        capacity: Number of peers, in which a slow or new one counts as a fraction.
    """

    count: int
    demand: int
    work_tokens: int
    tokens_per_s: float
    capacity: float


def _speed_ratio(tokens_per_s: float, usual_tokens_per_s: float) -> float:
    """Return the ratio of an endpoint's speed to the usual speed if it is below half, else 1.

    A slow endpoint keeps requests longer, so with an equal number of them its callers wait while
    other endpoints have room. Below half of the usual speed its share shrinks in proportion.
    Smaller differences come from the mix of requests and must not move chats away from their cached
    prefix.
    """
    if tokens_per_s <= 0.0 or tokens_per_s >= _SLOW_SPEED_RATIO * usual_tokens_per_s:
        return 1.0
    return tokens_per_s / usual_tokens_per_s


class LoadTracker:
    """Stores the peers' load rows, selects rows to send and computes the load bound."""

    def __init__(
        self,
        endpoint_id: str = "",
        incarnation: str = "",
        limits: LoadLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.incarnation = incarnation
        self.limits = limits if limits is not None else LoadLimits()
        self.peers = PeerTable()
        self.speed = SpeedMeter()
        self._rng = rng if rng is not None else random.Random()
        self._sequence = 0
        self._exchanges = 0
        self._running = 0
        self._waiting = 0
        self._work_tokens = 0
        self._started_s = math.inf
        self._oldest_peer_s = math.inf
        self._sums_computed_s = -math.inf
        self._peer_sums = _PeerSums(0, 0, 0, 0.0, 0.0)

    @property
    def interval_s(self) -> float:
        """Seconds between two exchanges: as short as the byte budget allows for the known peers.

        A sidecar that has just started exchanges rows faster at first, because peers that don't
        know it yet compute a mean that is too high.
        """
        if self._exchanges < _FAST_EXCHANGES:
            return _MIN_INTERVAL_S / 2
        rows = min(_MAX_ROWS, len(self.peers) + 1)
        message_bytes = _MESSAGE_BYTES + rows * _ROW_BYTES
        return min(_MAX_INTERVAL_S, max(_MIN_INTERVAL_S, message_bytes / _BUDGET_BYTES_PER_S))

    def note_own(self, running: int, waiting: int, work_tokens: int, now_s: float) -> None:
        """Record the current load of this endpoint."""
        self.speed.advance(self._running, now_s)
        self._started_s = min(self._started_s, now_s)
        self._running = running
        self._waiting = waiting
        self._work_tokens = work_tokens

    def own_row(self) -> LoadRow:
        """Return a row for this endpoint with a new sequence number."""
        self._sequence += 1
        return LoadRow(
            self.endpoint_id,
            self.incarnation,
            self._sequence,
            self._running,
            self._waiting,
            self._work_tokens,
            round(self.speed.tokens_per_s, 1),
        )

    def rows_to_send(self, now_s: float) -> list[LoadRow]:
        """Return the rows for one peer: this endpoint's, then as many as the budget allows.

        The others are sampled at random, so that all rows spread equally fast. With 41 endpoints in
        a service, always sending the freshest rows would let the others go stale.
        """
        self._exchanges += 1
        live = [peer.row for peer in self.peers.received_after(now_s - self.limits.peer_stale_s)]
        rest = _MAX_ROWS - 1
        return [self.own_row(), *(live if len(live) <= rest else self._rng.sample(live, rest))]

    def merge(self, rows: list[LoadRow] | tuple[LoadRow, ...], now_s: float) -> None:
        """Merge rows from a peer, or from an entry whose request other endpoints refused."""
        others = [row for row in rows if row.endpoint_id != self.endpoint_id]
        newer = [self.peers.merge(row, now_s) for row in others]
        if any(newer):
            self._sums_computed_s = -math.inf
            self._oldest_peer_s = min(peer.first_received_s for peer in self.peers)

    def bound(self, now_s: float) -> LoadBound:
        """Return how much may run here now.

        Skewed or sudden demand on one endpoint's chats would slow its answers while other endpoints
        are idle. The limit is a multiple of the mean over all known endpoints, in which a slow
        endpoint counts as a fraction of one.

        The mean includes waiting requests: with running requests only, requests that wait for the
        bound would lower the mean and the bound further, until nothing runs (issue 4). The limit
        never goes below the floor, and without a fresh peer only the limit in the settings applies.
        """
        limits = self.limits
        peers = self._fresh_sums(now_s)
        if peers.count == 0:
            return LoadBound(limits.max_running, limits.max_running, math.inf, False)
        own_demand = min(self._running + self._waiting, limits.max_running)
        fraction = _speed_ratio(self.speed.tokens_per_s, peers.tokens_per_s) * self._ramp_ratio(
            self._started_s, now_s
        )
        mean = (peers.demand + own_demand) / (peers.capacity + fraction)
        mean_work = (peers.work_tokens + self._work_tokens) / (peers.capacity + fraction)
        multiple = limits.load_multiple * (1.0 - _LAG_MARGIN_RATIO)
        running = max(limits.floor_running, multiple * mean) * fraction
        cold_running = max(limits.floor_running, limits.cold_multiple * mean) * fraction
        return LoadBound(
            running=min(limits.max_running, max(1, int(running))),
            cold_running=min(limits.max_running, max(1, int(cold_running))),
            work_tokens=limits.work_multiple * mean_work * fraction,
            fleet_full=mean >= limits.max_running / limits.load_multiple,
        )

    def _fresh_sums(self, now_s: float) -> _PeerSums:
        """Return the sums over the fresh peers, cached for ``_SUMS_MAX_AGE_S``."""
        if now_s - self._sums_computed_s < _SUMS_MAX_AGE_S:
            return self._peer_sums
        fresh = self.peers.received_after(now_s - self.limits.peer_stale_s)
        most = self.limits.max_running
        speeds = sorted(peer.row.speed_tokens_per_s for peer in fresh)
        speeds = speeds[bisect.bisect_right(speeds, 0.0) :]
        usual = speeds[len(speeds) // 2] if speeds else 0.0
        settled_s = now_s - _RAMP_S
        demand, work_tokens, capacity = 0, 0, 0.0
        for peer in fresh:
            row = peer.row
            demand += min(row.running + row.waiting, most)
            work_tokens += row.work_tokens
            fraction = _speed_ratio(row.speed_tokens_per_s, usual)
            capacity += (
                fraction
                if peer.first_received_s <= settled_s
                else fraction * self._ramp_ratio(peer.first_received_s, now_s)
            )
        self._sums_computed_s = now_s
        self._peer_sums = _PeerSums(len(fresh), demand, work_tokens, usual, capacity)
        return self._peer_sums

    def _ramp_ratio(self, since_s: float, now_s: float) -> float:
        """Return the fraction that an endpoint counts as while it is newer than the oldest one.

        An endpoint that (re)joins is empty. If it counted fully at once, the mean would drop, the
        others' bound would fall below their running requests, and returning chats would have to
        leave their cached prefix for an endpoint that prefills everything. The fraction grows to 1
        within the time of a few answers. When the whole fleet is new, all endpoints count alike.
        """
        oldest_s = min(self._started_s, self._oldest_peer_s)
        age_s = min(_RAMP_S, now_s - since_s)
        most_s = min(_RAMP_S, now_s - oldest_s)
        return max(_MIN_RAMP_RATIO, age_s / most_s) if most_s > 0.0 else 1.0

    def ignore_until_newer_row(self, endpoint_id: str) -> None:
        """Ignore an endpoint that left or does not answer until it sends a newer row.

        When an availability zone is lost, its load moves to the other endpoints, which need up to
        twice their former bound. Until the lost endpoints' rows go stale they would keep the old
        mean and bound, and requests would be refused or wait while slots are free. A wrong guess
        costs little, because the endpoint's next row reverses it.
        """
        self.peers.ignore_until_newer_row(endpoint_id)
        self._sums_computed_s = -math.inf

    def peer(self, endpoint_id: str) -> PeerLoad | None:
        """Return the newest load row of a peer, or None."""
        return self.peers.get(endpoint_id)
