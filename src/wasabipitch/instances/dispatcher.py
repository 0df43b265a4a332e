"""Lends a group's connections to those who wait for one."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from itertools import count

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import InstanceEntry
from wasabipitch.exceptions import NoTarget, Overloaded
from wasabipitch.instances.connection import InstanceConnection
from wasabipitch.instances.pool import RESTING_CONNECTIONS, InstancePool
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Gauge
from wasabipitch.policy import placement, waiting
from wasabipitch.policy.placement import ServiceTimes
from wasabipitch.policy.window import window_limit
from wasabipitch.wire.codecs import InstanceCodec

# Beyond its own part a host may borrow this many while others leave them unused.
BORROWED = 2
FIRST_HELD_S = 0.02
HELD_WEIGHT = 0.05
_arrivals = count()


@dataclass(frozen=True, slots=True)
class Loan:
    """A connection lent to one statement or transaction."""

    pool: InstancePool
    conn: InstanceConnection
    since_s: float
    note_held: Callable[[float], None]

    def release(self) -> None:
        """Give the connection back."""
        self.note_held(now_s() - self.since_s)
        self.pool.release(self.conn)


@dataclass(eq=False)
class Need:
    """What a request needs of a connection.

    Args:
        find_allowed: returns the names of the instances that may serve it now.
        kind: of statement, for its expected service time.
        priority: 0 is the highest.
        wait_until_s: until when it may wait.
        deadline_s: when its time limit ends.
        avoid: instances that have just failed it.
    """

    find_allowed: Callable[[], Collection[str]]
    kind: str
    priority: int
    wait_until_s: float
    deadline_s: float
    avoid: set[str] = field(default_factory=set)
    arrival: int = field(default_factory=lambda: next(_arrivals))
    granted: asyncio.Future = field(default_factory=asyncio.Future)

    @property
    def order(self) -> tuple[int, int]:
        """Requests of a lower order go first."""
        return (self.priority, self.arrival)


class Dispatcher:
    """Places requests on a group's instances.

    Args:
        data_centre: where this host runs.
        is_primary: whether an instance leads the group, by name.
        on_crowded: called with the name of an instance that takes no connection
            of this host at all.
    """

    def __init__(
        self,
        codec: InstanceCodec,
        decisions: DecisionLog,
        data_centre: str,
        is_primary: Callable[[str], bool],
        on_crowded: Callable[[str], None],
    ) -> None:
        self.pools: dict[str, InstancePool] = {}
        self.times = ServiceTimes()
        self._codec = codec
        self._decisions = decisions
        self._data_centre = data_centre
        self._is_primary = is_primary
        self._on_crowded = on_crowded
        self._waiting: list[Need] = []
        # How long a loan lasts, pauses of transactions included.
        self._held_s = FIRST_HELD_S

    def update(
        self, entries: dict[str, InstanceEntry], part: int, hosts: int = 1
    ) -> None:
        """Follow the registered instances and the host's part of connections.

        Args:
            entries: the instances, by name.
            part: connections that this host may hold to each; 0 for none.
            hosts: how many hosts hold connections to them.
        """
        for name in set(self.pools) - set(entries):
            self.pools.pop(name).close()
        for name, entry in entries.items():
            pool = self.pools.get(name)
            if pool is not None and pool.entry.address != entry.address:
                pool.close()
                pool = None
            if pool is None:
                pool = InstancePool(
                    entry,
                    self._codec,
                    self._decisions,
                    self.dispatch,
                    self._on_crowded,
                )
                self.pools[name] = pool
            pool.entry = entry
            pool.limit = part
            pool.borrow_limit = part + BORROWED if part else 0
            pool.window.resize(window_limit(pool.borrow_limit, entry.slots, hosts))
        self.dispatch()

    @property
    def waiting(self) -> int:
        """How many requests wait for a connection."""
        return len(self._waiting)

    def read_gauges(self, group: str) -> list[Gauge]:
        """Return the present values of each instance."""
        gauges, at_s = [], now_s()
        for name, pool in self.pools.items():
            labels = (("group", group), ("instance", name))
            gauges += [
                Gauge("instance_connections", labels, pool.open),
                Gauge("instance_connections_used", labels, pool.lent),
                Gauge("instance_slowness", labels, pool.slowness.read(at_s)),
                Gauge("instance_failure_share", labels, pool.failures.read(at_s)),
                Gauge("instance_lagging", labels, pool.lagging.is_off(at_s)),
            ]
        return gauges

    def find_lagging(self) -> list[str]:
        """Return the instances that said lately that they lag."""
        at_s = now_s()
        return [name for name, p in self.pools.items() if p.lagging.is_off(at_s)]

    def keep_open(self) -> None:
        """Hold a few connections to each instance, and close what is idle."""
        for pool in self.pools.values():
            pool.give_back_idle()
            if not pool.entry.leaving:
                pool.want(min(RESTING_CONNECTIONS, pool.limit))

    def give_back(self, instance: str) -> None:
        """Close the unused connections to an instance, for a host that has none."""
        pool = self.pools.get(instance)
        if pool is not None:
            pool.give_way()

    async def acquire(self, need: Need) -> Loan:
        """Wait for a connection that suits.

        Raises:
            Overloaded: it would not be served in time.
            NoTarget: no instance may serve it.
        """
        loan = self._try(need)
        if loan is not None:
            return loan
        self._admit(need)
        self._waiting.append(need)
        self._waiting.sort(key=lambda other: other.order)
        self.dispatch()
        try:
            async with asyncio.timeout(max(0.0, need.wait_until_s - now_s())):
                return await need.granted
        except TimeoutError:
            self._forget(need)
            raise self._explain(need) from None
        except asyncio.CancelledError:
            self._forget(need)
            raise

    def dispatch(self) -> None:
        """Lend what is free; called whenever something has changed."""
        for need in list(self._waiting):
            if need.granted.done():
                self._waiting.remove(need)
                continue
            loan = self._try(need)
            if loan is not None:
                self._waiting.remove(need)
                need.granted.set_result(loan)
            else:
                self._open_for(need)

    def _suited(self, need: Need) -> list[InstancePool]:
        names = need.find_allowed()
        allowed = [pool for name, pool in self.pools.items() if name in names]
        fresh = [pool for pool in allowed if pool.name not in need.avoid]
        return fresh or allowed

    def _try(self, need: Need) -> Loan | None:
        at_s = now_s()
        suited = [pool for pool in self._suited(need) if pool.has_idle()]
        sound = [pool for pool in suited if pool.silent_since_s is None]
        loads = [self._load(pool, at_s) for pool in sound or suited]
        best = placement.choose(loads, self.times.read(need.kind))
        if best is None:
            return None
        pool = self.pools[best.name]
        return Loan(pool, pool.lend(), at_s, self._note_held)

    def _load(self, pool: InstancePool, at_s: float) -> placement.Load:
        return placement.Load(
            name=pool.name,
            near=pool.entry.data_centre == self._data_centre,
            is_primary=self._is_primary(pool.name),
            running=pool.lent,
            slots=pool.entry.slots,
            slowness=pool.slowness.read(at_s),
            failures=pool.failures.read(at_s),
        )

    def _open_for(self, need: Need) -> None:
        for pool in self._suited(need):
            pool.want(pool.borrow_limit)

    def _admit(self, need: Need) -> None:
        suited = self._suited(need)
        line = waiting.Line(
            ahead=sum(other.order < need.order for other in self._waiting),
            servers=sum(pool.open for pool in suited),
            held_s=self._held_s,
        )
        at_s = now_s()
        budget = waiting.Budget(
            wait_s=need.wait_until_s - at_s,
            left_s=need.deadline_s - at_s,
            run_s=self.times.read(need.kind),
        )
        refusal = waiting.admit(line, budget)
        if refusal is not None:
            raise Overloaded(refusal.reason)

    def _note_held(self, seconds: float) -> None:
        self._held_s += HELD_WEIGHT * (seconds - self._held_s)

    def _forget(self, need: Need) -> None:
        if need in self._waiting:
            self._waiting.remove(need)
        if need.granted.done() and not need.granted.cancelled():
            need.granted.result().release()

    def _explain(self, need: Need) -> NoTarget | Overloaded:
        if not self._suited(need):
            return NoTarget("no instance may serve it before its time limit")
        return Overloaded("no connection became free before its time limit")

    def close(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            pool.close()
