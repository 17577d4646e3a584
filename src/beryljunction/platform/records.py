"""Decodes the records that the operator and the endpoints write to the platform's store."""

import re
from collections.abc import Mapping
from typing import Any

from beryljunction.platform.fields import (
    MAX_INTEGER,
    MAX_TEXT_CHARS,
    FieldError,
    InvalidRecord,
    describe,
    finite_number,
    is_header_text,
    is_text,
    parse_json,
    whole_number,
)
from beryljunction.platform.hostfile import is_host_address, parse_address
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
# No endpoint has this many slots; it would always look idle.
_MAX_SLOTS = 1_000_000
# Messages between entries have no longer names of zones.
_MAX_ZONE_CHARS = 128
# Names in the settings; the operator chooses them.
_MAX_NAME_CHARS = 65_536
_HEALTH_PATH = re.compile(r"/[!-~]{0,1000}")


def decode_endpoint(endpoint_id: str, value: bytes) -> EndpointRecord | InvalidRecord:
    """Decode the record that an endpoint writes about itself.

    A record without a required field may come from another writer, so it yields no endpoint.
    """
    try:
        if not is_header_text(endpoint_id) or "\ufffd" in endpoint_id:
            raise FieldError("expected an id that a header can hold")
        fields = _table(parse_json(value), "record")
        state = _string(fields, "state")
        if state not in ("ready", "draining"):
            raise FieldError(f"state: expected ready or draining, got {describe(state)}")
        address = parse_address(fields.get("address"))
        if address is None or not is_host_address(address):
            raise FieldError(f"address: expected IP:PORT, got {describe(fields.get('address'))}")
        return EndpointRecord(
            endpoint_id=endpoint_id,
            started_ms=_started_ms(fields),
            service=_string(fields, "service", MAX_TEXT_CHARS),
            address=address,
            availability_zone=_string(fields, "zone", MAX_TEXT_CHARS),
            slots=_integer(fields, "slots", 1, maximum=_MAX_SLOTS),
            is_draining=state == "draining",
            cold_ms=_cold_ms(fields),
            sequence=_integer(fields, "sequence-number", 0),
            version=_version(fields),
        )
    except FieldError as error:
        return InvalidRecord(f"{describe(endpoint_id)}: {error}")


def _cold_ms(fields: Mapping[str, Any]) -> int | None:
    """Return the remaining warm-up time of the endpoint; None if the number is out of range."""
    value = fields.get("cold-remaining-ms")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f"cold-remaining-ms: expected a number, got {describe(value)}")
    return whole_number(value, 0, _MAX_COLD_MS)


def _version(fields: Mapping[str, Any]) -> str | None:
    """Return the software version of the endpoint; None if it is empty."""
    value = fields.get("version")
    if is_text(value):
        return value or None
    raise FieldError(f"version: expected a string, got {describe(value)}")


def decode_evacuation(key: str) -> str | InvalidRecord | None:
    """Return the availability zone that an operator's key evacuates; None for other keys.

    The value of the record is ignored: the zone stays evacuated as long as the key exists.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    zone = key.removeprefix(_EVACUATION_PREFIX)
    if not zone or "\ufffd" in zone or len(zone) > _MAX_ZONE_CHARS:
        return InvalidRecord(
            f"{describe(key)}: expected {_EVACUATION_PREFIX}ZONE, got no valid zone name"
        )
    return zone


def decode_config(value: bytes) -> FleetConfig | InvalidRecord:
    """Decode the settings of the whole fleet."""
    try:
        fields = _table(parse_json(value), "configuration")
        routes = [_route(row) for row in _rows(fields, "routes")]
        services = [_service(row) for row in _rows(fields, "services")]
        return FleetConfig(
            version=_integer(fields, "version", 0),
            routes=FleetConfig.index(routes),
            services={service.name: service for service in services},
            limits=_limits(fields.get("limits")),
            accounts=_accounts(fields),
        )
    except FieldError as error:
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
        raise FieldError("traffic-split: expected a weight above 0, got none")
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
        health_path=_health_path(fields.get("health-check-path")),
    )


def _health_path(value: Any) -> str:
    """Return a path that a request line can hold; empty without one."""
    is_path = isinstance(value, str) and _HEALTH_PATH.fullmatch(value) is not None
    return value if is_path else ""


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
        if not is_header_text(account.name, _MAX_NAME_CHARS):
            raise FieldError("tenants.name: expected a name that a header can hold")
        keys = row.get("api-keys")
        if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
            raise FieldError(f"tenants.{account.name}.api-keys: expected a list of strings")
        accounts.update((key, account) for key in keys)
    return accounts


def _table(value: Any, place: str) -> Mapping[str, Any]:
    if isinstance(value, dict):
        return value
    raise FieldError(f"{place}: expected a table, got {type(value).__name__}")


def _rows(fields: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    value = fields.get(name)
    if not isinstance(value, list):
        raise FieldError(f"{name}: expected a list, got {type(value).__name__}")
    return [_table(row, name) for row in value]


def _string(fields: Mapping[str, Any], name: str, max_chars: int = _MAX_NAME_CHARS) -> str:
    value = fields.get(name)
    if is_text(value, max_chars) and value:
        return str(value)
    expected = f"a non-empty string of {max_chars} characters at most"
    raise FieldError(f"{name}: expected {expected}, got {type(value).__name__}")


def _integer(
    fields: Mapping[str, Any],
    name: str,
    minimum: int,
    default: int | None = None,
    maximum: int = MAX_INTEGER,
) -> int:
    value = fields.get(name)
    if value is None and default is not None:
        return default
    number = whole_number(value, minimum, maximum)
    if number is not None:
        return number
    raise FieldError(f"{name}: expected a number of {minimum} or more, got {describe(value)}")


def _non_negative_number(fields: Mapping[str, Any], name: str) -> float:
    """Return a number of 0 or more; 0 if the field is missing."""
    value = _number(fields, name) if fields.get(name) is not None else 0.0
    if value >= 0.0:
        return value
    raise FieldError(f"{name}: expected a number of 0 or more, got {value!r}")


def _number(fields: Mapping[str, Any], name: str) -> float:
    value = fields.get(name)
    number = finite_number(value)
    if number is not None:
        return number
    raise FieldError(f"{name}: expected a number, got {describe(value)}")
