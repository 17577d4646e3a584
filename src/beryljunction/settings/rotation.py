"""Which peer a node meets next, so that all meet within a time that can be worked out."""

import random
from collections.abc import Collection, Sequence

import attrs

__all__ = ["PeerRotation"]

# Load: the log is down and one node alone knows the newest version. Harm: nodes serve by different
# settings for longer than the 5 s that operators are promised. A meeting goes both ways, so:
#
# * of two nodes on the ring one meets the other in each round, and m nodes are done in m // 2
#   meetings; one that is not on the ring (an entry) has told one of them after one meeting and
#   learns from any of them by one more;
# * (m // 2) * ring_s + 2 * outside_s is at most 3.2 s up to 13 on the ring, and the log's silence
#   is noticed within 1.6 s: 4.8 s with peers that answer at once. One that does not answer adds
#   its timeout to the rounds of those that meet it.
#
# No pace is quicker than that needs or than the budget of 4,096 B/s allows (`beryl-bench control`):
# a busy service's load rows take 3,100 of it, and each sidecar is met as often as it meets, and by
# entries. On a larger ring the time comes from the shuffle (news about doubles in each pace); it is
# measured, not certain.


@attrs.frozen
class _Pace:
    """Time from one meeting to the next, for rings of up to so many nodes."""

    nodes: int
    ring_s: float
    outside_s: float


_CERTAIN = (_Pace(4, 0.7, 0.7), _Pace(10, 0.5, 0.35), _Pace(13, 0.45, 0.25))
_LARGE_RING_S = 0.7


class PeerRotation:
    """Goes round the peers in shuffled rounds.

    Independent random picks would leave a peer out for a long time now and then: with 13 nodes and
    two picks in 3 s the slowest of 300 runs needed 8.8 s.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[str] = []

    def next(self, own: str, peers: Collection[str]) -> str | None:
        """Return the peer to meet now; None without any.

        Args:
            own: This node's name on the ring; empty for one that nobody meets.
            peers: Names of the nodes that can be met.
        """
        known = set(peers) - {own}
        self._round = [name for name in self._round if name in known]
        if not self._round:
            self._round = _to_meet(own, sorted(known))
            self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    @staticmethod
    def pace_s(own: str, peers: Collection[str]) -> float:
        """Return the time from one meeting to the next."""
        nodes = len({*peers, own} - {""})
        for pace in _CERTAIN:
            if nodes <= pace.nodes:
                return pace.ring_s if own else pace.outside_s
        return _LARGE_RING_S


def _to_meet(own: str, peers: Sequence[str]) -> list[str]:
    """Return the half of the ring that follows the own name; all for one that is not on it."""
    if not own:
        return list(peers)
    after = [name for name in peers if name > own] + [name for name in peers if name < own]
    return after[: (len(peers) + 1) // 2]
