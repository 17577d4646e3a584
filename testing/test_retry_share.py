import pytest

from beryljunction.routing import RetryShare


class TestRetryShare:
    def test_retries_are_a_ratio_of_the_requests(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=0)
        for _ in range(10):
            share.count_request(0.0)

        assert [share.spend(0.1) for _ in range(3)] == [True, True, False]

    def test_requests_and_retries_leave_the_window_together(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=0)
        for _ in range(5):
            share.count_request(0.0)
        assert share.spend(0.0)

        for _ in range(5):
            share.count_request(11.0)

        assert share.spend(11.0)
        assert not share.spend(11.0)

    def test_idle_entry_has_only_its_part_of_the_slack(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=64)

        assert [share.spend(0.0) for _ in range(3)] == [True, True, False]

    @pytest.mark.parametrize("entries", [1, 4, 29])
    def test_any_number_of_entries_keeps_the_limit_of_the_fleet(self, entries):
        """Guards against overloading recovering endpoints with retries after all of them failed.

        If each entry's share were a fixed number, thirty entries would send too many retries. The
        entries know nothing of each other here.
        """
        ratio, slack = 0.2, 54
        shares = [RetryShare(ratio, 10.0, slack) for _ in range(entries)]
        requests = retries = 0
        for tick in range(400):
            for share in shares:
                share.count_request(tick * 0.02)
                requests += 1
                retries += share.spend(tick * 0.02)

        assert retries <= requests * ratio + slack
        assert retries >= requests * ratio * 0.9

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

    def test_entries_that_have_left_still_count(self):
        share = RetryShare(ratio=0.2, window_s=10.0, slack=64)

        share.note_entries(68)
        share.note_entries(2)

        assert not share.spend(0.0)
