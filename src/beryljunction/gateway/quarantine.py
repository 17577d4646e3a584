"""Quarantines requests that crash endpoints, in cooperation with the other entries."""

import math
from collections.abc import Iterable

import attrs

from beryljunction.clocks import boot_time_s, unix_time_s
from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.outbox import Outbox
from beryljunction.platform import Record
from beryljunction.routing import Crash, CrashTable, FanOut, KnownEndpoint, responsible_hosts

__all__ = ["COUNTING_HOSTS", "CrashRow", "Quarantine", "is_quarantine_key"]

# Entries that count the crashes of a request for the whole fleet; two of them may be down.
COUNTING_HOSTS = 3
# Prefix of the key of each quarantined request, in the topic of the entries' addresses.
_KEY_PREFIX = "quarantine/"


@attrs.frozen
class _Served:
    digest: str


@attrs.frozen
class _Quarantined:
    digest: str


CrashRow = Crash | _Served | _Quarantined


def is_quarantine_key(key: str) -> bool:
    """Return whether a key of that topic names a quarantined request."""
    return key.startswith(_KEY_PREFIX)


class Quarantine:
    """Crash counts and quarantined requests of this entry, and what it has yet to send.

    A request that crashes every endpoint which runs it may be repeated at any entry, so a single
    entry may not see enough of its crashes. Each entry reports a crash to a few owners of the
    request, which are chosen by its hash. An owner that has counted enough crashes informs all
    entries and saves the quarantine in the store, for entries that start later.

    Attributes:
        outbox: Rows to send to other entries.

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
        self._unsaved: list[str] = []
        self.outbox: Outbox[CrashRow] = Outbox(fan_out)

    def __len__(self) -> int:
        """Return the number of quarantined requests."""
        return len(self._table.quarantined(boot_time_s()))

    def remaining_s(self, digest: str) -> float:
        """Return how much longer a request stays in quarantine; 0 if it is not in quarantine."""
        return self._table.remaining_s(digest, boot_time_s())

    def note_crash(self, digest: str, endpoint: KnownEndpoint) -> None:
        """Record that an endpoint crashed while it ran a request of this entry."""
        crash = Crash(digest, endpoint.incarnation_id)
        self._events.write("endpoint_ended", digest=digest, endpoint=endpoint.record.endpoint_id)
        for host in self._owners(digest):
            self.outbox.add(host, crash)
        self._count_crash(crash)

    def note_served(self, digest: str) -> None:
        """Record that a request of this entry was served completely."""
        if not self._table.note_served(digest, boot_time_s()):
            return
        for host in self._owners(digest):
            self.outbox.discard(host, lambda row: isinstance(row, Crash) and row.digest == digest)
            self.outbox.add(host, _Served(digest))

    def apply_report(self, report: CrashReport) -> CrashReport:
        """Apply another entry's report; return which of the reported requests are in quarantine.

        The answer is needed by an entry that has just started: it is not yet on every list, so it
        may have missed the announcement.
        """
        for digest in report.served:
            self._table.discard_crashes(digest)
        for digest, left_s in report.quarantined:
            self._apply_quarantine(digest, left_s)
        for crash in report.crashes:
            self._count_crash(crash)
        digests = {crash.digest for crash in report.crashes}
        lefts_s = {digest: self.remaining_s(digest) for digest in digests}
        return CrashReport(
            quarantined=tuple(row for row in lefts_s.items() if row[1] > 0.0),
        )

    def report_of(self, rows: Iterable[CrashRow]) -> CrashReport:
        """Return the report that has these rows."""
        now_s = boot_time_s()
        chosen = list(rows)
        digests = [row.digest for row in chosen if isinstance(row, _Quarantined)]
        return CrashReport(
            tuple(row for row in chosen if isinstance(row, Crash)),
            tuple(row.digest for row in chosen if isinstance(row, _Served)),
            tuple((digest, self._table.remaining_s(digest, now_s)) for digest in digests),
        )

    # Records in the store

    def records(self) -> tuple[Record, ...]:
        """Return the record of each quarantined request."""
        lefts_s = self._table.quarantined(boot_time_s())
        return tuple(_record(digest, left_s) for digest, left_s in lefts_s.items())

    def apply_record(self, record: Record) -> None:
        """Apply a record of the store; its removal does not end a quarantine here."""
        if record.value is None:
            return
        try:
            until_s = float(record.value)
        except ValueError:
            until_s = math.nan
        if not math.isfinite(until_s):
            self._events.write("quarantine_refused", key=record.key)
            return
        left_s = until_s - unix_time_s()
        if left_s > 0.0:
            self._apply_quarantine(record.key.removeprefix(_KEY_PREFIX), left_s)

    def unsaved_records(self) -> list[Record]:
        """Return the records to write to the store, each once."""
        digests, self._unsaved = self._unsaved, []
        now_s = boot_time_s()
        return [_record(digest, self._table.remaining_s(digest, now_s)) for digest in digests]

    def expired_keys(self) -> list[str]:
        """Return the keys of requests whose quarantine has expired, each once."""
        return [_KEY_PREFIX + digest for digest in self._table.expire(boot_time_s())]

    def _owners(self, digest: str) -> list[str]:
        return [
            host
            for host in responsible_hosts(digest, self._fan_out.hosts, COUNTING_HOSTS)
            if host != self._host
        ]

    def _count_crash(self, crash: Crash) -> None:
        if not self._table.note_crash(crash, boot_time_s()):
            return
        self._events.write(
            "request_quarantined", digest=crash.digest, endpoint=crash.incarnation_id[0]
        )
        self._unsaved.append(crash.digest)
        self.outbox.changed.set()
        for host in self._fan_out.addresses():
            self.outbox.add(host, _Quarantined(crash.digest))

    def _apply_quarantine(self, digest: str, left_s: float) -> None:
        if self._table.quarantine(digest, left_s, boot_time_s()):
            self._events.write("request_quarantined", digest=digest, endpoint="")


def _record(digest: str, left_s: float) -> Record:
    return Record(_KEY_PREFIX + digest, b"%.0f" % (unix_time_s() + left_s))
