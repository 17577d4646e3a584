"""How old the last confirmation of the settings is, and what that age still allows."""

import math

import attrs

__all__ = ["SettingsLease"]

# Ready is given up at this share of the bound, 3 of 5 s, so that the balancer, which takes about
# 2 s to notice, has moved new callers away by the time at which keys can no longer be trusted. The
# age stays under 1.6 s while the store answers.
_NOT_READY_RATIO = 0.6
# Margin for the time between the check and the first byte on the wire, in seconds.
_MARGIN_S = 0.25


@attrs.define
class SettingsLease:
    """Age of the last confirmation that the settings in force are the newest.

    Load: a host is cut off from the store, paused, or its connection went silent. Harm: a client
    account whose key was taken away goes on being served. The age counts from when the question
    was sent, on a clock that goes on through a pause, so neither a slow answer nor a suspended host
    makes old settings look fresh.

    Attributes:
        revocation_s: Longest time that a key may be honoured after it was taken away.
    """

    revocation_s: float
    _confirmed_s: float | None = None

    def confirm(self, asked_s: float) -> None:
        """Note that the store, asked at this time, knew of nothing newer."""
        if self._confirmed_s is None or asked_s > self._confirmed_s:
            self._confirmed_s = asked_s

    @property
    def confirmed_s(self) -> float:
        """When the store was last asked with success; minus infinity before the first time."""
        return -math.inf if self._confirmed_s is None else self._confirmed_s

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation; infinite before the first."""
        return now_s - self.confirmed_s

    def allows_keys(self, now_s: float) -> bool:
        """Return whether an API key found in the settings may still be honoured."""
        return self.age_s(now_s) < self.revocation_s - _MARGIN_S

    def allows_denial(self, now_s: float) -> bool:
        """Return whether an unknown route or key may be called unknown.

        A process that is in touch hears of changes at once, however old its last confirmation; one
        that is not ready has lost touch, and its settings may lack what was added since. Then the
        truth is "not known here".
        """
        return self.is_ready(now_s)

    @property
    def ready_s(self) -> float:
        """Age of the settings from which new callers are not welcome."""
        return self.revocation_s * _NOT_READY_RATIO

    def is_ready(self, now_s: float) -> bool:
        """Return whether new callers are welcome."""
        return self.age_s(now_s) < self.ready_s
