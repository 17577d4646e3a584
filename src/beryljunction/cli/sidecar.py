"""beryl-sidecar: stands beside one endpoint."""

import pathlib
import sys

import anyio
import defopt

from beryljunction.cli.entry import run_until_signal
from beryljunction.errors import BerylError
from beryljunction.logs import configure_logs
from beryljunction.servers import Server, bind
from beryljunction.settings import FleetView, ServiceSettings, SidecarFile, load_file
from beryljunction.sidecar import SidecarApp

__all__ = ["main"]

_EXIT_SETTINGS = 2


async def _run(app: SidecarApp, server: Server) -> None:
    async with anyio.create_task_group() as group:
        await group.start(app.run)
        await run_until_signal(server)
        group.cancel_scope.cancel()


def sidecar(settings: pathlib.Path) -> int:
    """Admit, queue and relay the work of one endpoint.

    :param settings: TOML process file with a [process] table, endpoint_id and endpoint_address.
    """
    configure_logs()
    try:
        file = load_file(settings, SidecarFile)
        view = FleetView(services={file.service: ServiceSettings()})
        server = Server(SidecarApp(file, view), bind(file.process.listen))
    except BerylError as error:
        print(error, file=sys.stderr)
        return _EXIT_SETTINGS
    app = server.config.app
    assert isinstance(app, SidecarApp)
    anyio.run(_run, app, server)
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(sidecar))
