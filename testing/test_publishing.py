import json

import anyio
import attrs
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.updatelink import HttpUpdateLink
from beryljunction.gateway.updates import Progress, Reply, TopicUpdate, Update, ZoneUpdate
from beryljunction.platform import Record
from fanout_world import FleetWorld, History, StoreFault
from platform_world import open_world, route

# Ready is given up at this age, and callers are sent elsewhere.
NOT_READY_S = 3.0
# What one entry may send a second for control, in the letter of the users.
MOST_BYTES_PER_S = 4_096
STARTED_S = 8.0


class TestCalm:
    def test_calls_of_the_fleet_do_not_grow_with_it(self):
        """Dozens of entries follow the same records; each read of the store is paid for.

        Each for itself they ask some two times a second. Four ask for all.
        """
        calls = {}
        for entries, is_shared in ((22, True), (68, True), (68, False)):
            with FleetWorld(entries, is_shared) as world:
                world.advance(STARTED_S)
                calls[entries, is_shared] = world.calls_in(20.0)

        assert calls[68, True] <= calls[22, True] * 1.1
        assert calls[68, True] <= calls[68, False] / 10

    @pytest.mark.parametrize("entries", [1, 4, 5, 22, 68, 350])
    def test_all_hear_of_a_change_at_once(self, entries):
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            world.configure()
            world.endpoint("e3", "draining")
            world.advance(0.15)

            version = world.version
            assert world.all_know(lambda state: state.config.version == version)
            assert world.all_know(lambda state: state.registry.find("e3").record.is_draining)
            assert world.broken == []

    @pytest.mark.parametrize("entries", [4, 22, 68, 350])
    def test_settings_stay_fresh(self, entries):
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)

            assert world.oldest_in(10.0) < 2.0

    def test_entry_keeps_to_the_bytes_of_control(self):
        with FleetWorld(350) as world:
            world.advance(STARTED_S)
            for row in world.members.values():
                row.sent_bytes = 0
            world.advance(10.0)

            most = max(row.sent_bytes for row in world.members.values()) / 10.0
            assert most < MOST_BYTES_PER_S

    @pytest.mark.parametrize("routes", [400, 1_200])
    def test_large_settings_are_read_from_the_store_by_each(self, routes):
        """Some hundred routes are 60 KB and more; passed on to eight others they fill a thin link.

        On links of 10 Mbit/s the messages met their time limit, those below read for themselves all
        the same, and callers of the hosts that told waited for a second behind them.
        """
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            for row in world.members.values():
                row.sent_bytes = 0
            world.configure(routes)
            world.advance(0.6)

            version = world.version
            assert world.all_know(lambda state: state.config.version == version)
            assert max(row.sent_bytes for row in world.members.values()) < 20_000

    def test_large_settings_in_quick_succession_are_in_force_in_time(self):
        """Twelve versions in four seconds; each has to be in force everywhere within two."""
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
            assert world.all_know(lambda state: state.config.version == version)
            assert max(late_s) < 1.0
            assert world.broken == []


class TestLoss:
    """Entries that read for others are lost, or can't read, at the worst moment."""

    @pytest.mark.parametrize("lost", [1, 2, 3, 4])
    @pytest.mark.parametrize("entries", [22, 68])
    def test_readers_that_are_killed_are_not_missed(self, entries, lost):
        """Readers are killed for good, and their addresses stay in the store.

        Those below ask peers, then the store, level by level, and tell those below them: nobody
        loses readiness, and the calls stay far from one for each entry.
        """
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            for name in world.readers()[:lost]:
                world.kill(name)

            assert world.oldest_in(8.0) < NOT_READY_S
            world.configure()
            world.advance(3.5)
            version = world.version
            assert world.all_know(lambda state: state.config.version == version)
            assert world.broken == []
            assert world.calls_in(10.0) < 10 * 2.0 * entries / 2

    def test_readers_that_the_store_turns_away_go_on_by_the_others(self):
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.BUSY, world.readers()[:3])
            world.configure()
            world.advance(0.5)

            version = world.version
            assert world.all_know(lambda state: state.config.version == version)
            assert world.oldest_in(9.0) < 2.0

    @pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.SILENT, StoreFault.LATE])
    def test_all_readers_turned_away_are_no_outage_for_the_others(self, fault):
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(fault, world.readers())
            world.advance(1.0)
            world.configure()
            world.advance(6.0)

            version = world.version
            assert world.all_know(lambda state: state.config.version == version)
            assert world.broken == []

    def test_store_that_is_away_keeps_nobody_in_force(self):
        """No entry reaches the store, and all reach each other.

        Were an age to get younger on its way, keys that were taken away would be honoured without
        end. All of them grow old together.
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
            assert world.broken == []

            world.fault(StoreFault.NONE)
            world.advance(2.0)

            version = world.version
            assert world.all_know(lambda state: state.config.version == version)

    def test_return_of_the_store_is_no_herd(self):
        """68 entries have lost the store for six seconds; it takes what few readers ask."""
        with FleetWorld(68) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.SILENT)
            world.advance(6.0)
            world.fault(StoreFault.NONE)
            world.advance(2.0)

            assert world.calls_in(10.0) < 10 * 2.0 * 68 / 8

    def test_endpoints_that_lapse_in_an_outage_are_kept_by_all(self):
        """The store is away, and records of sound endpoints expire; they come back after it.

        An entry that does not read for itself has to know that the store was away, or it drops
        them all and has nobody to send its callers to.
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
            assert world.all_know(lambda state: len(state.registry.usable("s", now_s)) == 4)

            for number in range(3):
                world.endpoint(f"e{number}")
            world.advance(5.0)

            now_s = world.loop.world_s
            assert world.all_know(lambda state: len(state.registry.usable("s", now_s)) == 3)

    def test_endpoint_that_left_in_an_outage_is_gone_while_hosts_come_back_one_by_one(self):
        """Guards against each host's own return keeping a departed endpoint for two more seconds.

        The store is back for most, and rejects a few hosts for another second or two.
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
            assert world.all_know(lambda state: len(state.registry.usable("s", now_s)) == 3)

    def test_paused_entry_does_not_take_old_messages_for_new(self):
        """A host is paused while a key is taken away; on waking it finds what it was told before.

        Each message says when the store was asked as a span from the entry's own last word, so
        what lay in the socket looks as old as it is.
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
            assert world.broken == []

    def test_entries_that_start_again_go_on(self):
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
            assert world.all_know(lambda state: state.config.version == version)
            assert world.oldest_in(5.0) < 2.2
            assert world.broken == []

    def test_return_of_many_is_no_herd_on_the_store(self):
        """37 of 68 entries are killed at the same moment, and start again two seconds later.

        Each needs the newest records once, and writes its address. Those that stayed are told by
        others meanwhile; from the fourth second on the calls are those of a calm fleet.
        """
        with FleetWorld(68) as world:
            world.advance(STARTED_S)
            lost = list(world.members)[:37]
            addresses = {name: world.members[name].address for name in lost}
            for name in lost:
                world.kill(name)
            assert world.oldest_in(2.0) < NOT_READY_S
            for name, address in addresses.items():
                world.start(name, address)
            calls = [world.calls_in(1.0) for _ in range(6)]

            assert sum(calls[:4]) < len(lost) * 6 + 4 * 2.0 * 8
            assert max(calls[4:]) < 2.0 * 8
            assert world.oldest_in(3.0) < 2.0
            assert world.broken == []

    def test_fleet_whose_lists_differ_loses_nothing(self):
        """An entry has not heard of half of the others, so it tells and expects the wrong ones."""
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            for row in list(world.members.values())[:8]:
                known = dict(row.state.fan_out.addresses())
                row.state.fan_out.replace(dict(list(known.items())[::2]))

            assert world.oldest_in(10.0) < NOT_READY_S
            assert world.broken == []


class TestRecordsOfEndpoints:
    def test_newest_of_thousands_are_read_from_the_store_by_each(self):
        """Guards against the full list being passed on: 0.9 MB to each of eight entries, twice."""
        with FleetWorld(68) as world:
            world.advance(STARTED_S)
            for row in world.members.values():
                row.sent_bytes = 0
            for number in range(2_000):
                world.endpoint(f"many{number}")
            world.advance(2.0)

            assert world.all_know(lambda state: len(state.registry) == 2_004)
            assert max(row.sent_bytes for row in world.members.values()) < 60_000

    def test_records_come_from_one_source(self):
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

            assert world.all_know(lambda state: len(state.registry) == 44)
            assert sent < 68 * 2.2 * size

    def test_second_source_sends_what_the_first_did_not(self):
        with FleetWorld(68) as world:
            world.advance(STARTED_S)
            told = next(row for row in world.members.values() if row.state.fan_out.depth == 2)
            first, _ = told.state.fan_out.upstream()
            world.kill(first)
            world.endpoint("e9")
            world.advance(0.4)

            assert told.state.registry.find("e9") is not None


class TestOutage:
    @pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.SILENT])
    def test_store_that_is_away_is_asked_by_few(self, fault):
        """Guards against every entry asking for each topic four times a second in an outage."""
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            world.fault(fault)

            assert world.calls_in(8.0) < 8.0 * 24 * 1.5

    @pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.SILENT])
    def test_its_return_is_noticed_at_once(self, fault):
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            world.fault(fault)
            world.advance(6.0)
            world.fault(StoreFault.NONE)
            world.configure()
            world.advance(1.5)

            version = world.version
            assert world.all_know(lambda state: state.config.version == version)


class TestHistories:
    """Entries are paused, cut off, started again and turned away by the store, in any order.

    At no time may one hold settings as confirmed later than newer ones were written; once all is
    well again, all have the newest within the seconds in which the store is found again.
    """

    @pytest.mark.parametrize("seed", range(1, 13))
    def test_nothing_old_is_held_as_new(self, seed):
        with FleetWorld(22, seed=seed) as world:
            world.advance(4.0)
            history = History(world, seed)
            history.play()
            history.heal(())
            world.advance(8.0)

            version = world.version
            assert world.broken == []
            assert world.all_know(lambda state: state.config.version == version)
            assert world.oldest_in(4.0) < NOT_READY_S

    def test_messages_counted_from_their_arrival_are_found(self, monkeypatch):
        """Without the receiver's own clock in them, messages that lay in a socket look new."""

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
            return bool(world.broken)


ORIGINAL = Update.decode


class TestOracle:
    """What the world looks for is found when the rule of the age, or the fallback, is taken out."""

    def test_age_counted_from_arrival_is_found(self, monkeypatch):
        monkeypatch.setattr(
            "beryljunction.gateway.following.ConfigWatcher.apply_update",
            lambda self, host, version, value, asked_s: self._state.lease.confirm(
                self._state.lease.confirmed_s + 1.0
            ),
        )
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            world.fault(StoreFault.SILENT)
            world.configure()
            world.advance(3.0)

            assert world.broken

    def test_fleet_without_fallback_goes_stale(self, monkeypatch):
        monkeypatch.setattr(
            "beryljunction.routing.FanOut.ask_after_s", lambda self, revocation_s, draw: 1e9
        )
        monkeypatch.setattr("beryljunction.gateway.peers.needs_peers", lambda *_: False)
        with FleetWorld(22) as world:
            world.advance(STARTED_S)
            for name in world.readers():
                world.kill(name)

            assert world.oldest_in(8.0) > NOT_READY_S


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

    def test_forms_are_read_as_they_were_written(self):
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
    def test_what_no_entry_writes_is_an_error(self, place, value):
        values = json.loads(self.UPDATE.encode())
        values[place] = value

        with pytest.raises(ValueError, match="expected"):
            Update.decode(json.dumps(values).encode())

    @pytest.mark.parametrize("data", [b"", b"[]", b"{}", b"\xff", b"[1,2,3,4,5,6]"])
    def test_bytes_that_are_none_are_an_error(self, data):
        for form in (Update, Reply):
            with pytest.raises(ValueError, match="expected"):
                form.decode(data)

    def test_bad_updates_are_refused_and_change_nothing(self):
        """Messages that can't be read, of a host that no list names, and from the future."""
        with FleetWorld(2) as world:
            world.advance(STARTED_S)
            one = world.members["front-0"]
            hello = Update("front-1", "", 0.0, 0.0, None, 0)
            life = Reply.decode(one.updates.take(hello.encode())).life
            future = Update("front-1", life, 0.0, 0.0, None, 99)
            messages = [
                b"{}",
                Update("stranger", life, 0.0, 0.0, None, 99).encode(),
                Update("front-1", life, 1e6, 1e6, None, 99).encode(),
                Update("front-1", life, 0.0, 0.0, 1e6, 99).encode(),
                attrs.evolve(future, endpoints_progress=Progress(3, 1e4)).encode(),
                attrs.evolve(future, entries_progress=Progress(3, 1e4)).encode(),
            ]

            for message in messages:
                with pytest.raises(ValueError, match="expected"):
                    one.updates.take(message)

            assert world.oldest_in(3.0) < 2.0
            assert world.broken == []

    def test_entry_that_does_not_answer_costs_a_moment(self):
        async def run():
            async with open_world(route(), start=False) as world:
                world.store.faults.silent = True
                with anyio.fail_after(1.0):
                    dark = await HttpUpdateLink().update(world.store_address, b"{}")
                    gone = await HttpUpdateLink().update(("127.0.0.1", 1), b"{}")
                return dark, gone

        assert anyio.run(run) == (None, None)
