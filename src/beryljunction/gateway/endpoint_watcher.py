"""Follows the records with which endpoints register themselves in the store."""

import math
from collections.abc import Iterable

import anyio

from beryljunction.clocks import boot_time_s, unix_time_s
from beryljunction.gateway.poll_schedules import ALWAYS_POLL, PollSchedule
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.topic_reader import TopicReader, run_paced, wait_for_store
from beryljunction.gateway.updates import TopicUpdate
from beryljunction.platform import ENDPOINT_RECORDS, InvalidRecord, Record, Store, decode_endpoint
from beryljunction.routing import Confirmation

__all__ = ["EndpointWatcher"]


class EndpointWatcher:
    """Keeps the registry of endpoints up to date.

    Attributes:
        loaded: Set after the first successful read of the store.
    """

    def __init__(
        self, store: Store, state: EntryState, schedule: PollSchedule = ALWAYS_POLL
    ) -> None:
        self._topic = TopicReader(store, state, ENDPOINT_RECORDS, state.endpoints_confirmation)
        self._state = state
        self._schedule = schedule
        self._announced_end = -1
        self._failures = 0
        self._values: dict[str, bytes] = {}
        self.loaded = anyio.Event()

    @property
    def offset(self) -> int | None:
        """Position up to which records have been applied; None before the first read."""
        return self._topic.offset

    def records(self) -> tuple[Record, ...]:
        """Return the records of all endpoints that still have one, as the endpoints wrote them.

        Endpoints that are kept although their record has expired are left out: an entry that
        received one would never see the removal of its record.
        """
        return tuple(
            Record(key, value) for key, value in self._values.items() if self._has_record(key)
        )

    def _has_record(self, endpoint_id: str) -> bool:
        known = self._state.registry.find(endpoint_id)
        return known is not None and known.kept_until_s is None

    def apply_from_peer(self, offset: int, records: Iterable[Record]) -> None:
        """Apply the full list of an entry that has read further."""
        self.apply_update(TopicUpdate(tuple(records), None, offset))

    def update_since(self, offset: int) -> TopicUpdate | None:
        """Return the changes after a position; None if there are none."""
        return self._topic.update_since(offset, self.records)

    def apply_update(self, update: TopicUpdate) -> None:
        """Apply records that another entry has read."""
        self._topic.apply_update(update, self._apply_snapshot, self._apply_records)

    @property
    def confirmation(self) -> Confirmation:
        """Time up to which the records are known to be complete."""
        return self._topic.confirmation

    def confirm_up_to(self, end: int, asked_s: float, source: str) -> None:
        """Record that another entry knew the records to end at a position when it asked."""
        self._topic.confirm_up_to(end, asked_s, source)

    def mark_behind(self, end: int) -> None:
        """Record that there are records up to a position that have to be read from the store."""
        self._announced_end = max(self._announced_end, end)

    @property
    def position(self) -> int:
        """Position up to which records have been applied; -1 before the first read."""
        return self._topic.position

    def _effective_age_s(self, now_s: float) -> float:
        is_behind = self.position < self._announced_end
        return math.inf if is_behind else self.confirmation.age_s(now_s)

    async def run(self) -> None:
        """Follow the records until cancelled.

        A long poll returns a change at once. Under constant changes, reads keep a minimum interval,
        so that their number does not grow with the number of endpoints.
        """
        while True:
            bound = self._state.endpoints_bound
            await self._schedule.wait_until_due(ENDPOINT_RECORDS, bound, self._effective_age_s)
            if await run_paced(self.read_once, bound.read_interval_s, 0.0):
                continue
            # A single lost answer doesn't mean that the store is down; back off after the second.
            if self._failures > 1:
                await wait_for_store(self._state.store_reachability)

    async def read_once(self) -> bool:
        """Read once."""
        bound = self._state.endpoints_bound
        wait_s = bound.until_confirm_s(boot_time_s()) if self._schedule.is_first_reader else 0.0
        # After a failure, use the store client's longer timeout, for a slow store or link.
        timeout_s = None if self._failures else bound.answer_timeout_s
        done = await self._topic.read_once(
            round(wait_s * 1000), self._apply_snapshot, self._apply_records, timeout_s
        )
        if done:
            self._failures = 0
            self.loaded.set()
        else:
            self._failures += 1
        return done

    def _apply_snapshot(self, records: Iterable[Record]) -> None:
        values = {row.key: row.value for row in records if row.value is not None}
        decoded = {key: decode_endpoint(key, value) for key, value in values.items()}
        for key, row in decoded.items():
            if isinstance(row, InvalidRecord):
                self._refuse(key, row)
        usable = [row for row in decoded.values() if not isinstance(row, InvalidRecord)]
        self._values = {row.endpoint_id: values[row.endpoint_id] for row in usable}
        unix_now_s = unix_time_s() if self._state.mechanisms.start_times else None
        self._state.registry.replace(usable, boot_time_s(), unix_now_s)
        self._state.events.write("endpoints_listed", endpoints=len(self._state.registry))
        self._state.streams.note_versions()

    def _refuse(self, key: str, invalid: InvalidRecord) -> None:
        self._state.events.write_refused("endpoint_refused", key, problem=invalid.problem)

    def _apply_records(self, records: Iterable[Record]) -> None:
        now_s = boot_time_s()
        for record in records:
            self._apply_record(record, now_s)
        self._state.streams.note_versions()

    def _apply_record(self, record: Record, now_s: float) -> None:
        registry, events = self._state.registry, self._state.events
        self._values.pop(record.key, None)
        if record.value is None:
            if registry.remove(record.key, now_s) is not None:
                events.write("endpoint_gone", endpoint=record.key)
            return
        decoded = decode_endpoint(record.key, record.value)
        if isinstance(decoded, InvalidRecord):
            self._refuse(record.key, decoded)
            registry.remove(record.key, now_s)
            return
        self._values[record.key] = record.value
        was_known = registry.find(record.key)
        was_draining = was_known is not None and was_known.record.is_draining
        is_same = was_known is not None and was_known.record.is_same_incarnation(decoded)
        registry.put(decoded, now_s)
        if decoded.cold_ms is None:
            events.write_refused(
                "endpoint_cold_unreadable", record.key, endpoint=decoded.endpoint_id
            )
        if not is_same:
            self._state.note_join(decoded.endpoint_id)
        if not is_same or decoded.is_draining != was_draining:
            events.write(
                "endpoint_draining" if decoded.is_draining else "endpoint_joined",
                endpoint=decoded.endpoint_id,
                service=decoded.service,
                version=decoded.version or "",
                born_ms=decoded.started_ms,
            )
