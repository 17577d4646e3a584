"""What a sidecar knows of the load of the other endpoints of its service."""

from collections.abc import Iterator

import attrs

from beryljunction.loads import LoadRow

__all__ = ["PeerLoad", "PeerTable"]


@attrs.frozen
class PeerLoad:
    """A peer's newest row.

    Attributes:
        heard_s: Monotonic time here at which the row got newer.
        since_s: Monotonic time here at which this incarnation was first heard of.
    """

    row: LoadRow
    heard_s: float
    since_s: float


class PeerTable:
    """Newest load row of each peer."""

    def __init__(self) -> None:
        self._rows: dict[str, PeerLoad] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[PeerLoad]:
        return iter(tuple(self._rows.values()))

    def get(self, endpoint_id: str) -> PeerLoad | None:
        """Return the newest row of an endpoint."""
        return self._rows.get(endpoint_id)

    def heard_after(self, since_s: float) -> list[PeerLoad]:
        """Return the rows that got newer after a time."""
        return [peer for peer in self._rows.values() if peer.heard_s > since_s]

    def merge(self, row: LoadRow, now_s: float) -> bool:
        """Keep the row if it is newer than the one known; say whether it was."""
        known = self._rows.get(row.endpoint_id)
        same = known is not None and known.row.incarnation == row.incarnation
        if known is not None and same and known.row.sequence >= row.sequence:
            return False
        since_s = known.since_s if known is not None and same else now_s
        self._rows[row.endpoint_id] = PeerLoad(row, now_s, since_s)
        return True

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint; unknown ids are ignored."""
        self._rows.pop(endpoint_id, None)
