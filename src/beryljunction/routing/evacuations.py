"""Availability zones that the operator empties."""

from collections.abc import Iterable, Mapping

import attrs

__all__ = ["Evacuations", "ZoneChange"]


@attrs.frozen
class ZoneChange:
    """An availability zone that is to get no new requests, or may get them again."""

    zone: str
    is_evacuated: bool


@attrs.define
class Evacuations:
    """The zones under evacuation, as of a position in the operator's records.

    Readings of the store and updates of other entries arrive in any order; one that is behind what
    is known changes nothing. What is known stays in force while the store is away.

    Attributes:
        position: Position in the operator's records up to which they are taken in; -1 for none.
        since_s: When this entry learned of each zone under evacuation.
    """

    position: int = -1
    since_s: dict[str, float] = attrs.field(factory=dict)

    @property
    def zones(self) -> frozenset[str]:
        """The zones that get no new requests."""
        return frozenset(self.since_s)

    def replace(self, zones: Iterable[str], position: int, now_s: float) -> tuple[ZoneChange, ...]:
        """Take in the complete set; return what changed."""
        if position < self.position:
            return ()
        wanted = frozenset(zones)
        gone = {zone: False for zone in self.since_s if zone not in wanted}
        return self.update(gone | dict.fromkeys(wanted, True), position, now_s)

    def update(
        self, states: Mapping[str, bool], position: int, now_s: float
    ) -> tuple[ZoneChange, ...]:
        """Take in the last state of some zones, whether each is evacuated; return what changed."""
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
