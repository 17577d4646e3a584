from beryljunction.routing import TrialLimiter

ONE, OTHER = frozenset(["d1", "part:a"]), frozenset(["d2", "part:a"])


class TestTrialLimiter:
    def test_one_trial_of_a_service_runs_at_a_time(self):
        """Guards against trials that end several endpoints at once."""
        limiter = TrialLimiter()

        assert limiter.permit("s", ONE, 0.0)
        assert not limiter.permit("s", OTHER, 0.1)
        assert limiter.permit("other", OTHER, 0.1)

    def test_next_trial_follows_a_result_at_once(self):
        limiter = TrialLimiter()
        limiter.permit("s", ONE, 0.0)
        limiter.note_result(frozenset(["d2"]))
        assert not limiter.permit("s", OTHER, 0.1)

        limiter.note_result(frozenset(["d1"]))
        assert limiter.permit("s", OTHER, 0.1)

    def test_next_trial_waits_for_the_conclusion_from_a_crash(self):
        """Guards against a second endpoint that ends before the first crash is understood."""
        limiter = TrialLimiter()
        limiter.permit("s", ONE, 0.0)
        limiter.note_crash("s", ONE, 1.0)

        assert not limiter.permit("s", ONE, 1.4)
        assert limiter.permit("s", OTHER, 1.5)

    def test_trial_without_result_does_not_block_the_next_for_long(self):
        """Guards against refusing all suspected requests because one caller left."""
        limiter = TrialLimiter()
        limiter.permit("s", ONE, 0.0)

        assert limiter.permit("s", OTHER, 2.5)
