"""Share of the choices of an endpoint that were made without a recent load report."""

import collections
import math

import attrs

__all__ = ["ReportCoverage"]

# A report older than this has no weight in the estimate of a load.
_MAX_AGE_S = 2.0
# Choices of about this period count, so that the share follows a change within half a minute.
_WINDOW_S = 10.0


@attrs.define
class _DecayingCounts:
    """Choices of one service, of which older ones count less."""

    total: float = 0.0
    without_report: float = 0.0
    at_s: float = -math.inf

    def add(self, is_without_report: bool, now_s: float) -> None:
        keep = math.exp(-max(0.0, now_s - self.at_s) / _WINDOW_S)
        self.total = self.total * keep + 1.0
        self.without_report = self.without_report * keep + float(is_without_report)
        self.at_s = now_s


class ReportCoverage:
    """Tracks, for each service, how many choices had a load report to go by.

    Without reports an entry knows only its own requests, so the load bound holds by chance. Nothing
    else shows this: callers are answered, only later.
    """

    def __init__(self) -> None:
        self._choices: dict[str, _DecayingCounts] = {}
        self.unreadable: collections.Counter[str] = collections.Counter()

    def note_choice(self, service: str, report_age_s: float, now_s: float) -> None:
        """Count a choice of an endpoint whose last load report has this age."""
        counts = self._choices.setdefault(service, _DecayingCounts())
        counts.add(report_age_s > _MAX_AGE_S, now_s)

    def note_unreadable(self, service: str) -> bool:
        """Count a report with a field that can't be read; return whether it is the first."""
        self.unreadable[service] += 1
        return self.unreadable[service] == 1

    def shares_without_report(self) -> dict[str, float]:
        """Return the share of recent choices without a recent report, by service."""
        return {
            service: counts.without_report / counts.total
            for service, counts in self._choices.items()
        }
