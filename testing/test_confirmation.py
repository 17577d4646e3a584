import math

from beryljunction.routing import STORE, Confirmation


class TestConfirmation:
    def test_age_counts_from_when_the_store_was_asked(self):
        known = Confirmation()
        known.confirm(10.0)

        assert known.age_s(12.5) == 2.5
        assert known.source == STORE

    def test_nothing_is_confirmed_at_first(self):
        assert Confirmation().age_s(5.0) == math.inf

    def test_earlier_confirmation_changes_nothing(self):
        known = Confirmation()
        known.confirm(10.0, "front-1")
        known.confirm(9.0, "front-2")

        assert known.age_s(11.0) == 1.0
        assert known.source == "front-1"
