import pytest

from beryljunction.routing import Crash, CrashTable, crash_counting_hosts

HOUR_S = 3_600.0


def crashes(table, *names, digest="d", now_s=0.0):
    """Count these ended endpoints; return for each whether it quarantined the request."""
    return [table.note_crash(Crash(digest, (name, 1)), now_s) for name in names]


class TestNoteCrash:
    def test_third_endpoint_that_ends_quarantines_the_request(self):
        table = CrashTable()

        assert crashes(table, "e1", "e2", "e3", "e4") == [False, False, True, False]
        assert table.remaining_s("d", 0.0) == HOUR_S

    def test_endpoint_counts_once_per_incarnation(self):
        table = CrashTable()

        assert crashes(table, "e1", "e1", "e1", "e2") == [False] * 4
        assert table.note_crash(Crash("d", ("e1", 2)), 0.0)

    def test_requests_are_counted_separately(self):
        table = CrashTable()
        crashes(table, "e1", "e2", digest="one")

        assert crashes(table, "e3", digest="two") == [False]

    def test_old_crashes_do_not_count(self):
        table = CrashTable()
        crashes(table, "e1", "e2", now_s=0.0)

        assert crashes(table, "e3", now_s=HOUR_S + 1.0) == [False]

    def test_number_of_quarantined_requests_is_bounded(self):
        table = CrashTable()
        for number in range(5_000):
            crashes(table, "e1", "e2", "e3", digest=f"d{number}")

        assert len(table) == 4_096
        assert table.remaining_s("d4999", 0.0) > 0.0

    def test_number_of_crash_counts_is_bounded(self):
        """Guards against memory that grows with each request under which an endpoint ended."""
        table = CrashTable()
        crashes(table, "e1", "e2", digest="first")
        for number in range(4_096):
            crashes(table, "e1", digest=f"d{number}")

        assert crashes(table, "e3", digest="first") == [False]
        assert crashes(table, "e2", "e3", digest="d4095") == [False, True]


class TestNoteServed:
    def test_served_request_loses_its_crash_count(self):
        """Guards against refusing a frequent call that was in flight at three unrelated crashes."""
        table = CrashTable()
        crashes(table, "e1", "e2")

        assert table.note_served("d", 1.0)
        assert crashes(table, "e3", now_s=12.0) == [False]

    def test_recently_served_request_is_not_blamed(self):
        """Guards against refusing a frequent call after all endpoints were lost at once."""
        table = CrashTable()
        table.note_served("d", 0.0)

        assert crashes(table, "e1", "e2", "e3", now_s=5.0) == [False] * 3

    def test_request_that_begins_to_crash_endpoints_is_quarantined(self):
        table = CrashTable()
        table.note_served("d", 0.0)

        assert crashes(table, "e1", "e2", "e3", now_s=11.0)[-1]

    def test_serving_a_request_without_crashes_discards_nothing(self):
        assert not CrashTable().note_served("d", 0.0)


class TestQuarantine:
    def test_quarantine_ends(self):
        table = CrashTable()
        table.quarantine("d", 60.0, 0.0)

        assert table.remaining_s("d", 59.0) == 1.0
        assert table.remaining_s("d", 60.0) == 0.0
        assert table.expire(59.0) == []
        assert table.expire(60.0) == ["d"]
        assert len(table) == 0

    def test_quarantine_is_limited_to_an_hour(self):
        table = CrashTable()
        table.quarantine("d", 1e12, 0.0)

        assert table.remaining_s("d", 0.0) == HOUR_S

    def test_second_quarantine_changes_nothing(self):
        table = CrashTable()

        assert table.quarantine("d", 60.0, 0.0)
        assert not table.quarantine("d", 90.0, 10.0)
        assert table.quarantined(10.0) == {"d": 50.0}


class TestCrashCountingHosts:
    @pytest.mark.parametrize("entries", [1, 2, 3, 24, 350])
    def test_all_entries_agree_on_the_counting_hosts(self, entries):
        hosts = [f"h{number}" for number in range(entries)]

        counting_hosts = crash_counting_hosts("d", hosts)

        assert counting_hosts == crash_counting_hosts("d", reversed(hosts))
        assert len(set(counting_hosts)) == min(3, entries)

    def test_joining_entry_replaces_at_most_one_counting_host(self):
        hosts = [f"h{number}" for number in range(24)]

        for digest in (f"d{number}" for number in range(50)):
            assert (
                len(
                    set(crash_counting_hosts(digest, hosts))
                    & set(crash_counting_hosts(digest, [*hosts, "new"]))
                )
                >= 2
            )
