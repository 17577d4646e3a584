"""The endpoints that requests may go to."""

import collections
from collections.abc import Iterable

from beryljunction.routing.contact import StoreContact
from beryljunction.routing.knownendpoint import EndpointRecord, KnownEndpoint

__all__ = ["EndpointRegistry"]

# An endpoint writes of itself again within this time after the store is back; one that is missing
# for longer has left (the platform's promise is about 2 s).
_LAPSE_S = 2.0
# Starts that are remembered after their record went: as many as a large fleet has endpoints.
_MOST_DEPARTED = 1_024


class EndpointRegistry:
    """Membership of endpoints, from the records that they write.

    An endpoint is dropped when its record says that it leaves, or goes away: requests that are sent
    later meet nobody, or the next owner of its address. The exception is an outage of the store, in
    which records of live endpoints expire; such an endpoint is kept until a deadline that is fixed
    when its record goes, by which a live one has written again.

    What is known of a start outlives its row: a record that went away and came back doesn't take
    back what the endpoint itself has said in its answers.

    Args:
        contact: When the store came back.
    """

    def __init__(self, contact: StoreContact | None = None) -> None:
        self._rows: dict[str, KnownEndpoint] = {}
        self._contact = contact or StoreContact()
        self._evacuated: frozenset[str] = frozenset()
        self._departed: collections.OrderedDict[str, KnownEndpoint] = collections.OrderedDict()
        self.is_loaded = False

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def rows(self) -> list[KnownEndpoint]:
        """All endpoints that are known."""
        return list(self._rows.values())

    def find(self, endpoint_id: str) -> KnownEndpoint | None:
        """Return what is known of an endpoint."""
        return self._rows.get(endpoint_id)

    def put(self, record: EndpointRecord, now_s: float) -> KnownEndpoint:
        """Take in a record; a new start replaces what was known of the one before.

        A restored store may hold an earlier record of a start than is known, which changes nothing.
        """
        known = self._rows.get(record.endpoint_id)
        if known is None or not known.record.is_same_start(record):
            self._drop(record.endpoint_id)
            known = self._rows[record.endpoint_id] = self._row(record, now_s)
        elif known.record != record:
            known.note_cold(record.cold_ms, now_s)
        if record.sequence >= known.record.sequence:
            known.record = record
        known.lapses_s = None
        return known

    def _row(self, record: EndpointRecord, now_s: float) -> KnownEndpoint:
        """Return the row of a start that comes, or comes back.

        Answers don't say which start of an endpoint they are of: what one said after this start was
        born may be this one's word, though its record is read only now.
        """
        former = self._departed.pop(record.endpoint_id, None)
        if former is not None and former.record.is_same_start(record):
            known = former
        else:
            known = KnownEndpoint(record)
            if former is not None:
                known.paused_until_s = former.paused_until_s
                known.leaving_s = (
                    former.leaving_s if former.has_left_since(record.born_ms) else None
                )
        known.is_evacuated = record.availability_zone in self._evacuated
        known.note_cold(record.cold_ms, now_s)
        if self.is_loaded:
            known.serving_since_s = now_s
        return known

    def _drop(self, endpoint_id: str) -> None:
        known = self._rows.pop(endpoint_id, None)
        if known is None:
            return
        self._departed[endpoint_id] = known
        while len(self._departed) > _MOST_DEPARTED:
            self._departed.popitem(last=False)

    def evacuate(self, zones: frozenset[str], now_s: float) -> None:
        """Take in which availability zones get no new requests.

        Endpoints of a zone that gets them again may have cooled down meanwhile.
        """
        self._evacuated = zones
        for row in self._rows.values():
            is_evacuated = row.record.availability_zone in zones
            if row.is_evacuated and not is_evacuated:
                row.serving_since_s = row.may_be_cold_s = now_s
            row.is_evacuated = is_evacuated

    def remove(self, endpoint_id: str, now_s: float) -> KnownEndpoint | None:
        """Take in that a record is gone; None when nothing was known of it."""
        known = self._rows.get(endpoint_id)
        if known is None:
            return None
        if known.lapses_s is None:
            known.lapses_s = self._contact.regained_s + _LAPSE_S
        if known.has_said_leaving or known.lapses_s <= now_s:
            self._drop(endpoint_id)
        return known

    def replace(self, records: Iterable[EndpointRecord], now_s: float) -> None:
        """Take in a full list."""
        kept = set()
        for record in records:
            kept.add(record.endpoint_id)
            self.put(record, now_s)
        for endpoint_id in self._rows.keys() - kept:
            self.remove(endpoint_id, now_s)
        self.is_loaded = True

    def expire(self, now_s: float) -> None:
        """Drop endpoints whose record did not come back after the store did."""
        for endpoint_id, row in list(self._rows.items()):
            if row.lapses_s is not None and row.lapses_s <= now_s:
                self._drop(endpoint_id)

    def evacuated(self, service: str) -> list[KnownEndpoint]:
        """Return the endpoints of a service whose availability zone gets no new requests."""
        if not self._evacuated:
            return []
        rows = self._rows.values()
        return [row for row in rows if row.is_evacuated and row.record.service == service]

    def usable(self, service: str, now_s: float) -> list[KnownEndpoint]:
        """Return the endpoints of a service that may get new requests."""
        return [row for row in self.open(service, now_s) if not row.is_paused(now_s)]

    def open(self, service: str, now_s: float) -> list[KnownEndpoint]:
        """Return the endpoints of a service that may get new requests, now or after a pause."""
        self.expire(now_s)
        return [row for row in self._rows.values() if row.record.service == service and row.is_open]

    def opens_in_s(self, service: str, now_s: float) -> float:
        """Return when the first paused endpoint of a service takes requests again; 0 for none."""
        until_s = [row.paused_until_s for row in self.open(service, now_s)]
        return max(0.0, min(until_s, default=now_s) - now_s)

    def reachable(self, service: str, now_s: float) -> list[KnownEndpoint]:
        """Return the endpoints of a service that answer, leaving ones too."""
        return [
            row
            for row in self._rows.values()
            if row.record.service == service and not row.is_suspect(now_s)
        ]

    def is_usable(self, known: KnownEndpoint) -> bool:
        """Return whether this start of the endpoint may still get requests."""
        return self._rows.get(known.record.endpoint_id) is known and known.is_open
