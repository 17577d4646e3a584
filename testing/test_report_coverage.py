import math

import pytest

from beryljunction.routing import ReportCoverage


class TestReportCoverage:
    def test_share_is_of_choices_without_a_recent_report(self):
        coverage = ReportCoverage()
        for age_s in (0.1, 1.9, 2.1, math.inf):
            coverage.note_choice("engine", age_s, 0.0)

        assert coverage.shares_without_report() == {"engine": 0.5}

    def test_services_are_counted_separately(self):
        coverage = ReportCoverage()
        coverage.note_choice("engine", math.inf, 0.0)
        coverage.note_choice("plain", 0.0, 0.0)

        assert coverage.shares_without_report() == {"engine": 1.0, "plain": 0.0}

    def test_recent_choices_outweigh_older_ones(self):
        """Guards against a share that stays low for hours after reports have stopped."""
        coverage = ReportCoverage()
        for _ in range(1_000):
            coverage.note_choice("engine", 0.0, 0.0)
        for _ in range(10):
            coverage.note_choice("engine", math.inf, 60.0)

        assert coverage.shares_without_report()["engine"] == pytest.approx(0.8, abs=0.1)

    def test_only_the_first_unreadable_report_of_a_service_is_reported(self):
        coverage = ReportCoverage()

        assert coverage.note_unreadable("engine")
        assert not coverage.note_unreadable("engine")
        assert coverage.note_unreadable("plain")
        assert coverage.unreadable == {"engine": 2, "plain": 1}
