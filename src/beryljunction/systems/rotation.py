"""Which peer a node meets next, so that all meet within a time that can be worked out."""

import random
from collections.abc import Collection, Sequence

__all__ = ["PeerRotation"]

# Load: the log is down and one node alone knows the newest version. Harm: nodes serve by different
# settings for longer than the 5 s that operators are promised. A meeting goes both ways, so:
#
# * of two nodes on the ring one meets the other in each round, and m nodes are done in m // 2
#   meetings; one that is not on the ring (an entry) has told one of them after one meeting and
#   learns from any of them by one more;
# * with up to 13 on the ring and these paces that is 6 * 0.45 + 2 * 0.25 = 3.2 s, and the log's
#   silence is noticed within 1.6 s: 4.8 s with peers that answer at once. One that does not answer
#   adds its timeout to the rounds of those that meet it.
#
# A larger ring keeps the budget of 4,096 B/s instead: a meeting costs 222 bytes, load rows of a
# busy service 3,100 B/s, and each sidecar is met as often as it meets, and by entries. There the
# time comes from the shuffle (news about doubles in each pace) and is measured, not certain.
_CERTAIN_NODES = 13
_RING_S = 0.45
_OUTSIDE_S = 0.25
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
        if len(set(peers) | ({own} if own else set())) > _CERTAIN_NODES:
            return _LARGE_RING_S
        return _RING_S if own else _OUTSIDE_S


def _to_meet(own: str, peers: Sequence[str]) -> list[str]:
    """Return the half of the ring that follows the own name; all for one that is not on it."""
    if not own:
        return list(peers)
    after = [name for name in peers if name > own] + [name for name in peers if name < own]
    return after[: (len(peers) + 1) // 2]
