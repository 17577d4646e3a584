"""Real processes for measurements: our console programs on loopback, bounded in count."""

import contextlib
import itertools
import pathlib
import random
import re
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from typing import Any

import anyio
import anyio.abc
import attrs
import cattrs
import httpcore
import tomli_w

from beryljunction.bench.usage import Usage, usage_of
from beryljunction.errors import StartError
from beryljunction.local.demo_settings import DEMO_REGION, DEMO_ZONES, settings_by_path
from beryljunction.local.files import StandInEndpoint, StandInsFile
from beryljunction.servers import create_client_pool
from beryljunction.settings import EntryFile, ProcessSettings, ResolvedSettings, SidecarFile
from beryljunction.stores import HostRow

__all__ = ["Node", "Rig", "free_address", "open_rig"]

_MOST_PROCESSES = 40
_READY_S = 20.0
_POLL_S = 0.1
_STOP_S = 8.0
_FLEET_KEY = "bench-fleet-key"
# Below the range that Linux gives to outgoing connections (from 32,768 on).
_PORTS = itertools.count(random.randrange(12_000, 30_000))
_CONTROL = re.compile(r"^beryl_control_bytes_total\{.*\} ([0-9.e+]+)$", re.MULTILINE)

_converter = cattrs.Converter(omit_if_default=True)


def free_address() -> str:
    """Return a loopback address that nothing listens on.

    Ports the kernel hands to outgoing connections are avoided: one of the load's own connections
    might take the port before the process that it was meant for.
    """
    while True:
        address = ("127.0.0.1", next(_PORTS))
        with contextlib.suppress(OSError), socket.create_server(address):
            return f"{address[0]}:{address[1]}"


@attrs.define(eq=False)
class Node:
    """One running entry or sidecar."""

    process: subprocess.Popen[bytes]
    address: str
    operator_address: str
    row: HostRow

    @property
    def usage(self) -> Usage:
        """Processor time and memory of the process now."""
        return usage_of(self.process.pid)


class Rig:
    """A small fleet as a user starts it, ended by process id when the measurement is over."""

    def __init__(
        self,
        directory: pathlib.Path,
        pool: httpcore.AsyncConnectionPool,
        view: ResolvedSettings,
    ) -> None:
        self.pool = pool
        self.view = view
        self._directory = directory
        self._log_listen = free_address()
        self._hosts_listen = free_address()
        self._processes: list[subprocess.Popen[bytes]] = []

    @property
    def log_address(self) -> str:
        """Base URL of the stand-in log."""
        return f"http://{self._log_listen}"

    async def start_entry(self) -> Node:
        """Start an entry and wait until it is ready."""
        process = self._settings(f"entry-{len(self._processes)}")
        node = await self._start("beryl-entry", process, EntryFile(process, self.view), "", "")
        await self._wait_for(f"http://{node.operator_address}/readyz")
        return node

    async def start_sidecars(self, endpoints: list[tuple[str, str, str]]) -> list[Node]:
        """Start sidecars side by side and wait until all are ready.

        Args:
            endpoints: Endpoint id, service and address of each.
        """
        nodes: dict[str, Node] = {}

        async def start(endpoint_id: str, service: str, address: str) -> None:
            process = self._settings(f"host-{endpoint_id}")
            file = SidecarFile(process, endpoint_id, service, f"http://{address}", self.view)
            nodes[endpoint_id] = await self._start(
                "beryl-sidecar", process, file, endpoint_id, service
            )

        async with anyio.create_task_group() as group:
            for endpoint in endpoints:
                group.start_soon(start, *endpoint)
        return [nodes[endpoint_id] for endpoint_id, _, _ in endpoints]

    async def start_standins(
        self, rows: list[HostRow], endpoints: list[StandInEndpoint] | None = None
    ) -> None:
        """Start the host list with these rows, and stand-in endpoints."""
        file = StandInsFile(
            self._hosts_listen,
            self._log_listen,
            tuple(endpoints or ()),
            tuple(rows),
            settings_by_path(self.view),
        )
        path = self._write("standins", file)
        self._spawn("beryl-local", "standins", str(path))
        await self._wait_for(f"http://{self._hosts_listen}/v1/hosts?after=0&wait_s=0")
        await self._wait_for(f"{self.log_address}/streams/ready/records?after=0&limit=1")

    async def control_bytes(self, node: Node) -> float:
        """Return the bytes of control traffic that a node has sent and received."""
        url = f"http://{node.operator_address}/metrics"
        response = await self.pool.request("GET", url)
        return sum(float(value) for value in _CONTROL.findall(response.content.decode()))

    def close(self) -> None:
        """End all processes that this rig started."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait(_STOP_S)

    def _settings(self, host: str) -> ProcessSettings:
        return ProcessSettings(
            host=host,
            region=DEMO_REGION,
            availability_zone=DEMO_ZONES[len(self._processes) % len(DEMO_ZONES)],
            listen=free_address(),
            operator_listen=free_address(),
            fleet_key=_FLEET_KEY,
            log_address=self.log_address,
            hosts_address=f"http://{self._hosts_listen}",
            log_sample_ratio=0.0,
        )

    async def _start(
        self, program: str, process: ProcessSettings, file: Any, endpoint_id: str, service: str
    ) -> Node:
        path = self._write(process.host, file)
        running = self._spawn(program, str(path))
        await self._wait_for(f"http://{process.operator_listen}/livez")
        row = HostRow(
            host=process.host,
            endpoint_id=endpoint_id,
            service=service,
            availability_zone=process.availability_zone,
            region=process.region,
            address=process.listen,
            incarnation=process.host,
            operator_address=process.operator_listen,
        )
        return Node(running, process.listen, process.operator_listen, row)

    def _spawn(self, program: str, *arguments: str) -> subprocess.Popen[bytes]:
        if len(self._processes) >= _MOST_PROCESSES:
            raise StartError(f"expected at most {_MOST_PROCESSES} processes in a measurement")
        command = [str(pathlib.Path(sys.executable).with_name(program)), *arguments]
        process = subprocess.Popen(
            command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, cwd=self._directory
        )
        self._processes.append(process)
        return process

    def _write(self, name: str, content: Any) -> pathlib.Path:
        path = self._directory / f"{name}.toml"
        path.write_text(tomli_w.dumps(_converter.unstructure(content)), "utf-8")
        return path

    async def _wait_for(self, url: str) -> None:
        with anyio.move_on_after(_READY_S):
            while True:
                with contextlib.suppress(httpcore.NetworkError, httpcore.TimeoutException):
                    response = await self.pool.request("GET", url)
                    if response.status == 200:
                        return
                await anyio.sleep(_POLL_S)
        raise StartError(f"{url}: expected an answer within {_READY_S:g} s, got none")


@contextlib.asynccontextmanager
async def open_rig(view: ResolvedSettings) -> AsyncIterator[Rig]:
    """Return a rig whose processes end with the block."""
    with tempfile.TemporaryDirectory() as directory:
        async with create_client_pool() as pool:
            rig = Rig(pathlib.Path(directory), pool, view)
            try:
                yield rig
            finally:
                rig.close()
