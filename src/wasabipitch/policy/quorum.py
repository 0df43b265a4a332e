"""Rules by which hosts agree on the group records although some host is silent.

While the store answers nobody, the hosts confirm the records among themselves. If each
of them had to answer, a single lost host would end all reads of primaries until the
store is back. Two quorums that overlap replace it: a host is confirmed by a majority
of the named hosts, and one that replaces a primary waits until so many of them have
adopted its claim that the others are no majority.

The load pattern is an outage of the store during which a host is lost: its callers
move to the others, which have to go on reading at the primaries.

A quorum costs a replacement that begins while half of the hosts are dark some time, so
larger fleets, in which a claim is seen by a group's owners only, go without.
"""

from wasabipitch.policy.read_leases import READ_LEASE_S

# Longer than the store's usual outages; hosts can't agree once this time has passed.
MAX_STORE_OUTAGE_S = 12.0
# In larger fleets every host has to answer.
MAX_QUORUM_HOSTS = 12
# Allowance for hosts' clocks that run at slightly different rates.
READ_LEASE_MARGIN_S = 0.1
# A claim that too few hosts have adopted is acted upon after this time, when no host
# can have been confirmed since by others.
UNADOPTED_CLAIM_S = MAX_STORE_OUTAGE_S + READ_LEASE_S + READ_LEASE_MARGIN_S
# A host sends a command that would be harmful after another host's claim only for this
# long after it asked for a confirmation of its own. The command itself takes at most
# 0.8 s, and the other host acts on its claim no sooner than after a read lease.
COMMAND_LEASE_S = 0.8


def is_quorum(answers: int, names: int) -> bool:
    """Return whether the hosts that answered confirm the records without the others.

    Args:
        answers: The number of hosts, this one included, that know no newer record.
        names: The number of hosts that may run.
    """
    return names <= MAX_QUORUM_HOSTS and 2 * answers > names


def excludes_quorum(
    names: frozenset[str], adopted: frozenset[str], is_complete: bool = True
) -> bool:
    """Return whether the hosts that are unaware of a claim can be no quorum.

    Args:
        names: The names of the hosts that may run, as some host may know them.
        adopted: The names of the hosts that have adopted the claim.
        is_complete: Whether this host has seen every change of the names. If not,
            another host may know one name more.
    """
    if len(names) > MAX_QUORUM_HOSTS:
        return True
    unaware = 2 * len(names - adopted)
    return unaware <= len(names) if is_complete else unaware < len(names)
