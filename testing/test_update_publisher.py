import json

import anyio
import attrs
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.update_client import HttpUpdateClient
from beryljunction.gateway.updates import Progress, Reply, TopicUpdate, Update, ZoneUpdate
from beryljunction.platform import InvalidRecord, Record
from entry_harness import open_harness, route
from fanout_world import FleetWorld, History, StoreFault

# An entry whose settings are this old is no longer ready, and its callers go to other entries.
NOT_READY_S = 3.0
# Limit of the control traffic of one entry, as required by the users.
MAX_BYTES_PER_S = 4_096
STARTED_S = 8.0


class TestSteadyState:
    def test_number_of_store_calls_does_not_grow_with_the_fleet(self):
        """Guards against the cost of reads that every entry makes for itself.

        Without sharing, each entry reads the store about twice per second. With it, only four do.
        """
        calls = {}
        for entries, is_shared in ((22, True), (68, True), (68, False)):
            with FleetWorld(entries, is_shared) as world:
                world.advance(STARTED_S)
                calls[entries, is_shared] = world.calls_in(20.0)

        assert calls[68, True] <= calls[22, True] * 1.1
        assert calls[68, True] <= calls[68, False] / 10

    @pytest.mark.parametrize("entries", [1, 4, 5, 22, 68, 350])
    def test_change_reaches_all_entries_at_once(self, entries):
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            world.configure()
            world.endpoint("e3", "draining")
            world.advance(0.15)

            version = world.version
            assert world.holds_for_all(lambda state: state.config.version == version)
            assert world.holds_for_all(lambda state: state.registry.find("e3").record.is_draining)
            assert world.violations == []

    @pytest.mark.parametrize("entries", [4, 22, 68, 350])
    def test_settings_never_get_old(self, entries):
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)

            assert world.max_age_in(10.0) < 2.0

    def test_control_traffic_of_an_entry_is_bounded(self):
        with FleetWorld(350) as world:
            world.advance(STARTED_S)
            for row in world.members.values():
                row.sent_bytes = 0
            world.advance(10.0)

            most = max(row.sent_bytes for row in world.members.values()) / 10.0
            assert most < MAX_BYTES_PER_S

    @pytest.mark.parametrize("routes", [400, 1_200])
    def test_large_settings_are_read_from_the_store_by_each_entry(self, routes):
        """Guards against filling a slow link by pushing 60 KB or more to eight other entries.

        On links of 10 Mbit/s, the messages timed out, the receivers read the store anyway, and
        callers of the sending hosts waited a second behind them.
        """
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            for row in world.members.values():
                row.sent_bytes = 0
            world.configure(routes)
            world.advance(0.6)

            version = world.version
            assert world.holds_for_all(lambda state: state.config.version == version)
            assert max(row.sent_bytes for row in world.members.values()) < 20_000

    def test_large_settings_in_quick_succession_take_effect_in_time(self):
        """Of twelve versions in four seconds, each has to be in force everywhere within two."""
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            late_s = []
            for _ in range(12):
                world.configure(routes=400)
                world.advance(0.33)
                oldest = min(row.state.config.version for row in world.members.values())
                newer_s = world.written_s.get(oldest + 3, world.loop.world_s)
                late_s.append(world.loop.world_s - newer_s)
            world.advance(0.7)

            version = world.version
            assert world.holds_for_all(lambda state: state.config.version == version)
            assert max(late_s) < 1.0
            assert world.violations == []


class TestFailures:
    """The entries that read the store for others fail or can't reach it."""

    @pytest.mark.parametrize("lost", [1, 2, 3, 4])
    @pytest.mark.parametrize("entries", [22, 68])
    def test_killed_readers_are_replaced(self, entries, lost):
        """Guards against losing readiness after readers were killed for good.

        Their addresses stay in the store. Downstream entries ask peers, then the store, level by
        level, and push to the next level, so the calls stay far below those of every entry reading.
        """
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            for name in world.readers()[:lost]:
                world.kill(name)

            assert world.max_age_in(8.0) < NOT_READY_S
            world.configure()
            world.advance(3.5)
            version = world.version
            assert world.holds_for_all(lambda state: state.config.version == version)
            assert world.violations == []
            assert world.calls_in(10.0) < 10 * 2.0 * entries / 2

    def test_rejected_readers_get_updates_from_other_readers(self):
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.BUSY, world.readers()[:3])
            world.configure()
            world.advance(0.5)

            version = world.version
            assert world.holds_for_all(lambda state: state.config.version == version)
            assert world.max_age_in(9.0) < 2.0

    @pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.SILENT, StoreFault.LATE])
    def test_other_entries_take_over_when_all_readers_are_rejected(self, fault):
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(fault, world.readers())
            world.advance(1.0)
            world.configure()
            world.advance(6.0)

            version = world.version
            assert world.holds_for_all(lambda state: state.config.version == version)
            assert world.violations == []

    def test_settings_of_all_entries_age_during_an_outage(self):
        """Guards against entries that renew each other's settings without the store.

        No entry reaches the store, and all reach each other. If an age decreased in transit,
        revoked keys would be accepted forever.
        """
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.SILENT)
            begun_s = world.loop.world_s
            world.advance(0.5)
            world.configure()
            world.advance(5.5)

            assert not any(
                row.state.lease.confirmed_s > begun_s + 0.05 for row in world.members.values()
            )
            assert world.violations == []

            world.fault(StoreFault.NONE)
            world.advance(2.0)

            version = world.version
            assert world.holds_for_all(lambda state: state.config.version == version)

    def test_return_of_the_store_causes_no_thundering_herd(self):
        """After six seconds without the store, only a few of 68 entries read it."""
        with FleetWorld(68) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.SILENT)
            world.advance(6.0)
            world.fault(StoreFault.NONE)
            world.advance(2.0)

            assert world.calls_in(10.0) < 10 * 2.0 * 68 / 8

    def test_endpoints_whose_records_expire_in_an_outage_are_kept(self):
        """Guards against dropping healthy endpoints whose records expired during an outage.

        The endpoints rewrite their records once the store is back. Entries that do not read the
        store themselves have to learn of the outage, or they have no endpoints left.
        """
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.BUSY)
            world.advance(1.0)
            for number in range(4):
                world.put("keyed.servers", f"e{number}", None)
            world.advance(3.0)
            world.fault(StoreFault.NONE)
            world.advance(1.0)

            now_s = world.loop.world_s
            assert world.holds_for_all(lambda state: len(state.registry.usable("s", now_s)) == 4)

            for number in range(3):
                world.endpoint(f"e{number}")
            world.advance(5.0)

            now_s = world.loop.world_s
            assert world.holds_for_all(lambda state: len(state.registry.usable("s", now_s)) == 3)

    def test_endpoint_that_left_in_an_outage_is_dropped_while_hosts_reconnect(self):
        """Guards against keeping a departed endpoint two seconds longer for each reconnecting host.

        The store is back for most hosts, and rejects a few for another second or two.
        """
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.BUSY)
            world.advance(1.0)
            world.put("keyed.servers", "e0", None)
            world.advance(2.5)
            readers = world.readers()
            others = [name for name in world.members if name not in readers[2:]]
            world.fault(StoreFault.NONE, others)
            for number in range(34):
                world.endpoint(f"e{1 + number % 3}")
                world.advance(0.1)
                if number == 17:
                    world.fault(StoreFault.NONE, readers[2:])

            now_s = world.loop.world_s
            assert world.holds_for_all(lambda state: len(state.registry.usable("s", now_s)) == 3)

    def test_resumed_entry_does_not_take_old_messages_for_new(self):
        """Guards against old messages that renew the settings of a host which was paused.

        A key is revoked during the pause. The times in a message are relative to the receiver's own
        last reply, so a message from its socket buffer looks as old as it is.
        """
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            paused = next(row for row in world.members.values() if not row.state.fan_out.is_reader)
            paused.held_until_s = world.loop.now_s + 6.0
            world.fault(StoreFault.SILENT, [paused.name])
            world.advance(2.0)
            paused.is_cut = True
            world.configure()
            world.advance(4.05)

            assert paused.state.lease.age_s(world.loop.world_s) > 3.9
            assert world.violations == []

    def test_restarted_entries_get_updates_again(self):
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            for name in list(world.members)[:12]:
                address = world.members[name].address
                world.kill(name)
                world.start(name, address)
            world.advance(4.0)
            world.configure()
            world.advance(0.2)

            version = world.version
            assert world.holds_for_all(lambda state: state.config.version == version)
            assert world.max_age_in(5.0) < 2.2
            assert world.violations == []

    def test_restart_of_many_entries_does_not_overload_the_store(self):
        """Guards against a burst of reads after 37 of 68 entries restart together.

        Each of them reads the newest records once and writes its address. From the fourth second
        on, the number of calls is that of the steady state.
        """
        with FleetWorld(68) as world:
            world.advance(STARTED_S)
            lost = list(world.members)[:37]
            addresses = {name: world.members[name].address for name in lost}
            for name in lost:
                world.kill(name)
            assert world.max_age_in(2.0) < NOT_READY_S
            for name, address in addresses.items():
                world.start(name, address)
            calls = [world.calls_in(1.0) for _ in range(6)]

            assert sum(calls[:4]) < len(lost) * 6 + 4 * 2.0 * 8
            assert max(calls[4:]) < 2.0 * 8
            assert world.max_age_in(3.0) < 2.0
            assert world.violations == []

    def test_fleet_with_differing_lists_stays_up_to_date(self):
        """Some entries know only half of the others, so they compute a different fan-out tree."""
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            for row in list(world.members.values())[:8]:
                known = dict(row.state.fan_out.addresses())
                row.state.fan_out.replace(dict(list(known.items())[::2]))

            assert world.max_age_in(10.0) < NOT_READY_S
            assert world.violations == []


class TestEndpointRecords:
    def test_thousands_of_records_are_read_from_the_store_by_each_entry(self):
        """Guards against pushing the full list: 0.9 MB to each of eight entries, twice."""
        with FleetWorld(68) as world:
            world.advance(STARTED_S)
            for row in world.members.values():
                row.sent_bytes = 0
            for number in range(2_000):
                world.endpoint(f"many{number}")
            world.advance(2.0)

            assert world.holds_for_all(lambda state: len(state.registry) == 2_004)
            assert max(row.sent_bytes for row in world.members.values()) < 60_000

    def test_records_are_sent_by_one_source_only(self):
        with FleetWorld(68) as world:
            world.advance(STARTED_S)
            for row in world.members.values():
                row.sent_bytes = 0
            for number in range(40):
                world.endpoint(f"some{number}")
            world.advance(0.5)
            records = world.members["front-0"].endpoints.records()
            size = sum(len(row.value) for row in records)
            sent = sum(row.sent_bytes for row in world.members.values())

            assert world.holds_for_all(lambda state: len(state.registry) == 44)
            assert sent < 68 * 2.2 * size

    def test_second_source_sends_what_the_first_did_not_send(self):
        with FleetWorld(68) as world:
            world.advance(STARTED_S)
            member = next(row for row in world.members.values() if row.state.fan_out.depth == 2)
            first, _ = member.state.fan_out.upstream()
            world.kill(first)
            world.endpoint("e9")
            world.advance(0.4)

            assert member.state.registry.find("e9") is not None


class TestOutage:
    @pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.SILENT])
    def test_unreachable_store_gets_few_calls(self, fault):
        """Guards against every entry reading each topic four times a second in an outage."""
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            world.fault(fault)

            assert world.calls_in(8.0) < 8.0 * 24 * 1.5

    @pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.SILENT])
    def test_return_of_the_store_is_noticed_at_once(self, fault):
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            world.fault(fault)
            world.advance(6.0)
            world.fault(StoreFault.NONE)
            world.configure()
            world.advance(1.5)

            version = world.version
            assert world.holds_for_all(lambda state: state.config.version == version)


class TestHistories:
    """Entries are paused, cut off, restarted and rejected by the store, in random order.

    No entry may ever have settings confirmed at a time after newer ones were written. Once all
    faults are cleared, every entry gets the newest settings within seconds.
    """

    @pytest.mark.parametrize("seed", range(1, 13))
    def test_old_settings_are_never_confirmed(self, seed):
        with FleetWorld(22, seed=seed) as world:
            world.advance(4.0)
            history = History(world, seed)
            history.play()
            history.heal(())
            world.advance(8.0)

            version = world.version
            assert world.violations == []
            assert world.holds_for_all(lambda state: state.config.version == version)
            assert world.max_age_in(4.0) < NOT_READY_S

    def test_ages_relative_to_the_arrival_are_detected(self, monkeypatch):
        """Without the receiver's clock in them, messages that waited in a socket look new."""

        def decode(data):
            update = ORIGINAL(data)
            return attrs.evolve(update, clock_s=boot_time_s() - 0.1 - max(0.0, update.confirmed_s))

        monkeypatch.setattr(Update, "decode", decode)

        assert any(self.breaks(seed) for seed in range(1, 13))

    @staticmethod
    def breaks(seed):
        with FleetWorld(22, seed=seed) as world:
            world.advance(4.0)
            History(world, seed).play()
            return bool(world.violations)


ORIGINAL = Update.decode


class TestOracle:
    """The checks of the simulated fleet fail if the age rule or the fallback is removed."""

    def test_lease_renewed_without_the_age_is_detected(self, monkeypatch):
        monkeypatch.setattr(
            "beryljunction.gateway.config_watcher.ConfigWatcher.apply_update",
            lambda self, host, version, value, asked_s: self._state.lease.confirm(
                self._state.lease.confirmed_s + 1.0
            ),
        )
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.SILENT)
            world.configure()
            world.advance(3.0)

            assert world.violations

    def test_fleet_without_fallback_goes_stale(self, monkeypatch):
        monkeypatch.setattr(
            "beryljunction.routing.FanOut.read_after_s", lambda self, revocation_s, draw: 1e9
        )
        monkeypatch.setattr("beryljunction.gateway.peers.should_ask_peers", lambda *_: False)
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            for name in world.readers():
                world.kill(name)

            assert world.max_age_in(8.0) > NOT_READY_S


class TestMessages:
    UPDATE = Update(
        "a",
        "1",
        5.0,
        -0.5,
        None,
        7,
        ZoneUpdate(12, ("north",)),
        Progress(14, -0.25),
        Progress(),
        True,
        b'{"x": "\xff"}',
        TopicUpdate((Record("e", None),), 3, 4),
    )

    def test_round_trip(self):
        reply = Reply("1", 2.5, 7, -1, 4)

        assert Update.decode(self.UPDATE.encode()) == self.UPDATE
        assert Reply.decode(reply.encode()) == reply

    @pytest.mark.parametrize(
        ("place", "value"),
        [
            (0, 7),
            (0, "x" * 129),
            (2, "now"),
            (3, float("nan")),
            (3, 1e9),
            (4, True),
            (5, "x"),
            (6, 3),
            (6, []),
            (6, ["north"]),
            (6, [3, 4]),
            (6, [3, "x" * 129]),
            (6, [3, *["north"] * 256]),
            (7, "x"),
            (7, [14]),
            (7, ["x", 0.5]),
            (7, [14, "now"]),
            (7, [14, 1e9]),
            (8, 3),
            (10, 3),
            (11, [1]),
            (11, [3, 4, [["e", 7]]]),
            (11, [3, 4, [["e", None]] * 5_000]),
            (12, {}),
        ],
    )
    def test_invalid_field_is_an_error(self, place, value):
        values = json.loads(self.UPDATE.encode())
        values[place] = value

        rejected = Update.decode(json.dumps(values).encode())
        assert isinstance(rejected, InvalidRecord)
        assert "expected" in rejected.problem

    @pytest.mark.parametrize("data", [b"", b"[]", b"{}", b"\xff", b"[1,2,3,4,5,6]"])
    def test_malformed_message_is_an_error(self, data):
        for message_type in (Update, Reply):
            rejected = message_type.decode(data)
            assert isinstance(rejected, InvalidRecord)
            assert "expected" in rejected.problem

    def test_invalid_updates_are_rejected_and_change_nothing(self):
        """Messages that are malformed, come from an unknown host, or have times in the future."""
        with FleetWorld(2) as world:
            world.advance(STARTED_S)
            one = world.members["front-0"]
            hello = Update("front-1", "", 0.0, 0.0, None, 0)
            incarnation = Reply.decode(one.updates.apply(hello.encode())).incarnation
            future = Update("front-1", incarnation, 0.0, 0.0, None, 99)
            messages = [
                b"{}",
                Update("stranger", incarnation, 0.0, 0.0, None, 99).encode(),
                Update("front-1", incarnation, 1e6, 1e6, None, 99).encode(),
                Update("front-1", incarnation, 0.0, 0.0, 1e6, 99).encode(),
                attrs.evolve(future, endpoints_progress=Progress(3, 1e4)).encode(),
                attrs.evolve(future, entries_progress=Progress(3, 1e4)).encode(),
            ]

            for message in messages:
                rejected = one.updates.apply(message)
                assert isinstance(rejected, InvalidRecord)
                assert "expected" in rejected.problem

            assert world.max_age_in(3.0) < 2.0
            assert world.violations == []

    def test_entry_that_does_not_answer_costs_only_the_timeout(self):
        async def run():
            async with open_harness(route(), start=False) as harness:
                harness.store.faults.silent = True
                with anyio.fail_after(1.0):
                    silent = await HttpUpdateClient().send_update(harness.store_address, b"{}")
                    refused = await HttpUpdateClient().send_update(("127.0.0.1", 1), b"{}")
                return silent, refused

        assert anyio.run(run) == (None, None)
