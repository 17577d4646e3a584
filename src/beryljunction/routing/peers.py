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
    _lives: dict[str, str] = attrs.field(factory=dict)
    _silent_until_s: dict[str, float] = attrs.field(factory=dict)
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
        self._lives.pop(host, None)
        self._silent_until_s.pop(host, None)

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

    def heard(self, host: str) -> int | None:
        """Return up to which number of what is told to all an entry was told; None for nothing."""
        return self._heard.get(host)

    def may_answer(self, host: str, now_s: float) -> bool:
        """Return whether an entry is worth telling: it did not fail to answer a moment ago."""
        return host in self._addresses and self._silent_until_s.get(host, 0.0) <= now_s

    def take_turn(self, host: str) -> None:
        """Put an entry behind all others."""
        self._addresses[host] = self._addresses.pop(host)

    def note_told(self, host: str, end: int) -> None:
        """Note that an entry has heard all up to a number."""
        if host in self._addresses:
            self._heard[host] = end

    def note_silent(self, host: str, now_s: float) -> None:
        """Note that an entry did not answer; what it was told is told again later.

        Load: a busy peer misses one message. Harm: were it passed over for questions too, an entry
        that the store turns away would have nobody to ask, and refuse its callers for two seconds.
        """
        self._silent_until_s[host] = now_s + _PASSED_OVER_S

    def greet(self, host: str, life: str) -> None:
        """Take in that an entry is alive; one that has started again has heard nothing yet.

        Its own word comes within a fraction of a second of its start. By its record in the store
        alone, which others read seconds later, prompts would be read again until then.
        """
        if self._lives.get(host) == life or host not in self._addresses:
            return
        self._lives[host] = life
        self._heard.pop(host, None)
        self._silent_until_s.pop(host, None)

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
