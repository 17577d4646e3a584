"""What one endpoint may carry, from its own load and what its peers say of theirs.

Load is bounded by the sidecar, which knows its own exactly; the mean comes from rows that sidecars
exchange with one peer at a time, so that the control budget holds at any size.
"""

import bisect
import math
import random

import attrs

from beryljunction.loads import LoadRow
from beryljunction.tables import PeerLoad, PeerTable

__all__ = ["LoadBound", "LoadLimits", "LoadSystem", "SpeedMeter"]

_MESSAGE_BYTES = 300
_ROW_BYTES = 48
_BUDGET_BYTES_PER_S = 1_500
_LEAST_INTERVAL_S = 0.25
_MOST_INTERVAL_S = 1.0
_MOST_ROWS = 24
_ANNOUNCEMENTS = 8
_MEAN_AGE_S = 0.05
_SPEED_WINDOW_S = 2.0
_SLOW_SHARE = 0.5
# Load: an endpoint at its bound while the others end requests. Harm: what runs is not moved, so it
# ends above the multiple of a mean that has fallen since. With nine endpoints the mean changes by
# 2% (standard deviation) in the second that news take. Three times that is kept free; more would
# push out chats that find their prefix here (see docs/design/placement.md).
_LAG_MARGIN = 0.06
_RAMP_S = 4.0
_LEAST_RAMP = 0.1


@attrs.frozen
class LoadLimits:
    """Limits of the load bound.

    Attributes:
        load_multiple: Running work allowed here as a multiple of the service's mean.
        cold_multiple: The same for requests that find nothing cached here and so lose nothing
            elsewhere.
        work_multiple: The same for estimated tokens; wider, because the work of single requests
            differs by far more than their number.
        floor_running: Requests that always may run, so that a small mean can't shut the endpoint.
        max_running: Requests that the engine batches at the most.
        peer_stale_s: Age from which a peer's load no longer counts.
    """

    load_multiple: float = 1.25
    cold_multiple: float = 0.9
    work_multiple: float = 1.6
    floor_running: int = 4
    max_running: int = 32
    peer_stale_s: float = 10.0


@attrs.frozen
class LoadBound:
    """What may run here now.

    Attributes:
        running: Requests.
        cold_running: Requests beyond which one with nothing cached here goes elsewhere.
        work_tokens: Estimated tokens of the running requests.
        full: The fleet as a whole is at its limits, so that no other endpoint has room either.
    """

    running: int
    cold_running: int
    work_tokens: float
    full: bool


class SpeedMeter:
    """Tokens a second that one running request gets here, over the last seconds.

    Finished requests alone would tell of a slow endpoint only after a whole answer, by when it has
    gathered work that the others would have ended; tokens on their way tell within seconds.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._running_s = 0.0
        self._last_s: float | None = None

    @property
    def tokens_per_s(self) -> float:
        """Speed of one request; 0 when too little ran to tell."""
        return self._tokens / self._running_s if self._running_s >= 1.0 else 0.0

    def note(self, tokens: float) -> None:
        """Count tokens that the endpoint has sent."""
        self._tokens += tokens

    def advance(self, running: int, now_s: float) -> None:
        """Account for the time since the last call, in which so many requests ran."""
        if self._last_s is not None and now_s > self._last_s:
            passed_s = now_s - self._last_s
            kept = math.exp(-passed_s / _SPEED_WINDOW_S)
            self._tokens *= kept
            self._running_s = (self._running_s + running * passed_s) * kept
        self._last_s = now_s


@attrs.frozen
class _Peers:
    """Sums over the peers heard of lately.

    Attributes:
        tokens_per_s: Median speed of their requests.
        parts: Their number, in which a slow one counts as a part.
    """

    count: int
    demand: int
    work_tokens: int
    tokens_per_s: float
    parts: float


def _part(tokens_per_s: float, usual_tokens_per_s: float) -> float:
    """Return 1, or the share of the usual speed that an endpoint reaches if that is low.

    Load: one endpoint that has become slow keeps requests longer, so that an equal number of them
    is a multiple of the work. Harm: its callers wait while other endpoints have room. Below half of
    the usual speed an endpoint's share shrinks with it; smaller differences come from the mix of
    requests and must not move chats away from their cached prefix.
    """
    if tokens_per_s <= 0.0 or tokens_per_s >= _SLOW_SHARE * usual_tokens_per_s:
        return 1.0
    return tokens_per_s / usual_tokens_per_s


class LoadSystem:
    """Keeps the rows of the peers, picks those to pass on and works out the bound."""

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
        self._since_s = math.inf
        self._oldest_peer_s = math.inf
        self._peers_s = -math.inf
        self._peers = _Peers(0, 0, 0, 0.0, 0.0)

    @property
    def interval_s(self) -> float:
        """Seconds between two exchanges: what the budget allows, fresher where peers are few.

        A sidecar that has just started tells a few peers at once: until they hear of it they take
        its absence for a higher mean.
        """
        if self._exchanges < _ANNOUNCEMENTS:
            return _LEAST_INTERVAL_S / 2
        rows = min(_MOST_ROWS, len(self.peers) + 1)
        message_bytes = _MESSAGE_BYTES + rows * _ROW_BYTES
        return min(_MOST_INTERVAL_S, max(_LEAST_INTERVAL_S, message_bytes / _BUDGET_BYTES_PER_S))

    def note_own(self, running: int, waiting: int, work_tokens: int, now_s: float) -> None:
        """Take in what runs and waits here now."""
        self.speed.advance(self._running, now_s)
        self._since_s = min(self._since_s, now_s)
        self._running = running
        self._waiting = waiting
        self._work_tokens = work_tokens

    def own_row(self) -> LoadRow:
        """Return a new row on this endpoint, newer than all before."""
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
        """Return the rows for one peer: the own one, then as many as the budget allows.

        A random choice among the live rows spreads each row in the same time; always sending the
        freshest would leave the others to go stale at 41 endpoints a service.
        """
        self._exchanges += 1
        live = [peer.row for peer in self.peers.heard_after(now_s - self.limits.peer_stale_s)]
        rest = _MOST_ROWS - 1
        return [self.own_row(), *(live if len(live) <= rest else self._rng.sample(live, rest))]

    def merge(self, rows: list[LoadRow] | tuple[LoadRow, ...], now_s: float) -> None:
        """Take in rows from a peer or from an entry that was refused elsewhere."""
        others = [row for row in rows if row.endpoint_id != self.endpoint_id]
        newer = [self.peers.merge(row, now_s) for row in others]
        if any(newer):
            self._peers_s = -math.inf
            self._oldest_peer_s = min(peer.since_s for peer in self.peers)

    def bound(self, now_s: float) -> LoadBound:
        """Return what may run here now.

        Load: skewed or sudden demand on one endpoint's chats. Harm: its callers' tokens slow down
        while other endpoints idle. The limit is a multiple of the mean over all endpoints heard of,
        in which one that has become slow counts as the part of an endpoint that it still is.

        The mean counts waiting requests like running ones: a mean of running work alone falls while
        requests wait for a bound that falls with it, until nothing runs (issue 4). It also never
        goes below the floor, and with no fresh peer the fixed limit of the settings holds alone.
        """
        limits = self.limits
        peers = self._fresh(now_s)
        if peers.count == 0:
            return LoadBound(limits.max_running, limits.max_running, math.inf, False)
        own_demand = min(self._running + self._waiting, limits.max_running)
        part = _part(self.speed.tokens_per_s, peers.tokens_per_s) * self._ramp(self._since_s, now_s)
        mean = (peers.demand + own_demand) / (peers.parts + part)
        mean_work = (peers.work_tokens + self._work_tokens) / (peers.parts + part)
        multiple = limits.load_multiple * (1.0 - _LAG_MARGIN)
        running = max(limits.floor_running, multiple * mean) * part
        cold_running = max(limits.floor_running, limits.cold_multiple * mean) * part
        return LoadBound(
            running=min(limits.max_running, max(1, int(running))),
            cold_running=min(limits.max_running, max(1, int(cold_running))),
            work_tokens=limits.work_multiple * mean_work * part,
            full=mean >= limits.max_running / limits.load_multiple,
        )

    def _fresh(self, now_s: float) -> _Peers:
        """Return the sums over the fresh peers, kept for a moment."""
        if now_s - self._peers_s < _MEAN_AGE_S:
            return self._peers
        fresh = self.peers.heard_after(now_s - self.limits.peer_stale_s)
        most = self.limits.max_running
        speeds = sorted(peer.row.speed_tokens_per_s for peer in fresh)
        speeds = speeds[bisect.bisect_right(speeds, 0.0) :]
        usual = speeds[len(speeds) // 2] if speeds else 0.0
        settled_s = now_s - _RAMP_S
        demand, work_tokens, parts = 0, 0, 0.0
        for peer in fresh:
            row = peer.row
            demand += min(row.running + row.waiting, most)
            work_tokens += row.work_tokens
            part = _part(row.speed_tokens_per_s, usual)
            parts += part if peer.since_s <= settled_s else part * self._ramp(peer.since_s, now_s)
        self._peers_s = now_s
        self._peers = _Peers(len(fresh), demand, work_tokens, usual, parts)
        return self._peers

    def _ramp(self, since_s: float, now_s: float) -> float:
        """Return the part that an endpoint counts as while it is newer than the oldest.

        Load: an endpoint (re)joins empty. Harm: counted whole at once it lowers the mean, the
        others' bound falls below what they run, and their returning chats must leave a cached
        prefix for an endpoint that prefills everything. Its part grows to a whole one in the time
        of a few answers; when the whole fleet is new, all count alike.
        """
        oldest_s = min(self._since_s, self._oldest_peer_s)
        age_s = min(_RAMP_S, now_s - since_s)
        most_s = min(_RAMP_S, now_s - oldest_s)
        return max(_LEAST_RAMP, age_s / most_s) if most_s > 0.0 else 1.0

    def silence(self, endpoint_id: str) -> None:
        """Let an endpoint that left or does not answer count no more, until it says something new.

        Load: an availability zone is lost and its work comes to the others. Harm: until they are
        stale, the last rows of the lost keep the mean and with it the bound at what was before,
        while the others need up to twice that: requests are refused or wait beside idle places. A
        wrong guess costs little: the next row of an endpoint that is there puts it right.
        """
        self.peers.silence(endpoint_id)
        self._peers_s = -math.inf

    def peer(self, endpoint_id: str) -> PeerLoad | None:
        """Return what is known of a peer."""
        return self.peers.get(endpoint_id)
