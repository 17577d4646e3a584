"""The exception tree.

Outcomes of requests and decisions are values (see :mod:`beryljunction.outcomes`). Exceptions are
for what ends a process or a command: settings that can't be used, a start that failed, an
invariant that broke.
"""

__all__ = [
    "BerylError",
    "InvariantError",
    "PlatformUnavailableError",
    "SettingsError",
    "StartError",
]


class BerylError(Exception):
    """Root of every exception that this project raises."""


class SettingsError(BerylError):
    """Settings were refused.

    Args:
        problems: One line for each problem: path in the tree, what was expected, what was got.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class StartError(BerylError):
    """A process could not start: an address in use, an unreadable certificate."""


class InvariantError(BerylError):
    """A state that the design rules out was seen; the process must not go on."""


class PlatformUnavailableError(BerylError):
    """The platform's log, host list or store did not answer; whether it acted is unknown."""
