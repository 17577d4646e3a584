"""Where streams began, so that they go on only at an endpoint of the same software version."""

import collections

import attrs

from beryljunction.routing.service_versions import VERSIONS_TTL_S

__all__ = ["StreamOrigin", "StreamOrigins"]

# At about 400 bytes each they take 3 MB at most.
_MAX_STREAMS = 8_192


@attrs.frozen
class StreamOrigin:
    """The endpoint that sent the first event of a stream.

    Attributes:
        service: The endpoint's service.
        incarnation_id: Id and start time of the endpoint.
        version: Its software version; None if that is not known for certain.
        attempt: Number of the attempt at an endpoint, counted from 1; only the last one that an
            entry made before the first event can have begun the stream.
    """

    service: str
    incarnation_id: tuple[str, int]
    version: str | None
    attempt: int = 1


class StreamOrigins:
    """The origins of the latest streams by key."""

    def __init__(self) -> None:
        self._rows: collections.OrderedDict[str, tuple[StreamOrigin, float]]
        self._rows = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def note(self, key: str, origin: StreamOrigin, now_s: float) -> None:
        """Record the origin of a stream, unless a later attempt is known."""
        known = self._rows.get(key)
        if known is not None and known[0].attempt > origin.attempt:
            return
        self._rows[key] = origin, now_s
        self._rows.move_to_end(key)
        self._expire(now_s)

    def find(self, key: str) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is not known."""
        row = self._rows.get(key)
        return row[0] if row is not None else None

    def services(self) -> set[str]:
        """Return the services of the streams."""
        return {row.service for row, _ in self._rows.values()}

    def pop_all(self, service: str) -> list[tuple[str, StreamOrigin]]:
        """Remove a service's streams, and return their keys and origins."""
        rows = [(key, row) for key, (row, _) in self._rows.items() if row.service == service]
        for key, _ in rows:
            del self._rows[key]
        return rows

    def _expire(self, now_s: float) -> None:
        while self._rows:
            key, (_, noted_s) = next(iter(self._rows.items()))
            if len(self._rows) <= _MAX_STREAMS and now_s - noted_s <= VERSIONS_TTL_S:
                return
            del self._rows[key]
