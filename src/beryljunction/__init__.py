"""beryljunction: a router fleet for very many returning chats."""

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
