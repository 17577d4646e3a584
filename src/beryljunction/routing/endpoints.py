"""Registry of the endpoints that may get requests."""

import collections
from collections.abc import Collection, Iterable, Iterator

from beryljunction.routing.confirmation import Confirmation
from beryljunction.routing.known_endpoint import EndpointRecord, KnownEndpoint
from beryljunction.routing.service_versions import ServiceVersions
from beryljunction.routing.store_reachability import StoreReachability
from beryljunction.routing.stream_origins import StreamOrigin

__all__ = ["EndpointRegistry"]

# A live endpoint writes its record again within this time after the store has recovered (the
# platform promises about 2 s); one that is still missing then has left.
_REREGISTRATION_S = 2.0
# The record of a crashed endpoint expires at least two heartbeats, 2.4 s, after its last answer.
# One that answered more recently has left in an orderly way and still runs.
_LAST_ANSWER_S = 2.0
# Endpoints whose starts are at most this far apart started together: the first ones have not served
# sessions for long when the last one registers.
_STARTED_TOGETHER_S = 5.0
# Endpoints that are remembered without a record: as many as a large fleet has.
_MAX_DEPARTED = 1_024


class EndpointRegistry:
    """Membership of endpoints, from the records that they write.

    An endpoint gets no more requests once its record is deleted or says that it is leaving: later
    requests would reach nobody, or the next owner of its address. The exception is an outage of the
    store, in which the records of live endpoints expire. Such an endpoint is kept until a deadline
    that is fixed when the record is deleted; a live one has written its record again by then.

    What is known of an incarnation is kept after it is dropped: if its record comes back, what the
    endpoint stated in its answers still holds.

    Attributes:
        versions: Software versions that the endpoints of each service had lately.

    Args:
        reachability: Knows when the store recovered from an outage.
        saved_confirmation: Time as of which the saved versions are known to be complete.
    """

    def __init__(
        self,
        reachability: StoreReachability | None = None,
        saved_confirmation: Confirmation | None = None,
    ) -> None:
        self._rows: dict[str, KnownEndpoint] = {}
        self._reachability = reachability or StoreReachability()
        self._evacuated: frozenset[str] = frozenset()
        self._departed: collections.OrderedDict[str, KnownEndpoint] = collections.OrderedDict()
        self.versions = ServiceVersions(saved_confirmation)
        self.is_loaded = False

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def rows(self) -> list[KnownEndpoint]:
        """All known endpoints."""
        return list(self._rows.values())

    def find(self, endpoint_id: str) -> KnownEndpoint | None:
        """Return what is known of an endpoint."""
        return self._rows.get(endpoint_id)

    def can_resume(self, origin: StreamOrigin, known: KnownEndpoint) -> bool:
        """Return whether this incarnation has the software version that began a stream."""
        record = known.record
        if record.service != origin.service or record.version != origin.version:
            return False
        if known.incarnation_id == origin.incarnation_id:
            return True
        return origin.version is not None and not self._is_origin_uncertain(origin)

    def _is_origin_uncertain(self, origin: StreamOrigin) -> bool:
        """Return whether the stream may have begun at a later incarnation of another version.

        An entry that lacked its record sent the request to the former incarnation.
        """
        endpoint_id = origin.incarnation_id[0]
        latest = self._rows.get(endpoint_id) or self._departed.get(endpoint_id)
        return latest is not None and latest.record.version != origin.version

    def put(self, record: EndpointRecord, now_s: float) -> KnownEndpoint:
        """Add or update an endpoint; a new incarnation replaces what was known of the last one.

        A restored store may return an older record of an incarnation; it doesn't replace a newer
        one.
        """
        known = self._rows.get(record.endpoint_id)
        if known is None or not known.record.is_same_incarnation(record):
            self._drop(record.endpoint_id, now_s)
            known = self._rows[record.endpoint_id] = self._create_row(record, now_s)
        elif known.record != record:
            known.note_cold(record.cold_ms, now_s)
        self.versions.note(record.service, record.version, now_s)
        if not record.is_older_than(known.record):
            known.record = record
        known.kept_until_s = None
        return known

    def _create_row(self, record: EndpointRecord, now_s: float) -> KnownEndpoint:
        """Return the row of a new or returning incarnation.

        Answers don't name the incarnation that sent them. A "leaving" in an answer received after
        this one started may be its own, although its record is read only now.
        """
        former = self._departed.pop(record.endpoint_id, None)
        if former is not None and former.record.is_same_incarnation(record):
            known = former
        else:
            known = KnownEndpoint(record)
            if former is not None:
                known.paused_until_s = former.paused_until_s
                known.leaving_s = (
                    former.leaving_s if former.has_left_since(record.started_ms) else None
                )
        known.is_evacuated = record.availability_zone in self._evacuated
        known.note_cold(record.cold_ms, now_s)
        if self.is_loaded:
            known.note_return(now_s)
        return known

    def _drop(self, endpoint_id: str, now_s: float) -> None:
        known = self._rows.pop(endpoint_id, None)
        if known is None:
            return
        known.absent_since_s = now_s
        self.versions.note(known.record.service, known.record.version, now_s)
        self._departed[endpoint_id] = known
        self._departed.move_to_end(endpoint_id)
        while len(self._departed) > _MAX_DEPARTED:
            self._departed.popitem(last=False)

    @property
    def reregistered_s(self) -> float:
        """Time by which all live endpoints have records again after an outage of the store."""
        return self._reachability.recovered_s + _REREGISTRATION_S

    def only_version(self, service: str, now_s: float) -> str | None:
        """Return the only software version that a service had lately; None if there may be more."""
        return self.versions.only(service, self._versions_of(service), now_s)

    def recent_versions(self, service: str, now_s: float) -> frozenset[str | None]:
        """Return the software versions that a service is known to have had lately."""
        return self.versions.recent(service, self._versions_of(service), now_s)

    def of_saved_versions(self, service: str, rows: Iterable[KnownEndpoint]) -> list[KnownEndpoint]:
        """Return the endpoints whose version the store has, or all if it has none of the service.

        Entries that start later know what began at these, though all others were lost: without
        saved versions of the service, they take none for the only one.
        """
        saved = self.versions.saved.get(service)
        return [row for row in rows if saved is None or row.record.version in saved]

    def versions_to_save(
        self, service: str, now_s: float, confirmed_s: float
    ) -> frozenset[str | None] | None:
        """Return the versions to save for a service; None if the saved ones are right."""
        return self.versions.to_save(service, self._versions_of(service), now_s, confirmed_s)

    def _versions_of(self, service: str) -> set[str | None]:
        rows = self._rows.values()
        return {row.record.version for row in rows if row.record.service == service}

    def evacuate(self, zones: frozenset[str], now_s: float) -> None:
        """Set the availability zones that get no new requests.

        Endpoints of a zone that gets requests again may have become cold in the meantime.
        """
        self._evacuated = zones
        for row in self._rows.values():
            is_evacuated = row.record.availability_zone in zones
            if is_evacuated and not row.is_evacuated:
                row.absent_since_s = now_s
            if row.is_evacuated and not is_evacuated:
                row.note_return(now_s)
                row.may_be_cold_s = now_s
            row.is_evacuated = is_evacuated

    def exclude_stall(self, stall_s: float, now_s: float) -> None:
        """Don't count a stall of this process as time that endpoints took to answer."""
        for row in self._rows.values():
            row.exclude_stall(stall_s, now_s)

    def remove(self, endpoint_id: str, now_s: float) -> KnownEndpoint | None:
        """Handle the deletion of a record; return None if the endpoint was not known."""
        known = self._rows.get(endpoint_id)
        if known is None:
            return None
        if known.kept_until_s is None:
            known.kept_until_s = self.reregistered_s
        if known.has_said_leaving or known.kept_until_s <= now_s:
            self._drop(endpoint_id, now_s)
        return known

    def replace(
        self,
        records: Iterable[EndpointRecord],
        now_s: float,
        unix_now_s: float | None = None,
    ) -> None:
        """Apply a full list of records.

        Args:
            records: The records of all endpoints.
            now_s: Time on the clock of the registry.
            unix_now_s: The same time in Unix seconds, to read the start times in the first list;
                None to take the endpoints of that list for older than any session.
        """
        self.versions.note_gap(now_s)
        kept = set()
        for record in records:
            kept.add(record.endpoint_id)
            self.put(record, now_s)
        for endpoint_id in self._rows.keys() - kept:
            self.remove(endpoint_id, now_s)
        if not self.is_loaded and unix_now_s is not None:
            self._apply_start_times(now_s, unix_now_s)
        self.is_loaded = True

    def _apply_start_times(self, now_s: float, unix_now_s: float) -> None:
        """Set since when the endpoints of the first list serve, from their start times.

        A process that starts in a running fleet has not seen its endpoints join. Sessions that are
        older than an endpoint are cached elsewhere.
        """
        starts_s: dict[str, list[tuple[float, KnownEndpoint]]] = {}
        for row in self._rows.values():
            age_s = unix_now_s - row.record.started_ms / 1000
            if row.record.started_ms and age_s >= 0.0:
                starts_s.setdefault(row.record.service, []).append((now_s - age_s, row))
        for rows in starts_s.values():
            oldest_s = min(start_s for start_s, _ in rows)
            for start_s, row in rows:
                if start_s - oldest_s > _STARTED_TOGETHER_S:
                    row.serving_since_s = start_s

    def expire(self, now_s: float) -> None:
        """Drop endpoints whose record did not come back after an outage of the store."""
        for endpoint_id, row in list(self._rows.items()):
            if row.kept_until_s is not None and row.kept_until_s <= now_s:
                self._drop(endpoint_id, now_s)

    def evacuated(self, service: str) -> list[KnownEndpoint]:
        """Return a service's endpoints in availability zones that get no new requests."""
        if not self._evacuated:
            return []
        rows = self._rows.values()
        return [row for row in rows if row.is_evacuated and row.record.service == service]

    def others(self, service: str, rows: Collection[KnownEndpoint]) -> list[KnownEndpoint]:
        """Return a service's endpoints that are not among these."""
        ids = {row.record.endpoint_id for row in rows}
        return [
            row
            for endpoint_id, row in self._rows.items()
            if row.record.service == service and endpoint_id not in ids
        ]

    def usable(self, service: str, now_s: float) -> list[KnownEndpoint]:
        """Return the endpoints of a service that may get new requests now."""
        return [row for row in self.open(service, now_s) if not row.is_paused(now_s)]

    def open(self, service: str, now_s: float) -> list[KnownEndpoint]:
        """Return the endpoints of a service that may get new requests, including paused ones."""
        self.expire(now_s)
        return [row for row in self._rows.values() if row.record.service == service and row.is_open]

    def available_in_s(self, service: str, now_s: float) -> float:
        """Return the time until some endpoint of a service takes requests; 0 if one does now."""
        until_s = [row.paused_until_s for row in self.open(service, now_s)]
        return max(0.0, min(until_s, default=now_s) - now_s)

    def reachable(self, service: str, now_s: float, drain_s: float = 0.0) -> list[KnownEndpoint]:
        """Return the endpoints of a service that accept connections, including leaving ones.

        Args:
            service: Name of the service.
            now_s: Time on the clock of the registry.
            drain_s: For how long an endpoint still runs after its record was deleted.
        """
        return [
            row
            for row in [*self._rows.values(), *self._just_departed(now_s, drain_s)]
            if row.record.service == service and not row.is_unreachable(now_s)
        ]

    def _just_departed(self, now_s: float, drain_s: float) -> Iterator[KnownEndpoint]:
        """Yield the endpoints whose record was deleted lately although they had not crashed."""
        for row in reversed(self._departed.values()):
            if now_s - row.absent_since_s >= drain_s:
                return
            if row.absent_since_s - row.last_report_s < _LAST_ANSWER_S:
                yield row

    def is_usable(self, known: KnownEndpoint) -> bool:
        """Return whether this incarnation of the endpoint may still get requests."""
        return self._rows.get(known.record.endpoint_id) is known and known.is_open
