"""The exception hierarchy.

Outcomes of requests and decisions are returned as values (see :mod:`beryljunction.outcomes`).
Exceptions are for errors that end a process or a command: unusable settings, a failed start, a
violated invariant.
"""

__all__ = [
    "BerylError",
    "InvariantError",
    "PlatformUnavailableError",
    "SettingsError",
    "StartError",
]


class BerylError(Exception):
    """Base class of all exceptions that this project raises."""


class SettingsError(BerylError):
    """Settings are invalid.

    Args:
        problems: One line for each problem: path in the settings tree, expected and actual value.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class StartError(BerylError):
    """A process can't start, e.g. an address is in use or a certificate is unreadable."""


class InvariantError(BerylError):
    """The process is in a state that should be impossible, and must not continue."""


class PlatformUnavailableError(BerylError):
    """The platform's log, host list or store gave no usable response; it may have acted or not."""
