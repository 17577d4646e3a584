"""beryl: the operators' program; each subject keeps its commands in a module of its own."""

import sys

import defopt

from beryljunction.cli import settings

__all__ = ["main"]

_COMMANDS = {
    "settings": settings.COMMANDS,
}


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(_COMMANDS))
