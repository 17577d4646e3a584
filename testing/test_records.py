import json

import pytest

from beryljunction.platform import InvalidRecord, decode_config, decode_endpoint
from beryljunction.routing import RepeatPolicy
from endpoint_records import RECORD, record

ROUTE = {
    "name": "r",
    "host": "Shop.example",
    "path-prefix": "/a/",
    "kind": "streaming",
    "timeout-ms": 6000.0,
    "target-latency-ms": 600,
    "priority": 1,
    "traffic-split": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
    "max-attempts": 2,
    "resume-streams": True,
}


def config(**fields):
    values = {"version": 7, "routes": [ROUTE], "services": [{"name": "x", "engine": {}}]}
    values.update(fields)
    return decode_config(json.dumps(values).encode())


class TestConfig:
    def test_fields_are_decoded(self):
        decoded = config(tenants=[{"name": "acme", "api-keys": ["k1", "k2"], "priority": 3}])

        route = decoded.route_for("shop.EXAMPLE", "/a/b")
        assert (route.repeat, route.streamed, route.timeout_ms) == (RepeatPolicy.RESUME, True, 6000)
        assert [target.service for target in route.targets] == ["x", "y"]
        assert decoded.accounts["k2"].priority == 3
        assert decoded.services["x"].is_engine

    def test_service_has_the_request_rate_of_its_warming_endpoints(self):
        row = {"name": "x", "cold-start-s": 3.0, "cold-per-s": 11}

        service = config(services=[row]).services["x"]

        assert (service.cold_start_s, service.cold_per_s) == (3.0, 11.0)

    @pytest.mark.parametrize("value", [-1, True, "fast"])
    def test_invalid_rate_is_rejected(self, value):
        rejected = config(services=[{"name": "x", "cold-per-s": value}])

        assert isinstance(rejected, InvalidRecord)
        assert "cold-per-s" in rejected.problem

    def test_traffic_split_follows_the_weights(self):
        route = config().route_for("shop.example", "/a/")

        assert [route.service_for(draw) for draw in (0.0, 0.89, 0.91, 0.999)] == [
            "x",
            "x",
            "y",
            "y",
        ]

    def test_route_of_unknown_kind_is_never_retried(self):
        decoded = config(routes=[{**ROUTE, "kind": "batched", "resume-streams": False}])

        assert decoded.route_for("shop.example", "/a/").repeat is RepeatPolicy.NEVER

    def test_fleet_without_client_accounts_needs_no_api_key(self):
        assert config().accounts is None

    @pytest.mark.parametrize(
        ("fields", "message"),
        [
            ({"version": None}, "version: expected"),
            ({"version": True}, "version: expected"),
            ({"routes": {}}, "routes: expected a list"),
            ({"routes": [{**ROUTE, "timeout-ms": "6"}]}, "timeout-ms: expected"),
            ({"routes": [{**ROUTE, "traffic-split": [{"service": "x"}]}]}, "weight: expected"),
            ({"tenants": [{"name": "a", "api-keys": "k"}]}, "tenants.a.api-keys: expected"),
            ({"limits": 7}, "limits: expected a table"),
            ({"version": 2**2048}, "version: expected"),
            ({"routes": [{**ROUTE, "timeout-ms": 2**2048}]}, "timeout-ms: expected"),
            ({"services": [{"name": "x", "cold-per-s": 2**2048}]}, "cold-per-s: expected"),
            (
                {"routes": [{**ROUTE, "traffic-split": [{"service": "x", "weight": 2**2048}]}]},
                "weight: expected",
            ),
            ({"services": [{"name": "\ud800"}]}, "name: expected"),
        ],
    )
    def test_problem_has_its_location(self, fields, message):
        decoded = config(**fields)

        assert isinstance(decoded, InvalidRecord)
        assert message in decoded.problem

    def test_versions_above_the_precision_of_a_float_differ(self):
        """Guards against settings that are taken for those in force, one version before them."""
        assert config(version=2**53 + 1).version == 2**53 + 1

    def test_deeply_nested_json_is_a_problem_and_not_a_crash(self):
        assert isinstance(decode_config(b"[" * 100_000), InvalidRecord)


def endpoint(endpoint_id="i-1", **fields):
    return decode_endpoint(endpoint_id, record(**fields))


class TestEndpoint:
    def test_born_distinguishes_two_starts_of_an_endpoint(self):
        first, second = endpoint(born=5), endpoint(born=6)

        assert first.address == ("10.9.0.1", 7)
        assert not first.is_same_incarnation(second)

    @pytest.mark.parametrize(
        ("version", "expected"), [("v1.2", "v1.2"), ("", None)], ids=["stated", "empty"]
    )
    def test_software_version(self, version, expected):
        assert endpoint(version=version).version == expected

    def test_version_of_another_type_is_rejected(self):
        rejected = endpoint(version=2)

        assert isinstance(rejected, InvalidRecord)
        assert "version: expected a string, got 2" in rejected.problem

    @pytest.mark.parametrize("name", list(RECORD))
    def test_record_that_lacks_a_field_names_no_endpoint(self, name):
        """Guards against requests to what another writer has put into the list of endpoints."""
        fields = {key: value for key, value in RECORD.items() if key != name}

        rejected = decode_endpoint("i-1", json.dumps(fields).encode())

        assert isinstance(rejected, InvalidRecord)
        assert f"{name}: expected" in rejected.problem

    @pytest.mark.parametrize("name", ["slots", "sequence-number", "born"])
    @pytest.mark.parametrize(
        "value",
        [2**2048, -(2**2048), 1e300, -1, float("nan"), True],
        ids=["huge", "least", "float", "negative", "nan", "boolean"],
    )
    def test_number_out_of_range_names_no_endpoint(self, name, value):
        """Guards against the end of every entry at a number too large for a float."""
        rejected = endpoint(**{name: value})

        assert isinstance(rejected, InvalidRecord)
        assert f"{name}: expected" in rejected.problem

    @pytest.mark.parametrize("name", ["service", "zone", "version"])
    @pytest.mark.parametrize("value", ["\ud800", "x" * 70_000], ids=["surrogate", "long"])
    def test_text_that_cannot_be_passed_on_names_no_endpoint(self, name, value):
        """Guards against a name that a later message, header or digest can't hold."""
        assert isinstance(endpoint(**{name: value}), InvalidRecord)

    @pytest.mark.parametrize(
        "endpoint_id",
        ["", "i\r\nx-tenant: a", "i\ufffd"],
        ids=["empty", "lines", "replaced"],
    )
    def test_id_that_no_header_can_hold_names_no_endpoint(self, endpoint_id):
        """Guards against a key that adds headers to the requests for its endpoint."""
        assert isinstance(endpoint(endpoint_id), InvalidRecord)

    @pytest.mark.parametrize(
        "address",
        [
            "x" * 64 + ".example:9",
            "localhost:9",
            "10.0.0.1:" + "9" * 5_000,
            "10.0.0.1:99999",
            "10.0.0.256:9",
            "10.0.0.1\0:9",
            "\ud800:9",
            "[::1]:9",
        ],
        ids=["label", "name", "digits", "port", "part", "null", "surrogate", "ipv6"],
    )
    def test_address_that_needs_a_look_up_names_no_endpoint(self, address):
        """Guards against requests that are closed without an answer at a failed name look-up."""
        rejected = endpoint(address=address)

        assert isinstance(rejected, InvalidRecord)
        assert "address: expected" in rejected.problem

    @pytest.mark.parametrize("host", ["0.0.0.0", "224.0.0.1", "240.0.0.1", "255.255.255.255"])
    def test_address_of_no_host_names_no_endpoint(self, host):
        """Guards against requests to whatever listens on the entry's own machine."""
        rejected = endpoint(address=f"{host}:9")

        assert isinstance(rejected, InvalidRecord)
        assert "address: expected" in rejected.problem

    def test_problem_stays_short(self):
        assert len(endpoint(state="x" * 70_000).problem) < 200
