"""Entries: the router processes that accept client requests."""

from beryljunction.entry.app import EntryApp
from beryljunction.entry.callers import ClientRequest

__all__ = ["ClientRequest", "EntryApp"]
