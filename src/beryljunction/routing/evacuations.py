"""Availability zones that the operator has evacuated."""

from collections.abc import Iterable, Mapping

import attrs

__all__ = ["Evacuations", "ZoneChange"]


@attrs.frozen
class ZoneChange:
    """An availability zone that gets no new requests from now on, or gets them again."""

    zone: str
    is_evacuated: bool


@attrs.define
class Evacuations:
    """Evacuated availability zones, as of a position in the operator's records.

    Reads of the store and updates from other entries arrive in any order; an older one changes
    nothing. Known evacuations stay in force while the store is unreachable.

    Attributes:
        position: Position up to which the operator's records are applied; -1 for none.
        since_s: When this entry learned of each evacuation.
    """

    position: int = -1
    since_s: dict[str, float] = attrs.field(factory=dict)

    @property
    def zones(self) -> frozenset[str]:
        """The zones that get no new requests."""
        return frozenset(self.since_s)

    def replace(self, zones: Iterable[str], position: int, now_s: float) -> tuple[ZoneChange, ...]:
        """Apply the complete set of evacuated zones; return what changed."""
        if position < self.position:
            return ()
        wanted = frozenset(zones)
        gone = {zone: False for zone in self.since_s if zone not in wanted}
        return self.update(gone | dict.fromkeys(wanted, True), position, now_s)

    def update(
        self, states: Mapping[str, bool], position: int, now_s: float
    ) -> tuple[ZoneChange, ...]:
        """Apply the latest state of some zones (True: evacuated); return what changed."""
        if position < self.position:
            return ()
        self.position = position
        changes = tuple(
            ZoneChange(zone, is_evacuated)
            for zone, is_evacuated in states.items()
            if is_evacuated != (zone in self.since_s)
        )
        for change in changes:
            if change.is_evacuated:
                self.since_s[change.zone] = now_s
            else:
                del self.since_s[change.zone]
        return changes
