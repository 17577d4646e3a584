"""beryl-sidecar: stands beside one endpoint."""

import pathlib
import sys

import anyio
import defopt

from beryljunction.errors import BerylError
from beryljunction.logs import configure_logs
from beryljunction.node import Node
from beryljunction.settings import FleetView, SidecarFile, load_file

__all__ = ["main"]

_EXIT_SETTINGS = 2


async def _run(file: SidecarFile) -> None:
    await Node.sidecar(file, file.fleet or FleetView()).run_until_signal()


def sidecar(settings: pathlib.Path) -> int:
    """Admit, queue and relay the work of one endpoint.

    SIGTERM or SIGINT stops it once everything in flight has ended. Exit codes: 0 after a stop,
    2 when the settings can't be used or an address is taken.

    :param settings: TOML process file with a [process] table, endpoint_id and endpoint_address.
    """
    configure_logs()
    try:
        anyio.run(_run, load_file(settings, SidecarFile))
    except BerylError as error:
        print(error, file=sys.stderr)
        return _EXIT_SETTINGS
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(sidecar))
