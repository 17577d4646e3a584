"""Reads KNOWN-RED.txt, the list of tests and commands that show a fault which is not fixed yet."""

import ast
import pathlib
import re
import shlex

import attrs

__all__ = ["KnownRed", "read_known_red"]

_FIELDS = 3
# An entry describes one fault; a longer text mostly holds several.
_MAX_ENTRY_CHARS = 600
_ISSUE = re.compile(r"issue [1-9]\d*")
# Sub-commands of the users' bench, which is not a part of this repository, that play a day.
_BENCH = ("fleetbench run ", "fleetbench score ", "fleetbench hunt ")


@attrs.frozen
class KnownRed:
    """One listed fault.

    Attributes:
        test: Id of a test, or a command.
        reason: What was seen.
        issue: The issue under which it stands.
    """

    test: str
    reason: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Whether it is a test of this suite."""
        return "::" in self.test


def read_known_red(path: pathlib.Path) -> list[KnownRed]:
    """Return the entries of the file; none if there is no file.

    Raises:
        ValueError: An entry is malformed, or names a test or file that doesn't exist.
    """
    if not path.exists():
        return []
    lines = enumerate(path.read_text("utf-8").splitlines(), 1)
    rows = [
        _read_entry(line, f"{path.name}:{number}", path.parent) for number, line in lines if line
    ]
    tests = [row.test for row in rows]
    repeated = sorted({test for test in tests if tests.count(test) > 1})
    if repeated:
        raise ValueError(f"{path.name}: expected each test once, got {repeated[0]} again")
    return rows


def _read_entry(line: str, place: str, root: pathlib.Path) -> KnownRed:
    if len(line) > _MAX_ENTRY_CHARS:
        raise ValueError(
            f"{place}: expected one fault in at most {_MAX_ENTRY_CHARS} characters, got {len(line)}"
        )
    fields = [field.strip() for field in line.split(" | ")]
    if len(fields) != _FIELDS or not all(fields):
        raise ValueError(f"{place}: expected 'test | what was seen | issue N', got {line!r:.80}")
    entry = KnownRed(*fields)
    if not _ISSUE.fullmatch(entry.issue):
        raise ValueError(f"{place}: expected 'issue N' with one number, got {entry.issue!r}")
    missing = _missing_test(entry.test, root) if entry.is_test else _missing_file(entry.test, root)
    if missing:
        raise ValueError(f"{place}: expected a test or command that exists, got {missing}")
    return entry


def _missing_test(test: str, root: pathlib.Path) -> str:
    """Return the part of a test's id that doesn't exist; empty if all of it does."""
    path, *names = test.partition("[")[0].split("::")
    if not (root / path).is_file():
        return path
    body: list[ast.stmt] = ast.parse((root / path).read_text("utf-8")).body
    for name in names:
        kinds = (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
        found = [row for row in body if isinstance(row, kinds) and row.name == name]
        if not found:
            return f"{path}::{name}"
        body = found[0].body
    is_test = names[-1].startswith("test_")
    return "" if is_test else test


def _missing_file(command: str, root: pathlib.Path) -> str:
    """Return the file that a command lacks; empty if it lacks none.

    A command is a file of this repository, or a play of the users' bench on a day of it.
    """
    words = shlex.split(command)
    if not command.startswith(_BENCH):
        return "" if (root / words[0]).is_file() else words[0]
    days = [word for word in words if word.startswith("deploy/")]
    missing = [day for day in days if not (root / day).is_file()]
    return missing[0] if missing else ""
