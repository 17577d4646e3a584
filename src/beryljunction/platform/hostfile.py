"""Reads the settings file that the platform writes for each process."""

import os
import pathlib
import socket
import tomllib
from collections.abc import Mapping
from typing import Any

import attrs

from beryljunction.errors import SettingsError
from beryljunction.routing import Mechanisms

__all__ = [
    "ADDRESS_FORMAT",
    "BOUND_PATHS",
    "START_PATHS",
    "DeploymentBounds",
    "HostSettings",
    "MECHANISMS_VARIABLE",
    "SETTINGS_VARIABLE",
    "format_address",
    "is_host_address",
    "parse_address",
    "read_host_settings",
]

SETTINGS_VARIABLE = "BERYLJUNCTION_CONFIG"
# The platform's file has no address for metrics, so the deploy file sets the port.
METRICS_PORT_VARIABLE = "BERYL_METRICS_PORT"
# SHA-256 digests of the operators' keys, separated by commas.
OPERATOR_KEYS_VARIABLE = "BERYL_OPERATOR_KEYS_SHA256"
# Routing mechanisms to switch off, as in "fetch=off,stall=off"; all others are on.
MECHANISMS_VARIABLE = "BERYL_MECHANISMS"
ADDRESS_FORMAT = "IP:PORT"
_MAX_PORT_DIGITS = 5
# First parts of IP addresses that no host has: this host itself, multicast, reserved, broadcast.
_PARTS_WITHOUT_HOST = frozenset(["0", *map(str, range(224, 256))])

# Numbers beyond this are mistakes, and may be too large to calculate with.
_MAX_NUMBER = 1e12
# Where the file holds each limit.
BOUND_PATHS: Mapping[str, tuple[str, ...]] = {
    "revocation_ms": ("bounds", "revocation-ms"),
    "apply_ms": ("bounds", "configuration-apply-ms"),
    "evacuation_ms": ("bounds", "evacuation-ms"),
    "drain_ms": ("bounds", "drain-ms"),
    "grace_s": ("bounds", "grace-period-s"),
    "repeat_ratio": ("bounds", "retry-budget-ratio"),
    "repeat_window_s": ("bounds", "retry-window-s"),
    "repeat_slack": ("bounds", "retry-budget-slack"),
    "cold_overshoot": ("bounds", "cold-overshoot"),
    "cold_slack": ("bounds", "cold-slack"),
    "heartbeat_ms": ("heartbeat-interval-ms",),
    "memory_mb": ("limits", "memory-mb"),
}
# Where it holds what a process reads when it starts. The last two share the machine's address.
START_PATHS: Mapping[str, tuple[str, ...]] = {
    "host": ("node-name",),
    "availability_zone": ("zone",),
    "region": ("region",),
    "callers": ("listen-addresses", "front"),
    "probes": ("listen-addresses", "ready"),
    "store": ("platform", "address"),
    "metrics": ("ip-address",),
    "peers": ("internal-port-range",),
}

Address = tuple[str, int]


@attrs.frozen
class DeploymentBounds:
    """Limits that the deployment guarantees; the defaults are those of the smallest site.

    Attributes:
        revocation_ms: Longest time for which a revoked API key may still be accepted.
        apply_ms: Time within which new settings are in force on every host.
        evacuation_ms: Time after which endpoints of an evacuated zone get no more requests.
        drain_ms: Time after which a draining endpoint gets no more requests.
        grace_s: Time between SIGTERM and SIGKILL.
        repeat_ratio: Retries that the fleet may send per request.
        repeat_window_s: Length of the sliding window for that ratio.
        repeat_slack: Retries that the whole fleet may send in addition to the ratio.
        cold_overshoot: Multiple of its request rate that an endpoint may get while it warms up.
        cold_slack: Requests per second in addition to that.
        heartbeat_ms: Interval at which an endpoint writes its record; it expires after three.
        memory_mb: Memory beyond which the process is killed.
    """

    revocation_ms: int = 5_000
    apply_ms: int = 2_000
    evacuation_ms: int = 5_000
    drain_ms: int = 2_000
    grace_s: float = 8.0
    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_slack: int = 0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    heartbeat_ms: int = 1_000
    memory_mb: int = 300


@attrs.frozen
class HostSettings:
    """Settings that a process reads from the platform when it starts.

    Attributes:
        callers: Address that accepts callers' requests.
        probes: Address of the load balancer's readiness probe.
        metrics: Address that serves metrics in addition to the probe address; None for no address.
        peers: Address that accepts requests of other entries; None for no address.
        mechanisms: Routing mechanisms that are on or off, from the deploy file.
        operator_keys: Digests of the operator keys that the metrics address accepts.
        given: Paths of the known fields that the file holds.
        is_terminated: Whether the last line of the file has an end.
    """

    host: str
    availability_zone: str
    region: str
    callers: Address
    probes: Address
    store: Address
    bounds: DeploymentBounds
    metrics: Address | None = None
    peers: Address | None = None
    operator_keys: str = ""
    mechanisms: Mechanisms = Mechanisms()
    given: frozenset[str] = attrs.field(default=frozenset(), eq=False)
    is_terminated: bool = attrs.field(default=True, eq=False)


def read_host_settings(path: str | None = None) -> HostSettings:
    """Read the settings file.

    Raises:
        SettingsError: With one line for each field that is missing or invalid.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            [f"{SETTINGS_VARIABLE}: expected the path of the settings file, got no value"]
        )
    file = pathlib.Path(path)
    try:
        text = file.read_text("utf-8")
        table = tomllib.loads(text)
    except OSError as error:
        raise SettingsError([f"{file}: expected a readable file, got {error.strerror}"]) from error
    except (ValueError, RecursionError) as error:  # The parser also raises these directly.
        raise SettingsError([f"{file}: expected TOML, got {error}"]) from error
    parser = _SettingsParser(table, str(file))
    settings = parser.settings()
    if parser.problems:
        raise SettingsError(parser.problems)
    return attrs.evolve(settings, is_terminated=text.endswith("\n"))


class _SettingsParser:
    """Parses the fields and collects all problems; unknown fields are ignored."""

    def __init__(self, table: dict[str, Any], file: str) -> None:
        self._table = table
        self._file = file
        self.problems: list[str] = []

    def settings(self) -> HostSettings:
        """Return the settings; they are valid only if `problems` is empty."""
        return HostSettings(
            host=self._string("node-name"),
            availability_zone=self._string("zone"),
            region=self._string("region"),
            callers=self._address("listen-addresses", "front"),
            probes=self._address("listen-addresses", "ready"),
            store=self._address("platform", "address"),
            bounds=self._bounds(),
            metrics=self._metrics(),
            peers=self._peers(),
            operator_keys=os.environ.get(OPERATOR_KEYS_VARIABLE, ""),
            mechanisms=self._mechanisms(),
            given=self._given(),
        )

    def _given(self) -> frozenset[str]:
        paths = [*START_PATHS.values(), *BOUND_PATHS.values()]
        return frozenset(".".join(path) for path in paths if self._get(*path) is not None)

    def _mechanisms(self) -> Mechanisms:
        try:
            return Mechanisms.parse(os.environ.get(MECHANISMS_VARIABLE, ""))
        except SettingsError as error:
            self.problems += [f"{MECHANISMS_VARIABLE}: {problem}" for problem in error.problems]
            return Mechanisms()

    def _peers(self) -> Address | None:
        """Return the address with the first port of the internal range; None without a range."""
        ports = self._get("internal-port-range")
        if ports is None:
            return None
        first = ports[0] if isinstance(ports, list) and ports else ports
        address = parse_address(f"{self._string('ip-address')}:{first}")
        if address is None:
            self._add_problem(("internal-port-range",), "a list of ports", ports, None)
        return address

    def _metrics(self) -> Address | None:
        port = os.environ.get(METRICS_PORT_VARIABLE)
        if port is None:
            return None
        address = parse_address(f"{self._string('ip-address')}:{port}")
        if address is None:
            self.problems.append(f"{METRICS_PORT_VARIABLE}: expected a port, got {port!r}")
        return address

    def _bounds(self) -> DeploymentBounds:
        defaults = DeploymentBounds()
        values = {
            field: self._number(getattr(defaults, field), *path)
            for field, path in BOUND_PATHS.items()
        }
        return DeploymentBounds(**values)  # type: ignore[arg-type]

    def _get(self, *path: str) -> Any:
        value: Any = self._table
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def _string(self, *path: str) -> str:
        value = self._get(*path)
        if isinstance(value, str) and value:
            return value
        return str(self._add_problem(path, "a string", value, ""))

    def _number(self, default: float, *path: str) -> float:
        value = self._get(*path)
        if value is None:
            return default
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and 0 <= value <= _MAX_NUMBER:
            return float(value) if isinstance(value, float) else int(value)
        return float(self._add_problem(path, "a number of 0 or more", value, default))

    def _address(self, *path: str) -> Address:
        value = self._get(*path)
        address = parse_address(value)
        return address if address else self._add_problem(path, ADDRESS_FORMAT, value, ("", 0))

    def _add_problem(self, path: tuple[str, ...], expected: str, got: Any, default: Any) -> Any:
        place = ".".join(path)
        self.problems.append(f"{self._file}: {place}: expected {expected}, got {got!r}")
        return default


def format_address(address: Address) -> bytes:
    """Return an address in the IP:PORT form that records use."""
    return f"{address[0]}:{address[1]}".encode()


def parse_address(value: Any) -> Address | None:
    """Return the IP and port of an IP:PORT string; None for any other value.

    Only IPv4 addresses are usable: the platform has no name look-ups.
    """
    if not isinstance(value, str):
        return None
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS):
        return None
    if not 0 < int(port) < 65_536:
        return None
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return None
    return host, int(port)


def is_host_address(address: Address) -> bool:
    """Return whether another host can have an address."""
    return address[0].partition(".")[0] not in _PARTS_WITHOUT_HOST
