"""What a sidecar knows of the load of the other endpoints of its service."""

from collections.abc import Iterator

import attrs

from beryljunction.loads import LoadRow

__all__ = ["PeerLoad", "PeerTable"]


# Rows are passed on for seconds; past this nobody has an old copy left.
_KEPT_S = 120.0


@attrs.frozen
class PeerLoad:
    """A peer's newest row.

    Attributes:
        heard_s: Monotonic time here at which the row got newer.
        since_s: Monotonic time here at which this incarnation was first heard of.
        silent: Whether the peer left or did not answer since.
        before: Incarnation that this one replaced; empty when none was known.
    """

    row: LoadRow
    heard_s: float
    since_s: float
    silent: bool = False
    before: str = ""


class PeerTable:
    """Newest load row of each peer; silent ones are known to no one but :meth:`merge`."""

    def __init__(self) -> None:
        self._rows: dict[str, PeerLoad] = {}

    def __len__(self) -> int:
        return sum(1 for _ in self)

    def __iter__(self) -> Iterator[PeerLoad]:
        return iter([peer for peer in self._rows.values() if not peer.silent])

    def get(self, endpoint_id: str) -> PeerLoad | None:
        """Return the newest row of an endpoint."""
        peer = self._rows.get(endpoint_id)
        return None if peer is None or peer.silent else peer

    def heard_after(self, since_s: float) -> list[PeerLoad]:
        """Return the rows that got newer after a time."""
        return [peer for peer in self if peer.heard_s > since_s]

    def merge(self, row: LoadRow, now_s: float) -> bool:
        """Keep the row if it is newer than the one known; say whether it was.

        Incarnations have no order. A copy of the row before a restart that comes late would undo
        it, and the endpoint would seem to join once more with the next row; so it is told apart.
        """
        known = self._rows.get(row.endpoint_id)
        if known is None:
            self._prune(now_s)
            self._rows[row.endpoint_id] = PeerLoad(row, now_s, now_s)
            return True
        incarnation = known.row.incarnation
        if row.incarnation == known.before:
            return False
        if row.incarnation != incarnation:
            self._rows[row.endpoint_id] = PeerLoad(row, now_s, now_s, before=incarnation)
            return True
        if known.row.sequence >= row.sequence:
            return False
        self._rows[row.endpoint_id] = attrs.evolve(known, row=row, heard_s=now_s, silent=False)
        return True

    def silence(self, endpoint_id: str) -> None:
        """Let the row of an endpoint count no more until a newer one; unknown ids are ignored.

        The row itself stays: dropped, it would count as fresh again when a peer that has not
        noticed yet passes it on, and two peers could keep it alive between them.
        """
        known = self._rows.get(endpoint_id)
        if known is not None:
            self._rows[endpoint_id] = attrs.evolve(known, silent=True)

    def _prune(self, now_s: float) -> None:
        """Drop what nobody passes on any more, so that replaced endpoints do not pile up."""
        for endpoint_id, peer in tuple(self._rows.items()):
            if now_s - peer.heard_s > _KEPT_S:
                del self._rows[endpoint_id]
