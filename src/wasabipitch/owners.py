"""Which pool owns a group: rendezvous hashing over the live pools.

Every process computes the same order from the same pools, and a pool that
comes or goes moves only the groups that are its own.
"""

import re
from collections.abc import Collection, Iterable

import xxhash

from wasabipitch.models import Host


def weigh(group: str, pool: str) -> int:
    """Return a pool's weight for a group in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{group}\0{pool}".encode())


def order_owners(
    group: str, pools: Iterable[Host], suspects: Collection[str] = ()
) -> tuple[Host, ...]:
    """Return the pools in the order in which they serve a group.

    Args:
        group: the group's name.
        pools: the pools that are neither leaving nor dead.
        suspects: the names of those that come last.
    """

    def place(host: Host) -> tuple[bool, int]:
        return (host.name in suspects, -weigh(group, host.name))

    return tuple(sorted(pools, key=place))


def put_local_first(owners: tuple[Host, ...], host: Host) -> tuple[Host, ...]:
    """Return the owners with the pool on a process's own machine first.

    That is the process itself if it is a pool, or else the pool of the same
    data centre whose name ends in the same number.
    """
    return tuple(sorted(owners, key=lambda pool: not _is_local(pool, host)))


def _is_local(pool: Host, host: Host) -> bool:
    if pool.name == host.name or host.role == pool.role:
        return pool.name == host.name
    same_place = pool.data_centre == host.data_centre
    return same_place and _host_number(pool.name) == _host_number(host.name)


def _host_number(name: str) -> str:
    match = re.search(r"\d+$", name)
    return match.group() if match else ""
