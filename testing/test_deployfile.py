import pathlib

import pytest

from beryljunction.cli.deploy import check
from beryljunction.errors import SettingsError
from beryljunction.platform.deployfile import read_deploy_file

DEPLOYED = pathlib.Path(__file__).parent.parent / "deploy" / "system.toml"
VALID = """
build = "true"
[roles.entry]
run = "python3 -m entry"
on = "front"
share = 1.0
serves = ["front"]
env = { BERYL_PORT = "1" }
"""


def problems(tmp_path, text):
    file = tmp_path / "system.toml"
    file.write_text(text)
    with pytest.raises(SettingsError) as caught:
        read_deploy_file(file)
    return caught.value.problems


class TestDeployFile:
    def test_deployed_file_is_valid(self, capsys):
        assert check(DEPLOYED) == 0
        assert "on hosts of class front; serves front" in capsys.readouterr().out

    @pytest.mark.parametrize(
        ("replacement", "message"),
        [
            (("build", "bild"), "bild: expected one of"),
            (
                ('run = "python3 -m entry"', "run = 3"),
                "roles.entry.run: expected a non-empty string, got 3",
            ),
            (("share = 1.0", "share = 1.5"), "roles.entry.share: expected a number above 0"),
            (("share = 1.0", "share = true"), "roles.entry.share: expected a number above 0"),
            (
                ("share = 1.0", "share = 1.0\ncount = 2"),
                "roles.entry.count: expected either share or",
            ),
            (("share = 1.0", "count = 0"), "roles.entry.count: expected a whole number"),
            (('["front"]', '["fornt"]'), "roles.entry.serves: expected a list from"),
            (("share = 1.0", 'metrics = "x/y"'), "roles.entry.metrics: expected PORT/PATH"),
            (("BERYL_PORT", "PYTHONPATH"), "roles.entry.env.PYTHONPATH: expected capital letters"),
            (("BERYL_PORT", "beryl"), "roles.entry.env.beryl: expected capital letters"),
            (('{ BERYL_PORT = "1" }', "{ BERYL_PORT = 1 }"), "env.BERYL_PORT: expected a string"),
            (("[roles.entry]", "[role.entry]"), "roles: expected one table per role"),
        ],
    )
    def test_error_has_location_expected_and_actual_value(self, tmp_path, replacement, message):
        assert any(
            message in problem for problem in problems(tmp_path, VALID.replace(*replacement))
        )

    def test_two_roles_on_one_host_class_must_not_serve_the_same_interface(self, tmp_path):
        second = VALID.split("[roles.entry]")[1]

        found = problems(tmp_path, f"{VALID}\n[roles.second]{second}")

        assert "expected one on front that serves front, got ['entry', 'second']" in found[0]

    @pytest.mark.parametrize("text", ["x", "build = 1", 'build = "x"\nroles = 3'])
    def test_invalid_file_is_an_error(self, tmp_path, text):
        assert problems(tmp_path, text)

    def test_missing_file_is_reported_on_stderr(self, tmp_path, capsys):
        assert check(tmp_path / "none.toml") == 2
        assert "expected a readable file" in capsys.readouterr().err
