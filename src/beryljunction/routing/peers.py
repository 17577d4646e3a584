"""Which other entries to ask while the store is out of reach, and which to send news to."""

import random
from collections.abc import Mapping

import attrs

__all__ = ["Address", "PeerTable", "should_ask_peers"]

Address = tuple[str, int]

# Fraction of the bound (2 of 5 s) at which peers are asked. The age stays under 1.6 s while the
# store answers, and the entry stops being ready at 3 s, so there is time for two questions.
_ASK_RATIO = 0.4
# Peers that are remembered: enough that some survive the loss of a zone, and 4 KB in total.
_MAX_PEERS = 64
# How long a peer is skipped that does not answer or has lost the store itself.
_SKIP_S = 2.0


def should_ask_peers(age_s: float, revocation_s: float) -> bool:
    """Return whether the settings are so old that the store seems to be out of reach.

    The store may reject some hosts, or a link to it may be down, while their peers reach it.
    Without help from peers, callers of those hosts would be refused, or would be late after moving
    to another host. A host that has read nothing yet has no peers to ask.
    """
    return _ASK_RATIO * revocation_s <= age_s < float("inf")


@attrs.define
class PeerTable:
    """Addresses of the other entries, and which of them helped last.

    Args:
        draw: Random source of the choice, so that hosts which lose the store together don't all ask
            the same entry.
    """

    _draw: random.Random
    _addresses: dict[str, Address] = attrs.field(factory=dict)
    _skipped_until_s: dict[str, float] = attrs.field(factory=dict)
    _delivered: dict[str, int] = attrs.field(factory=dict)
    _incarnations: dict[str, str] = attrs.field(factory=dict)
    _unresponsive_until_s: dict[str, float] = attrs.field(factory=dict)
    _last_helper: str | None = None

    def __len__(self) -> int:
        return len(self._addresses)

    def put(self, host: str, address: Address) -> None:
        """Add the address that an entry published at its start; it has received no news yet.

        Beyond the limit, the entry whose turn was longest ago is removed.
        """
        self.remove(host)
        self._addresses[host] = address
        while len(self._addresses) > _MAX_PEERS:
            self.remove(next(iter(self._addresses)))

    def remove(self, host: str) -> None:
        """Forget an entry."""
        self._addresses.pop(host, None)
        self._skipped_until_s.pop(host, None)
        self._delivered.pop(host, None)
        self._incarnations.pop(host, None)
        self._unresponsive_until_s.pop(host, None)

    def replace(self, addresses: Mapping[str, Address]) -> None:
        """Apply a full list of the other entries."""
        for host in self._addresses.keys() - addresses.keys():
            self.remove(host)
        for host, address in addresses.items():
            if self._addresses.get(host) != address:
                self.put(host, address)

    def by_last_turn(self) -> list[tuple[str, Address]]:
        """Return all entries, the one whose turn was longest ago first."""
        return list(self._addresses.items())

    def delivered_up_to(self, host: str) -> int | None:
        """Return the number up to which an entry has received the news; None for none."""
        return self._delivered.get(host)

    def is_responsive(self, host: str, now_s: float) -> bool:
        """Return whether to send news to an entry: it has not failed to answer recently."""
        return host in self._addresses and self._unresponsive_until_s.get(host, 0.0) <= now_s

    def take_turn(self, host: str) -> None:
        """Move an entry to the end of the turns."""
        self._addresses[host] = self._addresses.pop(host)

    def note_delivered(self, host: str, end: int) -> None:
        """Record that an entry has received all news up to a number."""
        if host in self._addresses:
            self._delivered[host] = end

    def note_unresponsive(self, host: str, now_s: float) -> None:
        """Record that an entry did not answer; its news is sent again later.

        It is still asked for records: a busy peer may miss one message, and an entry that the store
        rejects would otherwise have nobody to ask and refuse its callers for two seconds.
        """
        self._unresponsive_until_s[host] = now_s + _SKIP_S

    def note_incarnation(self, host: str, life: str) -> None:
        """Record that an entry is alive; one that has restarted has received no news yet.

        Its own message arrives within a fraction of a second of its start. Its record in the store
        is read seconds later, and until then prompts would be recomputed.
        """
        if self._incarnations.get(host) == life or host not in self._addresses:
            return
        self._incarnations[host] = life
        self._delivered.pop(host, None)
        self._unresponsive_until_s.pop(host, None)

    def choose(self, now_s: float) -> tuple[str, Address] | None:
        """Return the entry to ask: the one that helped last, else a random one; None for none."""
        if self._last_helper in self._addresses:
            return self._last_helper, self._addresses[self._last_helper]
        hosts = [host for host in self._addresses if self._skipped_until_s.get(host, 0.0) <= now_s]
        if not hosts:
            return None
        host = self._draw.choice(hosts)
        return host, self._addresses[host]

    def note(self, host: str, has_helped: bool, now_s: float) -> None:
        """Record whether asking an entry helped."""
        if has_helped:
            self._last_helper = host
            return
        self._last_helper = None
        self._skipped_until_s[host] = now_s + _SKIP_S
