import attrs
import pytest

from beryljunction.systems import ListedEndpoint, MembershipTracker
from beryljunction.tables import EndpointState, EndpointTable

LISTED = [ListedEndpoint(f"e{i}", "drafter", "z", f"127.0.0.1:{i}", "a") for i in range(3)]


def membership() -> MembershipTracker:
    tracker = MembershipTracker(EndpointTable())
    tracker.apply_list(LISTED, 0.0)
    return tracker


def state(tracker: MembershipTracker, endpoint_id: str = "e0") -> EndpointState:
    return tracker.endpoints.get(endpoint_id).state


class TestList:
    def test_endpoint_missing_for_seconds_stays_live_while_it_answers(self):
        # The lists of two entries differ for five seconds. Dropping the endpoint at once would move
        # its chats to others, where nothing is cached, and back again.
        tracker = membership()
        for second in range(1, 6):
            tracker.note_answer("e0", second, "a")
            tracker.apply_list(LISTED[1:], second)

            assert tracker.tick(second) == []
            assert state(tracker) is EndpointState.LIVE

    def test_endpoint_missing_without_answers_is_suspect_and_then_dropped(self):
        tracker = membership()
        tracker.apply_list(LISTED[1:], 4.0)

        assert state(tracker) is EndpointState.SUSPECT
        assert tracker.tick(10.0) == ["e0"]
        assert tracker.endpoints.get("e0") is None

    def test_new_endpoint_has_a_join_time(self):
        tracker = membership()
        tracker.apply_list([*LISTED, attrs.evolve(LISTED[0], endpoint_id="e9")], 7.0)

        assert tracker.endpoints.get("e9").joined_s == 7.0
        assert tracker.endpoints.get("e0").joined_s < 0.0

    def test_evidence_of_replaced_endpoints_is_removed(self):
        # Hosts are replaced all day, each under a new id. An entry that runs for months would fill
        # its memory with evidence about them.
        tracker = membership()
        for day_s in range(0, 10_000, 100):
            row = attrs.evolve(LISTED[0], endpoint_id=f"host-{day_s}")
            tracker.apply_list([*LISTED, row], day_s)
            tracker.apply_list(LISTED, day_s + 10.0)
            tracker.tick(day_s + 20.0)

        assert tracker.remembered <= len(LISTED) + 2

    def test_failures_of_a_flapping_endpoint_survive_its_drop(self):
        # A flapping endpoint leaves the list and returns within a minute. Its failures must still
        # count, or each return breaks answers again.
        tracker = membership()
        for at_s in (0.0, 3.0, 6.0):
            tracker.note_failure("e0", at_s)
            tracker.note_answer("e0", at_s + 1.0, "a")
        tracker.apply_list(LISTED[1:], 7.0)
        assert tracker.tick(14.0) == ["e0"]
        tracker.apply_list(LISTED, 15.0)

        tracker.note_failure("e0", 16.0)
        tracker.note_answer("e0", 17.0, "a")

        assert state(tracker) is EndpointState.SUSPECT


class TestLeaving:
    @pytest.mark.parametrize("said_by", ["list", "sidecar"])
    def test_lasts_despite_later_answers(self, said_by):
        tracker = membership()
        if said_by == "list":
            tracker.apply_list([attrs.evolve(LISTED[0], leaving=True), *LISTED[1:]], 1.0)
        else:
            tracker.note_leaving("e0")

        tracker.note_answer("e0", 2.0, "a")
        tracker.apply_list(LISTED, 3.0)

        assert state(tracker) is EndpointState.LEAVING

    def test_ends_with_a_new_incarnation_under_the_same_id(self):
        tracker = membership()
        tracker.note_leaving("e0")

        tracker.apply_list([attrs.evolve(LISTED[0], incarnation="b"), *LISTED[1:]], 9.0)

        assert state(tracker) is EndpointState.LIVE
        assert tracker.endpoints.get("e0").joined_s == 9.0


class TestFailures:
    def test_one_failure_makes_an_endpoint_suspect_for_seconds(self):
        tracker = membership()
        tracker.note_failure("e0", 1.0)

        assert state(tracker) is EndpointState.SUSPECT
        tracker.tick(4.1)
        assert state(tracker) is EndpointState.LIVE

    def test_answer_ends_the_suspicion(self):
        tracker = membership()
        tracker.note_failure("e0", 1.0)
        tracker.note_answer("e0", 1.5, "a")

        assert state(tracker) is EndpointState.LIVE

    def test_flapping_endpoint_stays_suspect_although_it_answers(self):
        # An endpoint fails and returns every three seconds. Each return would move its chats back,
        # and each failure would break their answers.
        tracker = membership()
        for at_s in (0.0, 3.0, 6.0):
            tracker.note_failure("e0", at_s)
            tracker.note_answer("e0", at_s + 1.5, "a")

        assert state(tracker) is EndpointState.SUSPECT
        tracker.tick(60.0)
        assert state(tracker) is EndpointState.LIVE
