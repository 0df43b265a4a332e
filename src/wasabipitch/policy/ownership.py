"""Choice of the hosts that hold connections to a group's instances.

An instance can accept fewer connections than a fleet has hosts. In that case only
some hosts, the owners of the group, connect to its instances, and the other hosts
forward their statements to an owner. Where every host can hold at least
``MIN_CONNECTIONS_PER_HOST`` connections, all hosts are owners and no statement is
forwarded. Owners are chosen by rendezvous hashing.
"""

from collections.abc import Iterable, Mapping

import xxhash

# Reserved on each instance for hosts that replace its primary.
RESERVED_CONNECTIONS = 2
# One for a transaction that pauses between statements, one for all other work.
MIN_CONNECTIONS_PER_HOST = 2
# An owner with this many still has free ones while a few transactions pause.
TARGET_CONNECTIONS_PER_OWNER = 6


def rendezvous_weight(group: str, host: str) -> int:
    """Return a weight for a group; hosts with high weights become its owners."""
    return xxhash.xxh64_intdigest(f"{group}/{host}".encode())


def count_owners(max_connections: int, hosts: int) -> int:
    """Return how many hosts hold connections to a group's instances.

    Args:
        max_connections: The number of connections that each instance accepts.
        hosts: The number of hosts in the fleet.
    """
    usable = max(1, max_connections - RESERVED_CONNECTIONS)
    if usable // max(1, hosts) >= MIN_CONNECTIONS_PER_HOST:
        return max(1, hosts)
    return min(hosts, max(1, usable // TARGET_CONNECTIONS_PER_OWNER))


def connections_per_owner(max_connections: int, owners: int) -> int:
    """Return how many connections an owner may hold to an instance.

    Args:
        max_connections: The number of connections that the instance accepts.
        owners: The number of hosts that connect to it.
    """
    usable = max(1, max_connections - RESERVED_CONNECTIONS)
    return max(1, usable // max(1, owners))


def choose_owners(
    group: str, data_centres: Mapping[str, str], count: int
) -> frozenset[str]:
    """Return a group's owners, spread over the data centres.

    A host's weight doesn't depend on the other hosts, so few owners change when a
    host joins or leaves the fleet.

    Args:
        group: The group's name.
        data_centres: The data centre of each host, by the host's name.
        count: The number of owners to choose.
    """
    if count >= len(data_centres):
        return frozenset(data_centres)
    by_centre: dict[str, list[str]] = {}
    for host, data_centre in data_centres.items():
        by_centre.setdefault(data_centre, []).append(host)
    ranked = [
        (rank, rendezvous_weight(group, data_centre), host)
        for data_centre, hosts in by_centre.items()
        for rank, host in enumerate(_sort_by_weight(group, hosts))
    ]
    return frozenset(host for _, _, host in sorted(ranked)[:count])


def order_owners(
    group: str, own: str, data_centre: str, owners: Mapping[str, str]
) -> list[str]:
    """Return the owners in the order in which a host forwards statements to them.

    Owners in the host's own data centre come first. Within a data centre each host
    has a different order, which spreads the load over the owners. The statements of
    an account go to the same owner from all hosts of a data centre, so that few owners
    hold connections of the account.

    Args:
        group: The group's name.
        own: The account of the statements or, without one, the name of the host that
            forwards.
        data_centre: The data centre of that host.
        owners: The data centre of each owner, by the owner's name.
    """

    def sort_key(owner: str) -> tuple[bool, int]:
        return (
            owners[owner] != data_centre,
            rendezvous_weight(f"{group}/{own}", owner),
        )

    return sorted(owners, key=sort_key)


def _sort_by_weight(group: str, hosts: Iterable[str]) -> list[str]:
    return sorted(hosts, key=lambda host: rendezvous_weight(group, host), reverse=True)
