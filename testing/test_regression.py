import pytest

from beryljunction.bench.regression import changes, read_scores
from beryljunction.cli.bench import regression


def entry(worth, site="small", rules=(), **fields):
    days = [
        {"name": "quiet-1", "G": 0.99, "rules": {}, "fault": None},
        {"name": "scale-1", "G": worth, "rules": {}, "fault": None},
        {"name": "trouble-1", "G": worth - 0.1, "rules": dict.fromkeys(rules, 1), "fault": None},
        {"name": "fresh-1a", "G": 0.0, "rules": {}, "fault": None},
    ]
    return {"cmd": "score", "ok": True, "site": site, "why": "x", "days": days, **fields}


class TestRegression:
    def test_newest_score_is_held_against_the_one_before(self, journal):
        folder = journal(entry(0.5), entry(0.8), entry(0.79), entry(0.7, site="other"))

        other, small = changes(read_scores(folder))

        assert small.old.trouble_mean == pytest.approx(0.75)
        assert small.new.trouble_mean == pytest.approx(0.74)
        assert other.old is None
        assert not small.has_lost

    def test_mean_that_fell_by_more_than_noise_is_a_loss(self, journal, capsys):
        folder = journal(entry(0.8), entry(0.76))

        assert regression(journal=folder) == 1
        assert "0.750   0.710  none  LOST" in capsys.readouterr().out

    def test_broken_rule_is_a_loss(self, journal):
        (row,) = changes(read_scores(journal(entry(0.8, rules=("LOST",)))))

        assert row.has_lost
        assert row.new.broken == ("trouble-1",)

    def test_runs_and_scores_that_did_not_end_are_left_out(self, journal, capsys):
        folder = journal(entry(0.8), entry(0.1, cmd="run"), entry(0.1, ok=False))

        assert regression(journal=folder) == 0
        assert "0.750" in capsys.readouterr().out
