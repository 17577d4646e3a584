"""Finds out where a stream began that a caller resumes, in cooperation with the other entries."""

import collections
import functools
import json
from collections.abc import Awaitable, Callable, Iterable

import anyio
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.outbox import Outbox
from beryljunction.gateway.stream_datagrams import (
    MAX_STREAMS,
    decode_streams,
    encode_streams,
    key_digest,
)
from beryljunction.gateway.streamreports import BegunStream, StreamQuery, StreamReport
from beryljunction.platform import InvalidRecord, Record, is_storable_key
from beryljunction.platform.fields import FieldError, is_text, parse_json
from beryljunction.routing import (
    Address,
    AgeBound,
    Confirmation,
    EndpointRegistry,
    FanOut,
    StreamOrigin,
    StreamOrigins,
    responsible_hosts,
)
from beryljunction.timeouts import move_on_after

__all__ = ["AskPeer", "StreamDirectory", "is_versions_key"]

# Prefix of the key of each service's versions, in the topic of the entries' addresses.
_KEY_PREFIX = "versions/"
# Entries that keep the origin of a stream besides the one that sent it to an endpoint. A third one
# would take half as many bytes more; two entries can be lost together without it.
_KEEPING_HOSTS = 2
# Entries answer within a few ms.
_ASK_TIMEOUT_S = 0.2
_CHECK_INTERVAL_S = 0.05
# At this check, what was announced just before its caller came back has arrived.
_CHECK_THAT_ASKS = 2
# An entry whose records are too old is cut off, or has just run again after it stood still.
_LATE_RECORDS_WAIT_S = 0.2
# Limits of what is kept of the store's records; no service has so many versions at a time.
_MAX_UNNAMED_SERVICES = 256
_MAX_VERSIONS = 256
# Streams that wait for a datagram; the oldest of more are only reported, if they need it.
_MAX_UNANNOUNCED_STREAMS = 1_024
# Time in which an endpoint that has started under a known id has written its record.
_RECORD_LAG_S = 0.5
# A stream whose version is uncertain for longer is not announced.
_UNCERTAIN_TTL_S = 5.0

AskPeer = Callable[[Address, bytes], Awaitable[bytes | None]]


def is_versions_key(key: str) -> bool:
    """Return whether a key of that topic names the versions of a service."""
    return key.startswith(_KEY_PREFIX)


@attrs.frozen
class _BegunHere:
    """A stream that has begun at an endpoint, at a boot time."""

    key: str
    origin: StreamOrigin
    begun_s: float


class StreamDirectory:
    """Where streams of this entry and some of the others began.

    A caller may resume its stream at any entry. Each entry reports where new streams began to a few
    entries, which are chosen by a hash of the stream's key, and the entry at which a caller resumes
    a stream asks them.

    While all endpoints of a service have one version, and had it as long as streams last, streams
    are only announced to these entries as soon as they have begun, in datagrams that may be lost,
    and reported once a second version comes. An entry can't do so if it stands still then, or is
    lost.

    An entry that finds no report concludes where a stream began from the only version that it
    knows, but only from records that are complete as of a later time than the caller's request:
    older ones may lack a version at which other entries have begun streams since.

    Attributes:
        outbox: Rows to send to other entries.
        ask_peer: Sends a message to another entry; None if this entry exchanges none.

    Args:
        host: Name of this entry's host.
        fan_out: The known entries.
        registry: The known endpoints.
        confirmation: Time as of which their records are known to be complete.
        age_bound: Returns how old these records may become.
        settings_asked_s: Returns the boot time as of which the settings are the newest.
        has_moved_routes: Returns whether routes of streams led to other services lately.
        is_named: Returns whether the settings name a service.
        events: The log.
    """

    def __init__(
        self,
        host: str,
        fan_out: FanOut,
        registry: EndpointRegistry,
        confirmation: Confirmation,
        age_bound: Callable[[], AgeBound],
        settings_asked_s: Callable[[], float],
        has_moved_routes: Callable[[], bool],
        is_named: Callable[[str], bool],
        events: EntryEventLog,
    ) -> None:
        self._host = host
        self._fan_out = fan_out
        self._registry = registry
        self._confirmation = confirmation
        self._age_bound = age_bound
        self._settings_asked_s = settings_asked_s
        self._has_moved_routes = has_moved_routes
        self._is_named = is_named
        self._events = events
        self._origins = StreamOrigins()
        self._unreported = StreamOrigins()
        self._begun_elsewhere = StreamOrigins()
        self._unannounced: collections.deque[_BegunHere]
        self._unannounced = collections.deque(maxlen=_MAX_UNANNOUNCED_STREAMS)
        self.outbox: Outbox[BegunStream] = Outbox(fan_out)
        self.ask_peer: AskPeer | None = None

    def __len__(self) -> int:
        """Return the number of streams whose origin is known."""
        return len(self._origins)

    def note_begun(self, key: str, origin: StreamOrigin, services: tuple[str, ...]) -> None:
        """Record where a stream began; called before its first event is passed on.

        An earlier report could name an endpoint that then declines the request.

        Args:
            key: Key of the stream.
            origin: The endpoint that sent the event.
            services: Services at which such a stream may begin.
        """
        now_s = boot_time_s()
        self._origins.note(key, origin, now_s)
        is_reported = self._only_origin(services) is None
        if is_reported:
            self._report(BegunStream(key, origin))
        else:
            self._unreported.note(key, origin, now_s)
        if origin.version is None or not is_reported:
            self._unannounced.append(_BegunHere(key, origin, now_s))

    def next_datagrams(self) -> list[tuple[bytes, Address]]:
        """Return the datagrams that announce streams, with their receivers."""
        rows: dict[str, list[tuple[str, tuple[str, int]]]] = collections.defaultdict(list)
        for row in self._pop_certain():
            if self._unreported.find(row.key) is None:
                self._report(BegunStream(row.key, row.origin))
                continue
            for host in self._others_for(row.key):
                rows[host].append((key_digest(row.key), row.origin.incarnation_id))
        addresses = self._fan_out.addresses() if rows else {}
        return [
            (encode_streams(begun[start : start + MAX_STREAMS]), addresses[host])
            for host, begun in rows.items()
            if host in addresses
            for start in range(0, len(begun), MAX_STREAMS)
        ]

    def _pop_certain(self) -> list[_BegunHere]:
        """Return the unannounced streams whose version is certain; keep the others for a while."""
        now_s = boot_time_s()
        certain, uncertain = [], []
        for row in self._unannounced:
            if row.origin.version is not None:
                certain.append(row)
            elif self._has_stayed(row):
                certain.append(self._with_version(row))
            elif now_s - row.begun_s <= _UNCERTAIN_TTL_S:
                uncertain.append(row)
        self._unannounced.clear()
        self._unannounced.extend(uncertain)
        return certain

    def _with_version(self, row: _BegunHere) -> _BegunHere:
        """Note the version of a stream that was uncertain when it began."""
        known = self._registry.find(row.origin.incarnation_id[0])
        assert known is not None
        origin = attrs.evolve(row.origin, version=known.record.version)
        self._origins.note(row.key, origin, row.begun_s)
        if self._unreported.find(row.key) is not None:
            self._unreported.note(row.key, origin, row.begun_s)
        return attrs.evolve(row, origin=origin)

    def _has_stayed(self, row: _BegunHere) -> bool:
        """Return whether later records still have the incarnation that the stream was sent to."""
        if not self._has_records_as_of(row.begun_s + _RECORD_LAG_S):
            return False
        known = self._registry.find(row.origin.incarnation_id[0])
        return known is not None and known.incarnation_id == row.origin.incarnation_id

    def apply_datagram(self, data: bytes) -> None:
        """Apply the streams that another entry announces; a malformed datagram is only logged."""
        begun = decode_streams(data, self._registry.rows)
        if isinstance(begun, InvalidRecord):
            self._events.write("peer_rejected", status=400, problem=begun.problem)
            return
        now_s = boot_time_s()
        for name, endpoint in begun:
            record = endpoint.record
            origin = StreamOrigin(record.service, endpoint.incarnation_id, record.version)
            self._begun_elsewhere.note(name, origin, now_s)

    def note_versions(self) -> None:
        """Report the streams that began while their service had one version."""
        for service in self._unreported.services():
            if self._only_origin((service,)) is None:
                for key, origin in self._unreported.pop_all(service):
                    self._report(BegunStream(key, origin))

    async def find(self, key: str, services: tuple[str, ...]) -> StreamOrigin | None:
        """Return where a stream began; None if that is not known for certain.

        Args:
            key: Key of the stream; empty if its caller doesn't name it.
            services: Services at which it may have begun.
        """
        resumed_s = boot_time_s()
        known = self._find_known(key) or await self._ask_keepers(key, services)
        return known or await self._wait_for_origin(key, services, resumed_s)

    async def _ask_keepers(self, key: str, services: tuple[str, ...]) -> StreamOrigin | None:
        """Return the origin that the entries responsible for a stream know; None if they don't."""
        answers = await self._ask(StreamQuery(key, services))
        found = [row.origin for answer in answers for row in answer.begun if row.key == key]
        if not found:
            return None
        origin = max(found, key=lambda row: row.attempt)
        self._origins.note(key, origin, boot_time_s())
        return origin

    async def _wait_for_origin(
        self, key: str, services: tuple[str, ...], resumed_s: float
    ) -> StreamOrigin | None:
        """Wait for records that tell where a stream began, or for its announcement.

        Args:
            key: Key of the stream.
            services: Services at which it may have begun.
            resumed_s: When its caller resumed it.
        """
        lag_s = _RECORD_LAG_S if self._may_reuse_ids(services) else 0.0
        check = 0
        while True:
            known = self._find_known(key)
            if known is None and check == _CHECK_THAT_ASKS and self._has_current_endpoints():
                known = await self._ask_keepers(key, services)
            if known is not None:
                return known
            if self._has_moved_routes() or not self._has_one_version(services):
                return None
            if self._knows_all_as_of(resumed_s, lag_s):
                return self._only_origin(services)
            if check * _CHECK_INTERVAL_S >= self._longest_wait_s(lag_s):
                return None
            await anyio.sleep(_CHECK_INTERVAL_S)
            check += 1

    def _knows_all_as_of(self, time_s: float, lag_s: float) -> bool:
        """Return whether no endpoint or move of a route from before a boot time is unknown here.

        After an outage of the store, live endpoints may still lack a record.
        """
        records_s = max(time_s + lag_s, self._registry.reregistered_s)
        return self._has_records_as_of(records_s) and self._settings_asked_s() >= time_s

    async def wait_for_records(self, time_s: float) -> bool:
        """Wait for the records of all endpoints that ran at a boot time, which must be recent.

        Returns:
            Whether this entry has them; False if they don't arrive soon.
        """
        waited_s = 0.0
        while not self._has_records_as_of(time_s + _RECORD_LAG_S):
            if waited_s >= self._longest_wait_s(_RECORD_LAG_S):
                return False
            await anyio.sleep(_CHECK_INTERVAL_S)
            waited_s += _CHECK_INTERVAL_S
        return True

    def _longest_wait_s(self, lag_s: float) -> float:
        """Return how long a caller waits for records that are complete as of some time from now."""
        is_connected = self._has_current_endpoints()
        return lag_s + self._age_bound().bound_s if is_connected else _LATE_RECORDS_WAIT_S

    def _may_reuse_ids(self, services: tuple[str, ...]) -> bool:
        rows = (row.record for row in self._registry.rows)
        return any(row.may_reuse_id and row.service in services for row in rows)

    def _has_records_as_of(self, time_s: float) -> bool:
        """Return whether the endpoints' records are known to be complete as of a boot time."""
        return self._confirmation.asked_s >= time_s

    def _has_current_endpoints(self) -> bool:
        return self._confirmation.age_s(boot_time_s()) <= self._age_bound().bound_s

    def _has_one_version(self, services: tuple[str, ...]) -> bool:
        """Return whether a stream of these services can have begun at one known version only."""
        if len(services) != 1 or not self._registry.open(services[0], boot_time_s()):
            return False
        versions = self._registry.recent_versions(services[0], boot_time_s())
        return len(versions) == 1 and None not in versions

    def apply_report(self, report: StreamReport) -> StreamReport:
        """Apply another entry's report; return the answer to its question."""
        now_s = boot_time_s()
        for row in report.begun:
            self._origins.note(row.key, row.origin, now_s)
        if report.query is None:
            return StreamReport()
        key = report.query.key
        origin = self._find_known(key)
        return StreamReport((BegunStream(key, origin),) if origin is not None else ())

    def _find_known(self, key: str) -> StreamOrigin | None:
        """Return the origin that this entry knows, with its version if any note has it."""
        known = self._origins.find(key)
        if known is not None and known.version is not None:
            return known
        return self._begun_elsewhere.find(key_digest(key)) or known

    def _report(self, row: BegunStream) -> None:
        for host in self._others_for(row.key):
            self.outbox.discard(host, lambda other: other.key == row.key)
            self.outbox.add(host, row)

    def _others_for(self, key: str) -> list[str]:
        hosts = responsible_hosts(key, self._fan_out.hosts, _KEEPING_HOSTS)
        return [host for host in hosts if host != self._host]

    async def _ask(self, query: StreamQuery) -> list[StreamReport]:
        """Return the answers of the entries that are responsible for a stream."""
        if self.ask_peer is None:
            return []
        message = StreamReport(query=query).encode()
        addresses = self._fan_out.addresses()
        answers: list[StreamReport] = []
        with move_on_after(_ASK_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for host in self._others_for(query.key):
                    ask = functools.partial(self._ask_one, addresses[host], message, answers)
                    group.start_soon(ask)
        return answers

    async def _ask_one(self, address: Address, message: bytes, answers: list[StreamReport]) -> None:
        assert self.ask_peer is not None
        answer = await self.ask_peer(address, message)
        if answer is None:
            return
        report = StreamReport.decode(answer)
        if isinstance(report, InvalidRecord):
            self._events.write("peer_rejected", status=200, problem=report.problem)
            return
        answers.append(report)

    def _only_version(self, service: str) -> str | None:
        if not self._has_current_endpoints():
            return None
        return self._registry.only_version(service, boot_time_s())

    def _only_origin(self, services: Iterable[str]) -> StreamOrigin | None:
        """Return where every stream of these services began; None if it may differ."""
        names = tuple(services)
        version = self._only_version(names[0]) if len(names) == 1 else None
        return _origin_at(names[0], version) if version is not None else None

    # Records in the store

    def records(self) -> tuple[Record, ...]:
        """Return the saved record of each service's versions."""
        return tuple(
            _record(service, versions)
            for service, versions in self._registry.versions.saved.items()
        )

    def apply_record(self, record: Record) -> None:
        """Apply a record of the store."""
        service = record.key.removeprefix(_KEY_PREFIX)
        if record.value is None:
            self._registry.versions.unload([service])
            return
        versions = _decode_versions(record.value)
        saved = self._registry.versions.saved
        # The settings may be read later, so some services that they don't name are kept.
        is_kept = self._is_named(service) or service in saved or len(saved) < _MAX_UNNAMED_SERVICES
        if versions is None or not is_kept:
            self._events.write_refused("versions_refused", record.key, key=record.key)
            return
        self._registry.versions.load(service, versions, boot_time_s())

    def retain_records(self, keys: Iterable[str]) -> None:
        """Forget the saved versions whose key is not among those of a full list."""
        saved = self._registry.versions.saved
        kept = {key.removeprefix(_KEY_PREFIX) for key in keys}
        self._registry.versions.unload([name for name in saved if name not in kept])

    def unsaved_records(self) -> list[Record]:
        """Return the records that the store should have and lacks; of named services only."""
        now_s = boot_time_s()
        services = {row.record.service for row in self._registry.rows}
        rows = (
            (service, self._registry.versions_to_save(service, now_s, self._confirmation.asked_s))
            for service in filter(self._is_named, services)
            if is_storable_key(_KEY_PREFIX + service)
        )
        return [_record(service, versions) for service, versions in rows if versions is not None]


def _origin_at(service: str, version: str) -> StreamOrigin:
    """Return the origin of a stream of which only the version is known."""
    return StreamOrigin(service, ("", 0), version)


def _decode_versions(value: bytes) -> list[str | None] | None:
    """Return the versions in a record; None if it can't be read."""
    try:
        versions = parse_json(value)
    except FieldError:
        return None
    if not isinstance(versions, list) or not 0 < len(versions) <= _MAX_VERSIONS:
        return None
    return versions if all(row is None or is_text(row) for row in versions) else None


def _record(service: str, versions: Iterable[str | None]) -> Record:
    rows = sorted(versions, key=lambda version: version or "")
    return Record(_KEY_PREFIX + service, json.dumps(rows).encode())
