import json

import pytest

from beryljunction.gateway.refused_records import RefusedRecords
from endpoint_records import record
from fanout_world import FleetWorld
from hostile_records import ODD_RECORDS

ODD_PORTS = [
    "0",
    "65536",
    "99999999999",
    "-1",
    "080",
    " 80",
    "80 ",
    "\u096e\u0966",
    "1e3",
    "",
    "9" * 5_000,
]
ODD_KEYS = ["\0", "\x7f\x1b[2J", "a\r\nb: c", "\ufffd", "x" * 255, "\U0001f4a5" * 60, " ", "/"]


def usable(world):
    """Return the endpoints that each entry uses, those of other writers left out."""
    return {
        name: sorted(row.record.endpoint_id for row in row.state.registry.usable("s", now_s))
        for now_s in [world.loop.world_s]
        for name, row in world.members.items()
    }


def put_odd_records(world):
    """Write odd records under many keys."""
    ports = [record(service="other", address=f"10.9.0.2:{port}") for port in ODD_PORTS]
    for number, value in enumerate([*ODD_RECORDS, *ports]):
        world.put("keyed.servers", f"odd{number}", value)
    for key in ODD_KEYS:
        world.put("keyed.servers", key, record(service="other"))


class TestTable:
    def test_record_is_new_once(self):
        refused = RefusedRecords()

        assert [refused.note("e", "a", float(n)) for n in range(5_000)].count(True) == 1
        assert refused.count == 1

    def test_many_records_take_bounded_memory_and_are_all_counted(self):
        """Guards against an entry whose memory or log another writer fills."""
        refused = RefusedRecords()

        written = [refused.note("e", f"{n}", n / 1_000) for n in range(5_000)]

        assert written.count(True) == len(refused._refused_s) == 1_024
        assert refused.count == 5_000

    def test_key_is_written_again_after_an_hour_at_the_earliest(self):
        refused = RefusedRecords()
        for number in range(1_024):
            refused.note("e", f"{number}", 0.0)

        assert not refused.note("e", "x", 3_599.0)
        assert refused.note("e", "x", 3_601.0)
        assert refused.note("e", "0", 3_602.0)


class TestEntry:
    def test_foreign_records_are_written_once_whatever_they_become(self):
        """Guards against a log that one heartbeat of another writer fills."""
        with FleetWorld(1) as world:
            world.advance(4.0)
            for number in range(50):
                world.put("keyed.servers", "x", record(slots="many", service=f"s{number}"))
                world.put("keyed.entries", "versions/x", json.dumps(number).encode())
                world.put("keyed.entries", "quarantine/x", b"{%d" % number)
                world.put("keyed.entries", "x", b"x:%d" % number)
                world.put("keyed.op", "evacuate/" + "x" * 200, b"%d" % number)
                world.advance(2.5)
            events = world.members["front-0"].state.events

            counted = events.metrics._events
            names = ("endpoint", "versions", "quarantine", "entry", "evacuation")
            assert {name: counted[f"{name}_refused"] for name in names} == dict.fromkeys(names, 1)
            assert events.refused_records.count == len(names)

    def test_address_of_no_host_names_no_entry(self):
        """Guards against updates that an entry sends to itself under another name."""
        with FleetWorld(1) as world:
            world.advance(4.0)
            world.put("keyed.entries", "x", b"0.0.0.0:1000")
            world.advance(4.0)

            assert world.members["front-0"].state.fan_out.hosts == ["front-0"]

    @pytest.mark.parametrize("value", [b"[" * 9, b"10.0.0.9:1"], ids=["unreadable", "other"])
    def test_overwritten_address_is_written_again(self, value):
        """Guards against an entry that those which start later don't find."""
        with FleetWorld(4) as world:
            world.advance(4.0)
            world.put("keyed.entries", "front-1", value)
            world.advance(world.members["front-1"].state.addresses_bound.bound_s)
            world.start("late", ("10.0.0.1", 9_000))
            world.advance(5.0)

            known = world.members["late"].state.fan_out.addresses()
            assert known.get("front-1") == world.members["front-1"].address

    @pytest.mark.parametrize("topic", ["keyed.servers", "keyed.entries"])
    @pytest.mark.parametrize("value", [b"[" * 250_000, record(service="x", more="x" * 250_000)])
    def test_large_record_is_not_passed_on(self, topic, value):
        """Guards against calls and messages of all entries at each heartbeat of another writer."""
        with FleetWorld(16) as world:
            world.advance(6.0)
            quiet_calls = world.calls_in(7.2)
            before = sum(row.sent_bytes for row in world.members.values())
            calls = 0
            for _ in range(6):
                world.put(topic, "x", value)
                calls += world.calls_in(1.2)

            assert calls < 2 * quiet_calls
            assert sum(row.sent_bytes for row in world.members.values()) - before < 1_000_000

    def test_records_kept_for_other_entries_take_bounded_memory(self):
        """Guards against an entry that grows with each heartbeat of another writer."""
        with FleetWorld(1) as world:
            world.advance(4.0)
            for _ in range(60):
                world.put("keyed.servers", "x", record(service="x", more="x" * 60_000))
                world.advance(0.5)
            topic = world.members["front-0"].endpoints._topic

            assert sum(len(row.value) for row in topic._recent) < 1_100_000

    def test_endpoints_that_come_and_go_leave_nothing_behind(self):
        """Guards against an entry whose memory grows with every key that was ever written."""
        with FleetWorld(1) as world:
            world.advance(4.0)
            for number in range(300):
                world.put("keyed.servers", f"x{number}", record(service="s"))
                world.advance(0.5)
                world.put("keyed.servers", f"x{number}", None)
            world.advance(5.0)

            assert len(world.members["front-0"].endpoints._values) < 20


class TestFleet:
    EXPECTED = ["e1", "e2", "e3", "new"]

    def test_changes_beside_odd_records_are_followed(self):
        """Guards against entries that end, or stop following, at a record of another writer."""
        with FleetWorld(6) as world:
            world.advance(4.0)
            put_odd_records(world)
            world.endpoint("new")
            world.put("keyed.servers", "e0", None)
            world.advance(2.0)

            assert usable(world) == dict.fromkeys(world.members, self.EXPECTED)
            assert not any(row.task.done() for row in world.members.values())

    def test_list_with_odd_records_is_read(self):
        """Guards against entries that never start beside records of another writer."""
        with FleetWorld(1) as world:
            put_odd_records(world)
            world.endpoint("new")
            world.put("keyed.servers", "e0", None)
            world.advance(4.0)
            world.start("late", ("10.0.0.1", 9_000))
            world.advance(4.0)

            assert usable(world) == dict.fromkeys(["front-0", "late"], self.EXPECTED)
            assert world.holds_for_all(lambda state: state.is_ready())

    def test_odd_records_cost_no_calls_once_they_are_read(self):
        """Guards against a list that is read again and again for another writer."""
        with FleetWorld(6) as world:
            world.advance(4.0)
            quiet_calls = world.calls_in(20.0)
            put_odd_records(world)
            world.advance(4.0)

            assert world.calls_in(20.0) <= quiet_calls

    def test_endpoint_is_used_again_after_its_record_was_overwritten(self):
        """Guards against an endpoint that is lost for good to a record of another writer."""
        with FleetWorld(3) as world:
            world.advance(4.0)
            for value in ODD_RECORDS:
                world.put("keyed.servers", "e1", value)
                world.endpoint("e1")
            world.advance(2.0)

            assert usable(world) == dict.fromkeys(world.members, ["e0", "e1", "e2", "e3"])
