"""beryl-sidecar: runs the sidecar of one endpoint."""

import pathlib

from beryljunction.cli.daemons import run_daemon, serve
from beryljunction.fleet_process import FleetProcess
from beryljunction.settings import SidecarFile

__all__ = ["main"]


def sidecar(settings: pathlib.Path) -> int:
    """Admit, queue and relay the requests of one endpoint.

    SIGTERM or SIGINT stops it once no request is in flight. Exit codes: 0 after such a stop,
    2 if the settings are not valid or an address is in use.

    :param settings: TOML process file with a [process] table, endpoint_id and endpoint_address.
    """
    return serve(settings, SidecarFile, FleetProcess.sidecar)


def main() -> None:
    """Run the command line."""
    run_daemon(sidecar)
