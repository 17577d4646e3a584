import math

from beryljunction.routing import StoreReachability


def reachability_at(confirmed_s=10.0):
    reachability = StoreReachability(least_outage_s=2.0)
    reachability.note_answer(confirmed_s, confirmed_s)
    return reachability


class TestOwnReads:
    def test_first_answer_is_no_recovery(self):
        assert reachability_at().recovered_s == -math.inf

    def test_answer_after_an_outage_is_a_recovery(self):
        reachability = reachability_at(10.0)

        reachability.note_failure()
        reachability.note_answer(14.0, 14.1)

        assert reachability.recovered_s == 14.1

    def test_outage_too_short_for_a_record_to_expire_is_no_recovery(self):
        reachability = reachability_at(10.0)

        reachability.note_failure()
        reachability.note_answer(11.9, 11.9)

        assert reachability.recovered_s == -math.inf

    def test_late_answer_without_a_failed_read_is_no_recovery(self):
        reachability = reachability_at(10.0)

        reachability.note_answer(14.0, 14.1)

        assert reachability.recovered_s == -math.inf


class TestUpdates:
    def test_single_rejected_host_sees_no_recovery(self):
        """Guards against keeping a departed endpoint because a single host regained the store."""
        reachability = reachability_at(10.0)
        reachability.note_failure()
        for asked_s in (11.0, 12.0, 13.0, 14.0):
            reachability.note_update(asked_s, None, asked_s + 0.1)

        reachability.note_answer(14.5, 14.5)

        assert reachability.recovered_s == -math.inf

    def test_recovery_seen_by_a_cut_off_host_is_ignored(self):
        """Guards against taking one host's regained connection for a recovery of the store."""
        reachability = reachability_at(14.0)

        reachability.note_update(14.4, 14.5, 14.6)

        assert reachability.recovered_s == -math.inf

    def test_recovery_is_learned_from_other_entries(self):
        reachability = reachability_at(10.0)

        reachability.note_update(14.4, 14.5, 14.6)

        assert reachability.recovered_s == 14.5

    def test_own_answer_after_a_reported_recovery_changes_nothing(self):
        reachability = reachability_at(10.0)
        reachability.note_failure()
        reachability.note_update(14.4, 14.5, 14.6)

        reachability.note_answer(16.0, 16.0)

        assert reachability.recovered_s == 14.5
