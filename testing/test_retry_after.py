import random

from beryljunction.routing import retry_after_s
from routing_fakes import known


def pauses(rows, left_s=4.0):
    draw = random.Random(1)
    return [retry_after_s(rows, left_s, draw, 0.0) for _ in range(200)]


class TestRetryAfter:
    def test_pause_is_short_if_another_endpoint_has_room(self):
        """Guards against a long pause if one endpoint declines while the others have room.

        The latency target of the request is 500 ms, so a pause of half a second would miss it.
        """
        found = pauses([known("a", in_flight=1), known("b", in_flight=4)])

        assert max(found) <= 0.15

    def test_pause_is_longer_if_all_endpoints_are_full(self):
        found = pauses([known("a", in_flight=4), known("b", in_flight=9)])

        assert min(found) >= 0.25
        assert max(found) <= 0.75

    def test_pauses_of_callers_refused_together_are_spread(self):
        for rows in ([known("a")], []):
            found = sorted(pauses(rows))
            assert found[150] - found[50] > 0.4 * (found[-1] - found[0])

    def test_pause_is_at_most_a_third_of_the_time_left(self):
        assert max(pauses([], left_s=0.6)) <= 0.2 + 1e-9
        assert min(pauses([], left_s=-1.0)) == 0.01


class TestRounding:
    def test_written_pause_is_at_most_a_third_of_the_time_left(self):
        """Guards against a pause that exceeds a third of the caller's time after rounding.

        Pauses are written in hundredths of a second. Rounded to the nearest, a third of 1.999 s was
        written as 0.67, which is more than a third, so the caller would not honour it.
        """
        for left_ms in range(40, 3_000, 7):
            pause_s = retry_after_s([], left_ms / 1000, LongestPauseRandom(), 0.0)

            assert 0 < float(f"{pause_s:.2f}") <= left_ms / 3_000 + 1e-9


class LongestPauseRandom:
    """Random source that yields the longest pause."""

    def random(self):
        return 0.999
