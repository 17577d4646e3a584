"""The process that takes callers."""

from beryljunction.entry.app import EntryApp
from beryljunction.entry.callers import CallerRequest

__all__ = ["CallerRequest", "EntryApp"]
