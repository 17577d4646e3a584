"""The settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
from typing import Any

import attrs

from beryljunction.errors import SettingsError
from beryljunction.routing import Mechanisms

__all__ = [
    "ADDRESS_FORM",
    "HostBounds",
    "HostSettings",
    "MECHANISMS_VARIABLE",
    "SETTINGS_VARIABLE",
    "format_address",
    "parse_address",
    "read_host_settings",
]

SETTINGS_VARIABLE = "BERYLJUNCTION_CONFIG"
# The platform's file names no address for metrics; the deploy file sets the port of its own.
METRICS_PORT_VARIABLE = "BERYL_METRICS_PORT"
# SHA-256 digests of the operators' keys, with commas between them.
OPERATOR_KEYS_VARIABLE = "BERYL_OPERATOR_KEYS_SHA256"
# Switches of the routing decisions, as in "fetch=off,stall=off"; all others are on.
MECHANISMS_VARIABLE = "BERYL_MECHANISMS"
ADDRESS_FORM = "IP:PORT"

Address = tuple[str, int]


@attrs.frozen
class HostBounds:
    """Promises of the deployment, with the defaults of its smallest site where a file lacks one.

    Attributes:
        revocation_ms: Longest time that an API key may be honoured after it was taken away.
        apply_ms: Time after which settings are in force on every host.
        evacuation_ms: Time after which endpoints of an evacuated zone get nothing more.
        drain_ms: Time after which an endpoint that leaves gets nothing more.
        grace_s: Time between the request to stop and the kill.
        repeat_ratio: Second sends that the fleet may make for each request.
        repeat_window_s: Sliding time of that ratio.
        repeat_slack: Second sends of the whole fleet on top of the ratio.
        cold_overshoot: Multiple of its own rate that an endpoint may get while it warms up.
        cold_slack: Requests a second on top of that.
        heartbeat_ms: Time between two writes of an endpoint's record; three missed ones expire it.
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


@attrs.frozen
class HostSettings:
    """What a process learns from the platform when it starts.

    Attributes:
        callers: Where callers are taken.
        probes: Where the balancer asks whether the process is ready.
        metrics: Where metrics are served besides the probes' address; None for nowhere.
        peers: Where other entries may ask this one; None for nowhere.
        mechanisms: Switches of the routing decisions, from the deploy file.
        operator_keys: Digests of the keys that operators may show at the metrics' address.
    """

    host: str
    availability_zone: str
    region: str
    callers: Address
    probes: Address
    store: Address
    bounds: HostBounds
    metrics: Address | None = None
    peers: Address | None = None
    operator_keys: str = ""
    mechanisms: Mechanisms = Mechanisms()


def read_host_settings(path: str | None = None) -> HostSettings:
    """Read the settings file.

    Raises:
        SettingsError: With one line for each field that is missing or wrong.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError([f"{SETTINGS_VARIABLE}: expected the path of a file, got nothing"])
    file = pathlib.Path(path)
    try:
        table = tomllib.loads(file.read_text())
    except OSError as error:
        raise SettingsError([f"{file}: expected a readable file, got {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([f"{file}: expected TOML, got {error}"]) from error
    reading = _Reading(table, str(file))
    settings = reading.settings()
    if reading.problems:
        raise SettingsError(reading.problems)
    return settings


class _Reading:
    """Reads fields and collects what is wrong with them; unknown fields are left alone."""

    def __init__(self, table: dict[str, Any], file: str) -> None:
        self._table = table
        self._file = file
        self.problems: list[str] = []

    def settings(self) -> HostSettings:
        """Return the settings; only usable when there are no problems."""
        return HostSettings(
            host=self._text("node-name"),
            availability_zone=self._text("zone"),
            region=self._text("region"),
            callers=self._address("listen-addresses", "front"),
            probes=self._address("listen-addresses", "ready"),
            store=self._address("platform", "address"),
            bounds=self._bounds(),
            metrics=self._metrics(),
            peers=self._peers(),
            operator_keys=os.environ.get(OPERATOR_KEYS_VARIABLE, ""),
            mechanisms=self._mechanisms(),
        )

    def _mechanisms(self) -> Mechanisms:
        try:
            return Mechanisms.parse(os.environ.get(MECHANISMS_VARIABLE, ""))
        except SettingsError as error:
            self.problems += [f"{MECHANISMS_VARIABLE}: {problem}" for problem in error.problems]
            return Mechanisms()

    def _peers(self) -> Address | None:
        """Return the first port that is free for the fleet's own use; None where none is named."""
        ports = self._get("internal-port-range")
        if ports is None:
            return None
        first = ports[0] if isinstance(ports, list) and ports else ports
        address = parse_address(f"{self._text('ip-address')}:{first}")
        if address is None:
            self._wrong(("internal-port-range",), "a list of ports", ports, None)
        return address

    def _metrics(self) -> Address | None:
        port = os.environ.get(METRICS_PORT_VARIABLE)
        if port is None:
            return None
        address = parse_address(f"{self._text('ip-address')}:{port}")
        if address is None:
            self.problems.append(f"{METRICS_PORT_VARIABLE}: expected a port, got {port!r}")
        return address

    def _bounds(self) -> HostBounds:
        names = {
            "revocation_ms": "revocation-ms",
            "apply_ms": "configuration-apply-ms",
            "evacuation_ms": "evacuation-ms",
            "drain_ms": "drain-ms",
            "grace_s": "grace-period-s",
            "repeat_ratio": "retry-budget-ratio",
            "repeat_window_s": "retry-window-s",
            "repeat_slack": "retry-budget-slack",
            "cold_overshoot": "cold-overshoot",
            "cold_slack": "cold-slack",
        }
        defaults = HostBounds()
        values = {
            field: self._number(getattr(defaults, field), "bounds", name)
            for field, name in names.items()
        }
        values["heartbeat_ms"] = self._number(defaults.heartbeat_ms, "heartbeat-interval-ms")
        return HostBounds(**values)  # type: ignore[arg-type]

    def _get(self, *path: str) -> Any:
        value: Any = self._table
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def _text(self, *path: str) -> str:
        value = self._get(*path)
        if isinstance(value, str) and value:
            return value
        return str(self._wrong(path, "a text", value, ""))

    def _number(self, default: float, *path: str) -> float:
        value = self._get(*path)
        if value is None:
            return default
        if isinstance(value, int | float) and not isinstance(value, bool) and value >= 0:
            return value
        return float(self._wrong(path, "a number of 0 or more", value, default))

    def _address(self, *path: str) -> Address:
        value = self._get(*path)
        address = parse_address(value)
        return address if address else self._wrong(path, ADDRESS_FORM, value, ("", 0))

    def _wrong(self, path: tuple[str, ...], expected: str, got: Any, default: Any) -> Any:
        place = ".".join(path)
        self.problems.append(f"{self._file}: {place}: expected {expected}, got {got!r}")
        return default


def format_address(address: Address) -> bytes:
    """Return an address as it is written in records."""
    return f"{address[0]}:{address[1]}".encode()


def parse_address(value: Any) -> Address | None:
    """Return the parts of an IP:PORT text; None for anything else."""
    if not isinstance(value, str):
        return None
    host, colon, port = value.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        return None
    return host, int(port)
