"""Reads a topic of the platform's store and keeps recent records for other entries."""

import collections
from collections.abc import Awaitable, Callable, Iterable, Sequence

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.poll_schedules import RETRY_PAUSE_S
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.updates import TopicUpdate
from beryljunction.platform import (
    Expired,
    NewestRecords,
    Record,
    Records,
    Store,
    Topic,
    Unavailable,
    era_of,
)
from beryljunction.routing import Confirmation, StoreReachability
from beryljunction.timeouts import move_on_after

__all__ = ["ApplyRecords", "TopicReader", "run_paced", "wait_for_store"]

# Longest pause of a reader that relies on another reader to find out when the store is back.
_MAX_PAUSE_S = 2.0
# Records kept for downstream entries; one that lacks more gets the newest record of each key.
_MAX_RECENT_RECORDS = 256
_MAX_RECENT_BYTES = 1_048_576
# Stands for a value that is too large to be kept and passed on; no record can be read from it.
_OVERSIZED = b"oversized"

# Reads of at least this size are logged; the endpoints' usual heartbeats stay below it.
_MIN_LOGGED_BYTES = 16_384

ApplyRecords = Callable[[Iterable[Record]], None]


class TopicReader:
    """Reads a snapshot of a topic, then its changes; starts over when the history has expired.

    Attributes:
        confirmation: Time up to which the records are known to be complete.

    """

    def __init__(
        self,
        store: Store,
        state: EntryState,
        topic: Topic,
        confirmation: Confirmation | None = None,
    ) -> None:
        self._store = store
        self.state = state
        self.confirmation = Confirmation() if confirmation is None else confirmation
        self._topic = topic
        self._offset: int | None = None
        self._recent: collections.deque[Record] = collections.deque()
        self._recent_bytes = 0
        self._recent_start = 0
        self._snapshot_end: int | None = None
        self._is_store_lost = False
        self._newest_lock = anyio.Lock()

    async def read_once(
        self,
        wait_ms: int,
        apply_snapshot: ApplyRecords,
        apply_changes: ApplyRecords,
        answer_timeout_s: float | None = None,
    ) -> bool:
        """Read once; return False if there was no usable answer.

        Args:
            wait_ms: How long the store may hold the request until there is a record.
            apply_snapshot: Called with the newest record of each key.
            apply_changes: Called with the records that follow the known ones.
            answer_timeout_s: Time for the response to begin after `wait_ms`; None for the store
                client's own limit.
        """
        asked = self._offset
        if asked is None:
            return await self._read_newest(apply_snapshot)
        asked_s = boot_time_s()
        answer = await self._read(asked, wait_ms, answer_timeout_s)
        if isinstance(answer, Expired):
            if self._offset == asked:
                self.state.events.write("history_expired", topic=self._topic.name, offset=asked)
                self._offset = None
            return await self.read_once(wait_ms, apply_snapshot, apply_changes, answer_timeout_s)
        if isinstance(answer, Unavailable):
            self._note_failure(answer)
            return False
        self._note_answer(answer, asked, asked_s)
        if answer.is_complete:
            self._append(answer.records, answer.next_position, apply_changes)
        elif not await self._read_newest(apply_snapshot, answer.end):
            return False
        now_s = boot_time_s()
        self._confirm_own_read(answer.end, _complete_at_s(answer, asked_s, now_s, wait_ms / 1000))
        return True

    async def _read_newest(self, apply_snapshot: ApplyRecords, needed_end: int = -1) -> bool:
        """Read the newest record of each key, unless another read has just done so.

        This also replaces a read of the history that stopped before the end: of the records that
        this entry missed, only the newest of each key count.
        """
        async with self._newest_lock:
            if self._has_reached(needed_end):
                return True
            asked_s = boot_time_s()
            answer = await self._store.read_newest(self._topic)
            if isinstance(answer, Unavailable):
                self._note_failure(answer)
                return False
            self._note_answer(answer, None, asked_s)
            self._apply_snapshot(answer.records, answer.next_position, apply_snapshot)
            self._confirm_own_read(answer.next_position, asked_s)
        return True

    def _note_failure(self, answer: Unavailable) -> None:
        self._log_store_lost(answer.reason)
        self.state.store_reachability.note_failure()

    def _note_answer(
        self, answer: NewestRecords | Records, asked: int | None, asked_s: float
    ) -> None:
        now_s = boot_time_s()
        self._log_store_regained()
        self.state.store_reachability.note_answer(asked_s, now_s)
        self._log_large_read(answer, asked, now_s - asked_s)

    def _has_reached(self, end: int) -> bool:
        """Return whether all records up to a position of the current era have been applied."""
        is_same_era = era_of(max(0, self.position)) == era_of(max(0, end))
        return self._offset is not None and self._offset >= end and is_same_era

    def _confirm_own_read(self, end: int, asked_s: float) -> None:
        """Record that the store, asked at this time, had no records after a position.

        This changes nothing while this entry lacks some of the records before it.
        """
        if self._has_reached(end):
            self.confirmation.confirm(asked_s)
        self.state.store_data_changed.set()

    async def _read(
        self, offset: int, wait_ms: int, answer_timeout_s: float | None
    ) -> Records | Expired | Unavailable:
        if answer_timeout_s is None:
            return await self._store.read(self._topic, offset, wait_ms)
        answer: Records | Expired | Unavailable
        answer = Unavailable(f"expected an answer within {answer_timeout_s:.2f} s")
        async with anyio.create_task_group() as group:
            limit_s = wait_ms / 1000 + answer_timeout_s
            group.start_soon(self._cancel_if_unanswered, group.cancel_scope, limit_s)
            answer = await self._store.read(self._topic, offset, wait_ms)
            group.cancel_scope.cancel()
        return answer

    async def _cancel_if_unanswered(self, read: anyio.CancelScope, limit_s: float) -> None:
        """Cancel a read unless its response has begun; a long one takes time on a slow link."""
        with move_on_after(limit_s):
            await anyio.sleep_forever()
        if not self._store.is_receiving(self._topic):
            read.cancel()

    def confirm_up_to(self, end: int, asked_s: float, source: str) -> None:
        """Record that another entry knew the records to end at a position when it asked.

        This changes nothing while this entry lacks some of those records.
        """
        if self.position >= end:
            self.confirmation.confirm(asked_s, source)

    def _apply_snapshot(
        self, records: Iterable[Record], end: int, apply_snapshot: ApplyRecords
    ) -> None:
        """Apply the newest record of each key, unless later records are known."""
        if self._offset is not None and end < self._offset:
            return
        if self._snapshot_end is not None and era_of(end) > era_of(self._snapshot_end):
            self._note_restored(era_of(self._snapshot_end), era_of(end))
        self.state.era = max(self.state.era, era_of(end))
        self._offset = self._recent_start = self._snapshot_end = end
        self._recent.clear()
        self._recent_bytes = 0
        self._apply_all(map(self._limit_size, records), apply_snapshot)
        self.state.store_data_changed.set()

    def _append(self, records: Sequence[Record], end: int, apply_changes: ApplyRecords) -> None:
        """Apply records that start at or before the known end.

        Records before the known end are skipped: an answer that arrives after a newer update from
        another entry would otherwise bring back an endpoint that is leaving.
        """
        known = max(0, (self._offset or 0) - (end - len(records)))
        new = [self._limit_size(row) for row in records[known:]]
        if not new:
            return
        self._offset = end
        self._recent.extend(new)
        self._recent_bytes += sum(map(_size_bytes, new))
        while len(self._recent) > _MAX_RECENT_RECORDS or self._recent_bytes > _MAX_RECENT_BYTES:
            self._recent_bytes -= _size_bytes(self._recent.popleft())
        self._recent_start = end - len(self._recent)
        self._apply_all(new, apply_changes)
        self.state.store_data_changed.set()

    def _limit_size(self, record: Record) -> Record:
        """Return a record whose value is small enough to be kept and passed on."""
        limit_bytes = self._topic.max_value_bytes
        is_oversized = limit_bytes is not None and len(record.value or b"") > limit_bytes
        return Record(record.key, _OVERSIZED) if is_oversized else record

    def _apply_all(self, records: Iterable[Record], apply: ApplyRecords) -> None:
        """Apply records; after an exception, which leaves some out, read everything again."""
        try:
            apply(records)
        except Exception:
            self._offset = None
            raise

    def update_since(
        self, offset: int, newest: Callable[[], tuple[Record, ...]]
    ) -> TopicUpdate | None:
        """Return the records after a position, or the newest of each key; None if there are none.

        Args:
            offset: The position; negative if no record is known.
            newest: Returns the newest record of each key.
        """
        end = self._offset
        if end is None or offset >= end:
            return None
        if offset < self._recent_start:
            return TopicUpdate(newest(), None, end)
        first = len(self._recent) - (end - offset)
        return TopicUpdate(tuple(self._recent)[first:], offset, end)

    def apply_update(
        self, update: TopicUpdate, apply_snapshot: ApplyRecords, apply_changes: ApplyRecords
    ) -> None:
        """Apply records that another entry has read, unless records before them are missing."""
        if update.first is None:
            if self._offset is None or update.end > self._offset:
                self._apply_snapshot(update.records, update.end, apply_snapshot)
        elif self._offset is not None and update.first <= self._offset:
            self._append(update.records, update.end, apply_changes)

    @property
    def offset(self) -> int | None:
        """Position up to which records have been applied; None before the first read."""
        return self._offset

    @property
    def position(self) -> int:
        """Position up to which records have been applied; -1 before the first read."""
        return -1 if self._offset is None else self._offset

    def _note_restored(self, before: int, era: int) -> None:
        """Log and record that the store was restored from a backup and lost later records."""
        topic = self._topic.name
        self.state.events.write("store_restored", topic=topic, era_before=before, era=era)
        self.state.store_reachability.note_restored(boot_time_s())

    def _log_large_read(
        self, answer: NewestRecords | Records, asked: int | None, took_s: float
    ) -> None:
        """Log a read that was large or stopped before the end of the topic."""
        size_bytes = sum(len(row.value or b"") for row in answer.records)
        end = answer.end if isinstance(answer, Records) else answer.next_position
        if size_bytes < _MIN_LOGGED_BYTES and answer.next_position >= end:
            return
        self.state.events.write(
            "store_read",
            topic=self._topic.name,
            offset="newest" if asked is None else asked,
            next=answer.next_position,
            end=end,
            known=self.position,
            records=len(answer.records),
            size_bytes=size_bytes,
            took_ms=round(took_s * 1000, 1),
        )

    def _log_store_lost(self, reason: str) -> None:
        if not self._is_store_lost:
            self.state.events.write("store_lost", topic=self._topic.name, reason=reason)
        self._is_store_lost = True

    def _log_store_regained(self) -> None:
        if self._is_store_lost:
            self.state.events.write("store_regained", topic=self._topic.name)
        self._is_store_lost = False


def _size_bytes(record: Record) -> int:
    return len(record.key) + len(record.value or b"")


def _complete_at_s(answer: Records, asked_s: float, now_s: float, wait_s: float) -> float:
    """Return the time up to which the records are complete after an answer.

    The store holds a read that returns nothing for the whole wait, unless a record is too large.
    """
    is_waited_out = answer.is_complete and not answer.records and now_s >= asked_s + wait_s
    return asked_s + wait_s if is_waited_out else asked_s


async def wait_for_store(reachability: StoreReachability, timeout_s: float = _MAX_PAUSE_S) -> None:
    """Pause after a failed read until another read succeeds, or for a limited time.

    Readers that take turns are enough to find out when the store is back, and each refused call
    costs money.
    """
    failed_s = boot_time_s()
    while reachability.confirmed_s < failed_s and boot_time_s() - failed_s < timeout_s:
        await anyio.sleep(RETRY_PAUSE_S)


async def run_paced(
    step: Callable[[], Awaitable[bool]],
    interval_s: float,
    failed_pause_s: float = RETRY_PAUSE_S,
) -> bool:
    """Run a step and sleep so that steps start at least `interval_s` apart; return its result."""
    started_s = boot_time_s()
    done = await step()
    rest_s = started_s + interval_s - boot_time_s() if done else failed_pause_s
    await anyio.sleep(max(0.0, rest_s))
    return done
