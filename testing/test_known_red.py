import pathlib

import pytest

from known_red import read_known_red

pytest_plugins = ["pytester"]

ROOT = pathlib.Path(__file__).parent.parent
SOURCE = "class TestLimit:\n    def test_it_holds(self):\n        pass\n\ndef helper():\n    pass\n"
TEST = "testing/test_limit.py::TestLimit::test_it_holds"
GOOD = f"{TEST} | fails for seed 3 | issue 7"


@pytest.fixture
def read(tmp_path):
    """Return a function that reads a list of these lines beside a small test suite."""
    for path, text in (("testing/test_limit.py", SOURCE), ("review/run.sh", "exit 1\n")):
        (tmp_path / path).parent.mkdir(exist_ok=True)
        (tmp_path / path).write_text(text)
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/day.toml").write_text("")

    def read(*lines):
        (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines))
        return read_known_red(tmp_path / "KNOWN-RED.txt")

    return read


class TestEntries:
    def test_tests_and_commands_are_read(self, read):
        rows = read(
            GOOD,
            f"{TEST}[seed-3] | one parameter only | issue 7",
            "review/run.sh | 5 of 5 | issue 8",
            "fleetbench run --vary deploy/day.toml --seed 1, site.toml | LIMIT | issue 9",
        )

        assert [row.is_test for row in rows] == [True, True, False, False]
        assert rows[0].reason == "fails for seed 3"

    def test_more_than_three_entries_are_read(self, read):
        """Guards against listing two faults as one because the list is full."""
        rows = read(GOOD, *(f"{TEST}[{number}] | fails | issue 7" for number in range(4)))

        assert len(rows) == 5

    def test_missing_file_lists_nothing(self, tmp_path):
        assert read_known_red(tmp_path / "KNOWN-RED.txt") == []

    @pytest.mark.parametrize(
        ("line", "message"),
        [
            (f"{TEST} | issue 7", "expected 'test | what was seen | issue N'"),
            (f"{GOOD} | more", "expected 'test | what was seen | issue N'"),
            (f"{TEST} |  | issue 7", "expected 'test | what was seen | issue N'"),
            (f"{TEST} | fails | 7", "expected 'issue N' with one number"),
            (f"{TEST} | fails | issue 7; issue 8", "expected 'issue N' with one number"),
            (f"{TEST} | {'x' * 600} | issue 7", "expected one fault in at most 600 characters"),
            ("testing/test_no.py::test_it | fails | issue 7", "got testing/test_no.py"),
            (f"{TEST}_no | fails | issue 7", "test_limit.py::test_it_holds_no"),
            (
                "testing/test_limit.py::helper | fails | issue 7",
                "got testing/test_limit.py::helper",
            ),
            ("review/no.sh; review/run.sh | fails | issue 7", "got review/no.sh"),
            ("fleetbench run deploy/no.toml | fails | issue 7", "got deploy/no.toml"),
        ],
    )
    def test_bad_entry_is_refused(self, read, line, message):
        """Guards against entries that excuse nothing, several faults, or for ever."""
        with pytest.raises(ValueError, match=r"KNOWN-RED\.txt:2: ") as error:
            read(GOOD, line)

        assert message in str(error.value)

    def test_repeated_entry_is_refused(self, read):
        with pytest.raises(ValueError, match="expected each test once"):
            read(GOOD, GOOD)

    def test_list_of_this_repository_is_valid(self):
        read_known_red(ROOT / "KNOWN-RED.txt")


class TestReport:
    def test_listed_commands_and_tests_that_pass_are_printed(self, pytester):
        """Guards against excusing a fault that is fixed, or one that nobody sees."""
        suite = pytester.mkdir("testing")
        for name in ("conftest.py", "known_red.py"):
            (suite / name).write_text((ROOT / "testing" / name).read_text("utf-8"))
        (suite / "test_limit.py").write_text(SOURCE)
        (pytester.path / "run.sh").touch()
        (pytester.path / "KNOWN-RED.txt").write_text(f"{GOOD}\nrun.sh | LOST | issue 8")

        result = pytester.runpytest_subprocess("-p", "no:cacheprovider")

        result.assert_outcomes(xpassed=1)
        result.stdout.fnmatch_lines(["*not run, in KNOWN-RED.txt*", "run.sh (issue 8)"])
        result.stdout.fnmatch_lines(["*ready to leave KNOWN-RED.txt*", TEST])
