"""Reads the events of log files for the commands that analyse them."""

import pathlib
from collections.abc import Iterable

from beryljunction.errors import BerylError
from beryljunction.explain import LogLine, parse_line

__all__ = ["UnreadableLogError", "read_log_lines"]


class UnreadableLogError(BerylError):
    """A log file can't be read."""


def read_log_lines(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Return the events of all files; lines that are not events are left out.

    Raises:
        UnreadableLogError: With the file and the reason.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            message = f"{path}: expected a readable log file, got {error.strerror}"
            raise UnreadableLogError(message) from error
        lines += [line for line in map(parse_line, text.splitlines()) if line is not None]
    return lines
