import pytest

from beryljunction.routing import Admitted, Denial, DenialReason, SettingsLease, admit
from routing_fakes import config_of, route_of


def lease_at(asked_s=0.0):
    lease = SettingsLease(revocation_s=5.0)
    lease.confirm(asked_s)
    return lease


class TestAdmit:
    def test_longest_prefix_wins(self):
        config = config_of(route_of("/a/"), route_of("/a/b/"))

        admitted = admit(config, lease_at(), "shop.example", "/a/b/c", "key", 0.1)

        assert admitted.route.path_prefix == "/a/b/"
        assert admitted.account.name == "acme"

    def test_host_is_compared_without_case(self):
        config = config_of(route_of("/a/"))

        assert isinstance(admit(config, lease_at(), "SHOP.example", "/a/", "key", 0.1), Admitted)

    @pytest.mark.parametrize(
        ("path", "key", "reason"),
        [("/b/", "key", DenialReason.NO_ROUTE), ("/a/", "other", DenialReason.UNKNOWN_KEY)],
    )
    def test_denial_is_final_only_while_the_settings_are_fresh(self, path, key, reason):
        """Guards against a final denial of a route or key added while this host was cut off.

        A caller told "no such route" gives up for good; told to retry, it reaches another host.
        """
        config = config_of(route_of("/a/"))

        fresh = admit(config, lease_at(0.0), "shop.example", path, key, 1.0)
        old = admit(config, lease_at(0.0), "shop.example", path, key, 4.5)

        assert fresh == Denial(reason, is_final=True)
        assert old == Denial(reason, is_final=False)

    def test_key_is_not_honoured_on_old_settings(self):
        config = config_of(route_of("/a/"))

        denial = admit(config, lease_at(0.0), "shop.example", "/a/", "key", 5.0)

        assert denial == Denial(DenialReason.SETTINGS_TOO_OLD, is_final=False)

    def test_anonymous_route_is_served_during_an_outage(self):
        config = config_of(route_of("/a/", allows_anonymous=True))

        admitted = admit(config, lease_at(0.0), "shop.example", "/a/", None, 60.0)

        assert isinstance(admitted, Admitted)
        assert admitted.account is None

    def test_fleet_without_accounts_asks_for_no_key(self):
        config = config_of(route_of("/a/"), keys=None)

        assert isinstance(admit(config, lease_at(), "shop.example", "/a/", None, 60.0), Admitted)

    def test_denial_is_not_final_before_settings_are_read(self):
        denial = admit(None, lease_at(), "shop.example", "/a/", "key", 0.1)

        assert denial == Denial(DenialReason.NO_SETTINGS, is_final=False)
