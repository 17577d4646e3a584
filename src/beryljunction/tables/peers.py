"""Load of the other endpoints of a service, as known to one sidecar."""

from collections.abc import Iterator

import attrs

from beryljunction.loads import LoadRow

__all__ = ["PeerLoad", "PeerTable"]


# Rows are passed on for seconds only, so no old copy is left after this time.
_RETENTION_S = 120.0


@attrs.frozen
class PeerLoad:
    """A peer's newest load row.

    Attributes:
        received_s: Local monotonic time at which the row was received.
        first_received_s: The same for the first row of this incarnation.
        is_ignored: Whether the peer left or did not answer since.
        previous_incarnation: Incarnation that this one replaced; empty if none was known.
    """

    row: LoadRow
    received_s: float
    first_received_s: float
    is_ignored: bool = False
    previous_incarnation: str = ""


class PeerTable:
    """Newest load row of each peer; only :meth:`merge` considers ignored peers."""

    def __init__(self) -> None:
        self._rows: dict[str, PeerLoad] = {}

    def __len__(self) -> int:
        return sum(1 for _ in self)

    def __iter__(self) -> Iterator[PeerLoad]:
        return iter([peer for peer in self._rows.values() if not peer.is_ignored])

    def get(self, endpoint_id: str) -> PeerLoad | None:
        """Return the newest row of an endpoint, or None if it is unknown or ignored."""
        peer = self._rows.get(endpoint_id)
        return None if peer is None or peer.is_ignored else peer

    def received_after(self, since_s: float) -> list[PeerLoad]:
        """Return the peers whose newest row was received after a time."""
        return [peer for peer in self if peer.received_s > since_s]

    def merge(self, row: LoadRow, now_s: float) -> bool:
        """Store the row if it is newer than the known one; return whether it was.

        Incarnations have no order. A late copy of a row from before a restart must not replace the
        new incarnation, or the endpoint would seem to join again with its next row. So rows of the
        previous incarnation are ignored.
        """
        known = self._rows.get(row.endpoint_id)
        if known is None:
            self._prune(now_s)
            self._rows[row.endpoint_id] = PeerLoad(row, now_s, now_s)
            return True
        incarnation = known.row.incarnation
        if row.incarnation == known.previous_incarnation:
            return False
        if row.incarnation != incarnation:
            self._rows[row.endpoint_id] = PeerLoad(
                row, now_s, now_s, previous_incarnation=incarnation
            )
            return True
        if known.row.sequence >= row.sequence:
            return False
        self._rows[row.endpoint_id] = attrs.evolve(
            known, row=row, received_s=now_s, is_ignored=False
        )
        return True

    def ignore_until_newer_row(self, endpoint_id: str) -> None:
        """Ignore an endpoint until a newer row arrives; unknown ids are ignored.

        The row itself is kept. If it were removed, a copy from a peer that has not noticed yet
        would count as fresh, and two peers could keep the row alive between them.
        """
        known = self._rows.get(endpoint_id)
        if known is not None:
            self._rows[endpoint_id] = attrs.evolve(known, is_ignored=True)

    def _prune(self, now_s: float) -> None:
        """Remove old rows, so that replaced endpoints do not accumulate."""
        for endpoint_id, peer in tuple(self._rows.items()):
            if now_s - peer.received_s > _RETENTION_S:
                del self._rows[endpoint_id]
