"""Keeps counted crashes in the store, for when the entries that count them end."""

import collections
import hashlib
import json
import math
from typing import Any

import attrs

from beryljunction.clocks import boot_time_s, unix_time_s
from beryljunction.gateway.auto_reset_event import AutoResetEvent
from beryljunction.gateway.crashreports import MAX_FEATURES
from beryljunction.gateway.message_fields import read_key, read_start
from beryljunction.platform import Record
from beryljunction.platform.fields import FieldError, finite_number, is_text, parse_json
from beryljunction.routing import Crash, CrashTable

__all__ = ["REPORTS_S", "STANDBY_S", "SavedCrashes", "is_crash_key"]

_KEY_PREFIX = "crash/"
_KEY_BYTES = 8
# Time in which all entries report the requests that they had at a crashed endpoint.
REPORTS_S = 0.2
# Pause before each further counting host does what those before it have not.
STANDBY_S = 0.3
# Time in which most sound requests are served again, so that a record needs them no longer.
_UPDATE_S = 2.0
_TTL_S = 600.0
_MAX_SAVED = 32
# Further ones, of another writer, are forgotten here until they are removed from the store.
_MAX_KNOWN = 128
# Limit of one record, below that of a value in the topic of the entries' addresses.
_MAX_RECORD_BYTES = 8_192
_MAX_REQUESTS = 256

Start = tuple[str, int]


def is_crash_key(key: str) -> bool:
    """Return whether a key of the topic of entries names a crash."""
    return key.startswith(_KEY_PREFIX)


@attrs.frozen
class _PlannedWrite:
    due_s: float
    is_update: bool = False


@attrs.frozen
class _SavedCrash:
    record: Record
    at_s: float
    requests: tuple[Crash, ...]
    was_loaded: bool


class SavedCrashes:
    """Records of the crashes that this entry counts, and those that the store has.

    While an entry runs, crashes are reported to it; it takes those before its start from the store.

    Attributes:
        changed: Set when there is a crash to save.
    """

    def __init__(self, table: CrashTable) -> None:
        self._table = table
        self._is_loading = True
        self._planned: dict[Start, list[_PlannedWrite]] = {}
        self._saved: collections.OrderedDict[str, _SavedCrash] = collections.OrderedDict()
        self.changed = AutoResetEvent()

    def plan(self, start: Start, rank: int) -> None:
        """Save a crash when it has been reported; the first counting host does so once more later.

        Args:
            start: Id and start time of the endpoint.
            rank: Number of counting hosts that save it before this one.
        """
        if start in self._planned:
            return
        now_s = boot_time_s()
        writes = [_PlannedWrite(now_s + REPORTS_S + rank * STANDBY_S)]
        if rank == 0:
            writes.append(_PlannedWrite(now_s + _UPDATE_S, is_update=True))
        self._planned[start] = writes
        self.changed.set()

    def plan_update(self, start: Start) -> None:
        """Write a saved crash again a little later, without what has been served meanwhile."""
        if start not in self._planned and _key(start) in self._saved:
            due_s = boot_time_s() + _UPDATE_S
            self._planned[start] = [_PlannedWrite(due_s, is_update=True)]
            self.changed.set()

    @property
    def next_due_s(self) -> float:
        """Boot time at which the next write is due; infinity for none."""
        return min((writes[0].due_s for writes in self._planned.values()), default=math.inf)

    def due_records(self) -> list[Record]:
        """Return the records that are to be written now; those without value to remove."""
        now_s, records = boot_time_s(), []
        for start, writes in list(self._planned.items()):
            if writes[0].due_s > now_s:
                continue
            records += self._record_to_write(start, writes.pop(0).is_update)
            if not writes:
                del self._planned[start]
        return records

    def _record_to_write(self, start: Start, is_update: bool) -> list[Record]:
        key = _key(start)
        known = self._saved.get(key)
        value = self._encode(start)
        if value is None:
            return [Record(key, None)] if known is not None else []
        if known is not None and (not is_update or known.record.value == value):
            return []
        return [Record(key, value)]

    def _encode(self, start: Start) -> bytes | None:
        """Return the value of a record; None if nothing is held against any request."""
        crash = self._table.find_crash(start)
        if crash is None:
            return None
        rows: list[list[Any]] = []
        size = 0
        for features, is_trial in crash.requests:
            row = [is_trial, sorted(features)]
            size += len(json.dumps(row))
            if size > _MAX_RECORD_BYTES:
                break
            rows.append(row)
        if not rows:
            return None
        at_unix_s = unix_time_s() - (boot_time_s() - crash.at_s)
        values = {"service": crash.service, "start": start, "at": round(at_unix_s, 1)}
        return json.dumps({**values, "requests": rows}, separators=(",", ":")).encode()

    def apply(self, record: Record) -> bool:
        """Apply a record of the store; return False if it is unreadable."""
        if record.value is None:
            self._saved.pop(record.key, None)
            return True
        try:
            at_unix_s, crashes = _decode(record.value)
        except (FieldError, TypeError, ValueError, LookupError):
            return False
        age_s = max(0.0, unix_time_s() - at_unix_s)
        at_s = boot_time_s() - age_s
        known = self._saved.get(record.key)
        was_loaded = self._is_loading or (known is not None and known.was_loaded)
        self._saved[record.key] = _SavedCrash(record, at_s, tuple(crashes), was_loaded)
        while len(self._saved) > _MAX_KNOWN:
            self._saved.popitem(last=False)
        return True

    def end_loading(self) -> None:
        """Record that all crashes before the start of this entry were applied."""
        self._is_loading = False

    def count(self, service: str) -> None:
        """Count the crashes of a service before the start of this entry that the store has."""
        oldest_s = boot_time_s() - _TTL_S
        for row in self._saved.values():
            crash = row.requests[0]
            is_missed = row.was_loaded and crash.service == service and row.at_s > oldest_s
            if is_missed and self._table.find_crash(crash.incarnation_id) is None:
                for request in row.requests:
                    self._table.note_crash(request, row.at_s)

    def records(self) -> tuple[Record, ...]:
        """Return the records that the store has."""
        return tuple(row.record for row in self._saved.values())

    def expired_keys(self) -> list[str]:
        """Return the keys of records that are too old, or too many."""
        oldest_s = boot_time_s() - _TTL_S
        keys = sorted(self._saved, key=lambda key: self._saved[key].at_s)
        excess = max(0, len(keys) - _MAX_SAVED)
        return [
            key
            for number, key in enumerate(keys)
            if number < excess or self._saved[key].at_s < oldest_s
        ]


def _key(start: Start) -> str:
    name = json.dumps(start).encode()
    return _KEY_PREFIX + hashlib.blake2b(name, digest_size=_KEY_BYTES).hexdigest()


def _decode(value: bytes) -> tuple[float, list[Crash]]:
    """Return the Unix time of a crash, and the requests that its endpoint had.

    Raises:
        FieldError, TypeError, ValueError, LookupError: It is no such record.
    """
    fields: Any = parse_json(value)
    at_unix_s = finite_number(fields["at"])
    rows = fields["requests"]
    if at_unix_s is None or not isinstance(rows, list) or not 1 <= len(rows) <= _MAX_REQUESTS:
        raise FieldError("expected the time of a crash and its requests")
    service, start = read_key(fields["service"]), read_start(*fields["start"])
    return at_unix_s, [Crash(service, start, _features(row[1]), row[0] is True) for row in rows]


def _features(value: Any) -> frozenset[str]:
    if not isinstance(value, list) or not 1 <= len(value) <= MAX_FEATURES:
        raise FieldError(f"expected 1 to {MAX_FEATURES} features")
    if not all(is_text(row) and row for row in value):
        raise FieldError("expected features as texts")
    return frozenset(value)
