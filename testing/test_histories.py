"""Random sequences of endpoint changes, evacuations and store faults on a simulated fleet."""

import pytest

from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.platform import Record
from beryljunction.routing import EndpointRegistry, Evacuations, StoreReachability
from fanout_world import FleetWorld, RecordHistory

SEEDS = (*range(1, 9), 10, 14, 17)
ORIGINAL = EndpointRegistry.expire


def play(seed, entries=22):
    with FleetWorld(entries, seed=seed) as world:
        world.advance(4.0)
        history = RecordHistory(world, seed)
        history.play()
        history.heal(())
        history.advance(6.0)
        return history.violations


class TestRecords:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_confirmed_records_are_complete(self, seed):
        assert play(seed) == []

    @pytest.mark.parametrize("entries", [1, 5, 68])
    def test_records_are_complete_in_fleets_of_other_sizes(self, entries):
        assert play(3, entries) == []


class TestOracle:
    """The checks of the histories fail if any one of the safeguards is removed."""

    def finds_violation(self):
        return any(play(seed) for seed in SEEDS)

    def test_expiry_extended_by_each_reconnecting_host_is_detected(self, monkeypatch):
        def note_answer(self, asked_s, now_s):
            if self._has_failed_read:
                self.recovered_s = now_s
            self._has_failed_read = False

        def note_update(self, asked_s, recovered_s, now_s):
            self.recovered_s = max(self.recovered_s, recovered_s or 0.0)

        def expire(self, now_s):
            for row in self._rows.values():
                if row.kept_until_s is not None:
                    row.kept_until_s = self._reachability.recovered_s + 2.0
            ORIGINAL(self, now_s)

        monkeypatch.setattr(StoreReachability, "note_answer", note_answer)
        monkeypatch.setattr(StoreReachability, "note_update", note_update)
        monkeypatch.setattr(EndpointRegistry, "expire", expire)

        assert self.finds_violation()

    def test_expired_records_in_full_lists_are_detected(self, monkeypatch):
        apply_record = EndpointWatcher._apply_record

        def apply_and_keep_value(self, record, now_s):
            value = self._values.get(record.key)
            apply_record(self, record, now_s)
            if value is not None:
                self._values.setdefault(record.key, value)

        monkeypatch.setattr(EndpointWatcher, "_apply_record", apply_and_keep_value)
        monkeypatch.setattr(
            EndpointWatcher,
            "records",
            lambda self: tuple(
                Record(key, value)
                for key, value in self._values.items()
                if self._state.registry.find(key) is not None
            ),
        )

        assert self.finds_violation()

    def test_older_evacuations_that_replace_newer_ones_are_detected(self, monkeypatch):
        replace = Evacuations.replace
        monkeypatch.setattr(
            Evacuations,
            "replace",
            lambda self, zones, position, now_s: replace(
                self, zones, max(position, self.position), now_s
            ),
        )

        assert self.finds_violation()

    def test_updates_without_evacuations_are_detected(self, monkeypatch):
        monkeypatch.setattr(
            "beryljunction.gateway.state.EntryState.replace_evacuations", lambda *_: None
        )

        assert self.finds_violation()
