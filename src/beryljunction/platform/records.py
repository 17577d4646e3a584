"""Decodes the records that the operator and the endpoints write to the platform's store."""

import json
import math
from collections.abc import Mapping
from typing import Any

import attrs

from beryljunction.platform.hostfile import parse_address
from beryljunction.routing import (
    Account,
    CallerLimits,
    EndpointRecord,
    FleetConfig,
    RepeatPolicy,
    Route,
    Service,
    WeightedService,
)

__all__ = ["InvalidRecord", "decode_config", "decode_endpoint", "decode_evacuation"]

_REPEAT_BY_KIND = {"idempotent": RepeatPolicy.FREELY, "non_idempotent": RepeatPolicy.NEVER}
_STREAM_KIND = "streaming"
_EVACUATION_PREFIX = "evacuate/"
# No endpoint warms up for longer than this; a larger value is an error of its writer.
_MAX_COLD_MS = 600_000


@attrs.frozen
class InvalidRecord:
    """A record that can't be used; the problem has the location, expected and actual value."""

    problem: str


class _FieldError(ValueError):
    """A field is missing or has an invalid value."""


def decode_endpoint(endpoint_id: str, value: bytes) -> EndpointRecord | InvalidRecord:
    """Decode the record that an endpoint writes about itself.

    A record without a required field may come from another writer, so it yields no endpoint.
    """
    try:
        fields = _table(_parse_json(value), "record")
        state = _string(fields, "state")
        if state not in ("ready", "draining"):
            raise _FieldError(f"state: expected ready or draining, got {state!r}")
        address = parse_address(fields.get("address"))
        if address is None:
            raise _FieldError(f"address: expected IP:PORT, got {fields.get('address')!r}")
        return EndpointRecord(
            endpoint_id=endpoint_id,
            started_ms=_started_ms(fields),
            service=_string(fields, "service"),
            address=address,
            availability_zone=_string(fields, "zone"),
            slots=_integer(fields, "slots", 1),
            is_draining=state == "draining",
            cold_ms=_cold_ms(fields),
            sequence=_integer(fields, "sequence-number", 0, default=0),
            version=_version(fields),
        )
    except _FieldError as error:
        return InvalidRecord(f"{endpoint_id}: {error}")


def _cold_ms(fields: Mapping[str, Any]) -> int | None:
    """Return the remaining warm-up time of the endpoint; None if the number is out of range."""
    value = fields.get("cold-remaining-ms", 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _FieldError(f"cold-remaining-ms: expected a number, got {value!r}")
    return int(value) if 0 <= value <= _MAX_COLD_MS else None


def _version(fields: Mapping[str, Any]) -> str | None:
    """Return the software version of the endpoint; None if the record states none."""
    value = fields.get("version")
    if value is None or isinstance(value, str):
        return value or None
    raise _FieldError(f"version: expected a string, got {value!r}")


def decode_evacuation(key: str) -> str | InvalidRecord | None:
    """Return the availability zone that an operator's key evacuates; None for other keys.

    The value of the record is ignored: the zone stays evacuated as long as the key exists.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    zone = key.removeprefix(_EVACUATION_PREFIX)
    if not zone or "\ufffd" in zone:
        return InvalidRecord(f"{key!r}: expected {_EVACUATION_PREFIX}ZONE, got no valid zone name")
    return zone


def decode_config(value: bytes) -> FleetConfig | InvalidRecord:
    """Decode the settings of the whole fleet."""
    try:
        fields = _table(_parse_json(value), "configuration")
        routes = [_route(row) for row in _rows(fields, "routes")]
        services = [_service(row) for row in _rows(fields, "services")]
        return FleetConfig(
            version=_integer(fields, "version", 0),
            routes=FleetConfig.index(routes),
            services={service.name: service for service in services},
            limits=_limits(fields.get("limits")),
            accounts=_accounts(fields),
        )
    except _FieldError as error:
        return InvalidRecord(str(error))


def _started_ms(fields: Mapping[str, Any]) -> int:
    """Return the Unix time in ms at which the endpoint started; it identifies a start of one id."""
    return _integer(fields, "born", 0, default=0)


def _route(fields: Mapping[str, Any]) -> Route:
    kind = _string(fields, "kind")
    streamed = kind == _STREAM_KIND
    resumes = streamed and fields.get("resume-streams") is True
    return Route(
        name=_string(fields, "name"),
        host=_string(fields, "host"),
        path_prefix=_string(fields, "path-prefix"),
        targets=_targets(fields),
        # Routes of an unknown kind are never retried, the safest choice.
        repeat=RepeatPolicy.RESUME if resumes else _REPEAT_BY_KIND.get(kind, RepeatPolicy.NEVER),
        streamed=streamed,
        timeout_ms=_integer(fields, "timeout-ms", 1),
        max_attempts=_integer(fields, "max-attempts", 1, default=1),
        priority=_integer(fields, "priority", 0, default=0),
        allows_anonymous=fields.get("allow-anonymous") is True,
    )


def _targets(fields: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    """Return the services of a route: a single one, or several with weights."""
    split = fields.get("traffic-split")
    if not split:
        return (WeightedService(_string(fields, "service"), 1.0),)
    targets = [
        WeightedService(_string(row, "service"), _number(row, "weight"))
        for row in _rows(fields, "traffic-split")
    ]
    positive_targets = tuple(target for target in targets if target.weight > 0)
    if not positive_targets:
        raise _FieldError("traffic-split: expected a weight above 0, got none")
    return positive_targets


def _service(fields: Mapping[str, Any]) -> Service:
    engine = fields.get("engine")
    engine_fields = engine if isinstance(engine, dict) else {}
    return Service(
        name=_string(fields, "name"),
        is_engine=isinstance(engine, dict),
        can_fetch=bool(engine_fields.get("kv-token-bytes"))
        and bool(engine_fields.get("link-mbps")),
        cold_start_s=_non_negative_number(fields, "cold-start-s"),
        cold_per_s=_non_negative_number(fields, "cold-per-s"),
    )


def _limits(value: Any) -> CallerLimits:
    if value is None:
        return CallerLimits()
    fields = _table(value, "limits")
    default = CallerLimits()
    return CallerLimits(
        header_bytes=_integer(fields, "max-header-bytes", 1, default.header_bytes),
        body_bytes=_integer(fields, "max-body-bytes", 0, default.body_bytes),
        header_timeout_ms=_integer(fields, "header-timeout-ms", 1, default.header_timeout_ms),
        idle_timeout_ms=_integer(fields, "idle-timeout-ms", 1, default.idle_timeout_ms),
    )


def _accounts(fields: Mapping[str, Any]) -> dict[str, Account] | None:
    if fields.get("tenants") is None:
        return None
    accounts: dict[str, Account] = {}
    for row in _rows(fields, "tenants"):
        priority = row.get("priority")
        is_set = isinstance(priority, int) and not isinstance(priority, bool)
        account = Account(_string(row, "name"), priority if is_set else None)
        keys = row.get("api-keys")
        if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
            raise _FieldError(f"tenants.{account.name}.api-keys: expected a list of strings")
        accounts.update((key, account) for key in keys)
    return accounts


def _parse_json(value: bytes) -> Any:
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        raise _FieldError(f"expected JSON, got {error}") from error


def _table(value: Any, place: str) -> Mapping[str, Any]:
    if isinstance(value, dict):
        return value
    raise _FieldError(f"{place}: expected a table, got {type(value).__name__}")


def _rows(fields: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    value = fields.get(name)
    if not isinstance(value, list):
        raise _FieldError(f"{name}: expected a list, got {type(value).__name__}")
    return [_table(row, name) for row in value]


def _string(fields: Mapping[str, Any], name: str) -> str:
    value = fields.get(name)
    if isinstance(value, str) and value:
        return value
    raise _FieldError(f"{name}: expected a non-empty string, got {type(value).__name__}")


def _integer(fields: Mapping[str, Any], name: str, minimum: int, default: int | None = None) -> int:
    value = fields.get(name)
    if value is None and default is not None:
        return default
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    number = float(value) if is_number and value is not None else math.nan
    if math.isfinite(number) and number >= minimum:
        return int(number)
    raise _FieldError(f"{name}: expected a number of {minimum} or more, got {value!r}")


def _non_negative_number(fields: Mapping[str, Any], name: str) -> float:
    """Return a number of 0 or more; 0 if the field is missing."""
    value = _number(fields, name) if fields.get(name) is not None else 0.0
    if math.isfinite(value) and value >= 0.0:
        return value
    raise _FieldError(f"{name}: expected a number of 0 or more, got {value!r}")


def _number(fields: Mapping[str, Any], name: str) -> float:
    value = fields.get(name)
    if isinstance(value, int | float) and not isinstance(value, bool):
        return float(value)
    raise _FieldError(f"{name}: expected a number, got {value!r}")
