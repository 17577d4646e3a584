"""Which entries read the store for all, and to whom each passes on what it knows."""

from collections.abc import Iterable, Mapping

import attrs
import xxhash

from beryljunction.routing.peers import Address

__all__ = ["FanOut"]

# Entries that may read the store for all others: one does, the others wait for changes of settings
# and stand in for it. With a third of the hosts rejected by the store, one fleet in eighty has none
# of them left.
_READERS = 4
# Entries that each one has below it in the tree; it serves those of its partner too. 340 entries
# are three levels, and one tells 8 others at most, 11 where it is a reader.
_WIDTH = 4
# Part of the bound on the age of records from which an entry below the readers asks the store for
# itself; the age stays under half of it while one of its two sources works. The levels ask one
# after the other, so that those below hear from one that has asked.
_ASK_RATIO = 0.75
_ASK_RATIO_STEP = 0.04
_MOST_ASK_RATIO = 0.83
# Spread of that moment, so that entries of a level which lose their sources don't ask together.
_ASK_SPREAD_RATIO = 0.04
# The same for the readers behind the first, which stand in before any entry below them asks.
_BACKUP_RATIO = 0.55
_BACKUP_RATIO_STEP = 0.05


@attrs.define
class FanOut:
    """A tree over the entries, which each entry works out for itself from the same list.

    Few entries read the store, and the others get its records from them, so that the calls do not
    grow with the fleet. Nothing is agreed: an entry whose list differs from the others' gets the
    same records twice, or none, and then reads for itself.

    The order is that of a hash of the hosts' names. The first few read the store; each of the
    others has two entries above it, so one that is killed, cut off or paused is not missed.

    Attributes:
        host: Name of this entry's host.
    """

    host: str
    _addresses: dict[str, Address] = attrs.field(factory=dict)
    _order: list[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._order = [self.host]

    def __len__(self) -> int:
        """Return the number of entries that are listed, this one too."""
        return len(self._order)

    def __contains__(self, host: str) -> bool:
        return host in self._addresses

    def replace(self, addresses: Mapping[str, Address]) -> None:
        """Take in a full list of the other entries."""
        self._addresses = dict(addresses)
        self._sort()

    def update(self, addresses: Mapping[str, Address], gone: Iterable[str]) -> None:
        """Take in entries that came, moved or left."""
        self._addresses.update(addresses)
        for host in gone:
            self._addresses.pop(host, None)
        self._sort()

    def addresses(self) -> Mapping[str, Address]:
        """Return where each of the other entries can be reached."""
        return self._addresses

    @property
    def hosts(self) -> list[str]:
        """Hosts of all entries that are listed, this one's too."""
        return self._order

    @property
    def is_reader(self) -> bool:
        """Whether this entry reads the store for others."""
        return self._position < _READERS

    @property
    def reader_rank(self) -> int:
        """Place among the readers: the first reads, the next ones stand in for those before."""
        return self._position

    @property
    def is_first_reader(self) -> bool:
        """Whether this entry reads while all is well."""
        return self._position == 0

    @property
    def depth(self) -> int:
        """Levels between this entry and the store's readers; 0 for a reader."""
        depth, position = 0, self._position
        while position >= _READERS:
            position = _above(position)
            depth += 1
        return depth

    def upstream(self) -> list[str]:
        """Return the hosts that tell this entry what they know."""
        if self.is_reader:
            return [host for host in self._order[:_READERS] if host != self.host]
        above = _above(self._position)
        return [self._order[above], self._order[_partner(above)]]

    def downstream(self) -> dict[str, Address]:
        """Return the entries that this one tells what it knows."""
        position = self._position
        rows = self._order[:_READERS] if position < _READERS else []
        for place in (position, _partner(position)):
            first = _READERS + place * _WIDTH
            rows = rows + self._order[first : first + _WIDTH]
        return {host: self._addresses[host] for host in rows if host != self.host}

    def is_first_source_of(self, host: str) -> bool:
        """Return whether this entry is the first of the two that tell another one.

        The store's readers have it from the store; they are told by others in case that fails.
        """
        first = _READERS + self._position * _WIDTH
        return host in self._order[first : first + _WIDTH]

    def ask_after_s(self, bound_s: float, draw: float) -> float:
        """Return the age of records from which this entry asks the store for itself.

        Args:
            bound_s: Longest time for which it may miss a change of them.
            draw: A number in [0, 1) that differs between entries.
        """
        if self.is_reader:
            return bound_s * (_BACKUP_RATIO + self.reader_rank * _BACKUP_RATIO_STEP)
        step = max(0, self.depth - 1) * _ASK_RATIO_STEP
        ratio = min(_MOST_ASK_RATIO, _ASK_RATIO + step)
        return bound_s * (ratio + draw * _ASK_SPREAD_RATIO)

    @property
    def _position(self) -> int:
        return self._order.index(self.host)

    def _sort(self) -> None:
        hosts = {self.host, *self._addresses}
        self._order = sorted(hosts, key=lambda host: xxhash.xxh3_64_intdigest(host.encode()))


def _above(position: int) -> int:
    """Return the place of the entry above one that is no reader."""
    return (position - _READERS) // _WIDTH


def _partner(position: int) -> int:
    """Return the place of the entry that serves the same ones below."""
    return position ^ 1
