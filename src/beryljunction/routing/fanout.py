"""Which entries read the store, and to which others each entry forwards the records."""

from collections.abc import Iterable, Mapping

import attrs
import xxhash

from beryljunction.routing.peers import Address

__all__ = ["FanOut"]

# Entries that may read the store for all others: one does, the others wait for changes of settings
# and take over if it fails. If the store rejects a third of the hosts, one fleet in eighty has none
# of them left.
_READER_COUNT = 4
# Children of each entry in the tree; it also serves the children of its sibling. 340 entries make
# three levels, and one entry updates at most 8 others, or 11 if it is a reader.
_CHILDREN_PER_ENTRY = 4
# Fraction of the age bound at which an entry below the readers reads the store itself; the age
# stays below half of the bound while one of its two sources works. Each level waits longer than the
# one above, so that it can get the records from an entry that has just read them.
_FALLBACK_RATIO = 0.75
_FALLBACK_RATIO_STEP = 0.04
_MAX_FALLBACK_RATIO = 0.83
# Random spread of that time, so that entries of one level don't all read the store together.
_FALLBACK_SPREAD_RATIO = 0.04
# The same for the standby readers, which take over before any entry below them reads.
_STANDBY_RATIO = 0.55
_STANDBY_RATIO_STEP = 0.05


@attrs.define
class FanOut:
    """Distribution tree of the entries, which each entry computes for itself from the same list.

    A few entries read the store and the others get its records from them, so that the calls to the
    store do not grow with the fleet. The entries do not coordinate: one whose list differs from the
    others' gets the same records twice, or gets none and then reads the store itself.

    Entries are ordered by a hash of their host names. The first few read the store; each of the
    others has two parents, so that it still gets records if one is killed, cut off or paused.

    Attributes:
        host: Name of this entry's host.
    """

    host: str
    _addresses: dict[str, Address] = attrs.field(factory=dict)
    _order: list[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._order = [self.host]

    def __len__(self) -> int:
        """Return the number of listed entries, including this one."""
        return len(self._order)

    def __contains__(self, host: str) -> bool:
        return host in self._addresses

    def replace(self, addresses: Mapping[str, Address]) -> None:
        """Apply a full list of the other entries."""
        self._addresses = dict(addresses)
        self._sort()

    def update(self, addresses: Mapping[str, Address], gone: Iterable[str]) -> None:
        """Apply entries that joined, moved or left."""
        self._addresses.update(addresses)
        for host in gone:
            self._addresses.pop(host, None)
        self._sort()

    def addresses(self) -> Mapping[str, Address]:
        """Return the address of each of the other entries."""
        return self._addresses

    @property
    def hosts(self) -> list[str]:
        """Hosts of all listed entries, including this one's."""
        return self._order

    @property
    def is_reader(self) -> bool:
        """Whether this entry is one of those that may read the store for the others."""
        return self._position < _READER_COUNT

    @property
    def reader_rank(self) -> int:
        """Position among the readers: the first reads, each later one is a standby."""
        return self._position

    @property
    def is_first_reader(self) -> bool:
        """Whether this entry is the one that normally reads the store."""
        return self._position == 0

    @property
    def depth(self) -> int:
        """Levels between this entry and the readers; 0 for a reader."""
        depth, position = 0, self._position
        while position >= _READER_COUNT:
            position = _parent(position)
            depth += 1
        return depth

    def upstream(self) -> list[str]:
        """Return the hosts from which this entry gets records."""
        if self.is_reader:
            return [host for host in self._order[:_READER_COUNT] if host != self.host]
        parent = _parent(self._position)
        return [self._order[parent], self._order[_sibling(parent)]]

    def downstream(self) -> dict[str, Address]:
        """Return the entries to which this one forwards records."""
        position = self._position
        rows = self._order[:_READER_COUNT] if position < _READER_COUNT else []
        for place in (position, _sibling(position)):
            first = _READER_COUNT + place * _CHILDREN_PER_ENTRY
            rows = rows + self._order[first : first + _CHILDREN_PER_ENTRY]
        return {host: self._addresses[host] for host in rows if host != self.host}

    def is_first_source_of(self, host: str) -> bool:
        """Return whether this entry is the first of the two parents of another one.

        Readers have none: they get records from the store, and from each other in case that fails.
        """
        first = _READER_COUNT + self._position * _CHILDREN_PER_ENTRY
        return host in self._order[first : first + _CHILDREN_PER_ENTRY]

    def read_after_s(self, bound_s: float, draw: float) -> float:
        """Return the age of records at which this entry reads the store itself.

        Args:
            bound_s: Longest time for which it may miss a change of records.
            draw: Random number in [0, 1) that differs between entries.
        """
        if self.is_reader:
            return bound_s * (_STANDBY_RATIO + self.reader_rank * _STANDBY_RATIO_STEP)
        step = max(0, self.depth - 1) * _FALLBACK_RATIO_STEP
        ratio = min(_MAX_FALLBACK_RATIO, _FALLBACK_RATIO + step)
        return bound_s * (ratio + draw * _FALLBACK_SPREAD_RATIO)

    @property
    def _position(self) -> int:
        return self._order.index(self.host)

    def _sort(self) -> None:
        hosts = {self.host, *self._addresses}
        self._order = sorted(hosts, key=lambda host: xxhash.xxh3_64_intdigest(host.encode()))


def _parent(position: int) -> int:
    """Return the position of the first parent of an entry that is not a reader."""
    return (position - _READER_COUNT) // _CHILDREN_PER_ENTRY


def _sibling(position: int) -> int:
    """Return the position of the entry that serves the same children."""
    return position ^ 1
