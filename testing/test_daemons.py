import pathlib
import sys

import pytest

from beryljunction.cli.daemons import run_daemon


def start(settings: pathlib.Path) -> int:
    """Start something.

    :param settings: TOML process file.
    """
    return len(settings.name)


class TestRunDaemon:
    def test_runs_a_single_path_without_importing_defopt(self, monkeypatch):
        monkeypatch.setitem(sys.modules, "defopt", None)
        monkeypatch.setattr(sys, "argv", ["beryl-entry", "dir/a.toml"])

        with pytest.raises(SystemExit) as exit_info:
            run_daemon(start)

        assert exit_info.value.code == len("a.toml")

    @pytest.mark.parametrize(
        ("arguments", "code", "expected_text"),
        [
            (["--help"], 0, "Start something."),
            ([], 2, "the following arguments are required: settings"),
            (["a.toml", "b.toml"], 2, "unrecognized arguments: b.toml"),
        ],
        ids=["help", "no-path", "two-paths"],
    )
    def test_leaves_other_command_lines_to_defopt(
        self, monkeypatch, capsys, arguments, code, expected_text
    ):
        monkeypatch.setattr(sys, "argv", ["beryl-entry", *arguments])

        with pytest.raises(SystemExit) as exit_info:
            run_daemon(start)

        assert exit_info.value.code == code
        assert expected_text in "".join(capsys.readouterr())
