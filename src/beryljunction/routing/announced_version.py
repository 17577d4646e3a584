"""The newest version of the settings that other entries have announced."""

import math

import attrs

__all__ = ["AnnouncedVersion"]

# An entry forwards an announcement for this long while it reads the settings itself. Entries that
# have them announce them for longer; those that don't can't keep an announcement alive.
_FORWARD_S = 2.0


@attrs.define
class AnnouncedVersion:
    """Newest version that another entry has, which this one reads once it learns of it.

    The store answers with its newest version, so a read that begins after the announcement returns
    the announced one. It doesn't if the store was restored from an older copy meanwhile. Then the
    announced version still counts, for it may have revoked keys.

    Attributes:
        memory_s: Time after the last announcement at which the version is forgotten. It is then on
            no connected entry any more, and waiting for it would refuse callers for good.
        version: The version; -1 if none was announced.
        host: Host of the entry that announced it last.
    """

    memory_s: float = 5.0
    version: int = -1
    host: str = ""
    _first_s: float = -math.inf
    _last_s: float = -math.inf

    def note(self, version: int, host: str, now_s: float) -> None:
        """Record an announcement; one of an older version changes nothing."""
        if version > self.version:
            self.version = version
            self._first_s = now_s
        if version == self.version:
            self.host = host
            self._last_s = now_s

    def is_newer(self, version: int, now_s: float) -> bool:
        """Return whether another entry has a newer version than this one."""
        return self.version > version and now_s - self._last_s <= self.memory_s

    def forwarded(self, now_s: float) -> int:
        """Return the version if the first announcement of it is recent; -1 otherwise."""
        return self.version if now_s - self._first_s <= _FORWARD_S else -1

    def contradicts(self, version: int, asked_s: float, now_s: float) -> bool:
        """Return whether a newer version was known before the store was asked for the newest.

        An answer to an earlier question is true as of when it was asked.
        """
        return self.is_newer(version, now_s) and self._first_s <= asked_s
