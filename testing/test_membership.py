import attrs
import pytest

from beryljunction.systems import ListedEndpoint, MembershipSystem
from beryljunction.tables import EndpointState, EndpointTable

LISTED = [ListedEndpoint(f"e{i}", "drafter", "z", f"127.0.0.1:{i}", "a") for i in range(3)]


def membership() -> MembershipSystem:
    system = MembershipSystem(EndpointTable())
    system.apply_list(LISTED, 0.0)
    return system


def state(system: MembershipSystem, endpoint_id: str = "e0") -> EndpointState:
    return system.endpoints.get(endpoint_id).state


class TestList:
    def test_endpoint_missing_for_seconds_stays_while_it_answers(self):
        # Two entries' lists differ for five seconds. Dropping the endpoint at once would send its
        # chats to others, where nothing is cached, and back again.
        system = membership()
        for second in range(1, 6):
            system.note_answer("e0", second, "a")
            system.apply_list(LISTED[1:], second)

            assert system.tick(second) == []
            assert state(system) is EndpointState.LIVE

    def test_endpoint_missing_without_a_sign_of_life_goes_last_and_is_dropped(self):
        system = membership()
        system.apply_list(LISTED[1:], 4.0)

        assert state(system) is EndpointState.SUSPECT
        assert system.tick(10.0) == ["e0"]
        assert system.endpoints.get("e0") is None

    def test_new_endpoint_is_known_as_one_that_joined(self):
        system = membership()
        system.apply_list([*LISTED, attrs.evolve(LISTED[0], endpoint_id="e9")], 7.0)

        assert system.endpoints.get("e9").joined_s == 7.0
        assert system.endpoints.get("e0").joined_s < 0.0

    def test_replaced_endpoints_are_forgotten_in_time(self):
        # Hosts are replaced all day, each under a new id. The entry runs for months; what it has
        # seen of each would fill its memory.
        system = membership()
        for day_s in range(0, 10_000, 100):
            row = attrs.evolve(LISTED[0], endpoint_id=f"host-{day_s}")
            system.apply_list([*LISTED, row], day_s)
            system.apply_list(LISTED, day_s + 10.0)
            system.tick(day_s + 20.0)

        assert system.remembered <= len(LISTED) + 2

    def test_flapping_endpoint_is_remembered_through_its_drop(self):
        # The list drops an endpoint that flaps and has it back within the minute. Its record must
        # not be clean by then, or each round breaks answers again.
        system = membership()
        for at_s in (0.0, 3.0, 6.0):
            system.note_failure("e0", at_s)
            system.note_answer("e0", at_s + 1.0, "a")
        system.apply_list(LISTED[1:], 7.0)
        assert system.tick(14.0) == ["e0"]
        system.apply_list(LISTED, 15.0)

        system.note_failure("e0", 16.0)
        system.note_answer("e0", 17.0, "a")

        assert state(system) is EndpointState.SUSPECT


class TestLeaving:
    @pytest.mark.parametrize("said_by", ["list", "sidecar"])
    def test_holds_whatever_answers_come_later(self, said_by):
        system = membership()
        if said_by == "list":
            system.apply_list([attrs.evolve(LISTED[0], leaving=True), *LISTED[1:]], 1.0)
        else:
            system.note_leaving("e0")

        system.note_answer("e0", 2.0, "a")
        system.apply_list(LISTED, 3.0)

        assert state(system) is EndpointState.LEAVING

    def test_ends_with_a_new_incarnation_under_the_same_id(self):
        system = membership()
        system.note_leaving("e0")

        system.apply_list([attrs.evolve(LISTED[0], incarnation="b"), *LISTED[1:]], 9.0)

        assert state(system) is EndpointState.LIVE
        assert system.endpoints.get("e0").joined_s == 9.0


class TestFailures:
    def test_one_failure_keeps_new_work_away_for_seconds(self):
        system = membership()
        system.note_failure("e0", 1.0)

        assert state(system) is EndpointState.SUSPECT
        system.tick(4.1)
        assert state(system) is EndpointState.LIVE

    def test_answer_ends_the_suspicion(self):
        system = membership()
        system.note_failure("e0", 1.0)
        system.note_answer("e0", 1.5, "a")

        assert state(system) is EndpointState.LIVE

    def test_flapping_endpoint_stays_last_though_it_answers(self):
        # An endpoint comes and goes every three seconds. Each return takes its chats back, each
        # loss breaks their answers.
        system = membership()
        for at_s in (0.0, 3.0, 6.0):
            system.note_failure("e0", at_s)
            system.note_answer("e0", at_s + 1.5, "a")

        assert state(system) is EndpointState.SUSPECT
        system.tick(60.0)
        assert state(system) is EndpointState.LIVE
