import pytest

from beryljunction.routing import AnswerTimes


def times_of(*rows, route="chat"):
    """Return times of answers, given as pairs of the time to the head and that from there on."""
    times = AnswerTimes()
    for begin_s, rest_s in rows:
        times.note(route, begin_s, rest_s)
    return times


def plain_retry_s(times, left_s=6.0):
    return times.retry_time_s("chat", is_streamed=False, left_s=left_s)


def stream_retry_s(times, left_s=15.0):
    return times.retry_time_s("chat", is_streamed=True, left_s=left_s)


class TestRetryTime:
    """Guards against retries that end after their callers' deadline as they are read late."""

    def test_it_is_what_answers_of_the_route_need(self):
        assert plain_retry_s(times_of(*[(0.3, 0.0)] * 3)) == pytest.approx(2.4)
        assert stream_retry_s(times_of(*[(0.2, 1.0)] * 3)) == pytest.approx(3.6)

    def test_it_is_never_more_than_what_is_left(self):
        assert plain_retry_s(times_of((2.0, 0.0)), left_s=1.5) == 1.5
        assert plain_retry_s(times_of((0.01, 0.0)), left_s=0.2) == 0.2

    def test_it_is_what_is_left_while_nothing_is_known(self):
        assert plain_retry_s(times_of((0.01, 0.0), route="other")) == 6.0

    def test_short_answers_leave_their_endpoint_a_pause(self):
        assert plain_retry_s(times_of((0.001, 0.0))) == 0.5

    def test_stream_leaves_an_engine_time_for_its_prompt(self):
        assert stream_retry_s(times_of((0.001, 0.1))) == pytest.approx(1.2)

    def test_answers_that_stalled_endpoints_held_up_do_not_count_as_usual(self):
        rows = [(0.1, 0.0)] * 10 + [(2.6, 0.0)] * 22

        assert plain_retry_s(times_of(*rows)) == pytest.approx(0.8)

    def test_streams_that_stood_still_do_not_count_as_usual(self):
        rows = [(0.1, 0.3)] * 25 + [(0.1, 2.8)] * 7

        assert stream_retry_s(times_of(*rows)) == pytest.approx(1.6)

    def test_longest_answers_of_uneven_routes_get_their_time(self):
        """Guards against retries of the largest requests that are cut short."""
        rows = [(0.2, rest_s) for rest_s in (0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.6, 2.4)] * 4

        assert stream_retry_s(times_of(*rows)) > 0.2 + 2.4

    def test_it_follows_answers_that_become_slower(self):
        times = times_of(*[(0.1, 0.0)] * 40)
        for _ in range(30):
            times.note("chat", 0.5, 0.0)

        assert plain_retry_s(times) == pytest.approx(4.0)

    def test_only_routes_of_the_settings_are_kept(self):
        times = times_of((0.1, 0.0))
        times.note("other", 0.1, 0.0)

        times.keep({"chat"})

        assert times.can_end_within("chat", 1.0)
        assert not times.can_end_within("other", 1.0)


class TestEnd:
    """Guards against requests that a stopping entry begins and can't end."""

    def test_longest_answer_has_to_fit(self):
        times = times_of((0.1, 0.4), (0.2, 0.8), (0.1, 0.1))

        assert times.can_end_within("chat", 1.2)
        assert not times.can_end_within("chat", 1.0)

    def test_nothing_is_expected_of_a_route_without_answers(self):
        assert not times_of().can_end_within("chat", 100.0)
