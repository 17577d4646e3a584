"""Interface between the common process wiring and the role of a process."""

import abc
import ssl
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import httpcore

from beryljunction.graceful_stop import Stoppable
from beryljunction.operator_api import ProcessStatus
from beryljunction.servers import Asgi
from beryljunction.settings import ProcessSettings, ResolvedSettings
from beryljunction.stores import HostRow, LogClient
from beryljunction.timeline import Timeline

__all__ = ["LEAVING", "ProcessRole", "RoleContext"]

LEAVING = "leaving"


@attrs.frozen
class RoleContext:
    """Clients and callbacks that the process provides to its role.

    Attributes:
        tls: TLS context for calls to other processes; None without TLS.
        fleet: Pool for control calls to other processes.
        peers: Pool for exchanging load, counted separately in the metrics.
        settings_version: Returns the version of the current settings.
        on_newer_settings: Called with the endpoint id of a peer that has newer settings, and
            their version.
        log: Client of the platform's log; None if no log is configured.
    """

    tls: ssl.SSLContext | None
    fleet: httpcore.AsyncConnectionPool
    peers: httpcore.AsyncConnectionPool
    settings_version: Callable[[], int]
    on_newer_settings: Callable[[str, int], None]
    log: LogClient | None = None


class ProcessRole(abc.ABC):
    """The part of a process that differs between entry and sidecar.

    Attributes:
        requires_client_certificate: Whether the request listener requires client certificates
            (mutual TLS).
        stoppable: The component that a graceful stop waits for.
        routes: Handlers of the control paths that other fleet processes call.
    """

    name: str
    requires_client_certificate: bool
    process: ProcessSettings
    app: Asgi
    stoppable: Stoppable
    timeline: Timeline
    routes: Mapping[str, Asgi]

    @abc.abstractmethod
    async def run(self, *, task_status: Any) -> None:
        """Run the role's background tasks until cancelled."""

    @abc.abstractmethod
    def apply_settings(self, view: ResolvedSettings) -> None:
        """Apply new settings."""

    @abc.abstractmethod
    def update_hosts(self, rows: list[HostRow]) -> None:
        """Update the role with all rows of the current host list."""

    @abc.abstractmethod
    def drain(self, leaving: bool) -> None:
        """Start or end a drain; while draining, senders are told to send work elsewhere."""

    @abc.abstractmethod
    def status(self, status: ProcessStatus) -> ProcessStatus:
        """Return the status with the role's own fields filled in."""
