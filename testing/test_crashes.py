import pytest

from beryljunction.routing import Crash, CrashTable, owners_of

HOUR_S = 3_600.0


def crashes(table, *names, digest="d", now_s=0.0):
    """Count these endpoints; return for each whether the request is quarantined by it."""
    return [table.note_crash(Crash(digest, (name, 1)), now_s) for name in names]


class TestCount:
    def test_third_endpoint_that_ends_quarantines_the_request(self):
        table = CrashTable()

        assert crashes(table, "e1", "e2", "e3", "e4") == [False, False, True, False]
        assert table.left_s("d", 0.0) == HOUR_S

    def test_endpoint_counts_once_but_each_of_its_starts_does(self):
        table = CrashTable()

        assert crashes(table, "e1", "e1", "e1", "e2") == [False] * 4
        assert table.note_crash(Crash("d", ("e1", 2)), 0.0)

    def test_requests_are_counted_apart(self):
        table = CrashTable()
        crashes(table, "e1", "e2", digest="one")

        assert crashes(table, "e3", digest="two") == [False]

    def test_crashes_of_long_ago_do_not_count(self):
        table = CrashTable()
        crashes(table, "e1", "e2", now_s=0.0)

        assert crashes(table, "e3", now_s=HOUR_S + 1.0) == [False]

    def test_memory_is_bounded(self):
        table = CrashTable()
        for number in range(5_000):
            crashes(table, "e1", "e2", "e3", digest=f"d{number}")

        assert len(table) == 4_096
        assert table.left_s("d4999", 0.0) > 0.0

    def test_counts_below_the_quarantine_are_bounded_too(self):
        """Guards against memory that grows with each request under which an endpoint ended."""
        table = CrashTable()
        crashes(table, "e1", "e2", digest="first")
        for number in range(4_096):
            crashes(table, "e1", digest=f"d{number}")

        assert crashes(table, "e3", digest="first") == [False]
        assert crashes(table, "e2", "e3", digest="d4095") == [False, True]


class TestServed:
    def test_served_request_has_crashed_nothing(self):
        """Guards against a frequent call that is refused as it was in flight at three crashes."""
        table = CrashTable()
        crashes(table, "e1", "e2")

        assert table.note_served("d", 1.0)
        assert crashes(table, "e3", now_s=12.0) == [False]

    def test_request_served_a_moment_ago_is_not_to_blame(self):
        """Guards against a frequent call that is refused after all endpoints were lost at once."""
        table = CrashTable()
        table.note_served("d", 0.0)

        assert crashes(table, "e1", "e2", "e3", now_s=5.0) == [False] * 3

    def test_request_that_begins_to_crash_endpoints_is_found(self):
        table = CrashTable()
        table.note_served("d", 0.0)

        assert crashes(table, "e1", "e2", "e3", now_s=11.0)[-1]

    def test_nothing_is_withdrawn_where_nothing_was_held(self):
        assert not CrashTable().note_served("d", 0.0)


class TestQuarantine:
    def test_it_ends(self):
        table = CrashTable()
        table.quarantine("d", 60.0, 0.0)

        assert table.left_s("d", 59.0) == 1.0
        assert table.left_s("d", 60.0) == 0.0
        assert table.expire(59.0) == []
        assert table.expire(60.0) == ["d"]
        assert len(table) == 0

    def test_no_word_makes_it_longer_than_its_own(self):
        table = CrashTable()
        table.quarantine("d", 1e12, 0.0)

        assert table.left_s("d", 0.0) == HOUR_S

    def test_second_word_changes_nothing(self):
        table = CrashTable()

        assert table.quarantine("d", 60.0, 0.0)
        assert not table.quarantine("d", 90.0, 10.0)
        assert table.quarantined(10.0) == {"d": 50.0}


class TestOwners:
    @pytest.mark.parametrize("entries", [1, 2, 3, 24, 350])
    def test_all_entries_agree_on_them(self, entries):
        hosts = [f"h{number}" for number in range(entries)]

        owners = owners_of("d", hosts)

        assert owners == owners_of("d", reversed(hosts))
        assert len(set(owners)) == min(3, entries)

    def test_entry_that_joins_replaces_one_of_them_at_most(self):
        hosts = [f"h{number}" for number in range(24)]

        for digest in (f"d{number}" for number in range(50)):
            assert len(set(owners_of(digest, hosts)) & set(owners_of(digest, [*hosts, "new"]))) >= 2
