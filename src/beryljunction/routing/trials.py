"""Limits trials: requests that are sent although they may crash endpoints."""

import attrs

__all__ = ["TrialLimiter"]

# Time after a trial's crash in which all entries have reported it and a conclusion is drawn.
_CONCLUSION_S = 0.5
# A trial without a result holds up the next one for this long: its answer takes long, or it never
# reached an endpoint.
_RESULT_TIMEOUT_S = 2.5


@attrs.frozen
class _Trial:
    features: frozenset[str]
    until_s: float


class TrialLimiter:
    """Permits one trial at a time for each service."""

    def __init__(self) -> None:
        self._trials: dict[str, _Trial] = {}

    def permit(self, service: str, features: frozenset[str], now_s: float) -> bool:
        """Return whether a request may be sent now.

        Args:
            service: Service that it asks for.
            features: Features of the request.
            now_s: Time on the clock of the trials.
        """
        expired = [name for name, row in self._trials.items() if row.until_s <= now_s]
        for name in expired:
            del self._trials[name]
        if service in self._trials:
            return False
        self._trials[service] = _Trial(features, now_s + _RESULT_TIMEOUT_S)
        return True

    def note_result(self, features: frozenset[str]) -> None:
        """Record that the trial with these features has ended, and not with a crash."""
        for service in [name for name, row in self._trials.items() if features <= row.features]:
            del self._trials[service]

    def note_crash(self, service: str, features: frozenset[str], now_s: float) -> None:
        """Record that the trial with these features crashed an endpoint; the next one waits."""
        trial = self._trials.get(service)
        if trial is not None and features <= trial.features:
            self._trials[service] = _Trial(features, now_s + _CONCLUSION_S)
