import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.quarantine import COUNTING_HOSTS
from beryljunction.routing import Cause, Crash, CrashTable, responsible_hosts
from fanout_world import FleetWorld
from routing_fakes import known

# Time within which all entries have to know of a suspicion or a quarantine.
PROPAGATION_S = 3.0
STARTED_S = 8.0
COMMON, BAD, SUBJECT = "part:common", "part:bad", "part:subject"


def crash(table, name, *requests, at_s=1.0, is_trial=False):
    for number, parts in enumerate(requests):
        features = frozenset([f"{name}-{number}", *parts])
        table.note_crash(Crash("s", (name, 1), features, is_trial and number == 0), at_s)


class TestSuspects:
    """Causes that crashes leave open."""

    def test_parts_under_equally_many_crashes_are_all_suspected(self):
        """Guards against blaming one of several parts that crashes don't tell apart."""
        table = CrashTable()
        for number in range(3):
            crash(table, f"e{number}", [COMMON, BAD], [COMMON, SUBJECT], at_s=number)

        assert table.suspects("s", 3.0) == [frozenset([COMMON])]
        table.note_served(COMMON, 4.0)
        assert set(table.suspects("s", 4.0)) == {frozenset([BAD]), frozenset([SUBJECT])}
        cause = table.find_cause("s", 4.0)
        assert cause.has_rivals
        assert not cause.is_proved(service_served_s=5.0)

    def test_endpoints_that_end_at_once_give_a_suspicion_only(self):
        """Guards against waiting for more crashes where each one ends all endpoints."""
        table = CrashTable()
        for number in range(3):
            crash(table, f"e{number}", [COMMON, BAD])

        assert table.find_cause("s", 1.0) is None
        assert table.suspects("s", 1.0) == [frozenset([COMMON, BAD])]

    def test_two_trials_prove_the_part_that_other_crashes_share(self):
        """Guards against blaming a trial for an endpoint that ended for a reason of its own."""
        table = CrashTable()
        for number in range(3):
            crash(table, f"e{number}", [COMMON, BAD], [COMMON, SUBJECT], at_s=number)
        crash(table, "e4", [COMMON, BAD], at_s=5.0, is_trial=True)
        assert not table.find_cause("s", 5.0).is_proved(service_served_s=-1.0)
        crash(table, "e5", [COMMON, BAD], at_s=6.0, is_trial=True)

        cause = table.find_cause("s", 6.0)
        assert cause.features == frozenset([COMMON, BAD])
        assert cause.is_proved(service_served_s=-1.0)

    def test_trials_that_ended_with_other_endpoints_prove_nothing(self):
        """Guards against blocking a route because all of its endpoints ended at once."""
        table = CrashTable()
        for number in range(3):
            crash(table, f"e{number}", [COMMON, BAD], at_s=number)
        for at_s in (5.0, 6.0):
            crash(table, f"trial{at_s}", [COMMON, BAD], at_s=at_s, is_trial=True)
            crash(table, f"other{at_s}", [SUBJECT], at_s=at_s)

        assert not table.find_cause("s", 6.0).was_tried

    def test_trials_that_leave_two_causes_prove_none(self):
        """Guards against blocking sound requests for a crash under a bad one."""
        table = CrashTable()
        for number in range(3):
            crash(table, f"e{number}", [BAD], [SUBJECT], at_s=number)
        for at_s in (5.0, 6.0):
            crash(table, f"trial{at_s}", [SUBJECT], [BAD], at_s=at_s, is_trial=True)

        assert not table.find_cause("s", 6.0).is_proved(service_served_s=9.0)

    def test_request_that_is_always_in_flight_is_not_blamed_for_a_part(self):
        """Guards against refusing a frequent call because a part crashed its endpoints."""
        table = CrashTable()
        for number in range(3):
            table.note_crash(Crash("s", (f"e{number}", 1), frozenset(["call"])), float(number))
            crash(table, f"e{number}", [BAD], at_s=number)

        assert not table.find_cause("s", 3.0, ["call"]).is_proved(service_served_s=9.0)

    def test_repeats_of_one_request_need_no_trial(self):
        assert Cause(frozenset(["digest"]), 0.0, has_rivals=False).is_proved(-1.0)

    def test_suspicion_ends_by_itself(self):
        table = CrashTable()
        table.suspect(frozenset([BAD]), 600.0, 0.0)

        assert table.is_suspected([BAD, "digest"], 59.0)
        assert not table.is_suspected([COMMON, "digest"], 59.0)
        assert not table.is_suspected([BAD, "digest"], 60.0)

    def test_number_of_suspicions_is_bounded(self):
        table = CrashTable()
        for number in range(100):
            table.suspect(frozenset([f"part:{number}"]), 60.0, 0.0)

        assert len(table.suspected(0.0)) == 64


class TestFleet:
    """All endpoints of a service end under requests that entries saw one each of."""

    REQUEST = frozenset([COMMON, BAD, "digest"])

    def report_crashes(self, world):
        rows = list(world.members.values())
        for number in range(3):
            features = frozenset([COMMON, BAD, f"digest{number}"])
            quarantine = rows[number % len(rows)].state.quarantine
            quarantine.note_crash(features, known(f"e{number}"))
        world.advance(PROPAGATION_S)

    def permits(self, world):
        """Return how many entries may send a trial now."""
        tasks = [
            world.loop.create_task(row.state.trial_permits.ask("engine", self.REQUEST))
            for row in world.members.values()
        ]
        world.advance(0.5)
        return sum(task.result() for task in tasks)

    def holds(self, world, features, is_suspected):
        return world.holds_for_all(
            lambda state: state.quarantine.is_suspected(features) is is_suspected
        )

    @pytest.mark.parametrize("entries", [1, 2, 4, 24, 68, 350])
    def test_one_entry_of_all_may_send_a_trial(self, entries):
        """Guards against trials at many entries that end all endpoints again."""
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            self.report_crashes(world)

            assert self.holds(world, self.REQUEST, True)
            assert self.holds(world, frozenset([COMMON, "other"]), False)
            assert self.permits(world) == 1

    @pytest.mark.parametrize("entries", [1, 24, 350])
    def test_crashes_of_two_trials_block_the_parts_everywhere(self, entries):
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            self.report_crashes(world)
            row = sorted(world.members)[-1]
            for name in ("e4", "e5"):
                quarantine = world.members[row].state.quarantine
                quarantine.note_crash(self.REQUEST, known(name), is_trial=True)
                world.advance(PROPAGATION_S)

            assert world.holds_for_all(
                lambda state: state.quarantine.remaining_s(self.REQUEST) > 0.0
            )

    @pytest.mark.parametrize("entries", [1, 24, 350])
    def test_answer_of_the_trial_ends_the_suspicion_everywhere(self, entries):
        """Guards against sending sound requests one by one for as long as a suspicion lasts."""
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            self.report_crashes(world)
            row = sorted(world.members)[-1]
            quarantine = world.members[row].state.quarantine
            quarantine.note_served("engine", self.REQUEST, world.loop.world_s)
            world.advance(PROPAGATION_S)

            assert self.holds(world, self.REQUEST, False)
            assert world.holds_for_all(lambda state: len(state.quarantine) == 0)

    def test_entry_that_knows_only_its_own_crashes_blames_nothing(self):
        """Guards against blaming a sound part where the bad one was sent by other entries."""
        with FleetWorld(4) as world:
            world.advance(STARTED_S)
            counting = responsible_hosts("engine", list(world.members), 3)
            (other,) = set(world.members) - set(counting)
            for number in range(5):
                rows = ((counting[0], BAD), (other, "part:sound"))[: 2 if number < 3 else 1]
                for host, part in rows:
                    features = frozenset([part, f"{host}{number}"])
                    quarantine = world.members[host].state.quarantine
                    quarantine.note_crash(features, known(f"e{number}"))
                world.advance(0.3)
            for row in world.members.values():
                row.state.quarantine.note_served("engine", ["part:z"], boot_time_s())
            world.advance(PROPAGATION_S + 3.0)

            assert world.holds_for_all(lambda state: state.quarantine.remaining_s([BAD, "d"]) > 0.0)
            assert world.holds_for_all(
                lambda state: state.quarantine.remaining_s(["part:sound", "d"]) == 0.0
            )

    def test_two_unreachable_counting_hosts_are_tolerated(self):
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            for name in responsible_hosts("engine", world.members, COUNTING_HOSTS)[:2]:
                world.members[name].is_cut = True
            rows = [row for row in world.members.values() if not row.is_cut]
            for number in range(3):
                features = frozenset([COMMON, BAD, f"digest{number}"])
                rows[number].state.quarantine.note_crash(features, known(f"e{number}"))
            world.advance(PROPAGATION_S)
            tasks = [
                world.loop.create_task(row.state.trial_permits.ask("engine", self.REQUEST))
                for row in rows
            ]
            world.advance(2.0)

            assert all(row.state.quarantine.is_suspected(self.REQUEST) for row in rows)
            assert sum(task.result() for task in tasks) == 1
