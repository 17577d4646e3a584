"""Entries: the router processes that accept client requests."""

from beryljunction.entry.app import EntryApp
from beryljunction.entry.client_requests import ClientRequest

__all__ = ["ClientRequest", "EntryApp"]
