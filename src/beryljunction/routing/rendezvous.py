"""Rendezvous hashing: processes agree on an order without communicating."""

import xxhash

__all__ = ["rendezvous_rank"]


def rendezvous_rank(key: str, name: str) -> int:
    """Return the rank of a name for a key; the lowest rank comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())
