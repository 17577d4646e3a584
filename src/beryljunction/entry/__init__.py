"""Entries: the router processes that accept client requests."""

from beryljunction.entry.app import EntryApp
from beryljunction.entry.callers import CallerRequest

__all__ = ["CallerRequest", "EntryApp"]
