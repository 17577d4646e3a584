"""Quarantines requests that crash endpoints, in cooperation with the other entries."""

import hashlib
import json
import math
from collections.abc import Collection, Iterable, Sequence
from typing import Any

import attrs

from beryljunction.clocks import boot_time_s, unix_time_s
from beryljunction.gateway.auto_reset_event import AutoResetEvent
from beryljunction.gateway.crashreports import MAX_FEATURES, CrashReport, Suspicion
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.outbox import Outbox
from beryljunction.gateway.saved_crashes import (
    REPORTS_S,
    STANDBY_S,
    SavedCrashes,
    is_crash_key,
)
from beryljunction.platform import Record, is_storable_key
from beryljunction.platform.fields import FieldError, finite_number, is_text, parse_json
from beryljunction.routing import (
    PART_PREFIX,
    SUSPICION_S,
    Cause,
    Crash,
    CrashTable,
    FanOut,
    KnownEndpoint,
    TrialLimiter,
    is_part,
    responsible_hosts,
)

__all__ = [
    "COUNTING_HOSTS",
    "CrashRow",
    "Quarantine",
    "count_features",
    "is_quarantine_key",
    "request_features",
]

# Entries that count the crashes of a service for the whole fleet; two of them may be down.
COUNTING_HOSTS = 3
# Prefix of the key of each quarantine, in the topic of the entries' addresses.
_KEY_PREFIX = "quarantine/"
_KEY_BYTES = 8
# Time in which requests that share a suspected part can be served elsewhere and clear it.
_GRACE_S = 1.2
# Interval at which a counting host asks all entries again while there is a suspicion.
_REVIEW_S = 2.0
# Names of parts that are longer are replaced by a digest; an id of a part is mostly shorter.
_MAX_PART_CHARS = 32
_PART_DIGEST_BYTES = 16
# With its digest, a request has as many features as a message between entries allows.
_MAX_PARTS = MAX_FEATURES - 1
_QUARANTINE_S = 3_600.0


@attrs.frozen
class _CrashedRequest:
    crash: Crash
    at_s: float


@attrs.frozen
class _Served:
    feature: str
    at_s: float


@attrs.frozen
class _Quarantined:
    features: frozenset[str]


@attrs.frozen
class _Suspected:
    features: frozenset[str]


@attrs.frozen
class _Lifted:
    features: frozenset[str]


CrashRow = _CrashedRequest | _Served | _Quarantined | _Suspected | _Lifted


def count_features(row: CrashRow) -> int:
    """Return the number of features in a row."""
    if isinstance(row, _CrashedRequest):
        return len(row.crash.features)
    return 1 if isinstance(row, _Served) else len(row.features)


def is_quarantine_key(key: str) -> bool:
    """Return whether a key of that topic names a quarantine or a crash."""
    return key.startswith(_KEY_PREFIX) or is_crash_key(key)


def request_features(digest: str, parts: Sequence[str]) -> frozenset[str]:
    """Return the features of a request: its digest and the parts of its prompt.

    The last part is mostly its own, but a session that returns sends it again in other requests.

    Args:
        digest: Digest of the request.
        parts: Parts of its prompt.
    """
    return frozenset((digest, *map(_part_feature, parts[:_MAX_PARTS])))


def _part_feature(part: str) -> str:
    """Return the feature of a part, whose name may have any length."""
    if len(part) > _MAX_PART_CHARS:
        part = hashlib.blake2b(part.encode(), digest_size=_PART_DIGEST_BYTES).hexdigest()
    return PART_PREFIX + part


class Quarantine:
    """Crashes and quarantines that this entry knows of, and what it has yet to send.

    A request that crashes every endpoint which runs it may be repeated at any entry, or its prompt
    has a part that does so in requests which all differ. A single entry may not see enough of the
    crashes. Each entry reports them to a few counting hosts, which are chosen by a hash of the
    service. A counting host that has found a cause asks all entries what they have served
    meanwhile, unless only repeats of one request are concerned, then informs all entries and saves
    the quarantine in the store, for entries that start later.

    While what was served doesn't show which of several causes it is, or while nothing is served,
    requests with any of them are under suspicion: one at a time in the whole fleet is sent as a
    trial. Its answer clears the features that it has; crashes of two trials show the cause.

    Attributes:
        outbox: Rows to send to other entries.
        saved_crashes: Counted crashes as the store has them.
        suspected: Set when there is a service to find out about.

    Args:
        host: Name of this entry's host.
        fan_out: The known entries.
        events: The log.
    """

    def __init__(self, host: str, fan_out: FanOut, events: EntryEventLog) -> None:
        self._host = host
        self._fan_out = fan_out
        self._events = events
        self._table = CrashTable()
        self._unsaved: list[frozenset[str]] = []
        self._removed: list[frozenset[str]] = []
        self._due_s: dict[str, float] = {}
        self._announced: dict[str, set[frozenset[str]]] = {}
        self._cleared: set[str] = set()
        self._trials = TrialLimiter()
        self.outbox: Outbox[CrashRow] = Outbox(fan_out)
        self.saved_crashes = SavedCrashes(self._table)
        self.suspected = AutoResetEvent()

    def __len__(self) -> int:
        """Return the number of quarantines."""
        return len(self._table.quarantined(boot_time_s()))

    def remaining_s(self, features: Collection[str]) -> float:
        """Return how much longer a request stays in quarantine; 0 if it is not in quarantine."""
        return self._table.remaining_s(features, boot_time_s())

    def is_suspected(self, features: Collection[str]) -> bool:
        """Return whether a request may be sent as a trial only."""
        return self._table.is_suspected(features, boot_time_s())

    def trial_hosts(self, service: str) -> list[str]:
        """Return the hosts that permit trials of a service; the first that answers decides."""
        return self._counting_hosts(service) or [self._host]

    def permit_trial(self, service: str, features: frozenset[str]) -> bool:
        """Return whether a request may be sent as the only trial of its service."""
        return self._trials.permit(service, features, boot_time_s())

    def end_trial(self, features: frozenset[str]) -> None:
        """Record that a trial has ended without a crash."""
        self._trials.note_result(features)

    def note_crash(
        self,
        features: frozenset[str],
        endpoint: KnownEndpoint,
        may_be_part: bool = True,
        at_s: float | None = None,
        evidence: str = "",
        is_trial: bool = False,
        abandoned_sent_s: float | None = None,
    ) -> None:
        """Record that an endpoint crashed while it had a request of this entry.

        Args:
            features: Features of the request.
            endpoint: The endpoint.
            may_be_part: Whether a part of its prompt may be the cause: an endpoint that had been
                sending the answer for a while was not crashed by a part.
            at_s: Boot time of the crash; None for now.
            evidence: What shows that the endpoint crashed, for the log.
            is_trial: Whether the request was sent as a trial.
            abandoned_sent_s: Boot time at which it was sent, if it was given up before the crash.
                What others have shown to be sound since isn't held against it.
        """
        now_s = boot_time_s() if at_s is None else at_s
        digest = next((feature for feature in features if not is_part(feature)), "")
        self._events.write(
            "endpoint_ended",
            digest=digest,
            endpoint=endpoint.record.endpoint_id,
            evidence=evidence,
        )
        if not may_be_part:
            features = frozenset((digest,))
        if abandoned_sent_s is not None:
            features = self._table.features_not_served_since(features, abandoned_sent_s)
            if not features:
                return
        crash = Crash(endpoint.record.service, endpoint.incarnation_id, features, is_trial)
        for host in self._counting_hosts(crash.service):
            if host != self._host:
                self.outbox.add(host, _CrashedRequest(crash, now_s))
        self._count_crash(crash, now_s)

    def note_served(self, service: str, features: Iterable[str], began_s: float) -> None:
        """Record that an endpoint began an answer to a request of this entry and lived on.

        Args:
            service: Service of the endpoint.
            features: Features of the request.
            began_s: Boot time at which its answer began.
        """
        self._table.note_service_served(service, began_s)
        is_watched = any(map(self._table.is_watched, features))
        for feature in features:
            if is_watched or self._table.has_crashes(feature):
                for host in self._counting_hosts(service):
                    if host != self._host:
                        self.outbox.add(host, _Served(feature, began_s))
            self._note_served(feature, began_s)
        self._announce_cleared()

    def apply_report(self, report: CrashReport) -> CrashReport:
        """Apply another entry's report; return the answer to it.

        The answer has the quarantines of reported requests, for an entry that has just started: it
        is not yet on every list, so it may have missed the announcement. It also has what this
        entry has served of a suspicion.
        """
        now_s = boot_time_s()
        for feature, age_s in report.served:
            self._note_served(feature, now_s - age_s)
        self._announce_cleared()
        for service, age_s in report.services:
            self._table.note_service_served(service, now_s - age_s)
        for features, left_s in report.quarantined:
            self._apply_quarantine(features, left_s)
        for features, left_s in report.suspected:
            if self._table.suspect(features, left_s, now_s):
                self._log_suspicion(features, "")
        for features in report.lifted:
            self._lift(features)
        for crash, age_s in report.crashes:
            self._count_crash(crash, now_s - age_s)
        quarantined = {
            features: left_s
            for features, left_s in self._table.quarantined(now_s).items()
            if any(features <= crash.features for crash, _ in report.crashes)
        }
        if report.trial is not None and report.is_permitted is False:
            self.end_trial(report.trial.features)
            return CrashReport(is_permitted=False)
        if report.trial is not None:
            is_permitted = self.permit_trial(report.trial.service, report.trial.features)
            return CrashReport(is_permitted=is_permitted)
        answer = CrashReport(quarantined=tuple(quarantined.items()))
        return answer if report.suspicion is None else self._answer(report.suspicion, now_s)

    def _answer(self, suspicion: Suspicion, now_s: float) -> CrashReport:
        ages_s = {row: now_s - self._table.served_s(row) for row in suspicion.features}
        service_age_s = now_s - self._table.last_service_s(suspicion.service)
        return CrashReport(
            served=tuple(row for row in ages_s.items() if math.isfinite(row[1])),
            services=((suspicion.service, service_age_s),) if math.isfinite(service_age_s) else (),
        )

    def report_of(self, rows: Iterable[CrashRow]) -> CrashReport:
        """Return the report that has these rows."""
        now_s = boot_time_s()
        chosen = list(rows)
        left_s, suspected_s = self._table.quarantined(now_s), self._table.suspected(now_s)
        return CrashReport(
            crashes=tuple(
                (row.crash, max(0.0, now_s - row.at_s))
                for row in chosen
                if isinstance(row, _CrashedRequest)
            ),
            served=tuple(
                (row.feature, max(0.0, now_s - row.at_s))
                for row in chosen
                if isinstance(row, _Served)
            ),
            quarantined=tuple(
                (row.features, left_s[row.features])
                for row in chosen
                if isinstance(row, _Quarantined) and row.features in left_s
            ),
            lifted=tuple(row.features for row in chosen if isinstance(row, _Lifted)),
            suspected=tuple(
                (row.features, suspected_s[row.features])
                for row in chosen
                if isinstance(row, _Suspected) and row.features in suspected_s
            ),
        )

    # Conclusions

    def due_service(self) -> str | None:
        """Return a service of which this entry has to find out now what crashes its endpoints."""
        now_s = boot_time_s()
        return next((service for service, due_s in self._due_s.items() if due_s <= now_s), None)

    @property
    def next_due_s(self) -> float:
        """Boot time at which the next service is due; infinity for none."""
        return min(self._due_s.values(), default=math.inf)

    def suspicion_of(self, service: str) -> Suspicion | None:
        """Return the question to ask all entries about a service; None if there is none."""
        if not self._may_conclude(service):
            self._due_s.pop(service, None)
            return None
        features = frozenset[str]().union(*self._table.suspects(service, boot_time_s()))
        if not features:
            self._due_s.pop(service, None)
            self._announce_suspicions(service)
            return None
        return Suspicion(service, frozenset(sorted(features)[:MAX_FEATURES]))

    def _may_conclude(self, service: str) -> bool:
        """Return whether this host counts the crashes, or reaches none of the hosts that do.

        Other hosts know only of their own requests, of which a sound one may be under all crashes.
        """
        if self._rank(service) < COUNTING_HOSTS:
            return True
        unsent = set(self.outbox.hosts())
        return all(host in unsent for host in self._counting_hosts(service))

    def conclude(self, service: str) -> None:
        """Quarantine what crashes a service's endpoints, after all entries were asked.

        What can't be told apart, or can't be proved because nothing is served, comes under
        suspicion.
        """
        now_s = boot_time_s()
        cause = self._table.find_cause(service, now_s)
        if cause is not None and cause.is_proved(self._table.last_service_s(service)):
            self._quarantine(cause, service)
        self._announce_suspicions(service)
        if self._announced.get(service):
            self._due_s[service] = now_s + _REVIEW_S
        else:
            self._due_s.pop(service, None)

    def _announce_cleared(self) -> None:
        """Review the suspicions of services of which parts have been served."""
        while self._cleared:
            self._announce_suspicions(self._cleared.pop())

    def _announce_suspicions(self, service: str) -> None:
        """Inform all entries of the suspicions that are new, and of those that are over."""
        now_s = boot_time_s()
        suspects = set(self._table.suspects(service, now_s))
        announced = self._announced.setdefault(service, set())
        for features in announced - suspects:
            announced.discard(features)
            if not self._table.is_quarantined(features):
                self._lift_everywhere(features)
        for features in suspects:
            if not self._table.suspect(features, SUSPICION_S, now_s):
                continue
            announced.add(features)
            self._log_suspicion(features, service)
            for host in self._fan_out.addresses():
                self.outbox.add(host, _Suspected(features))
        if not announced:
            del self._announced[service]

    def _count_crash(self, crash: Crash, at_s: float) -> None:
        now_s = boot_time_s()
        rank = self._rank(crash.service)
        if rank < COUNTING_HOSTS:
            self.saved_crashes.count(crash.service)
            self.saved_crashes.plan(crash.incarnation_id, rank)
        self._table.note_crash(crash, at_s)
        self._trials.note_crash(crash.service, crash.features, now_s)
        digests = [feature for feature in crash.features if not is_part(feature)]
        cause = self._table.find_cause(crash.service, now_s, digests)
        if cause is not None and cause.is_exact and not cause.has_rivals:
            self._quarantine(cause, crash.service)
        if cause is None and not self._table.may_have_suspects(crash.features):
            return
        due_s = now_s + REPORTS_S
        if not crash.is_trial:
            due_s += _GRACE_S + rank * STANDBY_S
        self._due_s[crash.service] = min(due_s, self._due_s.get(crash.service, math.inf))
        self.suspected.set()

    def _rank(self, service: str) -> int:
        """Return how many entries conclude before this one."""
        hosts = self._counting_hosts(service)
        return hosts.index(self._host) if self._host in hosts else len(hosts)

    def _quarantine(self, cause: Cause, service: str) -> None:
        if not self._table.quarantine(cause.features, _QUARANTINE_S, boot_time_s()):
            return
        self._log(cause.features, service)
        self._unsaved.append(cause.features)
        self.outbox.changed.set()
        for host in self._fan_out.addresses():
            self.outbox.add(host, _Quarantined(cause.features))
        for features in self._table.superseded_by(cause.features):
            self._lift_everywhere(features)

    def _apply_quarantine(self, features: frozenset[str], left_s: float) -> None:
        if self._table.quarantine(features, left_s, boot_time_s()):
            self._log(features, "")

    def _log(self, features: frozenset[str], service: str) -> None:
        parts = (row.removeprefix(PART_PREFIX) for row in features if is_part(row))
        digest = next((feature for feature in features if not is_part(feature)), "")
        self._events.write(
            "request_quarantined", digest=digest, parts=",".join(sorted(parts)), service=service
        )

    def _note_served(self, feature: str, at_s: float) -> None:
        """Note a service; what began under quarantine shows that the quarantine is wrong."""
        cleared = self._table.crashes_cleared_by(feature, at_s)
        self._table.note_served(feature, at_s)
        for service, start in cleared:
            if self._rank(service) == 0:
                self.saved_crashes.plan_update(start)
        if not is_part(feature):
            self._trials.note_result(frozenset((feature,)))
        for features in self._table.disproved_by(feature):
            self._lift_everywhere(features)
        for service, announced in self._announced.items():
            if any(feature in features for features in announced):
                self._cleared.add(service)

    def _log_suspicion(self, features: frozenset[str], service: str) -> None:
        parts = ",".join(sorted(row.removeprefix(PART_PREFIX) for row in features))
        self._events.write("request_suspected", parts=parts, service=service)

    def _lift_everywhere(self, features: frozenset[str]) -> None:
        was_quarantined = self._table.is_quarantined(features)
        if not self._lift(features):
            return
        if was_quarantined:
            self._removed.append(features)
        self.outbox.changed.set()
        for host in self._fan_out.addresses():
            self.outbox.add(host, _Lifted(features))

    def _lift(self, features: frozenset[str]) -> bool:
        is_lifted = self._table.lift(features)
        if is_lifted:
            self._events.write("quarantine_lifted", parts=",".join(sorted(features)))
        return is_lifted

    def _counting_hosts(self, service: str) -> list[str]:
        return responsible_hosts(service, self._fan_out.hosts, COUNTING_HOSTS)

    # Records in the store

    def records(self) -> tuple[Record, ...]:
        """Return the record of each quarantine, and those of crashes."""
        lefts_s = self._table.quarantined(boot_time_s())
        quarantines = tuple(_record(features, left_s) for features, left_s in lefts_s.items())
        return quarantines + self.saved_crashes.records()

    def apply_record(self, record: Record) -> None:
        """Apply a record of the store; its removal does not end a quarantine here."""
        if is_crash_key(record.key):
            if not self.saved_crashes.apply(record):
                self._events.write_refused("quarantine_refused", record.key, key=record.key)
            return
        if record.value is None:
            return
        decoded = _decode_record(record.key, record.value)
        if decoded is None:
            self._events.write_refused("quarantine_refused", record.key, key=record.key)
            return
        features, until_s = decoded
        # None was made for longer than this; a record that says so comes from another writer.
        left_s = min(until_s - unix_time_s(), _QUARANTINE_S)
        if left_s > 0.0:
            self._apply_quarantine(features, left_s)

    def unsaved_records(self) -> list[Record]:
        """Return the records to write to the store, each once; those without value to remove."""
        unsaved, self._unsaved = self._unsaved, []
        removed, self._removed = self._removed, []
        left_s = self._table.quarantined(boot_time_s())
        records = [_record(row, left_s[row]) for row in unsaved if row in left_s]
        return records + [Record(_key(row), None) for row in removed]

    def expired_keys(self) -> list[str]:
        """Return the keys of quarantines that have expired, each once, and of old crashes."""
        expired = [_key(features) for features in self._table.expire(boot_time_s())]
        return expired + self.saved_crashes.expired_keys()


def _is_named_by_key(features: frozenset[str]) -> bool:
    """Return whether the key has all features: a digest that isn't too long for it."""
    is_digest = len(features) == 1 and not any(map(is_part, features))
    return is_digest and is_storable_key(_KEY_PREFIX + next(iter(features)))


def _key(features: frozenset[str]) -> str:
    if _is_named_by_key(features):
        return _KEY_PREFIX + next(iter(features))
    digest = hashlib.blake2b("\n".join(sorted(features)).encode(), digest_size=_KEY_BYTES)
    return _KEY_PREFIX + digest.hexdigest()


def _record(features: frozenset[str], left_s: float) -> Record:
    """Return the record of a quarantine; that of a request's digest has the digest in its key."""
    until_s = round(unix_time_s() + left_s)
    if _is_named_by_key(features):
        return Record(_key(features), b"%d" % until_s)
    value = {"until": until_s, "features": sorted(features)}
    return Record(_key(features), json.dumps(value).encode())


def _decode_record(key: str, value: bytes) -> tuple[frozenset[str], float] | None:
    """Return the features and the end of a quarantine, in Unix seconds; None if unreadable."""
    try:
        fields = parse_json(value)
    except FieldError:
        return None
    features: Any = [key.removeprefix(_KEY_PREFIX)]
    until = fields
    if isinstance(fields, dict):
        features, until = fields.get("features"), fields.get("until")
    until_s = finite_number(until)
    if until_s is None or not isinstance(features, list) or len(features) > MAX_FEATURES:
        return None
    if not features or not all(is_text(row) and row for row in features):
        return None
    return frozenset(features), until_s
