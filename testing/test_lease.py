import math

from beryljunction.routing import SettingsLease


class TestSettingsLease:
    def test_nothing_is_allowed_before_the_first_confirmation(self):
        lease = SettingsLease(revocation_s=5.0)

        assert lease.age_s(100.0) == math.inf
        assert not lease.allows_keys(100.0)
        assert not lease.allows_denial(100.0)
        assert not lease.is_ready(100.0)

    def test_age_counts_from_the_question(self):
        """The caller's key was taken away while the store's answer was on its way.

        The store is slow: asked at 10, it answers at 14. A key taken away at 11 may be used until
        16. Counted from the answer, this process would honour it until 19.
        """
        lease = SettingsLease(revocation_s=5.0)

        lease.confirm(asked_s=10.0)

        assert lease.allows_keys(14.5)
        assert not lease.allows_keys(15.0)

    def test_keys_end_before_the_bound_not_after(self):
        lease = SettingsLease(revocation_s=5.0)
        lease.confirm(0.0)

        assert lease.allows_keys(4.7)
        assert not lease.allows_keys(4.76)

    def test_a_late_answer_to_an_older_question_does_not_renew(self):
        lease = SettingsLease(revocation_s=5.0)
        lease.confirm(10.0)

        lease.confirm(7.0)

        assert lease.age_s(11.0) == 1.0

    def test_ready_is_given_up_before_keys_are(self):
        """Callers are moved by the balancer about two seconds after "not ready".

        The host is cut off from the store at 0. Were it ready until its keys end, callers that
        come meanwhile would be refused for two seconds more.
        """
        lease = SettingsLease(revocation_s=5.0)
        lease.confirm(0.0)

        assert lease.is_ready(2.9)
        assert not lease.is_ready(3.1)
        assert lease.allows_keys(3.1)

    def test_unknown_is_no_denial_when_the_settings_are_old(self):
        lease = SettingsLease(revocation_s=5.0)
        lease.confirm(0.0)

        assert lease.allows_denial(2.9)
        assert not lease.allows_denial(3.1)
