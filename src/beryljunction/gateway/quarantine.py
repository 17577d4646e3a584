"""Keeps requests that end endpoints from being sent again, together with the other entries."""

import collections
import math

import attrs

from beryljunction.clocks import boot_time_s, wall_time_s
from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.events import Events
from beryljunction.gateway.signals import Signal
from beryljunction.platform import Record
from beryljunction.routing import Crash, CrashTable, FanOut, KnownEndpoint, owners_of

__all__ = ["Quarantine", "is_quarantine_key"]

# Keys of the fleet's own topic: one for each quarantined request.
_KEY_PREFIX = "quarantine/"
# An entry that has not answered for so long has ended, or reads the store when it is back.
_PENDING_S = 30.0
_MOST_ROWS = 64


@attrs.frozen
class _Served:
    digest: str


@attrs.frozen
class _Quarantined:
    digest: str


_Row = Crash | _Served | _Quarantined


def is_quarantine_key(key: str) -> bool:
    """Return whether a key of the fleet's topic names a quarantined request."""
    return key.startswith(_KEY_PREFIX)


class Quarantine:
    """What this entry knows of requests that end endpoints, and whom it still has to tell.

    A request that ends each endpoint which runs it may come again at any entry, so no entry sees
    enough of it alone. Each tells a few owners of the request, by its hash, which endpoint ended
    under it. An owner that has counted enough tells all entries, and the store keeps it for those
    that start later.

    Attributes:
        untold: Set when there is something to tell or to save.

    Args:
        host: Name of this entry's host.
        fan_out: The entries that are listed.
        events: The log.
    """

    def __init__(self, host: str, fan_out: FanOut, events: Events) -> None:
        self._host = host
        self._fan_out = fan_out
        self._events = events
        self._table = CrashTable()
        self._pending: dict[str, dict[_Row, float]] = collections.defaultdict(dict)
        self._unsaved: list[str] = []
        self.untold = Signal()

    def __len__(self) -> int:
        """Return the number of quarantined requests."""
        return len(self._table.quarantined(boot_time_s()))

    def left_s(self, digest: str) -> float:
        """Return how much longer a request may not be sent; 0 where it may."""
        return self._table.left_s(digest, boot_time_s())

    def note_crash(self, digest: str, endpoint: KnownEndpoint) -> None:
        """Take in that an endpoint ended while it had a request of this entry."""
        crash = Crash(digest, endpoint.start)
        self._events.write("endpoint_ended", digest=digest, endpoint=endpoint.record.endpoint_id)
        for host in self._owners(digest):
            self._tell(host, crash)
        self._count(crash)

    def note_served(self, digest: str) -> None:
        """Take in that a request of this entry was served whole."""
        if not self._table.note_served(digest, boot_time_s()):
            return
        for host in self._owners(digest):
            self._withdraw(host, digest)
            self._tell(host, _Served(digest))

    def take(self, report: CrashReport) -> CrashReport:
        """Take in what another entry tells; return which of its requests are in quarantine.

        An entry that started a moment ago is not on every list, so nobody may have told it.
        """
        for digest in report.served:
            self._table.acquit(digest)
        for digest, left_s in report.quarantined:
            self._take_quarantined(digest, left_s)
        for crash in report.crashes:
            self._count(crash)
        digests = {crash.digest for crash in report.crashes}
        lefts_s = {digest: self.left_s(digest) for digest in digests}
        return CrashReport(
            quarantined=tuple(row for row in lefts_s.items() if row[1] > 0.0),
        )

    def report_for(self, host: str) -> CrashReport:
        """Return what another entry is to be told next; an empty one for nothing."""
        now_s = boot_time_s()
        rows = self._pending.get(host, {})
        for row, noted_s in list(rows.items()):
            if now_s - noted_s > _PENDING_S:
                del rows[row]
        chosen = list(rows)[:_MOST_ROWS]
        digests = [row.digest for row in chosen if isinstance(row, _Quarantined)]
        return CrashReport(
            tuple(row for row in chosen if isinstance(row, Crash)),
            tuple(row.digest for row in chosen if isinstance(row, _Served)),
            tuple((digest, self._table.left_s(digest, now_s)) for digest in digests),
        )

    def note_told(self, host: str, report: CrashReport) -> None:
        """Take in that another entry has received a report."""
        rows = self._pending.get(host, {})
        told: list[_Row] = [*report.crashes]
        told += [_Served(digest) for digest in report.served]
        told += [_Quarantined(digest) for digest, _ in report.quarantined]
        for row in told:
            rows.pop(row, None)

    def hosts_to_tell(self) -> list[str]:
        """Return the hosts of entries that have not been told all, and are still listed."""
        for host in [host for host in self._pending if host not in self._fan_out]:
            del self._pending[host]
        return [host for host, rows in self._pending.items() if rows]

    # Records in the store

    def records(self) -> tuple[Record, ...]:
        """Return the record of each quarantined request."""
        lefts_s = self._table.quarantined(boot_time_s())
        return tuple(_record(digest, left_s) for digest, left_s in lefts_s.items())

    def take_record(self, record: Record) -> None:
        """Take in a record of the store; its removal changes nothing here."""
        if record.value is None:
            return
        try:
            until_s = float(record.value)
        except ValueError:
            until_s = math.nan
        if not math.isfinite(until_s):
            self._events.write("quarantine_refused", key=record.key)
            return
        left_s = until_s - wall_time_s()
        if left_s > 0.0:
            self._take_quarantined(record.key.removeprefix(_KEY_PREFIX), left_s)

    def unsaved_records(self) -> list[Record]:
        """Return the records that the store has to get, each once."""
        digests, self._unsaved = self._unsaved, []
        now_s = boot_time_s()
        return [_record(digest, self._table.left_s(digest, now_s)) for digest in digests]

    def expired_keys(self) -> list[str]:
        """Return the keys of requests whose quarantine is over, each once."""
        return [_KEY_PREFIX + digest for digest in self._table.expire(boot_time_s())]

    def _owners(self, digest: str) -> list[str]:
        return [host for host in owners_of(digest, self._fan_out.hosts) if host != self._host]

    def _count(self, crash: Crash) -> None:
        if not self._table.note_crash(crash, boot_time_s()):
            return
        self._events.write("request_quarantined", digest=crash.digest, endpoint=crash.start[0])
        self._unsaved.append(crash.digest)
        self.untold.set()
        for host in self._fan_out.addresses():
            self._tell(host, _Quarantined(crash.digest))

    def _take_quarantined(self, digest: str, left_s: float) -> None:
        if self._table.quarantine(digest, left_s, boot_time_s()):
            self._events.write("request_quarantined", digest=digest, endpoint="")

    def _tell(self, host: str, row: _Row) -> None:
        self._pending[host][row] = boot_time_s()
        self.untold.set()

    def _withdraw(self, host: str, digest: str) -> None:
        """Leave out crashes that were not told yet."""
        rows = self._pending[host]
        for row in [row for row in rows if isinstance(row, Crash) and row.digest == digest]:
            del rows[row]


def _record(digest: str, left_s: float) -> Record:
    return Record(_KEY_PREFIX + digest, b"%.0f" % (wall_time_s() + left_s))
