import math

import pytest

from beryljunction.routing import Crash, CrashTable, responsible_hosts

HOUR_S = 3_600.0
D = frozenset("d")


def crash(table, name, features, now_s=0.0, started_ms=1):
    """Count an ended endpoint; return what is quarantined for it, None for nothing."""
    table.note_crash(Crash("s", (name, started_ms), frozenset(features)), now_s)
    cause = table.find_cause("s", now_s, features)
    if cause is None or not table.quarantine(cause.features, HOUR_S, now_s):
        return None
    return cause.features


def crashes(table, *names, digest="d", now_s=0.0):
    """Count these ended endpoints; return for each whether it quarantined the request."""
    return [crash(table, name, [digest], now_s) is not None for name in names]


class TestNoteCrash:
    def test_third_endpoint_that_ends_quarantines_the_request(self):
        table = CrashTable()

        assert crashes(table, "e1", "e2", "e3", "e4") == [False, False, True, False]
        assert table.remaining_s(D, 0.0) == HOUR_S

    def test_endpoint_counts_once_per_incarnation(self):
        table = CrashTable()

        assert crashes(table, "e1", "e1", "e1", "e2") == [False] * 4
        assert crash(table, "e1", ["d"], started_ms=2) == D

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
        assert table.remaining_s(["d4999"], 0.0) > 0.0

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

        assert table.has_crashes("d")

        table.note_served("d", 1.0)

        assert not table.has_crashes("d")
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

    def test_request_that_was_never_in_a_crash_has_none(self):
        assert not CrashTable().has_crashes("d")

    def test_number_of_remembered_services_is_bounded(self):
        table = CrashTable()
        for number in range(5_000):
            table.note_served(f"d{number}", 0.0)
            table.note_served(f"part:{number}", 0.0)

        assert table.served_s("d4743") == -math.inf
        assert table.served_s("d4744") == 0.0
        assert table.served_s("part:903") == -math.inf
        assert table.served_s("part:904") == 0.0


class TestRivals:
    def test_part_under_other_crashes_is_no_rival(self):
        """Guards against two bad parts that hold back each other's proof."""
        table = CrashTable()
        for number in range(5):
            table.note_crash(Crash("s", (f"a{number}", 0), frozenset({"part:a"})), number)
            table.note_crash(Crash("s", (f"b{number}", 0), frozenset({"part:b"})), number + 0.5)

        cause = table.find_cause("s", 6.0)

        assert cause is not None
        assert not cause.has_rivals

    def test_part_is_not_blamed_for_crashes_that_quarantined_ones_explain(self):
        """Guards against blaming a sound part that was in flight beside several bad ones."""
        table = CrashTable()
        for number in range(3):
            for bad in ("a", "b"):
                for features in ({f"part:{bad}"}, {"part:sound"}):
                    row = Crash("s", (f"{bad}{number}", 0), frozenset(features))
                    table.note_crash(row, number)
        for bad in ("a", "b"):
            table.quarantine(frozenset({f"part:{bad}"}), HOUR_S, 3.0)

        assert table.find_cause("s", 3.0) is None
        assert table.suspects("s", 3.0) == []

    def test_own_part_of_a_repeated_request_is_no_rival(self):
        """Guards against a request that is over and holds back the proof of a bad part."""
        table = CrashTable()
        for number in range(3):
            for features in ({f"d{number}", "part:bad"}, {"again", "part:own"}):
                table.note_crash(Crash("s", (f"e{number}", 0), frozenset(features)), number)

        causes = [row for row in [table.find_cause("s", 3.0, ["part:bad"])] if row is not None]

        assert [(row.features, row.has_rivals) for row in causes] == [(parts("bad"), False)]

    def test_part_under_the_same_crashes_is_a_rival(self):
        table = CrashTable()
        for number in range(5):
            features = frozenset({"part:a", "part:b"} if number else {"part:a"})
            table.note_crash(Crash("s", (f"a{number}", 0), features), number)

        cause = table.find_cause("s", 6.0)

        assert cause is not None
        assert cause.has_rivals


class TestQuarantine:
    def test_quarantine_ends(self):
        table = CrashTable()
        table.quarantine(D, 60.0, 0.0)

        assert table.remaining_s(D, 59.0) == 1.0
        assert table.remaining_s(D, 60.0) == 0.0
        assert table.expire(59.0) == []
        assert table.expire(60.0) == [D]
        assert len(table) == 0

    def test_quarantine_is_limited_to_an_hour(self):
        table = CrashTable()
        table.quarantine(D, 1e12, 0.0)

        assert table.remaining_s(D, 0.0) == HOUR_S

    def test_second_quarantine_changes_nothing(self):
        table = CrashTable()

        assert table.quarantine(D, 60.0, 0.0)
        assert not table.quarantine(D, 90.0, 10.0)
        assert table.quarantined(10.0) == {D: 50.0}


class TestResponsibleHosts:
    @pytest.mark.parametrize("entries", [1, 2, 3, 24, 350])
    def test_all_entries_agree_on_the_counting_hosts(self, entries):
        hosts = [f"h{number}" for number in range(entries)]

        counting_hosts = responsible_hosts("d", hosts, 3)

        assert counting_hosts == responsible_hosts("d", reversed(hosts), 3)
        assert len(set(counting_hosts)) == min(3, entries)

    def test_joining_entry_replaces_at_most_one_counting_host(self):
        hosts = [f"h{number}" for number in range(24)]

        for digest in (f"d{number}" for number in range(50)):
            assert (
                len(
                    set(responsible_hosts(digest, hosts, 3))
                    & set(responsible_hosts(digest, [*hosts, "new"], 3))
                )
                >= 2
            )


def part_crash(table, name, *prompts, now_s):
    """Count an ended endpoint that had requests with these shared parts; return the quarantine."""
    found = None
    for number, prompt in enumerate(prompts):
        features = [f"{name}-{number}", *(f"part:{part}" for part in prompt.split())]
        found = crash(table, name, features, now_s) or found
    return found


def parts(text):
    return frozenset(f"part:{part}" for part in text.split())


def serve(table, text, at_s):
    for part in parts(text):
        table.note_served(part, at_s)


class TestParts:
    """Requests that all differ have parts of their prompts in common."""

    def test_part_under_three_crashes_is_the_cause(self):
        table = CrashTable()
        serve(table, "a", 2.5)

        found = [
            part_crash(table, "e1", "a x b1", now_s=1.0),
            part_crash(table, "e2", "a x b2", now_s=2.0),
            part_crash(table, "e3", "a x b3", now_s=3.0),
        ]

        assert found == [None, None, parts("x")]
        assert table.remaining_s(parts("a x b9"), 3.0) > 0.0
        assert table.remaining_s(parts("a b1 b2 b3"), 3.0) == 0.0

    def test_parts_that_cannot_be_told_apart_are_quarantined_together(self):
        """Guards against blocking sound requests that share a part with the bad ones."""
        table = CrashTable()
        for number in (1, 2, 3):
            found = part_crash(table, f"e{number}", f"a x b{number}", now_s=float(number))

        assert found == parts("a x")
        assert table.remaining_s(parts("a b1"), 3.0) == 0.0

    def test_next_crash_tells_them_apart(self):
        table = CrashTable()
        for number in (1, 2, 3):
            part_crash(table, f"e{number}", f"a x b{number}", now_s=float(number))

        assert part_crash(table, "e4", "other x", now_s=4.0) == parts("x")
        assert len(table) == 1

    def test_requests_in_flight_at_a_crash_are_not_blamed(self):
        """Guards against blocking the parts of dozens of sound streams at each crash."""
        table = CrashTable()
        for number in range(1, 4):
            sound = [f"a s{row}" for row in range(40)]
            found = part_crash(table, f"e{number}", *sound, "a x", now_s=float(number))
            serve(table, "a " + " ".join(f"s{row}" for row in range(40)), number + 0.5)

        assert found == parts("x")

    def test_two_bad_parts_are_both_found(self):
        table = CrashTable()
        found = []
        for number in range(6):
            bad = "x" if number % 2 else "y"
            found.append(part_crash(table, f"e{number}", f"a {bad}", now_s=float(number)))
            serve(table, "a", number + 0.5)

        assert {row for row in found if row} == {parts("x"), parts("y")}

    def test_part_that_was_served_before_it_began_to_crash_is_found(self):
        table = CrashTable()
        serve(table, "a x", 0.5)
        for number in (1, 2, 3):
            found = part_crash(table, f"e{number}", f"a x b{number}", now_s=float(number))
            serve(table, "a", number + 0.5)

        assert found == parts("x")

    def test_endpoints_that_end_at_once_are_one_crash(self):
        """Guards against blocking a route because a rack with its endpoints was lost."""
        table = CrashTable()

        assert all(part_crash(table, f"e{row}", "a b", now_s=1.0) is None for row in range(5))

    def test_answer_that_began_under_quarantine_disproves_it(self):
        table = CrashTable()
        table.quarantine(parts("a x"), 60.0, 5.0)

        serve(table, "a x", 4.0)
        assert table.disproved_by("part:a") == []
        serve(table, "a", 6.0)
        assert table.disproved_by("part:a") == []
        serve(table, "x", 7.0)
        assert table.disproved_by("part:x") == [parts("a x")]

    def test_quarantine_is_superseded_by_the_cause_of_later_crashes(self):
        """Guards against blocking for long what only was in flight at the first crashes."""
        table = CrashTable()
        for number in (1, 2, 3):
            part_crash(table, f"e{number}", "sound", now_s=float(number))
            crash(table, f"e{number}", ["digest", "part:x"], float(number))
        for number in (4, 5):
            crash(table, f"e{number}", ["other", "part:x"], float(number))

        assert table.superseded_by(parts("x")) == [parts("sound")]
        assert table.superseded_by(parts("unknown")) == []
