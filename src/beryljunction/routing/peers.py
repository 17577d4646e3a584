"""Which other entry to ask for what the store does not tell this one."""

import random
from collections.abc import Mapping

import attrs

__all__ = ["Address", "PeerTable", "needs_peers"]

Address = tuple[str, int]

# Peers are asked from this share of the bound on, 2 of 5 s. The age stays under 1.6 s while the
# store answers, and readiness is given up at 3 s, so there is time for two questions before.
_ASK_RATIO = 0.4
# Peers that are remembered: enough that some are alive after a zone is lost, and 4 KB in all.
_MOST_PEERS = 64
# A peer that does not answer, or is out of touch itself, is passed over for this long.
_PASSED_OVER_S = 2.0


def needs_peers(age_s: float, revocation_s: float) -> bool:
    """Return whether the settings are so old that the store seems to be out of reach.

    Load: the store turns some hosts away, or a link to it is cut, while their peers reach it. Harm:
    callers of those hosts are refused, or move to another host and come late. A host that has read
    nothing yet has no peers to ask either.
    """
    return _ASK_RATIO * revocation_s <= age_s < float("inf")


@attrs.define
class PeerTable:
    """Addresses of the other entries, and which of them helped last.

    Args:
        draw: Source of the choice, so that hosts which lose the store together don't all ask one.
    """

    _draw: random.Random
    _addresses: dict[str, Address] = attrs.field(factory=dict)
    _passed_over: dict[str, float] = attrs.field(factory=dict)
    _heard: dict[str, int] = attrs.field(factory=dict)
    _helper: str | None = None

    def __len__(self) -> int:
        return len(self._addresses)

    def put(self, host: str, address: Address) -> None:
        """Take in the address that an entry wrote when it started; it has heard nothing yet.

        Beyond the limit the entry at the front yields.
        """
        self.remove(host)
        self._addresses[host] = address
        while len(self._addresses) > _MOST_PEERS:
            self.remove(next(iter(self._addresses)))

    def remove(self, host: str) -> None:
        """Forget an entry."""
        self._addresses.pop(host, None)
        self._passed_over.pop(host, None)
        self._heard.pop(host, None)

    def replace(self, addresses: Mapping[str, Address]) -> None:
        """Take in a full list."""
        for host in self._addresses.keys() - addresses.keys():
            self.remove(host)
        for host, address in addresses.items():
            if self._addresses.get(host) != address:
                self.put(host, address)

    def in_turn(self) -> list[tuple[str, Address]]:
        """Return all, those first whose turn was longest ago."""
        return list(self._addresses.items())

    def heard(self, host: str) -> int:
        """Return up to which number of what is told to all an entry was told."""
        return self._heard.get(host, 0)

    def tell(self, host: str, end: int) -> None:
        """Note that an entry has had its turn, and is told all up to a number."""
        self._addresses[host] = self._addresses.pop(host)
        self._heard[host] = end

    def choose(self, now_s: float) -> tuple[str, Address] | None:
        """Return the entry to ask: the one that helped last, else any; None for none."""
        if self._helper in self._addresses:
            return self._helper, self._addresses[self._helper]
        hosts = [host for host in self._addresses if self._passed_over.get(host, 0.0) <= now_s]
        if not hosts:
            return None
        host = self._draw.choice(hosts)
        return host, self._addresses[host]

    def note(self, host: str, has_helped: bool, now_s: float) -> None:
        """Note what asking an entry brought."""
        if has_helped:
            self._helper = host
            return
        self._helper = None
        self._passed_over[host] = now_s + _PASSED_OVER_S
