"""Positions in a topic of the store, which may be restored from an older backup.

A restored store reuses offsets. Each restore starts a new era, and a position combines the era and
the offset in one integer, so that every position of a later era is greater than all earlier ones.
"""

__all__ = ["ERA_LIMIT", "MAX_OFFSET", "era_of", "offset_of", "position_of"]

_OFFSET_BITS = 48
MAX_OFFSET = (1 << _OFFSET_BITS) - 1
ERA_LIMIT = 1 << 16


def position_of(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return (era << _OFFSET_BITS) + offset


def era_of(position: int) -> int:
    """Return the era of a position; 0 if the store sends no era."""
    return position >> _OFFSET_BITS


def offset_of(position: int) -> int:
    """Return the offset of a position in its era."""
    return position & MAX_OFFSET
