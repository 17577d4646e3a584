"""beryljunction: a router fleet for very many returning chats.

Names are loaded when they are first asked for: a process that has to listen at once after its start
can't wait for modules that it needs only later.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from beryljunction.errors import (
        BerylError,
        InvariantError,
        PlatformUnavailableError,
        SettingsError,
        StartError,
    )
    from beryljunction.outcomes import Ran, Refusal, RefusalCode

__all__ = [
    "BerylError",
    "InvariantError",
    "PlatformUnavailableError",
    "Ran",
    "Refusal",
    "RefusalCode",
    "SettingsError",
    "StartError",
]

_OUTCOMES = frozenset({"Ran", "Refusal", "RefusalCode"})


def __getattr__(name: str) -> Any:
    """Load a public name."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    subject = "outcomes" if name in _OUTCOMES else "errors"
    return getattr(importlib.import_module(f"{__name__}.{subject}"), name)
