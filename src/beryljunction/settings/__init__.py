"""Settings: process files and the fleet's tree."""

from beryljunction.settings.files import converter, load_file, structure
from beryljunction.settings.schema import (
    AccountSettings,
    EntryFile,
    FleetView,
    LimitSettings,
    ProcessSettings,
    ServiceSettings,
    SidecarFile,
    TlsSettings,
)

__all__ = [
    "AccountSettings",
    "EntryFile",
    "FleetView",
    "LimitSettings",
    "ProcessSettings",
    "ServiceSettings",
    "SidecarFile",
    "TlsSettings",
    "converter",
    "load_file",
    "structure",
]
