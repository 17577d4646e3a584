"""Order in which processes that never speak to each other agree."""

import xxhash

__all__ = ["rendezvous_rank"]


def rendezvous_rank(key: str, name: str) -> int:
    """Return the place of a name among others for a key; the lowest comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())
