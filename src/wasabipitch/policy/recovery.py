"""Rules by which a group record is written again after the store lost changes.

A store that returns from an older copy has older group records, or none, and lacks the
registrations of hosts that came since. A host that read at the primary of such a record
could miss acknowledged writes, since a later primary may have been established. So a
record from a copy is in force nowhere: one host asks the others for the newest record
that any of them had in force, and writes that.

That record is certain to be the newest if a host that had to adopt any later one has
answered. A host that replaces a primary waits until all hosts that serve the group have
adopted its claim, or, in a small fleet, until those that have not are no majority. So a
majority of the hosts with one among them that serves the group is enough.

Without it the instances decide: the primary is the one that leads the greatest term, if
all instances answer. A replacement orders its promotion only while the store confirms
its claim, so none is ordered after the return on a claim that was lost. One that was
ordered before has to take effect first.
"""

import enum
from collections.abc import Iterable, Mapping

import msgspec

from wasabipitch.coordination.documents import GroupRecord, Phase
from wasabipitch.policy.quorum import MAX_QUORUM_HOSTS

# The longest time from the order of a promotion until the instance reports it. The
# platform states up to 1 s.
VERIFY_AFTER_S = 1.7


class KnownRecord(msgspec.Struct, frozen=True):
    """The group record that a host had in force when the store was restored.

    Args:
        record: The record, or None if the host knows none.
        revision: The revision of the record.
        serves: Whether the host serves the group.
    """

    record: GroupRecord | None
    revision: int = 0
    serves: bool = False


class Recovery(enum.Enum):
    """What may be written over a record that came back with a copy."""

    # The newest known record, which is certain to be the newest of all.
    RESTORE = "restore"
    # Nothing until ``VERIFY_AFTER_S`` after the return.
    WAIT = "wait"
    # The instance that leads the greatest term as the primary, if all answer.
    VERIFY = "verify"
    # A claim to replace the primary, as a host has such a claim in force, and may be
    # about to order a promotion.
    REPLACE = "replace"


def find_newest(known: Iterable[KnownRecord]) -> KnownRecord:
    """Return the newest record, or one without a record if there is none."""
    records = [k for k in known if k.record is not None]
    return max(records, key=lambda k: k.revision, default=KnownRecord(None))


def decide_recovery(
    known: Iterable[KnownRecord], silent: int, hosts: int, waited_s: float
) -> Recovery:
    """Return what may be written in place of a record that came back with a copy.

    Args:
        known: What this host and the peers that answered had in force.
        silent: The number of peers that did not answer and may still run.
        hosts: The number of hosts that may run, this one included.
        waited_s: How long this host has known of the return.
    """
    witnesses = [k for k in known if k.record is not None]
    is_majority = 2 * len(witnesses) > hosts
    is_small = hosts <= MAX_QUORUM_HOSTS
    if is_majority and any(k.serves for k in witnesses) and (is_small or not silent):
        return Recovery.RESTORE
    if any(k.record.phase is Phase.CHANGING for k in witnesses):
        return Recovery.REPLACE
    return Recovery.VERIFY if waited_s > VERIFY_AFTER_S else Recovery.WAIT


def find_confirmed_leader(
    terms: Mapping[str, int], leading: Mapping[str, int]
) -> str | None:
    """Return the instance that leads the greatest term, or None if none surely does.

    Args:
        terms: The greatest term that each instance of the group leads, follows or is
            fenced at, by name.
        leading: The term of each instance that reports itself as primary, by name.
    """
    greatest = max(terms.values(), default=0)
    leaders = [name for name, term in leading.items() if term == greatest]
    return leaders[0] if len(leaders) == 1 else None
