import math

from beryljunction.routing import SettingsLease


class TestSettingsLease:
    def test_nothing_is_allowed_before_the_first_confirmation(self):
        lease = SettingsLease(revocation_s=5.0)

        assert lease.age_s(100.0) == math.inf
        assert not lease.allows_keys(100.0)
        assert not lease.allows_final_denial(100.0)
        assert not lease.is_ready(100.0)

    def test_age_counts_from_when_the_store_was_asked(self):
        """Guards against honouring a key too long that was revoked while the store was answering.

        The store is asked at 10 and answers at 14. A key revoked at 11 may be used until 16;
        counted from the answer, it would be honoured until 19.
        """
        lease = SettingsLease(revocation_s=5.0)

        lease.confirm(asked_s=10.0)

        assert lease.allows_keys(14.5)
        assert not lease.allows_keys(15.0)

    def test_keys_are_not_honoured_shortly_before_the_bound(self):
        lease = SettingsLease(revocation_s=5.0)
        lease.confirm(0.0)

        assert lease.allows_keys(4.7)
        assert not lease.allows_keys(4.76)

    def test_late_answer_to_an_older_read_does_not_renew_the_lease(self):
        lease = SettingsLease(revocation_s=5.0)
        lease.confirm(10.0)

        lease.confirm(7.0)

        assert lease.age_s(11.0) == 1.0

    def test_readiness_ends_before_keys_are_rejected(self):
        """Guards against refusing callers that the load balancer could have moved in time.

        The balancer moves them about two seconds after "not ready". Were the host ready until it
        stops honouring keys, new callers would be refused during these two seconds.
        """
        lease = SettingsLease(revocation_s=5.0)
        lease.confirm(0.0)

        assert lease.is_ready(2.9)
        assert not lease.is_ready(3.1)
        assert lease.allows_keys(3.1)

    def test_denial_is_not_allowed_when_the_settings_are_old(self):
        lease = SettingsLease(revocation_s=5.0)
        lease.confirm(0.0)

        assert lease.allows_final_denial(2.9)
        assert not lease.allows_final_denial(3.1)
