"""Assigns groups to pools by rendezvous hashing.

Every process computes the same order from the same pools, and adding or removing a
pool moves only the groups that it owns.
"""

import bisect
import re
from collections.abc import Iterable

import xxhash

from wasabipitch.models import Host


def weigh(group: str, pool: str) -> int:
    """Return a pool's weight for a group in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{group}\0{pool}".encode())


class OwnerOrder:
    """The order in which the known pools own each group.

    The order does not depend on the pools' states, so it needs no update when a pool
    fails or returns. A new pool is inserted by its weight into each known order.
    """

    def __init__(self) -> None:
        self.pools: set[str] = set()
        self._orders: dict[str, list[str]] = {}
        self._weights: dict[str, list[int]] = {}

    def set_pools(self, names: Iterable[str]) -> None:
        """Replace the set of known pools.

        Args:
            names: The names of all known pools.
        """
        names = set(names)
        for name in names - self.pools:
            self._insert(name)
        for name in self.pools - names:
            self._remove(name)
        self.pools = names

    def order(self, group: str) -> list[str]:
        """Return the names of all known pools, the first owner first."""
        if group not in self._orders:
            weighted = sorted((-weigh(group, name), name) for name in self.pools)
            self._orders[group] = [name for _, name in weighted]
            self._weights[group] = [weight for weight, _ in weighted]
        return self._orders[group]

    def _insert(self, name: str) -> None:
        for group, order in self._orders.items():
            weights = self._weights[group]
            weight = -weigh(group, name)
            rank = bisect.bisect(weights, weight)
            order.insert(rank, name)
            weights.insert(rank, weight)

    def _remove(self, name: str) -> None:
        for group, order in self._orders.items():
            rank = order.index(name)
            del order[rank]
            del self._weights[group][rank]


def find_local_pool(pools: Iterable[Host], host: Host) -> Host | None:
    """Return the pool on the machine of a process, if it is among the pools.

    This is the process itself if it is a pool, otherwise the pool of the same data
    centre whose name ends in the same number.
    """
    return next((pool for pool in pools if _is_local(pool, host)), None)


def _is_local(pool: Host, host: Host) -> bool:
    if pool.name == host.name or host.role == pool.role:
        return pool.name == host.name
    same_data_centre = pool.data_centre == host.data_centre
    return same_data_centre and _host_number(pool.name) == _host_number(host.name)


def _host_number(name: str) -> str:
    match = re.search(r"\d+$", name)
    return match.group() if match else ""
