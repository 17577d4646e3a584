import pytest

from beryljunction.bench.ablation import compare, markdown, plot, read_plays
from beryljunction.cli.bench import ablation


def entry(off, day="scale-1", seed=0, worth=0.8, rules=(), **fields):
    prices = [["cloud calls", 500.0, 0.01], ["machine-seconds", 9.0, 0.1]]
    values = {
        "G": worth,
        "parts": [["whole day", 0.75, worth + 0.1], ["worst windows", 0.15, worth - 0.1]],
        "prices": prices,
        "rules": dict.fromkeys(rules, 1),
    }
    why = f"Ablation: off={off} day={day} seed={seed}"
    return {"why": why, "ok": True, "site": "small", "days": [values], **fields}


class TestComparison:
    def test_plays_are_compared_with_all_on_over_the_same_day_and_seed(self, journal):
        folder = journal(
            entry("all", seed=0, worth=0.80),
            entry("all", seed=1, worth=0.90),
            entry("fetch", seed=0, worth=0.70),
            entry("fetch", seed=1, worth=0.84),
            entry("fetch", seed=2, worth=0.10),
        )

        (row,) = compare(read_plays(folder))

        assert (row.off, row.site, row.plays) == ("fetch", "small", 2)
        assert row.worth == pytest.approx(-0.08)
        assert row.worth_spread == pytest.approx(0.0283, abs=1e-4)
        assert row.credit == pytest.approx(-0.08)

    def test_later_play_of_a_case_replaces_the_one_before(self, journal):
        folder = journal(entry("all"), entry("fetch", worth=0.1), entry("fetch", worth=0.7))

        assert [play.worth for play in read_plays(folder)] == [0.8, 0.7]

    def test_what_is_no_play_of_the_ablation_is_left_out(self, journal):
        folder = journal({"why": None}, {"why": "Trial"}, entry("all", ok=False), entry("stall"))

        assert [play.off for play in read_plays(folder)] == ["stall"]
        assert compare(read_plays(folder)) == []

    def test_broken_rules_are_counted(self, journal):
        folder = journal(entry("all"), entry("bound", rules=("LIMIT",)))

        assert compare(read_plays(folder))[0].broken == 1


class TestTable:
    def test_command_prints_the_table_and_draws_it(self, journal, capsys, tmp_path):
        folder = journal(entry("all"), entry("fetch", worth=0.7))
        picture = tmp_path / "picture.svg"

        assert ablation(journal=folder) == 0
        plot(compare(read_plays(folder)), picture)

        assert "| fetch | small | 1 | -0.100 |  | -0.100 |" in capsys.readouterr().out
        assert picture.read_text().startswith("<?xml")

    def test_single_play_has_no_spread(self, journal):
        folder = journal(entry("all"), entry("fetch"))

        assert "| +0.000 |  |" in markdown(compare(read_plays(folder)))

    def test_empty_journal_is_told(self, journal, capsys):
        assert ablation(journal=journal()) == 1
        assert "expected plays" in capsys.readouterr().out
