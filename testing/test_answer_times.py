import pytest

from beryljunction.routing import AnswerTimes


def times_of(*took_s, route="chat"):
    times = AnswerTimes()
    for value in took_s:
        times.note(route, value)
    return times


class TestRetryTime:
    """Guards against retries that end after their callers' deadline as they are read late."""

    def test_it_is_what_answers_of_the_route_need(self):
        assert times_of(0.3, 0.3, 0.3).retry_time_s("chat", 6.0) == pytest.approx(2.4)

    def test_it_is_never_more_than_what_is_left(self):
        assert times_of(2.0).retry_time_s("chat", 1.5) == 1.5
        assert times_of(0.01).retry_time_s("chat", 0.2) == 0.2

    def test_it_is_what_is_left_while_nothing_is_known(self):
        times = times_of(0.01, route="other")

        assert times.retry_time_s("chat", 6.0) == 6.0

    def test_short_answers_leave_their_endpoint_a_pause(self):
        assert times_of(0.001).retry_time_s("chat", 6.0) == 0.5

    def test_answers_that_stalled_endpoints_held_up_do_not_count_as_usual(self):
        took_s = [0.1] * 10 + [2.6] * 22

        assert times_of(*took_s).retry_time_s("chat", 6.0) == pytest.approx(0.8)

    def test_longest_answers_of_uneven_routes_get_their_time(self):
        """Guards against retries of the largest requests that are cut short."""
        took_s = [0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.6, 2.4] * 4

        assert times_of(*took_s).retry_time_s("chat", 15.0) > max(took_s)

    def test_it_follows_answers_that_become_slower(self):
        times = times_of(*[0.1] * 40)
        for _ in range(30):
            times.note("chat", 1.0)

        assert times.retry_time_s("chat", 15.0) == pytest.approx(8.0)

    def test_only_routes_of_the_settings_are_kept(self):
        times = times_of(0.1)
        times.note("other", 0.1)

        times.keep({"chat"})

        assert times.usual_s("chat") == 0.1
        assert times.usual_s("other") is None
