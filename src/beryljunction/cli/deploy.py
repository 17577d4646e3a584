"""beryl deploy: checks the deploy file."""

import pathlib
import sys

from beryljunction.cli.fleet_commands import EXIT_INVALID, EXIT_OK
from beryljunction.errors import SettingsError
from beryljunction.platform.deployfile import read_deploy_file

__all__ = ["COMMANDS", "check"]

_DEPLOY_FILE = pathlib.Path("deploy/system.toml")


def check(file: pathlib.Path = _DEPLOY_FILE) -> int:
    """Check the deploy file and show which role runs on which hosts.

    Exit codes: 0 the file is valid, 2 it is not (each problem on standard error).

    :param file: The deploy file.
    """
    try:
        roles = read_deploy_file(file)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    for role in roles:
        serves = ", ".join(role.serves) or "nobody outside"
        print(f"{role.name}: {' '.join(role.command)}")
        print(f"  on hosts of class {role.host_class}; serves {serves}")
    return EXIT_OK


COMMANDS = [check]
