"""Chooses the next peer to exchange settings with, so that a change spreads in bounded time."""

import random
from collections.abc import Collection, Sequence

import attrs

__all__ = ["PeerRotation"]

# When the log is down and only one process has the newest version, the processes serve with
# different settings until all have it. Operators are promised that this takes at most 5 s. Sidecars
# form a ring; entries poll the ring but are not on it. An exchange goes both ways, so:
#
# * in each round, one of any two processes on the ring polls the other, so m processes need m // 2
#   exchanges. An entry pushes its version with one exchange, and gets the newest with one more;
# * (m // 2) * ring_s + 2 * outside_s is at most 3.2 s for up to 13 processes on the ring, and it
#   takes up to 1.6 s to notice that the log is silent. That is 4.8 s if peers respond immediately.
#   A peer that does not respond adds its timeout to the rounds of those that poll it.
#
# The intervals are no shorter than this requires, and stay within the budget of 4,096 B/s
# (`beryl-bench control`): the load rows of a busy service take 3,100 B/s of it, and each sidecar
# is polled as often as it polls, and by entries too. On a larger ring there is no such bound: a
# version spreads by the shuffle, and about twice as many processes have it after each interval.


@attrs.frozen
class _Intervals:
    """Intervals between exchanges for rings of up to a number of processes."""

    max_ring_size: int
    ring_s: float
    outside_s: float


_BOUNDED_INTERVALS = (
    _Intervals(4, 0.7, 0.7),
    _Intervals(10, 0.5, 0.35),
    _Intervals(13, 0.45, 0.25),
)
_LARGE_RING_INTERVAL_S = 0.7


class PeerRotation:
    """Goes through the peers in shuffled rounds.

    Independent random choices sometimes miss a peer for a long time: with 13 processes and two
    choices in 3 s the slowest of 300 runs took 8.8 s.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[str] = []

    def next_peer(self, own: str, peers: Collection[str]) -> str | None:
        """Return the peer to poll now; None if there are no peers.

        Args:
            own: This process's name on the ring; empty for one that is not on it.
            peers: Names of the processes on the ring.
        """
        known = set(peers) - {own}
        self._round = [name for name in self._round if name in known]
        if not self._round:
            self._round = _peers_to_poll(own, sorted(known))
            self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    @staticmethod
    def exchange_interval_s(own: str, peers: Collection[str]) -> float:
        """Return the interval between two exchanges."""
        ring_size = len({*peers, own} - {""})
        for intervals in _BOUNDED_INTERVALS:
            if ring_size <= intervals.max_ring_size:
                return intervals.ring_s if own else intervals.outside_s
        return _LARGE_RING_INTERVAL_S


def _peers_to_poll(own: str, peers: Sequence[str]) -> list[str]:
    """Return the half of the ring after the own name; all peers if it is not on the ring."""
    if not own:
        return list(peers)
    after = [name for name in peers if name > own] + [name for name in peers if name < own]
    return after[: (len(peers) + 1) // 2]
