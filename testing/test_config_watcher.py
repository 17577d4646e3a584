import json

import anyio
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.config_watcher import ConfigWatcher
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.state import EntryState
from beryljunction.platform import (
    DeploymentBounds,
    HostSettings,
    NewestRecords,
    Record,
    Records,
    Store,
    Unavailable,
    WriteOutcome,
)
from endpoint_records import record
from entry_harness import CapturedLog, open_harness, route

FAST = DeploymentBounds(revocation_ms=3_000)


class TestSettings:
    def test_change_takes_effect_at_once(self):
        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                before = (await harness.send_request(path="/new/"))[0]
                harness.configure(route(), route("/new/"))
                await anyio.sleep(0.2)
                return before, (await harness.send_request(path="/new/"))[0]

        assert anyio.run(run) == (404, 200)

    @pytest.mark.parametrize(
        "value", [b"\xff\x00", b"[]", b'{"version": 9}', b'{"version": "x", "routes": []}']
    )
    def test_invalid_settings_leave_the_last_valid_ones_in_force(self, value):
        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                harness.put("keyed.op", "config", value)
                await anyio.sleep(0.2)
                return (await harness.send_request())[0], harness.lines.of_event("settings_refused")

        status, lines = anyio.run(run)

        assert status == 200
        assert len(lines) == 1
        assert "expected" in lines[0]

    def test_older_version_is_never_applied(self):
        """Guards against answering 404 for a route that was served before.

        The store's history is rewound, and an older version is the newest record for a while.
        """

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                record = harness.store.model.newest("keyed.op", "", 0.0)[0][0][2]
                harness.configure(route(), route("/new/"))
                await anyio.sleep(0.2)
                harness.put("keyed.op", "config", record)
                await anyio.sleep(0.2)
                return (await harness.send_request(path="/new/"))[0]

        assert anyio.run(run) == 200

    def test_old_version_after_a_new_one_does_not_hide_it(self):
        """Guards against applying only the last record of a read.

        A key is revoked, and the previous version follows in the same read. A fuzz test found that
        the newer version was skipped, so the key was accepted while every read confirmed the
        settings.
        """

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                old = harness.store.model.newest("keyed.op", "", 0.0)[0][0][2]
                harness.store.faults.busy = True
                await anyio.sleep(2.0)
                harness.configure(route(), tenants=[{"name": "acme", "api-keys": ["other"]}])
                harness.put("keyed.op", "config", old)
                harness.store.faults.busy = False
                await anyio.sleep(1.0)
                return (await harness.send_request())[0]

        assert anyio.run(run) == 401

    def test_expired_history_is_replaced_by_a_snapshot(self):
        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                harness.store.faults.busy = True
                await anyio.sleep(0.3)
                harness.configure(route(), route("/new/"))
                await harness.add_endpoint("e2")
                harness.put("keyed.servers", "e1", None)
                for topic in ("keyed.op", "keyed.servers"):
                    harness.store.model.compact(topic)
                harness.store.faults.busy = False
                await anyio.sleep(1.0)
                return (await harness.send_request(path="/new/"))[0], harness.lines.of_event(
                    "history_expired"
                )

        status, lines = anyio.run(run)

        assert status == 200
        assert lines


class TestFirstRead:
    def test_first_reads_are_not_concurrent(self):
        """Guards against concurrent or restarted reads that delay the start on a slow link.

        All hosts start with settings that are large for their links, and refuse callers until the
        first read is complete.
        """
        state, store = (
            EntryState(
                HostSettings("e", "a", "r", ("", 1), ("", 2), ("", 3), DeploymentBounds()),
                EntryEventLog("e", "a", CapturedLog()),
            ),
            SlowStore(),
        )
        follow = ConfigWatcher(store, state)

        async def run():
            with anyio.move_on_after(1.6):
                await follow.run()

        anyio.run(run)

        assert (store.most, store.begun, state.config.version) == (1, 2, 3)


class SlowStore(Store):
    """Answers the first read of the newest records after half a second, later ones never."""

    def __init__(self):
        self.open = self.most = self.begun = 0

    async def read_newest(self, topic):
        self.open += 1
        self.begun += 1
        self.most = max(self.most, self.open)
        await anyio.sleep(0.5)
        self.open -= 1
        if self.begun == 1:
            return Unavailable("cut")
        config = json.dumps({"version": 3, "routes": [], "services": [], "tenants": []})
        return NewestRecords((Record("config", config.encode()),), 1)

    async def read(self, topic, offset, wait_ms):
        await anyio.sleep_forever()

    async def put(self, topic, key, value):
        return WriteOutcome.NOT_DONE


class TestKeys:
    def test_revoked_key_is_refused(self):
        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                harness.configure(route(), tenants=[{"name": "acme", "api-keys": ["other"]}])
                await anyio.sleep(0.2)
                return (await harness.send_request())[0]

        assert anyio.run(run) == 401

    @pytest.mark.parametrize("fault", ["busy", "silent"])
    def test_cut_off_host_stops_accepting_keys(self, fault):
        """Guards against accepting a revoked key while the store rejects this host.

        The caller is served for a while, then refused as not run, and the host is not ready by
        then. No request reaches an endpoint after the limit. Once the store is back, the key is
        denied.
        """

        async def run():
            async with open_harness(route(), bounds=FAST) as harness:
                one = await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                setattr(harness.store.faults, fault, True)
                begun_s = anyio.current_time()
                harness.configure(route(), tenants=[{"name": "acme", "api-keys": ["other"]}])
                first = (await harness.send_request())[0]
                await anyio.sleep_until(begun_s + 3.0)
                sends = len(one.requests)
                cut_off = (await harness.send_request(request_id="q2"))[0]
                ready = await harness.is_ready()
                setattr(harness.store.faults, fault, False)
                await harness.wait_until(harness.is_ready, 5.0)
                back = (await harness.send_request(request_id="q3"))[0]
                return first, cut_off, ready, back, len(one.requests) - sends

        assert anyio.run(run) == (200, 503, False, 401, 0)

    def test_route_without_keys_is_served_during_an_outage(self):
        async def run():
            free = route(**{"allow-anonymous": True})
            async with open_harness(free, bounds=FAST) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                harness.store.faults.busy = True
                await anyio.sleep(3.2)
                data = harness.request_bytes().replace(b"X-Credential: key\r\n", b"")
                return (await harness.send_to(harness.host.callers, data))[0]

        assert anyio.run(run) == 200


class TestEndpoints:
    def test_draining_endpoint_gets_no_requests(self):
        """Guards against sending to an endpoint that may end 2 s after its draining record.

        Entries have to know after half of that time, even if the record follows just after a read.
        """

        async def run():
            async with open_harness(route()) as harness:
                one = await harness.add_endpoint("e1")
                await harness.add_endpoint("e2")
                await harness.wait_for_endpoints(2)
                harness.put("keyed.servers", "e1", one.record(state="draining"))
                await anyio.sleep(1.0)
                statuses = [(await harness.send_request(request_id=f"q{n}"))[0] for n in range(8)]
                return statuses, len(one.requests)

        assert anyio.run(run) == ([200] * 8, 0)

    @pytest.mark.parametrize(
        "value",
        [
            b"\xfe\xed",
            b"{}",
            record(address=7),
            record(state="lost"),
            record(service=["plain"]),
            record(slots=2**2048),
            record(address="x" * 64 + ".example:9"),
        ],
        ids=["bytes", "empty", "address", "state", "service", "slots", "name"],
    )
    def test_invalid_record_is_refused_and_affects_no_other_endpoint(self, value):
        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                harness.put("keyed.servers", "x1", value)
                await harness.add_endpoint("e2")
                await harness.wait_for_endpoints(2)
                return (await harness.send_request())[0], harness.lines.of_event("endpoint_refused")

        status, lines = anyio.run(run)

        assert status == 200
        assert len(lines) == 1

    def test_number_of_reads_does_not_grow_with_the_records(self):
        """Endpoints may write at every heartbeat, and each read of the store costs money."""

        async def run():
            async with open_harness(route()) as harness:
                one = await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                before = harness.store.calls["log-read"]
                for _ in range(60):
                    harness.put("keyed.servers", "e1", one.record())
                    await anyio.sleep(0.05)
                return harness.store.calls["log-read"] - before

        assert anyio.run(run) < 14


class TestConfirmations:
    def test_settings_are_recently_confirmed_when_an_outage_begins(self):
        """Guards against refusing callers too early in an outage of a few seconds.

        If only long polls confirmed the settings, their age would include the wait of the last one.
        """

        async def run():
            async with open_harness(route()) as harness:
                await anyio.sleep(2.2)
                ages_s = []
                for _ in range(30):
                    await anyio.sleep(0.1)
                    ages_s.append(harness.entry._state.lease.age_s(boot_time_s()))
                return max(ages_s)

        assert anyio.run(run) < 1.8


class ReadCountingStore(Store):
    """Counts short reads; long polls never end, and the test sets whether one is receiving."""

    def __init__(self):
        self.short_reads = 0
        self.receiving = False
        self.is_away = False

    def is_receiving(self, topic):
        return self.receiving

    async def read_newest(self, topic):
        config = json.dumps({"version": 3, "routes": [], "services": [], "tenants": []})
        return NewestRecords((Record("config", config.encode()),), 1)

    async def read(self, topic, offset, wait_ms):
        if wait_ms:
            await anyio.sleep_forever()
        self.short_reads += 1
        return Unavailable("busy") if self.is_away else Records((), offset, offset)

    async def put(self, topic, key, value):
        return WriteOutcome.NOT_DONE


def follow_config(store):
    host = HostSettings("e", "a", "r", ("", 1), ("", 2), ("", 3), DeploymentBounds())
    return ConfigWatcher(store, EntryState(host, EntryEventLog("e", "a", CapturedLog())))


class TestConfirming:
    def test_settings_in_transfer_are_not_fetched_twice(self):
        """Guards against a short read that fetches what the long poll is already receiving.

        Twelve versions with a thousand routes arrive within seconds over a slow link, and the
        traffic of callers queues behind them. The short read starts once the transfer ends or the
        connection seems to have stalled.
        """
        store = ReadCountingStore()
        follow = follow_config(store)
        reads = []

        async def run():
            await follow.confirm()
            store.receiving = True
            async with anyio.create_task_group() as group:
                group.start_soon(follow.confirm)
                await anyio.sleep(0.3)
                reads.append(store.short_reads)
                store.receiving = False
                await anyio.sleep(0.2)
                reads.append(store.short_reads)
                store.receiving = True
                with anyio.fail_after(1.5):
                    await follow.confirm()
                reads.append(store.short_reads)

        anyio.run(run)

        assert reads == [0, 1, 2]


class TestIsRejectedByStore:
    def test_only_a_failed_read_counts(self):
        """Guards against reporting a fault of the store when a busy host only reads late."""
        store = ReadCountingStore()
        follow = follow_config(store)
        seen = []

        async def run():
            await follow.confirm()
            later_s = boot_time_s() + 3.0
            seen.append(follow.is_rejected_by_store(later_s))
            store.is_away = True
            await follow.confirm()
            seen.append(follow.is_rejected_by_store(later_s))
            follow.apply_update("other", 3, None, later_s)
            seen.append(follow.is_rejected_by_store(later_s))
            store.is_away = False
            await follow.confirm()
            seen.append(follow.is_rejected_by_store(later_s))

        anyio.run(run)

        assert seen == [False, True, True, False]
        assert follow.confirmed_by == "other"
