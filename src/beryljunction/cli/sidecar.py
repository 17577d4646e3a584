"""beryl-sidecar: stands beside one endpoint."""

import pathlib

from beryljunction.cli.daemons import run_daemon, serve
from beryljunction.node import Node
from beryljunction.settings import SidecarFile

__all__ = ["main"]


def sidecar(settings: pathlib.Path) -> int:
    """Admit, queue and relay the work of one endpoint.

    SIGTERM or SIGINT stops it once everything in flight has ended. Exit codes: 0 after a stop,
    2 when the settings can't be used or an address is taken.

    :param settings: TOML process file with a [process] table, endpoint_id and endpoint_address.
    """
    return serve(settings, SidecarFile, Node.sidecar)


def main() -> None:
    """Run the command line."""
    run_daemon(sidecar)
