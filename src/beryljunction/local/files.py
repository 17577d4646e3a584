"""Writes the process files of a small fleet that runs as separate processes on loopback."""

import pathlib
from collections.abc import Iterator
from typing import Any

import attrs
import cattrs
import tomli_w

from beryljunction.local.demo_settings import (
    DEMO_OPERATOR,
    DEMO_REGION,
    DEMO_ZONES,
    demo_settings,
    settings_by_path,
)
from beryljunction.settings import EntryFile, ProcessSettings, ResolvedSettings, SidecarFile
from beryljunction.settings.schema import OperatorFile
from beryljunction.stores import HostRow

__all__ = ["LocalFleetSize", "StandInEndpoint", "StandInsFile", "write_process_files"]

_LOOPBACK = "127.0.0.1"
_FLEET_KEY = "local-fleet-key"

_converter = cattrs.Converter(omit_if_default=True)


@attrs.frozen
class StandInEndpoint:
    """A stand-in engine or plain service and its listen address."""

    kind: str
    listen: str
    models: tuple[str, ...] = ()


@attrs.frozen
class StandInsFile:
    """Settings file of ``beryl-local standins``.

    Attributes:
        hosts_listen: IP address and port that the host list listens on.
        log_listen: IP address and port that the settings log listens on.
        hosts: Initial rows of the host list.
        settings: Initial settings in the log, by path.
    """

    hosts_listen: str
    log_listen: str
    endpoints: tuple[StandInEndpoint, ...] = ()
    hosts: tuple[HostRow, ...] = ()
    settings: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class LocalFleetSize:
    """Number of processes of each kind; ``endpoints`` is the number for each service."""

    entries: int = 2
    endpoints: int = 3


class _FleetFileWriter:
    """Assigns ports, writes the process files and collects the rows of the host list."""

    def __init__(
        self, directory: pathlib.Path, ports: Iterator[int], view: ResolvedSettings
    ) -> None:
        self._directory = directory
        self._ports = ports
        self._view = view
        self._hosts_listen = self._next_address()
        self._log_listen = self._next_address()
        self._endpoints: list[StandInEndpoint] = []
        self._rows: list[HostRow] = []

    def add_entry(self, number: int) -> str:
        """Write the file of an entry and return its address for callers."""
        process = self._process(f"entry-{number}", number)
        self._rows.append(_host_row(process))
        self._write(process.host, EntryFile(process))
        return process.listen

    def add_endpoint(self, number: int, service: str) -> None:
        """Write the file of a sidecar and add the stand-in of its endpoint."""
        endpoint_id = f"{service}-{number}"
        settings = self._view.services[service]
        standin = StandInEndpoint(settings.kind, self._next_address(), settings.models)
        process = self._process(f"host-{endpoint_id}", number)
        address = f"http://{standin.listen}"
        self._endpoints.append(standin)
        self._rows.append(
            attrs.evolve(_host_row(process), endpoint_id=endpoint_id, service=service)
        )
        self._write(endpoint_id, SidecarFile(process, endpoint_id, service, address))

    def finish(self) -> None:
        """Write the files of the stand-ins and of the operator."""
        settings = settings_by_path(self._view)
        endpoints, rows = tuple(self._endpoints), tuple(self._rows)
        standins = StandInsFile(self._hosts_listen, self._log_listen, endpoints, rows, settings)
        self._write("standins", standins)
        operator = OperatorFile(
            DEMO_OPERATOR,
            f"http://{self._log_listen}",
            nodes=tuple(row.address for row in rows),
            fleet_key=_FLEET_KEY,
            hosts_address=f"http://{self._hosts_listen}",
        )
        self._write("operator", operator)

    def _process(self, host: str, number: int) -> ProcessSettings:
        return ProcessSettings(
            host=host,
            region=DEMO_REGION,
            availability_zone=DEMO_ZONES[number % len(DEMO_ZONES)],
            listen=self._next_address(),
            operator_listen=self._next_address(),
            fleet_key=_FLEET_KEY,
            log_address=f"http://{self._log_listen}",
            hosts_address=f"http://{self._hosts_listen}",
        )

    def _next_address(self) -> str:
        return f"{_LOOPBACK}:{next(self._ports)}"

    def _write(self, name: str, content: Any) -> None:
        data = tomli_w.dumps(_converter.unstructure(content))
        (self._directory / f"{name}.toml").write_text(data, "utf-8")


def write_process_files(
    directory: pathlib.Path,
    ports: Iterator[int],
    size: LocalFleetSize,
    view: ResolvedSettings | None = None,
) -> list[str]:
    """Write a file for each process and return the entries' addresses."""
    view = view if view is not None else demo_settings()
    writer = _FleetFileWriter(directory, ports, view)
    entries = [writer.add_entry(number) for number in range(size.entries)]
    for service in view.services:
        for number in range(size.endpoints):
            writer.add_endpoint(number, service)
    writer.finish()
    return entries


def _host_row(process: ProcessSettings) -> HostRow:
    return HostRow(
        host=process.host,
        endpoint_id="",
        service="",
        availability_zone=process.availability_zone,
        region=process.region,
        address=process.listen,
        operator_address=process.operator_listen,
    )
