"""beryl settings: the fleet's tree of settings."""

import pathlib
import sys

from beryljunction.errors import BerylError
from beryljunction.settings.files import load_toml

__all__ = ["COMMANDS"]

_EXIT_INVALID = 2


def validate(tree: pathlib.Path) -> int:
    """Check a TOML tree of settings in full.

    :param tree: TOML file.
    """
    try:
        load_toml(tree)
    except BerylError as error:
        print(error, file=sys.stderr)
        return _EXIT_INVALID
    return 0


COMMANDS = {"validate": validate}
