import collections
import math
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.state import EntryState
from beryljunction.platform import (
    DeploymentBounds,
    HostSettings,
    InvalidRecord,
    decode_endpoint,
)
from beryljunction.routing import (
    ColdStartLimit,
    ColdStartLimiter,
    EndpointRegistry,
    PlacementRequest,
    Service,
)
from beryljunction.routing.cold_start import entry_share
from entry_harness import CapturedLog
from routing_fakes import config_of, endpoint, route_of

SERVICE = Service("engine", True, True, cold_start_s=3.0, cold_per_s=11.0)
LIMIT = ColdStartLimit(overshoot=1.5, slack=5.0)
ALLOWED = 21.5


def row_of(cold_ms=3_000):
    registry = EndpointRegistry()
    registry.replace([endpoint("old")], 0.0)
    return registry.put(endpoint("new", cold_ms=cold_ms), 10.0)


def limiter_for(hosts, host="h0", started_s=-100.0):
    limiter = ColdStartLimiter(host, LIMIT, started_s)
    limiter.note_entries(hosts)
    return limiter


def hosts_of(count):
    return [f"h{number}" for number in range(count)]


class TestShares:
    @given(
        entries=st.integers(1, 700),
        per_s=st.floats(0.0, 500.0, allow_nan=False),
    )
    def test_sum_of_all_entries_keeps_the_limit(self, entries, per_s):
        assert sum(entry_share(place, entries, per_s) for place in range(entries)) <= per_s

    @pytest.mark.parametrize(("entries", "own", "serving"), [(1, 18, 1), (4, 4, 4), (24, 1, 18)])
    def test_share_uses_most_of_the_limit(self, entries, own, serving):
        shares = [entry_share(place, entries, ALLOWED) for place in range(entries)]

        assert shares[0] == own
        assert sum(1 for share in shares if share) == serving


class TestIsCold:
    def test_endpoint_is_cold_for_as_long_as_it_says(self):
        limiter, row = limiter_for(hosts_of(2)), row_of()

        assert limiter.is_cold(row, SERVICE, 12.9)
        assert not limiter.is_cold(row, SERVICE, 13.1)

    def test_service_without_a_rate_has_no_limit(self):
        plain = Service("plain", False, False, cold_start_s=3.0)

        assert not limiter_for(hosts_of(2)).is_cold(row_of(), plain, 10.1)

    def test_same_record_read_again_does_not_extend_the_warm_up(self):
        registry = EndpointRegistry()
        record = endpoint("a", cold_ms=3_000)
        row = registry.put(record, 10.0)

        registry.put(record, 20.0)

        assert not limiter_for(hosts_of(2)).is_cold(row, SERVICE, 20.1)

    def test_endpoint_may_become_cold_again(self):
        registry = EndpointRegistry()
        row = registry.put(endpoint("a", sequence=1), 10.0)

        registry.put(endpoint("a", sequence=9, cold_ms=3_000), 20.0)

        assert limiter_for(hosts_of(2)).is_cold(row, SERVICE, 20.1)

    def test_endpoint_that_failed_may_have_restarted(self):
        """Guards against a restart under the same id that the record does not show yet."""
        row = row_of(cold_ms=0)

        row.note_failure(20.0)

        assert limiter_for(hosts_of(2)).is_cold(row, SERVICE, 22.9)

    @pytest.mark.parametrize("value", ["-5", "1e300", "NaN", "Infinity"])
    def test_unusable_warm_up_time_counts_as_cold(self, value):
        text = (
            '{"service":"engine","address":"10.0.0.1:9","zone":"a","version":"v1","slots":4,'
            '"state":"ready","sequence-number":1,'
            f'"cold-remaining-ms":{value}}}'
        )

        record = decode_endpoint("a", text.encode())
        row = EndpointRegistry().put(record, 10.0)

        assert record.cold_ms is None
        assert limiter_for(hosts_of(2)).is_cold(row, SERVICE, 12.9)

    def test_record_with_a_value_of_another_type_is_unusable(self):
        text = (
            '{"service":"engine","address":"10.0.0.1:9","zone":"a","version":"v1","slots":4,'
            '"state":"ready","sequence-number":1,'
            '"cold-remaining-ms":"soon"}'
        )

        assert isinstance(decode_endpoint("a", text.encode()), InvalidRecord)


class TestAllows:
    def test_share_is_used_up_and_renewed_after_a_second(self):
        limiter, row = limiter_for(hosts_of(1)), row_of()

        for _ in range(18):
            assert limiter.allows(row, SERVICE, 10.0)
            limiter.note_send(row, SERVICE, 10.0)

        assert not limiter.allows(row, SERVICE, 11.0)
        assert limiter.allows(row, SERVICE, 11.1)

    def test_warm_endpoint_has_no_limit(self):
        limiter, row = limiter_for(hosts_of(1)), row_of(cold_ms=0)

        for _ in range(50):
            limiter.note_send(row, SERVICE, 10.0)

        assert limiter.allows(row, SERVICE, 10.0)

    def test_requests_sent_before_the_endpoint_was_known_to_be_cold_count(self):
        limiter, row = limiter_for(hosts_of(1)), row_of(cold_ms=0)

        for _ in range(18):
            limiter.note_send(row, SERVICE, 10.0)
        row.note_failure(10.1)

        assert not limiter.allows(row, SERVICE, 10.2)

    def test_entry_that_does_not_know_the_others_sends_nothing(self):
        limiter = ColdStartLimiter("h0", LIMIT, started_s=-100.0)

        assert not limiter.allows(row_of(), SERVICE, 10.0)

    def test_entry_that_has_just_started_sends_nothing(self):
        """Guards against a restarted entry that doesn't know what its last process has sent."""
        limiter = limiter_for(hosts_of(1), started_s=9.5)

        assert not limiter.allows(row_of(), SERVICE, 10.0)
        assert limiter.allows(row_of(), SERVICE, 10.6)


class Fleet:
    """Entries that send as many requests as they may to one cold endpoint without coordination."""

    def __init__(self, seed, entries):
        self.draw = random.Random(seed)
        self.hosts = hosts_of(entries)
        self.members = {}
        self.sent_s = collections.deque()
        self.worst = 0
        for host in self.hosts:
            self.start(host, -100.0)

    def start(self, host, now_s):
        limiter = ColdStartLimiter(host, LIMIT, now_s)
        known = [other for other in self.hosts if other == host or self.draw.random() > 0.02]
        limiter.note_entries(known if len(known) > len(self.hosts) - 3 else self.hosts)
        self.members[host] = limiter, EndpointRegistry().put(endpoint("e", cold_ms=600_000), now_s)

    def run(self, seconds=20.0):
        now_s = 0.0
        while now_s < seconds:
            now_s += 0.01
            if self.draw.random() < 0.005:
                self.start(self.draw.choice(self.hosts), now_s)
            for host in self.draw.choices(self.hosts, k=6):
                self.send(host, now_s)
        return self.worst

    def send(self, host, now_s):
        limiter, row = self.members[host]
        if limiter.allows(row, SERVICE, now_s):
            limiter.note_send(row, SERVICE, now_s)
            self.sent_s.append(now_s)
        while now_s - self.sent_s[0] >= 1.0 if self.sent_s else False:
            self.sent_s.popleft()
        self.worst = max(self.worst, len(self.sent_s))


class TestFleet:
    """The endpoint never gets more requests per second than it can handle while entries restart."""

    @pytest.mark.parametrize("entries", [1, 4, 19, 24, 68, 350])
    @pytest.mark.parametrize("seed", range(1, 5))
    def test_limit_holds_over_all_entries(self, seed, entries):
        assert Fleet(seed, entries).run() <= ALLOWED

    @pytest.mark.parametrize("entries", [1, 4, 24])
    def test_at_least_half_of_the_limit_is_used(self, entries):
        assert Fleet(1, entries).run() >= 0.5 * ALLOWED

    def test_too_short_window_exceeds_the_limit(self, monkeypatch):
        monkeypatch.setattr("beryljunction.routing.cold_start._WINDOW_S", 0.4)

        assert max(Fleet(seed, 4).run() for seed in range(1, 5)) > ALLOWED

    def test_share_without_regard_to_the_fleet_size_exceeds_the_limit(self, monkeypatch):
        monkeypatch.setattr("beryljunction.routing.cold_start.entry_share", lambda *_: 1)

        assert max(Fleet(seed, 68).run() for seed in range(1, 5)) > ALLOWED


class TestBound:
    """Guards against a load bound above the fleet's while some endpoints get few requests."""

    def state(self):
        free = ("127.0.0.1", 1)
        host = HostSettings("h0", "zone", "region", free, free, free, DeploymentBounds())
        state = EntryState(host, EntryEventLog("h0", "zone", CapturedLog()))
        config = config_of(route_of())
        state.apply_config(attrs.evolve(config, services={"engine": SERVICE}), b"")
        state.cold_start_limiter.limit = LIMIT
        now_s = boot_time_s()
        zones = ["z"] * 4 + ["a"] * 4
        records = [endpoint(f"e{n}", availability_zone=zone) for n, zone in enumerate(zones)]
        state.registry.replace(records, now_s)
        for row in state.registry.rows:
            row.in_flight = 6
            row.cold_until_s = -math.inf
            row.may_be_cold_s = -math.inf
        return state

    @pytest.mark.parametrize("why", ["cold", "paused", "leaving", "tried", "evacuated"])
    def test_endpoints_that_may_not_be_chosen_count_in_the_mean(self, why):
        state = self.state()
        rows, now_s = state.registry.rows, boot_time_s()
        for row in rows[:4]:
            row.in_flight = 0
            row.cold_until_s = now_s + 60.0 if why == "cold" else -math.inf
            row.paused_until_s = now_s + 60.0 if why == "paused" else -math.inf
            row.leaving_s = now_s if why == "leaving" else None
        if why == "evacuated":
            state.registry.evacuate(frozenset({"z"}), now_s)
        tried = set(rows[:4]) if why == "tried" else set()
        choice = state.choose_endpoint("engine", PlacementRequest(), tried)

        assert choice.endpoint in rows[4:]
        assert choice.mean_load == 3.0
