import random

from beryljunction.routing import retry_after_s
from routing_fakes import known


def pauses(rows, left_s=4.0):
    draw = random.Random(1)
    return [retry_after_s(rows, left_s, draw, 0.0) for _ in range(200)]


class TestRetryAfter:
    def test_caller_whom_another_endpoint_can_take_comes_back_in_time(self):
        """One endpoint of three declines most requests; the others are half empty.

        The aim of the caller's request is 500 ms, so a pause of half a second would make it late.
        """
        found = pauses([known("a", in_flight=1), known("b", in_flight=4)])

        assert max(found) <= 0.15

    def test_callers_refused_by_a_full_service_do_not_come_back_at_once(self):
        found = pauses([known("a", in_flight=4), known("b", in_flight=9)])

        assert min(found) >= 0.25
        assert max(found) <= 0.75

    def test_callers_refused_together_come_back_spread(self):
        for rows in ([known("a")], []):
            found = sorted(pauses(rows))
            assert found[150] - found[50] > 0.4 * (found[-1] - found[0])

    def test_never_more_than_a_third_of_the_time_left(self):
        assert max(pauses([], left_s=0.6)) <= 0.2 + 1e-9
        assert min(pauses([], left_s=-1.0)) == 0.01


class TestRounding:
    def test_pause_as_it_is_written_stays_within_a_third_of_the_time_left(self):
        """A caller honours a pause of up to a third of its time, told in hundredths of a second.

        Rounded to the nearest, a third of 1.999 s was written as 0.67, which is more: the caller
        would not honour it.
        """
        for left_ms in range(40, 3_000, 7):
            pause_s = retry_after_s([], left_ms / 1000, FullDraw(), 0.0)

            assert 0 < float(f"{pause_s:.2f}") <= left_ms / 3_000 + 1e-9


class FullDraw:
    """Draws the longest pause."""

    def random(self):
        return 0.999
