"""Checks a request against the settings in force before anything is sent."""

import enum

import attrs

from beryljunction.routing.fleet import Account, FleetConfig, Route
from beryljunction.routing.lease import SettingsLease

__all__ = ["Admitted", "Denial", "DenialReason", "admit"]


class DenialReason(enum.Enum):
    """Why a request is rejected."""

    NO_SETTINGS = "no_settings"
    SETTINGS_TOO_OLD = "settings_too_old"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"


@attrs.frozen
class Denial:
    """A rejected request.

    Attributes:
        is_final: Whether a retry is pointless.
    """

    reason: DenialReason
    is_final: bool


@attrs.frozen
class Admitted:
    """An accepted request: its route and its client account, None if it has none."""

    route: Route
    account: Account | None


def admit(
    config: FleetConfig | None,
    lease: SettingsLease,
    host: str,
    path: str,
    api_key: str | None,
    now_s: float,
) -> Admitted | Denial:
    """Return the route and client account of a request, or why it is rejected.

    A route or key that is missing from stale settings may have been added since, so such a denial
    is not final and the caller is told to retry.
    """
    if config is None:
        return Denial(DenialReason.NO_SETTINGS, is_final=False)
    route = config.route_for(host, path)
    if route is None:
        return Denial(DenialReason.NO_ROUTE, lease.allows_final_denial(now_s))
    if config.accounts is None:
        return Admitted(route, None)
    account = config.accounts.get(api_key) if api_key is not None else None
    if route.allows_anonymous and account is None:
        return Admitted(route, None)
    if account is None:
        return Denial(DenialReason.UNKNOWN_KEY, lease.allows_final_denial(now_s))
    if not lease.allows_keys(now_s):
        return Denial(DenialReason.SETTINGS_TOO_OLD, is_final=False)
    return Admitted(route, account)
