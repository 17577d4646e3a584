"""beryl deploy: checks of how the fleet is deployed."""

import pathlib
import sys

from beryljunction.cli.asking import EXIT_INVALID, EXIT_OK
from beryljunction.errors import SettingsError
from beryljunction.platform.deployfile import read_deploy_file

__all__ = ["COMMANDS", "check"]

_FILE = pathlib.Path("deploy/system.toml")


def check(file: pathlib.Path = _FILE) -> int:
    """Check the deploy file and show what runs where.

    Exit codes: 0 it can be used, 2 it can't (each problem on standard error).

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
