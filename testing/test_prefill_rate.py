import random

import pytest

from beryljunction.routing import PrefillRate


def measured(tokens_per_ms, count=60, waits_ms=0.0, seed=1):
    draw = random.Random(seed)
    rate = PrefillRate()
    for _ in range(count):
        tokens = draw.choice((80, 130, 700, 1_300, 6_000, 11_000))
        rate.note(tokens, 55.0 + tokens / tokens_per_ms + draw.random() * waits_ms)
    return rate.tokens_per_ms


class TestPrefillRate:
    def test_prior_is_the_rate_of_the_slowest_known_engine(self):
        assert PrefillRate().tokens_per_ms == 38.0

    @pytest.mark.parametrize("tokens_per_ms", [20.0, 38.4, 112.0, 250.0])
    def test_rate_of_an_engine_is_estimated(self, tokens_per_ms):
        assert measured(tokens_per_ms) == pytest.approx(tokens_per_ms, rel=0.1)

    @pytest.mark.parametrize("seed", range(5))
    def test_waiting_behind_other_prompts_does_not_distort_the_rate(self, seed):
        found = measured(112.0, count=150, waits_ms=60.0, seed=seed)

        assert found == pytest.approx(112.0, rel=0.25)

    def test_short_prompts_alone_barely_change_the_rate(self):
        rate = PrefillRate()
        for number in range(200):
            rate.note(100 + number % 3, 60.0 + 20.0 * (number % 2))

        assert rate.tokens_per_ms == pytest.approx(38.0, rel=0.01)

    def test_rate_follows_a_change_of_engines(self):
        """Guards against keeping the old rate after a service gets faster engines."""
        rate = PrefillRate()
        for _ in range(100):
            rate.note(6_000, 55.0 + 6_000 / 38.0)
            rate.note(100, 55.0)
        for _ in range(300):
            rate.note(6_000, 55.0 + 6_000 / 112.0)
            rate.note(100, 55.0)

        assert rate.tokens_per_ms == pytest.approx(112.0, rel=0.1)

    def test_answer_that_waited_too_long_is_ignored(self):
        rate = PrefillRate()
        rate.note(200, 30_000.0)

        assert rate.tokens_per_ms == 38.0

    def test_rate_from_nonsensical_samples_stays_within_bounds(self):
        rate = PrefillRate()
        for number in range(100):
            rate.note(1_000 * (number % 10), 1_000.0 - 100.0 * (number % 10))

        assert 15.0 <= rate.tokens_per_ms <= 400.0
