"""Which software versions the endpoints of each service had lately."""

import math
from collections.abc import Iterable

from beryljunction.routing.confirmation import Confirmation

__all__ = ["VERSIONS_TTL_S", "ServiceVersions"]

Version = str | None
# No stream is resumed this long after its first event: deadlines of callers are seconds.
VERSIONS_TTL_S = 60.0
# A table of thousands of versions is looked through at most this often.
_EXPIRE_INTERVAL_S = 1.0


class ServiceVersions:
    """Versions that this process saw in records, and those that entries saved in the store.

    The saved ones cover the time of which this process has not seen all records, in which streams
    may have begun.

    Attributes:
        seen_since_s: Time since when this process has seen every change of the records.

    Args:
        saved_confirmation: Time as of which the saved ones are known to be complete.
    """

    def __init__(self, saved_confirmation: Confirmation | None = None) -> None:
        self._saved_confirmation = saved_confirmation or Confirmation()
        self._seen_s: dict[tuple[str, Version], float] = {}
        self._saved: dict[str, frozenset[Version]] = {}
        self._loaded_s: dict[str, float] = {}
        self.seen_since_s = math.inf
        self._expired_s = -math.inf

    def note(self, service: str, version: Version, now_s: float) -> bool:
        """Record that an endpoint has a version; return whether the version is new."""
        self.seen_since_s = min(self.seen_since_s, now_s)
        key = service, version
        is_new = now_s - self._seen_s.get(key, -math.inf) > VERSIONS_TTL_S
        if is_new and now_s - self._expired_s >= _EXPIRE_INTERVAL_S:
            self._expire(now_s)
        self._seen_s[key] = now_s
        return is_new

    def note_gap(self, now_s: float) -> None:
        """Record that versions may have come and gone unseen until now."""
        self.seen_since_s = now_s

    def needs_newer_saved(self, now_s: float) -> bool:
        """Return whether the saved versions are older than the time that they have to cover."""
        is_covered = self._saved_confirmation.asked_s >= self.seen_since_s
        return math.isfinite(self.seen_since_s) and not (is_covered or self._has_seen_all(now_s))

    def _expire(self, now_s: float) -> None:
        """Forget what was seen too long ago to matter, such as services of other writers."""
        kept = {key: at_s for key, at_s in self._seen_s.items() if now_s - at_s <= VERSIONS_TTL_S}
        self._seen_s = kept
        self._expired_s = now_s

    def load(self, service: str, versions: Iterable[Version], now_s: float) -> None:
        """Apply the versions of a service that are saved in the store."""
        self._saved[service] = frozenset(versions)
        self._loaded_s[service] = now_s

    def unload(self, services: Iterable[str]) -> None:
        """Forget the saved versions of services that the store no longer has."""
        for service in services:
            self._saved.pop(service, None)
            self._loaded_s.pop(service, None)

    @property
    def saved(self) -> dict[str, frozenset[Version]]:
        """The saved versions of each service."""
        return self._saved

    def recent(self, service: str, present: Iterable[Version], now_s: float) -> frozenset[Version]:
        """Return the versions at which a stream that is still resumed may have begun.

        Args:
            service: Name of the service.
            present: Versions of its endpoints now.
            now_s: Time on the clock of the notes.
        """
        return self._seen(service, present, now_s) | self._saved.get(service, frozenset())

    def only(self, service: str, present: Iterable[Version], now_s: float) -> Version:
        """Return the only such version; None if there are several, or there may be others."""
        is_saved = service in self._saved and not self.needs_newer_saved(now_s)
        if not is_saved and not self._has_seen_all(now_s):
            return None
        recent = self.recent(service, present, now_s)
        return next(iter(recent)) if len(recent) == 1 else None

    def to_save(
        self, service: str, present: Iterable[Version], now_s: float, confirmed_s: float
    ) -> frozenset[Version] | None:
        """Return the versions to save for a service; None if the saved ones are right.

        Only a process that has seen all of the last versions removes one. Another entry may have
        saved a version whose record has not arrived here.

        Args:
            service: Name of the service.
            present: Versions of its endpoints now.
            now_s: Time on the clock of the notes.
            confirmed_s: Time as of which the endpoints' records are known to be complete.
        """
        saved = self._saved.get(service, frozenset())
        seen = self._seen(service, present, now_s)
        is_newer = confirmed_s >= self._loaded_s.get(service, -math.inf)
        may_remove = is_newer and self._has_seen_all(now_s)
        wanted = seen if may_remove else seen | saved
        return wanted if wanted and wanted != saved else None

    def _seen(self, service: str, present: Iterable[Version], now_s: float) -> frozenset[Version]:
        lately = (
            version
            for (name, version), at_s in self._seen_s.items()
            if name == service and now_s - at_s <= VERSIONS_TTL_S
        )
        return frozenset((*present, *lately))

    def _has_seen_all(self, now_s: float) -> bool:
        return now_s - self.seen_since_s > VERSIONS_TTL_S
