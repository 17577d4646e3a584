"""beryljunction: a fleet of HTTP routers for large numbers of recurring chats.

Public names are imported on first use, because a process that must listen immediately after its
start can't wait for modules that it needs only later.
"""

import importlib

# The module `typing` takes longer to import than all that precedes the listening socket.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from beryljunction.errors import (
        BerylError,
        InvariantError,
        PlatformUnavailableError,
        SettingsError,
        StartError,
    )
    from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode

__all__ = [
    "BerylError",
    "InvariantError",
    "PlatformUnavailableError",
    "ExecutionStatus",
    "Refusal",
    "RefusalCode",
    "SettingsError",
    "StartError",
]

_OUTCOMES = frozenset({"ExecutionStatus", "Refusal", "RefusalCode"})


def __getattr__(name: str) -> "Any":
    """Import a public name on first use."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    subject = "outcomes" if name in _OUTCOMES else "errors"
    return getattr(importlib.import_module(f"{__name__}.{subject}"), name)
