"""Positions in a topic of the store, ordered across the store's eras.

The store may come back from an older copy and give out offsets again; it then counts a
new era.  A position joins era and offset in one number, so that a position of a later
era is greater than any of an earlier one.  In era 0 positions are equal to offsets.
"""

OFFSET_BITS = 40
"""Bits for the offset: enough for a million records a second over twelve days."""
MAX_ERA = (1 << 22) - 1
"""The last era; positions fit into the signed 64 bits of a digest."""


def position(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return (era << OFFSET_BITS) + offset


def era_of(position: int) -> int:
    """Return the era of a position; -1 if the position is -1, that is unknown."""
    return position >> OFFSET_BITS


def offset_of(position: int) -> int:
    """Return the offset of a position in its era."""
    return position - (era_of(position) << OFFSET_BITS)
