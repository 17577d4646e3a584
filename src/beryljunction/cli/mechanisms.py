"""Shows which routing mechanisms of the entries are switched on in the deploy file."""

import json as json_module
import pathlib
import sys

from beryljunction.cli.fleet_commands import EXIT_INVALID, EXIT_OK
from beryljunction.errors import SettingsError
from beryljunction.platform.deployfile import read_deploy_file
from beryljunction.routing import Mechanism, list_switches

__all__ = ["DEFAULT_DEPLOY_FILE", "MECHANISMS_PATH", "explain_mechanisms"]

DEFAULT_DEPLOY_FILE = pathlib.Path("deploy/system.toml")
# Path prefix of the switches in the arguments of `beryl settings explain`.
MECHANISMS_PATH = "mechanisms"


def explain_mechanisms(path: str, deploy: pathlib.Path, json: bool) -> int:
    """Print one switch or all of them, for each role, with the source of the value.

    Args:
        path: "mechanisms", or "mechanisms.NAME" for a single one.
        deploy: The deploy file.
        json: Print one JSON object a line.
    """
    wanted = path.removeprefix(MECHANISMS_PATH).removeprefix(".")
    try:
        roles = read_deploy_file(deploy)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    rows = [
        (role.name, row)
        for role in roles
        for row in list_switches(role.mechanisms)
        if wanted in ("", row.name)
    ]
    if not rows:
        print(f"{path}: expected the name of a mechanism, got {wanted!r}", file=sys.stderr)
        return EXIT_INVALID
    for role_name, row in rows:
        print(_to_json(role_name, row) if json else _to_line(role_name, row, deploy))
    return EXIT_OK


def _to_line(role_name: str, row: Mechanism, deploy: pathlib.Path) -> str:
    source = "default" if row.is_on else str(deploy)
    state = "on" if row.is_on else "off"
    return f"{MECHANISMS_PATH}.{row.name} = {state} ({role_name}, {source}): {row.guards}"


def _to_json(role_name: str, row: Mechanism) -> str:
    values = {"role": role_name, "name": row.name, "on": row.is_on, "guards": row.guards}
    return json_module.dumps(values)
