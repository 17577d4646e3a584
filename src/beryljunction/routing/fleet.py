"""The fleet's settings for routing: routes, services and client accounts."""

import enum
from collections.abc import Iterable, Mapping

import attrs

__all__ = [
    "Account",
    "CallerLimits",
    "FleetConfig",
    "RepeatPolicy",
    "Route",
    "Service",
    "WeightedService",
]


class RepeatPolicy(enum.Enum):
    """Whether the requests of a route may be repeated.

    Attributes:
        FREELY: Requests are idempotent and may run more than once.
        RESUME: Another endpoint may continue a stream after the last event seen.
        NEVER: A request runs at most once for each attempt of its caller.
    """

    FREELY = "freely"
    RESUME = "resume"
    NEVER = "never"


@attrs.frozen
class WeightedService:
    """One target of a route whose traffic is split over services."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests for a host and path prefix go, and how they are handled.

    Attributes:
        targets: Services with their weights; never empty.
        streamed: Whether answers are event streams.
        max_attempts: Number of endpoints that one request may be sent to.
        priority: Rank; 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[WeightedService, ...]
    repeat: RepeatPolicy
    streamed: bool
    timeout_ms: int
    max_attempts: int
    priority: int
    allows_anonymous: bool

    def service_for(self, draw: float) -> str:
        """Return the service that a random number in [0, 1) selects by weight."""
        remaining = draw * sum(target.weight for target in self.targets)
        for target in self.targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        return self.targets[-1].service


@attrs.frozen
class Service:
    """A group of interchangeable endpoints.

    Attributes:
        is_engine: Whether its endpoints serve a model and cache prompt prefixes.
        can_fetch: Whether its endpoints can fetch cached prefixes from each other.
        cold_start_s: How long an endpoint warms up after its start.
        cold_per_s: Requests per second that a cold endpoint can handle; 0 for no limit.
        health_path: Path of its endpoints' health check; empty if they have none.
    """

    name: str
    is_engine: bool
    can_fetch: bool
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    health_path: str = ""


@attrs.frozen
class Account:
    """A client account; its `priority`, if set, overrides the route's."""

    name: str
    priority: int | None


@attrs.frozen
class CallerLimits:
    """What callers may send and how long they may take.

    The defaults, which are usual for HTTP servers, hold until the first settings are read.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


@attrs.frozen
class FleetConfig:
    """One version of the fleet's settings.

    Attributes:
        routes: By host in lower case, the longest path prefix first.
        accounts: By API key; None when the fleet has no client accounts.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits
    accounts: Mapping[str, Account] | None

    @property
    def route_names(self) -> frozenset[str]:
        """Names of all routes."""
        return frozenset(route.name for rows in self.routes.values() for route in rows)

    @property
    def stream_targets(self) -> dict[tuple[str, str], frozenset[str]]:
        """The services of the routes whose streams may be resumed, by host and path prefix."""
        return {
            (host, route.path_prefix): frozenset(target.service for target in route.targets)
            for host, routes in self.routes.items()
            for route in routes
            if route.repeat is RepeatPolicy.RESUME
        }

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @staticmethod
    def index(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
        """Return routes by host, the longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        return {
            host: tuple(sorted(rows, key=lambda row: -len(row.path_prefix)))
            for host, rows in by_host.items()
        }
