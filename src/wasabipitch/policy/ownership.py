"""Which hosts hold connections to a group's instances.

Answers fleets with more hosts than an instance takes connections: a few hosts, the
owners, hold several connections each, and the others send statements to them.
Where every host can hold two, all are owners, and no statement takes a hop.
"""

from collections.abc import Iterable, Mapping

import xxhash

# Left on each instance for hosts that replace its primary.
SPARE_CONNECTIONS = 2
# A host needs one for a transaction that pauses and one for all else.
MIN_CONNECTIONS_PER_HOST = 2
# An owner with so many has others left when a few transactions pause.
TARGET_CONNECTIONS_PER_OWNER = 6


def rendezvous_weight(group: str, host: str) -> int:
    """Return a host's weight for a group; the heaviest are its owners."""
    return xxhash.xxh64_intdigest(f"{group}/{host}".encode())


def count_owners(max_connections: int, hosts: int) -> int:
    """Return how many hosts hold connections to a group's instances."""
    usable = max(1, max_connections - SPARE_CONNECTIONS)
    if usable // max(1, hosts) >= MIN_CONNECTIONS_PER_HOST:
        return max(1, hosts)
    return min(hosts, max(1, usable // TARGET_CONNECTIONS_PER_OWNER))


def connections_per_owner(max_connections: int, owners: int) -> int:
    """Return how many connections an owner may hold to an instance."""
    usable = max(1, max_connections - SPARE_CONNECTIONS)
    return max(1, usable // max(1, owners))


def choose_owners(
    group: str, data_centres: Mapping[str, str], count: int
) -> frozenset[str]:
    """Return a group's owners, spread over the data centres.

    A change of the fleet moves few owners, since each host's weight stays.

    Args:
        group: the group's name.
        data_centres: of each host, by name.
        count: how many owners there are to be.
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
    """Return the owners in the order in which a host asks them.

    Near ones come first, and each host has an order of its own, so that the work
    is spread.

    Args:
        group: the group's name.
        own: the host that asks.
        data_centre: where it runs.
        owners: the data centre of each owner, by name.
    """

    def sort_key(owner: str) -> tuple[bool, int]:
        return (
            owners[owner] != data_centre,
            rendezvous_weight(f"{group}/{own}", owner),
        )

    return sorted(owners, key=sort_key)


def _sort_by_weight(group: str, hosts: Iterable[str]) -> list[str]:
    return sorted(hosts, key=lambda host: rendezvous_weight(group, host), reverse=True)
