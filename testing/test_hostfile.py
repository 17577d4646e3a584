import pytest

from beryljunction.errors import SettingsError
from beryljunction.platform import read_host_settings

FILE = """
node-name = "front-regina-1"
ip-address = "10.1.0.40"
zone = "regina"
region = "prairies"
heartbeat-interval-ms = 1200
unknown-field = { a = 1 }
[listen-addresses]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[limits]
file-descriptors = 4100
[bounds]
revocation-ms = 5000
grace-period-s = 8
retry-budget-ratio = 0.2
[platform]
address = "10.200.1.7:8223"
"""


def read(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return read_host_settings(str(path))


class TestReadHostSettings:
    def test_known_fields_are_read_and_unknown_ones_are_ignored(self, tmp_path):
        settings = read(tmp_path, FILE)

        assert settings.callers == ("10.1.0.40", 8227)
        assert settings.store == ("10.200.1.7", 8223)
        assert settings.bounds.grace_s == 8
        assert settings.bounds.heartbeat_ms == 1200
        assert settings.metrics is None

    def test_metrics_port_comes_from_the_deploy_file(self, tmp_path, monkeypatch):
        monkeypatch.setenv("BERYL_METRICS_PORT", "9464")

        assert read(tmp_path, FILE).metrics == ("10.1.0.40", 9464)

    @pytest.mark.parametrize(
        ("old", "new", "problem"),
        [
            ('zone = "regina"', "", "zone: expected a string, got None"),
            ('"10.1.0.40:8227"', '"10.1.0.40"', "listen-addresses.front: expected IP:PORT"),
            ("= 8\n", '= "8"\n', "bounds.grace-period-s: expected a number"),
        ],
    )
    def test_problem_has_location_expected_and_actual_value(self, tmp_path, old, new, problem):
        with pytest.raises(SettingsError) as caught:
            read(tmp_path, FILE.replace(old, new))

        assert problem in str(caught.value)
        assert "node.toml" in str(caught.value)

    def test_all_problems_are_reported_at_once(self, tmp_path):
        with pytest.raises(SettingsError) as caught:
            read(tmp_path, "")

        assert len(caught.value.problems) == 6

    def test_file_that_is_not_toml_is_an_error(self, tmp_path):
        with pytest.raises(SettingsError, match="expected TOML"):
            read(tmp_path, "= 3")

    @pytest.mark.parametrize("value", ["[" * 9000, "1" * 5000])
    def test_value_that_the_parser_gives_up_on_is_an_error(self, tmp_path, value):
        """Guards against an error of the parser that ends the process."""
        with pytest.raises(SettingsError, match="expected TOML"):
            read(tmp_path, f"a = {value}")

    def test_missing_file_is_an_error(self):
        with pytest.raises(SettingsError, match="expected a readable file"):
            read_host_settings("/nowhere/node.toml")

    def test_limits_for_endpoints_that_warm_up_are_read(self, tmp_path):
        text = FILE.replace("[platform]", "cold-overshoot = 1.5\ncold-slack = 5\n[platform]")

        bounds = read(tmp_path, text).bounds

        assert (bounds.cold_overshoot, bounds.cold_slack) == (1.5, 5)

    @pytest.mark.parametrize("value", ["-1", "true", "inf", '"much"'])
    def test_invalid_limit_is_an_error(self, tmp_path, value):
        text = FILE.replace("[platform]", f"cold-slack = {value}\n[platform]")

        with pytest.raises(SettingsError, match="cold-slack: expected a number of 0 or more"):
            read(tmp_path, text)
