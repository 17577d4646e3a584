"""What a sidecar knows of the load of the other endpoints of its service."""

from collections.abc import Iterator

import attrs

__all__ = ["LoadRow", "PeerLoad", "PeerTable"]


@attrs.frozen
class LoadRow:
    """Load of one endpoint as its own sidecar reports it.

    Attributes:
        incarnation: Changes whenever the sidecar starts anew.
        sequence: Grows with each report of one incarnation; an older row never replaces a newer.
        work_tokens: Estimated tokens of the running requests.
        speed_tokens_per_s: Tokens a second that one running request gets; 0 when not yet measured.
    """

    endpoint_id: str
    incarnation: str
    sequence: int
    running: int
    waiting: int
    work_tokens: int
    speed_tokens_per_s: float = 0.0


@attrs.frozen
class PeerLoad:
    """A peer's newest row; ``heard_s`` is the monotonic time here at which it got newer."""

    row: LoadRow
    heard_s: float


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

    def merge(self, row: LoadRow, now_s: float) -> bool:
        """Keep the row if it is newer than the one known; say whether it was."""
        known = self._rows.get(row.endpoint_id)
        same = known is not None and known.row.incarnation == row.incarnation
        if known is not None and same and known.row.sequence >= row.sequence:
            return False
        self._rows[row.endpoint_id] = PeerLoad(row, now_s)
        return True

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint; unknown ids are ignored."""
        self._rows.pop(endpoint_id, None)
