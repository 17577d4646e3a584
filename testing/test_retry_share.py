import attrs
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.state import EntryState
from beryljunction.platform import DeploymentBounds, HostSettings
from beryljunction.routing import RetryShare
from entry_harness import CapturedLog
from retry_traffic import RATIO, SLACK, WINDOW_S, Case, Fleet


def make_share(entries, started_s):
    return RetryShare(RATIO, WINDOW_S, SLACK, entries, started_s)


def serve(share, seconds, begin_s=0.0, rate=50):
    """Count requests at an even rate; spend no retries."""
    for number in range(int(seconds * rate)):
        share.count_request(begin_s + number / rate)


def spend(share, now_s):
    """Spend a retry that is read at once; return whether there was one."""
    is_spent = share.spend(now_s)
    if is_spent:
        share.note_read(now_s)
    return is_spent


def spend_all(share, now_s):
    return next(spent for spent in range(10_000) if not spend(share, now_s))


class TestRetryShare:
    def test_retries_in_a_window_are_a_ratio_of_the_requests(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=0)
        serve(share, 20.0)

        spent = 0
        for number in range(500):
            share.count_request(20.0 + number / 50)
            spent += spend(share, 20.0 + number / 50)

        assert 95 <= spent <= 100

    def test_half_of_a_windows_retries_can_be_spent_at_once(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=0)
        serve(share, 20.0)

        assert 48 <= spend_all(share, 20.0) <= 50

    def test_requests_of_the_same_moment_fund_no_retries(self):
        """Guards against retries of a burst that a window without its requests has to hold."""
        share = RetryShare(ratio=0.2, window_s=10.0, slack=0)
        for _ in range(1000):
            share.count_request(5.0)

        assert not share.spend(5.0)

    def test_requests_leave_after_two_windows_and_retries_after_one(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=0)
        serve(share, 10.0)
        spend_all(share, 10.0)

        assert not share.spend(10.1)
        assert share.left(21.0) == pytest.approx(0.0)

    def test_idle_entry_has_only_its_part_of_the_slack(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=64)

        assert [share.spend(0.0) for _ in range(3)] == [True, True, False]

    def test_idle_entry_has_its_part_of_the_slack_again_after_a_window(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=64)
        spend_all(share, 0.0)

        assert not share.spend(9.9)
        assert share.spend(10.5)

    @pytest.mark.parametrize("entries", [1, 4, 29])
    def test_any_number_of_entries_keeps_the_limit_of_the_fleet(self, entries):
        """Guards against overloading recovering endpoints with retries after all of them failed.

        If each entry's share were a fixed number, thirty entries would send too many retries. The
        entries know nothing of each other here.
        """
        ratio, slack = 0.2, 54
        shares = [RetryShare(ratio, 10.0, slack) for _ in range(entries)]
        requests, retries = [], []
        for tick in range(1500):
            for share in shares:
                share.count_request(tick * 0.02)
                requests.append(1)
                retries.append(spend(share, tick * 0.02))

        late = 1000 * entries
        assert sum(retries) <= len(requests) * ratio + slack
        assert sum(retries[late:]) <= len(requests[late:]) * ratio + slack
        assert sum(retries[late:]) >= len(requests[late:]) * ratio * 0.9

    @pytest.mark.parametrize("entries", [68, 350])
    def test_large_fleet_of_idle_entries_keeps_the_slack(self, entries):
        """Guards against idle entries of a large fleet exceeding the slack with their retries.

        All entries together have one slack. If it were divided by a fixed number, a larger fleet
        would exceed it.
        """
        slack = 54
        shares = [RetryShare(0.2, 10.0, slack, entries) for _ in range(entries)]

        retries = sum(share.spend(0.0) for share in shares for _ in range(3))

        assert retries <= slack

    @pytest.mark.parametrize("entries", [68, 350])
    def test_large_fleet_that_does_not_know_its_size_keeps_the_slack(self, entries):
        """Guards against a part of the slack for each entry that couldn't read the list of them."""
        free = ("127.0.0.1", 1)
        bounds = DeploymentBounds(repeat_slack=SLACK)
        host = HostSettings("me", "zone", "region", free, free, free, bounds, peers=free)
        log = EntryEventLog("me", "zone", CapturedLog())
        states = [EntryState(host, log) for _ in range(entries)]

        retries = sum(spend_all(row.retry_share("plain"), boot_time_s()) for row in states)

        assert retries <= SLACK

    def test_slack_comes_with_the_number_of_entries(self):
        share = make_share(0, started_s=100.0)

        assert spend_all(share, 120.0) == 0
        share.note_entries(4)
        assert spend_all(share, 120.0) == 1

    def test_entries_that_have_left_still_count(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=64)

        share.note_entries(68)
        share.note_entries(2)

        assert not share.spend(0.0)


class TestUnreadRetries:
    """Guards against retries that endpoints read after the window in which they were sent."""

    def test_retry_counts_in_every_window_until_it_is_read(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=64)
        sent = [share.spend(0.0) for _ in range(3)]

        assert sent == [True, True, False]
        assert not share.spend(60.0)

    def test_retry_counts_for_a_window_from_when_it_is_read(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=64)
        for _ in range(2):
            share.spend(0.0)
        for _ in range(2):
            share.note_read(30.0)

        assert not share.spend(39.9)
        assert share.spend(40.5)

    def test_retry_that_is_read_at_once_leaves_after_a_window(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=64)

        assert spend_all(share, 0.0) == spend_all(share, 10.5) == 2


class TestStart:
    def test_starts_in_series_keep_the_slack(self):
        """Guards against a fleet whose entries bring a new part of the slack with each start."""
        retries = sum(
            spend_all(make_share(entries, started_s), started_s)
            for entries in (4, 31)
            for started_s in (0.3 * number for number in range(32))
        )

        assert retries <= SLACK

    def test_entry_of_a_large_fleet_has_no_slack_in_its_first_window(self):
        """Guards against all entries starting again after they have used up the slack."""
        share = RetryShare(0.2, 10.0, slack=640, entries=32, started_s=100.0)

        assert spend_all(share, 100.0) == spend_all(share, 109.0) == 0
        assert spend_all(share, 110.5) == 20

    def test_entry_of_a_small_fleet_can_retry_at_once(self):
        assert make_share(4, started_s=100.0).spend(100.0)

    def test_retries_begin_with_the_requests(self):
        """Guards against an entry that sends no retries in its first half window."""
        share = RetryShare(0.2, 10.0, slack=0, started_s=100.0)
        spent = 0
        for number in range(250):
            share.count_request(100.0 + number / 50)
            spent += spend(share, 100.0 + number / 50)

        assert 20 <= spent <= 25


class TestLimitsThatChange:
    def test_counts_remain_when_ratio_and_slack_change(self):
        """Guards against retries being granted again on each reload of the settings."""
        share = RetryShare(ratio=0.2, window_s=10.0, slack=64)
        serve(share, 20.0)
        spend_all(share, 20.0)

        share.set_limits(0.2, 10.0, 64)
        assert not share.spend(20.0)
        share.set_limits(0.4, 10.0, 64)
        assert 46 <= spend_all(share, 20.0) <= 50

    def test_counts_remain_when_the_window_grows(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=0)
        serve(share, 20.0)
        spent = spend_all(share, 20.0)

        share.set_limits(0.2, 20.0, 0)

        assert 95 <= spent + spend_all(share, 20.0) <= 100

    def test_counts_remain_when_the_window_shrinks(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=0)
        serve(share, 20.0)
        spend_all(share, 20.0)

        share.set_limits(0.2, 5.0, 0)

        assert not share.spend(20.0)
        serve(share, 10.0, 20.0)
        assert 23 <= spend_all(share, 30.0) <= 25

    def test_reload_keeps_what_an_entry_has_spent(self):
        """Guards against retries being granted again by a changed setting of another kind."""
        free = ("127.0.0.1", 1)
        bounds = DeploymentBounds(repeat_slack=320)
        host = HostSettings("me", "zone", "region", free, free, free, bounds)
        state = EntryState(host, EntryEventLog("me", "zone", CapturedLog()))
        spent = spend_all(state.retry_share("plain"), boot_time_s())

        state.apply_bounds(attrs.evolve(bounds, drain_ms=bounds.drain_ms + 1))

        assert spent == 9
        assert not state.retry_share("plain").spend(boot_time_s())


class TestFleets:
    CASES = {
        "swings": Case(),
        "high-rate": Case(rate=2000.0),
        "large-fleet": Case(entries=34, rate=60.0),
        "starts": Case(starts=0.15),
        "starts-in-large-fleet": Case(entries=34, rate=60.0, starts=0.1),
        "all-start": Case(entries=8, rate=20.0, herd_s=7.0),
        "all-start-in-large-fleet": Case(entries=34, rate=200.0, herd_s=13.0),
        "stalls": Case(stalls=0.2),
        "reloads": Case(reloads=True),
        "all-together": Case(starts=0.1, stalls=0.2, reloads=True),
        "even": Case(is_even=True),
        "even-with-starts": Case(is_even=True, entries=34, starts=0.1),
        "even-with-stalls": Case(is_even=True, rate=1200.0, stalls=0.2),
        "even-with-reloads": Case(is_even=True, reloads=True),
        "endpoints-stall": Case(endpoint_stall_s=2.5),
        "endpoints-stall-under-even-traffic": Case(is_even=True, rate=1200.0, endpoint_stall_s=2.5),
        "endpoints-stall-long": Case(endpoint_stall_s=9.0),
        "endpoints-stall-long-in-large-fleet": Case(
            is_even=True, entries=60, rate=600.0, endpoint_stall_s=9.0
        ),
    }

    @pytest.mark.parametrize("name", CASES)
    @pytest.mark.parametrize("seed", range(2))
    def test_fleet_keeps_its_limit_in_every_window(self, name, seed):
        """Guards against sums of the entries' retries that exceed the limit of the fleet."""
        fleet = Fleet(self.CASES[name], seed, make_share).run(40.0)

        assert fleet.retries
        assert fleet.most_over() <= 0.0
