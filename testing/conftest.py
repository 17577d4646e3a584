"""Marks tests in KNOWN-RED.txt, and no others, as xfail, so that reports list them; fixtures."""

import asyncio
import json
import pathlib
import sys

import pytest

from known_red import read_known_red

# In these versions of CPython the finalizer raises if the loop of the stream is closed (gh-109538).
if (3, 11, 5) <= sys.version_info < (3, 11, 7):
    _close_writer = asyncio.StreamWriter.__del__

    def _close_writer_unless_loop_is_closed(writer):
        if not writer._loop.is_closed():
            _close_writer(writer)

    asyncio.StreamWriter.__del__ = _close_writer_unless_loop_is_closed

_KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known_red():
    """Return the listed tests and commands."""
    try:
        return read_known_red(_KNOWN_RED)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_collection_modifyitems(items):
    """Mark listed tests as xfail; they still run, and a pass shows that a line can be removed."""
    reasons = {row.test: f"{row.reason} ({row.issue})" for row in _known_red() if row.is_test}
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {reasons[item.nodeid]}"))


def pytest_terminal_summary(terminalreporter):
    """Print the listed commands, which the suite doesn't run, and the listed tests that passed."""
    listed = _known_red()
    commands = [row for row in listed if not row.is_test]
    if commands:
        terminalreporter.section(f"not run, in {_KNOWN_RED.name}")
        for row in commands:
            terminalreporter.write_line(f"{row.test} ({row.issue})")
    passed = {row.nodeid for row in terminalreporter.stats.get("xpassed", ())}
    ready = [row.test for row in listed if row.test in passed]
    if ready:
        terminalreporter.section(f"ready to leave {_KNOWN_RED.name}")
        for test in ready:
            terminalreporter.write_line(test)


@pytest.fixture
def journal(tmp_path):
    """Return a function that writes journal entries and returns their directory."""

    def write(*entries):
        for number, values in enumerate(entries):
            (tmp_path / f"{number:03}.json").write_text(json.dumps(values))
        return tmp_path

    return write
