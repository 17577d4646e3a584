"""beryl: the operators' program; the commands of each subject are in a separate module."""

import sys

import defopt

from beryljunction.cli import deploy, settings
from beryljunction.cli.drain import drain
from beryljunction.cli.explain import explain
from beryljunction.cli.imbalance import imbalance
from beryljunction.cli.status import status
from beryljunction.cli.timeline import timeline

__all__ = ["main"]

_COMMANDS = {
    "deploy": deploy.COMMANDS,
    "drain": drain,
    "explain": explain,
    "imbalance": imbalance,
    "settings": settings.COMMANDS,
    "status": status,
    "timeline": timeline,
}


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(_COMMANDS))
