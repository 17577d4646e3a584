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
    def test_starts_from_one_path_without_the_command_line_library(self, monkeypatch):
        monkeypatch.setitem(sys.modules, "defopt", None)
        monkeypatch.setattr(sys, "argv", ["beryl-entry", "dir/a.toml"])

        with pytest.raises(SystemExit) as exit_:
            run_daemon(start)

        assert exit_.value.code == len("a.toml")

    @pytest.mark.parametrize(
        ("arguments", "code", "said"),
        [
            (["--help"], 0, "Start something."),
            ([], 2, "the following arguments are required: settings"),
            (["a.toml", "b.toml"], 2, "unrecognized arguments: b.toml"),
        ],
        ids=["help", "no-path", "two-paths"],
    )
    def test_explains_every_other_command_line(self, monkeypatch, capsys, arguments, code, said):
        monkeypatch.setattr(sys, "argv", ["beryl-entry", *arguments])

        with pytest.raises(SystemExit) as exit_:
            run_daemon(start)

        assert exit_.value.code == code
        assert said in "".join(capsys.readouterr())
