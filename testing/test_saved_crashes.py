import contextlib
import json

import pytest

from beryljunction.clocks import boot_time_s, unix_time_s
from beryljunction.fuzz.platform.world import ENTRIES, PlatformWorld
from beryljunction.gateway.saved_crashes import SavedCrashes, is_crash_key
from beryljunction.platform import Record
from beryljunction.routing import Crash, CrashTable
from part_traffic import BAD, PartTraffic

START = ("e1", 7)


def crash_record(**values):
    """Return a record as an entry writes it."""
    usual = {"service": "s", "start": START, "at": unix_time_s(), "requests": [[False, ["d"]]]}
    return Record("crash/1", json.dumps({**usual, **values}).encode())


@pytest.fixture
def counted():
    """Return a table in which one crash is counted."""
    table = CrashTable()
    table.note_crash(Crash("s", START, frozenset({"d1", "part:a"}), True), boot_time_s())
    table.note_crash(Crash("s", START, frozenset({"d2", "part:b"})), boot_time_s())
    return table


def written(saved):
    """Return what is written in the time that a crash is waited for."""
    (planned,) = saved._planned.values()
    records = []
    while planned:
        planned[0] = type(planned[0])(0.0, planned[0].is_update)
        rows = saved.due_records()
        for row in rows:
            saved.apply(row)
        records += rows
    return records


class TestSavedCrashes:
    def test_entry_that_reads_a_record_counts_the_crash(self, counted):
        saved = SavedCrashes(counted)
        saved.plan(START, rank=0)
        (record,) = written(saved)
        table = CrashTable()
        later = SavedCrashes(table)
        assert later.apply(record)
        later.count("s")

        assert is_crash_key(record.key)
        assert table.find_crash(START).requests == counted.find_crash(START).requests
        assert abs(table.find_crash(START).at_s - counted.find_crash(START).at_s) < 0.2

    def test_running_entry_takes_no_crash_from_the_store(self, counted):
        """Guards against counting what a host that doesn't hear of services can't clear."""
        saved, table = SavedCrashes(counted), CrashTable()
        running = SavedCrashes(table)
        running.end_loading()
        counted.note_crash(Crash("s", ("e2", 8), frozenset({"d1"})), boot_time_s())
        saved.plan(("e2", 8), rank=0)
        (record,) = written(saved)
        running.apply(record)
        running.count("s")

        assert table.find_crash(("e2", 8)) is None
        assert running.records() == (record,)

    def test_record_is_written_again_when_its_features_are_served_later(self, counted):
        """Guards against a start after which a request is blamed that was served before it."""
        saved = SavedCrashes(counted)
        saved.plan(START, rank=0)
        written(saved)
        now_s = boot_time_s() + 1.0
        assert counted.crashes_cleared_by("d1", now_s) == [("s", START)]
        counted.note_served("d1", now_s)
        saved.plan_update(START)
        (record,) = written(saved)

        assert json.loads(record.value)["requests"][0] == [True, ["part:a"]]
        assert counted.crashes_cleared_by("d1", now_s + 1.0) == []

    def test_what_was_served_since_is_left_out(self, counted):
        saved = SavedCrashes(counted)
        saved.plan(START, rank=0)
        for feature in ("d2", "part:b"):
            counted.note_served(feature, boot_time_s() + 1.0)
        (record,) = written(saved)

        assert json.loads(record.value)["requests"] == [[True, ["d1", "part:a"]]]

    def test_record_is_removed_when_nothing_is_held_against_any_request(self, counted):
        saved = SavedCrashes(counted)
        saved.plan(START, rank=0)
        planned = saved._planned[START]
        planned[0] = type(planned[0])(0.0)
        (record,) = saved.due_records()
        saved.apply(record)
        for feature in ("d1", "part:a", "d2", "part:b"):
            counted.note_served(feature, boot_time_s() + 1.0)

        assert written(saved) == [Record(record.key, None)]
        assert saved.records() == ()

    def test_further_host_writes_only_what_is_missing(self, counted):
        saved = SavedCrashes(counted)
        saved.plan(START, rank=1)
        (record,) = written(saved)
        saved.plan(START, rank=1)

        assert written(saved) == []
        assert saved.records() == (record,)

    def test_record_is_bounded(self):
        table = CrashTable()
        for number in range(200):
            features = frozenset(f"part:{number}-{place}" for place in range(40))
            table.note_crash(Crash("s", START, features), boot_time_s())
        saved = SavedCrashes(table)
        saved.plan(START, rank=0)

        assert all(len(record.value) < 16_384 for record in written(saved))

    def test_old_records_and_too_many_expire(self):
        saved = SavedCrashes(CrashTable())
        old = crash_record(at=unix_time_s() - 700.0)
        saved.apply(old)
        for number in range(40):
            record = crash_record(start=[f"e{number}", 0])
            saved.apply(Record(f"crash/n{number}", record.value))

        assert "crash/1" in saved.expired_keys()
        assert len(saved.expired_keys()) == 9

    @pytest.mark.parametrize(
        "record",
        [
            Record("crash/1", b"["),
            Record("crash/1", b"7"),
            crash_record(at="now"),
            crash_record(at=None),
            crash_record(start=["e1"]),
            crash_record(start=["e1", "x"]),
            crash_record(start=7),
            crash_record(service=[]),
            crash_record(requests=[]),
            crash_record(requests=[[False, []]]),
            crash_record(requests=[[False, ["d"]]] * 300),
            crash_record(requests=[[False, ["d", 7]]]),
            crash_record(requests=[[False]]),
            crash_record(requests=[False]),
            crash_record(requests={"0": [False, ["d"]]}),
        ],
    )
    def test_record_of_another_writer_is_refused(self, record):
        """Guards against an entry that fails at a record which it can't read."""
        table = CrashTable()

        assert not SavedCrashes(table).apply(record)
        assert table.find_crash(START) is None


class TestRestarts:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_part_stops_though_all_entries_are_killed_between_crashes(self, seed):
        """Guards against counts of crashes that end with the entries that have them."""
        with contextlib.closing(PlatformWorld()) as world:
            traffic = PartTraffic(world, seed)
            traffic.advance(4.0)
            world.oracle.bad_parts_s[BAD] = world.loop.world_s
            for _ in range(10):
                traffic.ask_bad()
                traffic.advance(3.0)
                for name in ENTRIES:
                    world.kill_entry(name)
                traffic.advance(2.0)
            world.finish()

            assert len(world.oracle.crashes_s[BAD]) <= 8
            assert traffic.refused_sound() == []
