import json

import pytest

from beryljunction.platform import InvalidRecord, decode_config, decode_endpoint
from beryljunction.routing import RepeatPolicy

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
        ],
    )
    def test_problem_has_its_location(self, fields, message):
        decoded = config(**fields)

        assert isinstance(decoded, InvalidRecord)
        assert message in decoded.problem

    def test_deeply_nested_json_is_a_problem_and_not_a_crash(self):
        assert isinstance(decode_config(b"[" * 100_000), InvalidRecord)


class TestEndpoint:
    def test_born_distinguishes_two_starts_of_an_endpoint(self):
        fields = {"service": "x", "address": "10.0.0.1:8080", "zone": "a", "slots": 6}
        fields.update({"state": "ready", "cold-remaining-ms": 0})

        first = decode_endpoint("i-1", json.dumps({**fields, "born": 5}).encode())
        second = decode_endpoint("i-1", json.dumps({**fields, "born": 6}).encode())

        assert first.address == ("10.0.0.1", 8080)
        assert not first.is_same_incarnation(second)

    @pytest.mark.parametrize(
        ("fields", "version"),
        [({"version": "v1.2"}, "v1.2"), ({}, None), ({"version": ""}, None)],
        ids=["stated", "missing", "empty"],
    )
    def test_software_version(self, fields, version):
        values = {"service": "x", "address": "10.0.0.1:8080", "zone": "a", "slots": 6}

        decoded = decode_endpoint(
            "i-1", json.dumps({**values, "state": "ready", **fields}).encode()
        )

        assert decoded.version == version

    def test_version_of_another_type_is_rejected(self):
        values = {"service": "x", "address": "10.0.0.1:8080", "zone": "a", "slots": 6}

        rejected = decode_endpoint(
            "i-1", json.dumps({**values, "state": "ready", "version": 2}).encode()
        )

        assert isinstance(rejected, InvalidRecord)
        assert "version: expected a string, got 2" in rejected.problem
