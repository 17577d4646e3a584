"""Builders of endpoints, routes and settings for tests of the routing decisions."""

from beryljunction.routing import (
    Account,
    CallerLimits,
    EndpointRecord,
    FleetConfig,
    KnownEndpoint,
    RepeatPolicy,
    Route,
    Service,
    WeightedService,
)

__all__ = ["config_of", "endpoint", "known", "route_of"]


def endpoint(name, service="engine", started_ms=1, port=9000, **fields):
    values = {"availability_zone": "a", "slots": 4, "is_draining": False, "cold_ms": 0}
    values.update(fields)
    return EndpointRecord(name, started_ms, service, ("127.0.0.1", port), **values)


def known(name, in_flight=0, **fields):
    return KnownEndpoint(endpoint(name, **fields), in_flight=in_flight)


def route_of(prefix="/chat/", service="engine", **fields):
    values = {
        "name": f"route{prefix}",
        "host": "shop.example",
        "path_prefix": prefix,
        "targets": (WeightedService(service, 1.0),),
        "repeat": RepeatPolicy.NEVER,
        "streamed": False,
        "timeout_ms": 2_000,
        "max_attempts": 1,
        "priority": 1,
        "allows_anonymous": False,
    }
    values.update(fields)
    return Route(**values)


def config_of(*routes, version=1, keys=(("key", "acme"),), limits=None):
    accounts = None if keys is None else {key: Account(name, None) for key, name in keys}
    services = {target.service for route in routes for target in route.targets}
    return FleetConfig(
        version=version,
        routes=FleetConfig.index(routes),
        services={name: Service(name, name == "engine", True) for name in services},
        limits=limits or CallerLimits(),
        accounts=accounts,
    )
