"""Rendezvous hashing: processes agree on an order without communicating."""

import heapq
from collections.abc import Iterable

import xxhash

__all__ = ["rendezvous_rank", "responsible_hosts"]


def rendezvous_rank(key: str, name: str) -> int:
    """Return the rank of a name for a key; the lowest rank comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())


def responsible_hosts(key: str, hosts: Iterable[str], count: int) -> list[str]:
    """Return the hosts whose entries keep the row of a key; all entries agree on them."""
    return heapq.nsmallest(count, hosts, key=lambda host: rendezvous_rank(key, host))
