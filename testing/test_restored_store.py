"""A store that is restored from a backup some seconds old, and then assigns offsets again."""

import contextlib
import copy
import json

import anyio
import pytest

from beryljunction.fuzz.platform import stores
from beryljunction.gateway.registration import Registration
from beryljunction.platform import (
    FLEET_CONFIG,
    Expired,
    HttpStore,
    NewestRecords,
    Records,
    Unavailable,
)
from beryljunction.platform.positions import era_of, offset_of, position_of
from beryljunction.routing import EndpointRegistry, StoreReachability
from beryljunction.servers import Server, bind_listener
from beryljunction.standins import PlatformStoreModel, PlatformStoreStandIn
from fanout_world import FleetWorld, StoreFault
from routing_fakes import endpoint, known

STARTED_S = 8.0
# Time within which the platform guarantees that a restarted entry has caught up.
CAUGHT_UP_S = 4.0
LAPSE_S = 2.0


def change(world):
    world.configure()
    world.endpoint("late")
    world.put("keyed.servers", "e0", None)
    world.start("new", ("10.0.0.1", 5_000))


def rewrite_records(world):
    """Let the operator and the endpoints write their records again."""
    world.configure()
    for name in ("e1", "e2", "e3", "late"):
        world.endpoint(name)
    world.put("keyed.servers", "e0", None)


def differing(world):
    """Return the entries whose state differs from the store's."""
    names = {f"e{number}" for number in range(1, 4)} | {"late"}
    rows = []
    for row in world.members.values():
        row.state.registry.expire(world.loop.world_s)
        known = {known.record.endpoint_id for known in row.state.registry.rows}
        hosts = set(row.state.fan_out.hosts)
        is_same = row.state.config.version == world.version and known == names
        if not is_same or hosts != set(world.members):
            rows.append((row.name, row.state.config.version, known ^ names, len(hosts)))
    return rows


def restore_unseen(world):
    """Restore the store and reassign offsets while no entry reaches it."""
    before = world.model.copy()
    change(world)
    world.advance(2.0)
    world.fault(StoreFault.BUSY)
    world.model.restore(before)
    rewrite_records(world)
    for _ in range(40):
        world.endpoint("e1")
    world.advance(0.5)
    world.fault(StoreFault.NONE)
    world.advance(2 * CAUGHT_UP_S)


class TestPosition:
    @pytest.mark.parametrize(("era", "offset"), [(0, 0), (0, 7), (3, 0), (65_535, (1 << 48) - 1)])
    def test_round_trip(self, era, offset):
        position = position_of(era, offset)

        assert (era_of(position), offset_of(position)) == (era, offset)

    def test_later_era_sorts_after_every_earlier_position(self):
        assert position_of(1, 0) > position_of(0, 10**12)

    def test_position_in_era_0_is_the_offset(self):
        assert position_of(0, 42) == 42


class TestHttpStore:
    def play(self, play):
        """Run against a fake store whose settings topic has three records."""

        async def run():
            stand_in = PlatformStoreStandIn()
            problems = []
            async with anyio.create_task_group() as group:
                server = Server(stand_in, bind_listener("127.0.0.1:0"))
                await group.start(server.serve_until_stopped)
                address = ("127.0.0.1", int(server.address.rpartition(":")[2]))
                for number in range(3):
                    put(stand_in, f"k{number}")
                async with HttpStore(address, problems.append) as store:
                    result = await play(stand_in, store)
                group.cancel_scope.cancel()
            return result, problems

        def put(stand_in, key):
            stand_in.model.put(FLEET_CONFIG.name, key, b"1", stand_in._now_s())

        self.put = put
        return anyio.run(run)

    def test_read_from_a_reassigned_offset_expires(self):
        """Guards against appending records of a restored store to those before the restoration."""

        async def play(stand_in, store):
            before = stand_in.model.copy()
            for number in range(3):
                self.put(stand_in, f"lost{number}")
            end = (await store.read_newest(FLEET_CONFIG)).next_position
            stand_in.model.restore(before)
            for number in range(5):
                self.put(stand_in, f"new{number}")
            read = await store.read(FLEET_CONFIG, end, 0)
            again = await store.read_newest(FLEET_CONFIG)
            on = await store.read(FLEET_CONFIG, again.next_position, 0)
            return end, read, again, on

        (end, read, again, on), problems = self.play(play)

        assert end == 6
        assert read == Expired()
        assert (era_of(again.next_position), offset_of(again.next_position)) == (1, 8)
        assert on == Records((), again.next_position, again.next_position)
        assert problems == []

    def test_read_from_an_offset_beyond_the_end_expires(self):
        async def play(stand_in, store):
            before = stand_in.model.copy()
            self.put(stand_in, "lost")
            end = (await store.read_newest(FLEET_CONFIG)).next_position
            stand_in.model.restore(before)
            return await store.read(FLEET_CONFIG, end, 0)

        assert self.play(play)[0] == Expired()

    @pytest.mark.parametrize("is_busy", [True, False])
    def test_any_answer_of_a_new_era_ends_long_polls_of_the_old_one(self, is_busy):
        """Guards against a long poll that waits until its offset is assigned again."""

        async def play(stand_in, store):
            end = (await store.read_newest(FLEET_CONFIG)).next_position
            found = []

            async def wait():
                found.append(await store.read(FLEET_CONFIG, end, 20_000))

            with anyio.fail_after(5.0):
                async with anyio.create_task_group() as group:
                    group.start_soon(wait)
                    await anyio.sleep(0.1)
                    stand_in.model.restore(stand_in.model.copy())
                    # A busy store ends the long poll itself; otherwise only the client can.
                    stand_in.faults.busy = is_busy
                    await store.read_newest(FLEET_CONFIG)
            return found

        assert self.play(play)[0] == [Expired()]

    def test_late_answer_of_an_earlier_era_is_dropped(self):
        async def play(stand_in, store):
            await store.read_newest(FLEET_CONFIG)
            respond = stand_in._respond
            found = []

            async def respond_late(send, status, answer):
                stand_in._respond = respond
                await anyio.sleep(0.3)
                stand_in.model.era = 0
                await respond(send, status, answer)

            async def ask():
                found.append(await store.read_newest(FLEET_CONFIG))

            stand_in._respond = respond_late
            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await anyio.sleep(0.1)
                stand_in.model.era = 1
                found.append(await store.read_newest(FLEET_CONFIG))
            return found

        (fresh, late), problems = self.play(play)

        assert isinstance(fresh, NewestRecords)
        assert isinstance(late, Unavailable)
        assert problems == []

    @pytest.mark.parametrize(
        "header",
        [None, b"", b"x", b"-1", b"1.5", b"70000", b"9" * 30, b"\xff"],
        ids=["missing", "empty", "text", "negative", "fraction", "huge", "endless", "bytes"],
    )
    def test_missing_or_invalid_era_changes_nothing(self, header):
        async def play(stand_in, store):
            end = (await store.read_newest(FLEET_CONFIG)).next_position
            self.headers = [] if header is None else [(b"Store-Era", header)]
            store._pool.stream = self.stream(store._pool.stream)
            return end, await store.read(FLEET_CONFIG, end, 0)

        (end, read), problems = self.play(play)

        assert read == Records((), end, end)
        assert len(problems) == (0 if header is None else 1)

    def test_lower_era_changes_nothing(self):
        async def play(stand_in, store):
            stand_in.model.era = 5
            end = (await store.read_newest(FLEET_CONFIG)).next_position
            stand_in.model.era = 4
            return end, await store.read(FLEET_CONFIG, end, 0)

        (end, read), problems = self.play(play)

        assert era_of(end) == 5
        assert read == Records((), end, end)
        assert problems == ["expected era 5 or a later one, got 4"]

    def stream(self, original):
        """Return the pool's `stream` with the era headers replaced."""

        @contextlib.asynccontextmanager
        async def stream(*args, **fields):
            async with original(*args, **fields) as response:
                kept = [row for row in response.headers if row[0].lower() != b"store-era"]
                response.headers = [*kept, *self.headers]
                yield response

        return stream


class TestFleet:
    """After a short outage, the store comes back without the latest records."""

    def restore(self, world, lost_s=2.0, away_s=0.3):
        """Let the store come back without the records of the last seconds."""
        before = world.model.copy()
        change(world)
        world.advance(lost_s)
        world.fault(StoreFault.BUSY)
        world.advance(away_s)
        world.model.restore(before)
        world.fault(StoreFault.NONE)

    @pytest.mark.parametrize("entries", [1, 4, 24, 68])
    def test_all_entries_have_its_state_again(self, entries):
        """Guards against entries that continue to read from reassigned offsets."""
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            self.restore(world)
            world.advance(0.5)
            rewrite_records(world)
            world.advance(CAUGHT_UP_S)

            assert differing(world) == []
            assert world.holds_for_all(lambda state: state.era == 1)

    def test_offsets_reassigned_before_the_next_read(self):
        """Guards against an entry that continues from its offset of before the restoration."""
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            restore_unseen(world)

            assert differing(world) == []

    def test_second_restoration_while_entries_recover_from_the_first(self):
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            before = world.model.copy()
            self.restore(world)
            world.advance(0.3)
            rewrite_records(world)
            world.model.restore(before)
            world.advance(0.5)
            rewrite_records(world)
            world.advance(CAUGHT_UP_S)

            assert differing(world) == []
            assert world.holds_for_all(lambda state: state.era == 2)

    def test_first_reader_is_killed_during_the_outage(self):
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            first = next(
                row.name for row in world.members.values() if row.state.fan_out.is_first_reader
            )
            self.restore(world)
            address = world.members[first].address
            world.kill(first)
            world.advance(0.5)
            rewrite_records(world)
            world.start(first, address)
            world.advance(2 * CAUGHT_UP_S)

            assert differing(world) == []

    def test_settings_never_revert(self):
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            self.restore(world)
            version = world.version
            for _ in range(20):
                world.advance(0.1)

                rows = [row for row in world.members.values() if row.name != "new"]
                assert all(row.state.config.version == version for row in rows)

    def test_missing_endpoint_is_kept_until_it_could_have_rewritten_its_record(self):
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            self.restore(world, away_s=0.1)
            world.advance(0.8)

            assert world.holds_for_all(lambda state: state.registry.find("late") is not None)

            world.advance(LAPSE_S + CAUGHT_UP_S)
            for row in world.members.values():
                row.state.registry.expire(world.loop.world_s)

            assert world.holds_for_all(lambda state: state.registry.find("late") is None)

    def test_quarantine_is_rewritten(self):
        with FleetWorld(4) as world:
            world.advance(STARTED_S)
            before = world.model.copy()
            rows = list(world.members.values())
            for number in range(3):
                rows[0].state.quarantine.note_crash("d", known(f"x{number}"))
            world.advance(1.0)
            world.model.restore(before)
            world.advance(CAUGHT_UP_S)
            keys = [key for key, _, _ in world.model.newest("keyed.entries", "", 0.0)[0]]

            assert "quarantine/d" in keys

    def test_address_is_rewritten_beside_a_quarantine_of_another_writer(self):
        """Guards against an entry that others no longer find, since one record can't be written."""
        with FleetWorld(1) as world:
            before = world.model.copy()
            world.advance(STARTED_S)
            value = {"until": world.loop.world_s + 600, "features": ["x" * 250]}
            world.put("keyed.entries", "quarantine/x", json.dumps(value).encode())
            world.advance(STARTED_S)
            for _ in range(2):
                world.model.restore(before)
                world.configure()
                world.advance(30.0)

            rows, _, _ = world.model.newest("keyed.entries", "", world.loop.world_s)
            assert "front-0" in [key for key, _, _ in rows]

    def test_number_of_calls_after_a_restoration_is_bounded(self):
        """Guards against overloading a store that has just come back."""
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            self.restore(world)

            assert world.calls_in(1.0) < 24 * 10


class TestEntryThatStarts:
    """An entry that starts after the restoration, before the operator writes again."""

    ADDRESS = ("10.0.0.1", 5_000)

    def start(self, world, routes, is_lost=True):
        """Return the versions by which it was ready to serve, and its first ready time."""
        world.configure(routes)
        world.advance(STARTED_S)
        before = world.model.copy()
        world.configure(routes)
        world.advance(2.0)
        if is_lost:
            world.model.restore(before)
            world.advance(3.0)
        world.start("new", self.ADDRESS)
        state, versions, ready_s = world.members["new"].state, set(), None
        for step in range(100):
            world.advance(0.02, step_s=0.02)
            if state.is_ready():
                versions.add(state.config.version)
                ready_s = ready_s or step * 0.02
        return versions, ready_s

    @pytest.mark.parametrize("entries", [1, 4, 24])
    @pytest.mark.parametrize("routes", [1, 60, 600])
    def test_serves_by_the_newer_version_of_the_others_only(self, entries, routes):
        """Guards against an entry that accepts a key which was taken away before it started."""
        with FleetWorld(entries) as world:
            versions, _ = self.start(world, routes)

            assert versions == {world.version}

    def test_serves_by_the_copy_where_no_other_entry_answers(self):
        with FleetWorld(4) as world:
            world.advance(STARTED_S)
            world.cut_off(list(world.members))
            world.start("new", self.ADDRESS)
            world.advance(1.5)

            assert world.members["new"].state.is_ready()

    def test_start_is_delayed_little_by_the_question(self):
        with FleetWorld(24) as world:
            assert self.start(world, 60, is_lost=False)[1] <= 0.4


class TestRegistry:
    def test_restoration_is_treated_like_the_end_of_an_outage(self):
        reachability = StoreReachability()
        registry = EndpointRegistry(reachability)
        registry.put(endpoint("e1"), 0.0)
        reachability.note_restored(10.0)
        registry.replace([], 10.0)

        assert len(registry.usable("engine", 11.9)) == 1
        assert registry.usable("engine", 12.0) == []


class TestSafeguards:
    """Without any one of the safeguards, the entries do not recover."""

    def recovers(self):
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            restore_unseen(world)
            return differing(world) == []

    def test_entries_recover_with_all_safeguards(self):
        assert self.recovers()

    def test_positions_without_an_era_are_detected(self, monkeypatch):
        monkeypatch.setattr(stores, "position_of", lambda era, offset: offset)
        monkeypatch.setattr(PlatformStoreModel, "era", 0, raising=False)
        monkeypatch.setattr(
            PlatformStoreModel,
            "restore",
            lambda self, earlier: setattr(self, "_parts", copy.deepcopy(earlier.parts)),
        )

        assert not self.recovers()

    def test_lost_record_that_is_not_rewritten_is_detected(self, monkeypatch):
        monkeypatch.setattr(Registration, "_find_lost_records", lambda self, keys: None)

        assert not self.recovers()
