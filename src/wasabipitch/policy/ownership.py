"""Choice of the hosts that hold connections to a group's instances.

An instance can accept fewer connections than a fleet has hosts. In that case only
some hosts, the owners of the group, connect to its instances, and the other hosts
forward their statements to an owner. Where every host can hold at least
``MIN_CONNECTIONS_PER_HOST`` connections, all hosts are owners and no statement is
forwarded. Owners are chosen by rendezvous hashing.

Where a fleet has a few strong hosts among many weak ones, the strong ones are the
owners: a weak host would delay the statements of all others at a load peak, and fewer
owners with more connections each need fewer new ones.
"""

from collections.abc import Collection, Iterable, Mapping

import msgspec
import xxhash

# Reserved on each instance for hosts that replace its primary.
RESERVED_CONNECTIONS = 2
# One for a transaction that pauses between statements, one for all other work.
MIN_CONNECTIONS_PER_HOST = 2
# An owner with this many still has free ones while a few transactions pause.
TARGET_CONNECTIONS_PER_OWNER = 6
# A strong host has at least this share of the greatest capacity of the fleet, in
# processor time and in bandwidth. Hosts that differ by less count as alike.
STRONG_SHARE = 0.5
# With fewer strong owners, the loss of one would move too many connections at once.
MIN_STRONG_OWNERS = 3


class Capacity(msgspec.Struct, frozen=True):
    """What a host can bear.

    Args:
        cores: The processor time that it may use, in cores of normal speed.
        link_mbps: The bandwidth of its network link, in Mbit/s.
    """

    cores: float
    link_mbps: float


def find_strong_hosts(capacities: Mapping[str, Capacity]) -> frozenset[str]:
    """Return the strong hosts of a fleet, or none if its hosts are alike.

    Args:
        capacities: The capacity of each host, by name; 0 stands for an unknown one.
    """
    if not capacities:
        return frozenset()
    cores = STRONG_SHARE * max(c.cores for c in capacities.values())
    link_mbps = STRONG_SHARE * max(c.link_mbps for c in capacities.values())
    strong = frozenset(
        host
        for host, capacity in capacities.items()
        if capacity.cores >= cores and capacity.link_mbps >= link_mbps
    )
    weak = [c for host, c in capacities.items() if host not in strong]
    differ_in_both = weak and all(
        c.cores < cores and c.link_mbps < link_mbps for c in weak
    )
    return strong if differ_in_both else frozenset()


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
    group: str,
    data_centres: Mapping[str, str],
    count: int,
    strong: Collection[str] = (),
) -> frozenset[str]:
    """Return a group's owners, spread over the data centres.

    A host's weight doesn't depend on the other hosts, so few owners change when a
    host joins or leaves the fleet. With enough strong hosts these are the owners, and
    the best weak one of each data centre that has no strong host.

    Args:
        group: The group's name.
        data_centres: The data centre of each host, by the host's name.
        count: The greatest number of owners.
        strong: The names of the strong hosts, or none if the hosts are alike.
    """
    if count >= len(data_centres):
        return frozenset(data_centres)
    candidates = {host: data_centres[host] for host in strong if host in data_centres}
    if len(candidates) >= MIN_STRONG_OWNERS:
        served = set(candidates.values())
        weak = {host: c for host, c in data_centres.items() if c not in served}
        return _spread(group, candidates, count) | _spread(
            group, weak, len(set(weak.values()))
        )
    return _spread(group, data_centres, count)


def _spread(group: str, data_centres: Mapping[str, str], count: int) -> frozenset[str]:
    """Return the hosts with the greatest weights, spread over the data centres."""
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
