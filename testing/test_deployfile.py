import pathlib

import pytest

from beryljunction.cli.deploy import check
from beryljunction.errors import SettingsError
from beryljunction.platform.deployfile import read_deploy_file

DEPLOYED = pathlib.Path(__file__).parent.parent / "deploy" / "system.toml"
GOOD = """
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
    def test_the_one_that_is_deployed_can_be_used(self, capsys):
        assert check(DEPLOYED) == 0
        assert "on hosts of class front; serves front" in capsys.readouterr().out

    @pytest.mark.parametrize(
        ("change", "place"),
        [
            (("build", "bild"), "bild: expected one of"),
            (('run = "python3 -m entry"', "run = 3"), "roles.entry.run: expected a text, got 3"),
            (("share = 1.0", "share = 1.5"), "roles.entry.share: expected a number above 0"),
            (("share = 1.0", "share = true"), "roles.entry.share: expected a number above 0"),
            (("share = 1.0", "share = 1.0\ncount = 2"), "roles.entry.count: expected a share or"),
            (("share = 1.0", "count = 0"), "roles.entry.count: expected a whole number"),
            (('["front"]', '["fornt"]'), "roles.entry.serves: expected some of"),
            (("share = 1.0", 'metrics = "x/y"'), "roles.entry.metrics: expected PORT/PATH"),
            (("BERYL_PORT", "PYTHONPATH"), "roles.entry.env.PYTHONPATH: expected capitals"),
            (("BERYL_PORT", "beryl"), "roles.entry.env.beryl: expected capitals"),
            (('{ BERYL_PORT = "1" }', "{ BERYL_PORT = 1 }"), "env.BERYL_PORT: expected a text"),
            (("[roles.entry]", "[role.entry]"), "roles: expected one table a role"),
        ],
    )
    def test_error_names_place_expected_and_got(self, tmp_path, change, place):
        assert any(place in problem for problem in problems(tmp_path, GOOD.replace(*change)))

    def test_two_roles_of_a_class_must_not_serve_the_same(self, tmp_path):
        second = GOOD.split("[roles.entry]")[1]

        found = problems(tmp_path, f"{GOOD}\n[roles.second]{second}")

        assert "expected one on front that serves front, got ['entry', 'second']" in found[0]

    @pytest.mark.parametrize("text", ["x", "build = 1", 'build = "x"\nroles = 3'])
    def test_file_that_is_none_is_an_error(self, tmp_path, text):
        assert problems(tmp_path, text)

    def test_missing_file_ends_the_command_with_a_line(self, tmp_path, capsys):
        assert check(tmp_path / "none.toml") == 2
        assert "expected a readable file" in capsys.readouterr().err
