"""The platform's services: each an abstract base class with a client over HTTP."""

from beryljunction.platform.hosts import HostChanges, HostList, HostRow, HttpHostList

__all__ = ["HostChanges", "HostList", "HostRow", "HttpHostList"]
