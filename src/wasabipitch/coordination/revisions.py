"""Revisions of the store that stay in order when the store returns from an older copy.

A store that is restored from a copy loses its latest changes and gives out their
revisions again. Each restoration begins an epoch. A revision consists of the epoch and
the store's own number, so that one of a later epoch is greater than all earlier ones,
and two changes never have the same revision.
"""

# A store reaches 2**40 changes in 35 years at 1,000 a second. Revisions of up to 8,192
# epochs fit into the 53 bits of a JSON number.
NUMBER_BITS = 40


def make_revision(epoch: int, number: int) -> int:
    """Return the revision of the change with a number in an epoch."""
    return epoch << NUMBER_BITS | number


def find_epoch(revision: int) -> int:
    """Return the epoch of a revision."""
    return revision >> NUMBER_BITS


def find_number(revision: int) -> int:
    """Return the store's own number of a revision, without the epoch."""
    return revision & ((1 << NUMBER_BITS) - 1)
