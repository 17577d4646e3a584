"""Age of the last confirmation of the settings, and what that age still permits."""

import math

import attrs

__all__ = ["SettingsLease"]

# Fraction of the bound (3 of 5 s) at which the entry stops being ready. The load balancer takes
# about 2 s to notice, so it has moved new callers away when keys can no longer be trusted. The age
# stays under 1.6 s while the store answers.
_NOT_READY_RATIO = 0.6
# Margin for the time between the check and the first byte on the wire.
_MARGIN_S = 0.25


@attrs.define
class SettingsLease:
    """Age of the last confirmation that the settings in force are the newest.

    A host that is cut off from the store or suspended, or whose connection hangs, must not go on
    serving a client account whose key was revoked. The age counts from when the store was asked, on
    a clock that keeps running while the host is suspended, so neither a slow answer nor a
    suspension makes old settings look fresh.

    Attributes:
        revocation_s: Longest time that a key may be honoured after its revocation.
    """

    revocation_s: float
    _confirmed_s: float | None = None

    def confirm(self, asked_s: float) -> None:
        """Record that the store, asked at this time, had nothing newer."""
        if self._confirmed_s is None or asked_s > self._confirmed_s:
            self._confirmed_s = asked_s

    @property
    def confirmed_s(self) -> float:
        """When the store was last asked successfully; minus infinity before the first time."""
        return -math.inf if self._confirmed_s is None else self._confirmed_s

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation; infinite before the first."""
        return now_s - self.confirmed_s

    def allows_keys(self, now_s: float) -> bool:
        """Return whether an API key found in the settings may still be honoured."""
        return self.age_s(now_s) < self.revocation_s - _MARGIN_S

    def allows_final_denial(self, now_s: float) -> bool:
        """Return whether a request with an unknown route or key may be denied for good.

        A connected entry receives changes at once, however old its last confirmation is. One that
        is not ready has lost the connection, and its settings may lack recent additions.
        """
        return self.is_ready(now_s)

    @property
    def ready_s(self) -> float:
        """Age of the settings at which this entry stops being ready for new callers."""
        return self.revocation_s * _NOT_READY_RATIO

    def is_ready(self, now_s: float) -> bool:
        """Return whether this entry is ready for new callers."""
        return self.age_s(now_s) < self.ready_s
