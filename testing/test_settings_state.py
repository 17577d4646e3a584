import random

import anyio
import pytest

from beryljunction.servers import Server, bind_listener, create_client_pool
from beryljunction.settings import (
    CHANGES_STREAM,
    SNAPSHOTS_STREAM,
    Change,
    Edit,
    FollowerSettings,
    HttpPeers,
    PeerSource,
    SettingsFollower,
    SettingsState,
    serve_settings,
)
from beryljunction.settings.snapshots import SnapshotSchedule
from beryljunction.standins import LogModel, LogModelSettings, ModelLogClient
from beryljunction.stores import LogPage, LogRecord

POLL = FollowerSettings(poll_s=0.0, retention_s=80.0)


def change(number, base):
    return Change(f"c{number}", base, "asha", (Edit("deadline_s", float(number)),)).to_data()


class Fleet:
    """A log and its followers in virtual time."""

    def __init__(self, retention_s=80.0):
        self.now_s = 0.0
        self.log = LogModel(LogModelSettings(retention_s=retention_s))
        self.client = ModelLogClient(self.log, lambda: self.now_s)

    def publish(self, number, base):
        self.log.append(CHANGES_STREAM, f"c{number}", change(number, base), self.now_s)

    def follower(self, peer=None, seed=0):
        peers = Peer(peer) if peer is not None else None
        return SettingsFollower(
            SettingsState("gj-west"),
            self.client,
            lambda view: None,
            peers,
            POLL,
            lambda: self.now_s,
            random.Random(seed),
        )

    def step(self, follower):
        """Run one step; it never suspends, so no event loop is needed."""
        for step in (follower.step, follower.poll_peer):
            with pytest.raises(StopIteration):
                step().send(None)


class Peer(PeerSource):
    def __init__(self, state):
        self.state = state

    exchange_interval_s = 1.0

    async def exchange(self, version):
        return self.state.tree.to_data() if self.state.version > version else None


class TestSettingsState:
    def test_late_repeated_or_overlapping_pages_have_no_effect(self):
        state = SettingsState("gj-west")
        records = tuple(LogRecord(i, f"c{i}", change(i, i - 1)) for i in (1, 2, 3))

        for page in (records, records[:2], records[1:]):
            state.apply_page(LogPage(page, 1, 4))

        assert state.version == 3
        assert state.tree.values() == dict.fromkeys(state.tree.values(), 3.0)

    def test_no_records_are_applied_across_a_gap(self):
        state = SettingsState("gj-west")

        state.apply_page(LogPage((LogRecord(5, "c5", change(5, 4)),), 5, 6))

        assert state.version == 0
        assert state.needs_snapshot
        assert state.alarms.gaps == 1

    def test_older_snapshot_never_reverts_a_setting(self):
        state = SettingsState("gj-west")
        state.apply_page(LogPage((LogRecord(1, "c1", change(1, 0)),), 1, 2))
        old = state.tree.to_data()
        state.apply_page(LogPage((LogRecord(2, "c2", change(2, 1)),), 1, 3))

        assert not state.apply_snapshot(old)
        assert state.version == 2

    @pytest.mark.parametrize("data", [None, {}, {"kind": "snapshot", "version": 9, "leaves": [1]}])
    def test_invalid_snapshot_is_counted_and_ignored(self, data):
        state = SettingsState("gj-west")

        assert not state.apply_snapshot(data)
        assert state.alarms.poison_snapshots == 1

    def test_different_tree_at_the_same_version_counts_as_a_fork(self):
        state = SettingsState("gj-west")

        state.check_peer_digest(0, state.digest)
        state.check_peer_digest(0, "other")

        assert state.alarms.forks == 1


class TestSettingsFollower:
    def test_starts_from_a_snapshot_when_the_first_records_have_expired(self):
        fleet = Fleet()
        running = fleet.follower()
        fleet.publish(1, 0)
        for second in range(0, 200, 5):
            fleet.now_s = float(second)
            fleet.step(running)
        fleet.publish(2, 1)
        late = fleet.follower()

        fleet.step(late)

        assert late.state.version == 2
        assert late.state.view.version == 2

    def test_starts_from_a_peer_while_the_log_is_down(self):
        fleet = Fleet()
        running = fleet.follower()
        fleet.publish(1, 0)
        fleet.step(running)
        fleet.log.down = True
        late = fleet.follower(peer=running.state)

        fleet.step(late)

        assert late.state.digest == running.state.digest

    def test_no_peer_is_polled_while_the_log_responds(self):
        fleet = Fleet()
        ahead = SettingsState("gj-west")
        ahead.apply_page(LogPage((LogRecord(1, "c1", change(1, 0)),), 1, 2))
        follower = fleet.follower(peer=ahead)

        for second in range(5):
            fleet.now_s = float(second)
            fleet.step(follower)

        assert follower.state.version == 0

    def test_process_paused_beyond_the_retention_recovers_through_a_peer(self):
        fleet = Fleet(retention_s=10.0)
        running = fleet.follower()
        paused = fleet.follower(peer=running.state)
        for number in range(1, 4):
            fleet.publish(number, number - 1)
            fleet.step(running)
            fleet.now_s += 8.0
        fleet.log.read(SNAPSHOTS_STREAM, 0, 1, fleet.now_s)

        fleet.step(paused)

        assert paused.state.version == 3
        assert paused.state.digest == running.state.digest

    def test_fleet_publishes_few_snapshots_and_always_has_one(self):
        fleet = Fleet()
        fleet.publish(1, 0)
        followers = [fleet.follower(seed=seed) for seed in range(20)]
        has_snapshot = []
        for second in range(1, 400):
            fleet.now_s = float(second)
            for follower in followers:
                fleet.step(follower)
            page = fleet.log.read(SNAPSHOTS_STREAM, 0, 100, fleet.now_s)
            has_snapshot.append(bool(page.records))

        published = fleet.log.read(SNAPSHOTS_STREAM, 0, 100, fleet.now_s).next_offset - 1
        assert all(has_snapshot[25:])
        assert published <= 400 / 10

    def test_newer_tree_is_pushed_to_a_peer_that_lags(self):
        async def run():
            ahead, behind = SettingsState("gj-west"), SettingsState("gj-west")
            ahead.apply_page(LogPage((LogRecord(1, "c1", change(1, 0)),), 1, 2))

            async def app(scope, receive, send):
                await serve_settings(behind, behind.apply_snapshot, scope, receive, send)

            server = Server(app, bind_listener("127.0.0.1:0"))
            async with anyio.create_task_group() as group, create_client_pool() as pool:
                await group.start(server.serve_until_stopped)
                await HttpPeers(lambda: [server.address], ahead, pool, "key").exchange(1)
                group.cancel_scope.cancel()
            return ahead, behind

        ahead, behind = anyio.run(run)

        assert behind.digest == ahead.digest

    def test_peer_returns_a_newer_tree_over_http(self):
        async def run():
            ahead, behind = SettingsState("gj-west"), SettingsState("gj-west")
            ahead.apply_page(LogPage((LogRecord(1, "c1", change(1, 0)),), 1, 2))

            async def app(scope, receive, send):
                await serve_settings(ahead, ahead.apply_snapshot, scope, receive, send)

            server = Server(app, bind_listener("127.0.0.1:0"))
            async with anyio.create_task_group() as group, create_client_pool() as pool:
                await group.start(server.serve_until_stopped)
                peers = HttpPeers(lambda: [server.address], behind, pool, "key")
                data = await peers.exchange(0)
                nothing = await peers.exchange(1)
                group.cancel_scope.cancel()
            return ahead, behind, data, nothing

        ahead, behind, data, nothing = anyio.run(run)

        assert behind.apply_snapshot(data)
        assert behind.digest == ahead.digest
        assert nothing is None


class TestSnapshotSchedule:
    def test_single_process_publishes_with_half_of_the_retention_left(self):
        schedule = SnapshotSchedule(80.0, random.Random(1), 0.0)

        due = [schedule.is_due(float(second)) for second in range(22)]

        assert not any(due[:10])
        assert due[20]
