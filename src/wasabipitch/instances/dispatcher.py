"""Assignment of a group's connections to the requests that need one."""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from itertools import count

import msgspec

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import InstanceEntry
from wasabipitch.exceptions import NoTarget, Overloaded
from wasabipitch.instances.connection import InstanceConnection
from wasabipitch.instances.pool import InstancePool
from wasabipitch.instances.read_locality import ReadLocality
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Gauge
from wasabipitch.policy import connection_use, placement, waiting
from wasabipitch.policy.connection_use import Use
from wasabipitch.policy.locality import DEFAULT_CROSSING_COST_S
from wasabipitch.policy.placement import ServiceTimes
from wasabipitch.policy.waiting import QueueState
from wasabipitch.policy.window import window_limit
from wasabipitch.wire.codecs import InstanceCodec

# Connections that a host may open above its own share while other hosts leave theirs
# unused.
OVERFLOW_CONNECTIONS = 2
INITIAL_CHECKOUT_S = 0.02
CHECKOUT_EWMA_WEIGHT = 0.05
# Longer than any checkout delays an account's next request.
FORGET_PLACE_S = 5.0
# Interval at which waiting requests of accounts are examined.
RECHECK_S = connection_use.HANDSHAKE_S
_arrivals = count()


class Checkout(msgspec.Struct, frozen=True):
    """A connection checked out for one statement or transaction.

    Args:
        pool: The pool that the connection belongs to.
        conn: The connection.
        started_s: When it was checked out.
        record_duration: Called with the duration of the checkout in seconds.
    """

    pool: InstancePool
    conn: InstanceConnection
    started_s: float
    record_duration: Callable[[float], None]

    def release(self) -> None:
        """Return the connection to its pool."""
        self.record_duration(now_s() - self.started_s)
        self.pool.release(self.conn)


class ConnectionRequest(msgspec.Struct, eq=False):
    """A request's demand for a connection.

    Args:
        find_allowed: Returns the names of the instances that may serve the request
            at the time of the call.
        kind: The kind of statement, which determines the expected service time.
        priority: The priority, 0 is the highest.
        wait_until_s: The time until which the request may wait in the queue.
        deadline_s: The time at which its time limit ends.
        avoid: The names of instances that have just failed the request; they are
            used only if no other instance is allowed.
        account: The client account that the request belongs to, or an empty string.
            Only connections of this account serve it.
        objective_s: The response-time objective of a read that is kept in the host's
            data centre while that costs its caller little, or 0 for other requests.
        waits: Whether its wait for one of its account's connections was recorded.
        arrived_s: The time of its arrival, set with accounts.
        placed_s: The time by which it is ordered within its priority, set on arrival.
        leaves: Whether it may leave the data centre; set by ``ReadLocality``.
        compared_at_s: When that was last decided.
        arrival: The sequence number of its arrival, set automatically.
        granted: The future of its checkout, set automatically.
    """

    find_allowed: Callable[[], Collection[str]]
    kind: str
    priority: int
    wait_until_s: float
    deadline_s: float
    avoid: set[str] = msgspec.field(default_factory=set)
    account: str = ""
    objective_s: float = 0.0
    waits: bool = False
    arrived_s: float = 0.0
    placed_s: float = 0.0
    leaves: bool = False
    compared_at_s: float = 0.0
    arrival: int = msgspec.field(default_factory=lambda: next(_arrivals))
    granted: asyncio.Future = msgspec.field(default_factory=asyncio.Future)

    @property
    def order(self) -> tuple[int, float, int]:
        """The sort key in the queue: priority, place among accounts, then arrival."""
        return (self.priority, self.placed_s, self.arrival)


class Dispatcher:
    """Checks out connections to a group's instances and queues requests for them.

    Attributes:
        pools: The pool of each instance, by the instance's name.
        service_times: The mean service times of the group.

    Args:
        codec: The codec of the instances' protocol.
        decisions: The log of state changes.
        data_centre: The data centre of this host.
        is_primary: Returns whether the instance of a name is the group's primary.
        on_connection_limit: Called with the name of an instance that is at its
            connection limit while this host has no connection to it.
        crossing_cost_s: What a crossing between data centres is worth; see
            ``policy.locality``.
    """

    def __init__(
        self,
        codec: InstanceCodec,
        decisions: DecisionLog,
        data_centre: str,
        is_primary: Callable[[str], bool],
        on_connection_limit: Callable[[str], None],
        crossing_cost_s: float = DEFAULT_CROSSING_COST_S,
    ) -> None:
        self.pools: dict[str, InstancePool] = {}
        self.service_times = ServiceTimes()
        self._codec = codec
        self._decisions = decisions
        self._data_centre = data_centre
        self._is_primary = is_primary
        self._on_connection_limit = on_connection_limit
        self._waiting: list[ConnectionRequest] = []
        self._has_accounts = False
        self._fair_order = connection_use.FairOrder()
        self._recheck: asyncio.TimerHandle | None = None
        self._closed = False
        # Mean duration of a checkout, including the pauses of transactions.
        self._checkout_s = INITIAL_CHECKOUT_S
        self._locality = ReadLocality(
            data_centre, crossing_cost_s, self._load, self.service_times
        )

    def update(
        self,
        entries: dict[str, InstanceEntry],
        own_share: int,
        hosts: int = 1,
        has_accounts: bool = False,
        is_joining: bool = False,
    ) -> None:
        """Update the pools to the registered instances and the host's share.

        Args:
            entries: The registrations of the instances, by name.
            own_share: The number of connections that this host may hold to each
                instance; 0 for a host that isn't an owner.
            hosts: The number of hosts that hold connections to the instances.
            has_accounts: Whether the configuration has client accounts. Connections
                are scarce then, and none is opened above the share: the shares of all
                hosts together are what an instance accepts.
            is_joining: Whether this host joins others that hold connections.
        """
        self._has_accounts = has_accounts
        overflow = 0 if has_accounts else OVERFLOW_CONNECTIONS
        overflow_limit = own_share + overflow if own_share else 0
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
                    self._on_connection_limit,
                )
                self.pools[name] = pool
            pool.entry = entry
            pool.resize(own_share, overflow_limit, has_accounts, is_joining)
            pool.window.resize(window_limit(pool.overflow_limit, entry.slots, hosts))
        self.dispatch()

    @property
    def waiting(self) -> int:
        """The number of requests in the queue."""
        return len(self._waiting)

    def read_gauges(self, group: str) -> list[Gauge]:
        """Return the gauges of each instance.

        Args:
            group: The value of the label ``group``.
        """
        share = self._locality.read_share()
        gauges = [Gauge("reads_leaving_share", (("group", group),), share)]
        at_s = now_s()
        for name, pool in self.pools.items():
            labels = (("group", group), ("instance", name))
            gauges += [
                Gauge("instance_connections", labels, pool.open),
                Gauge("instance_connections_used", labels, pool.checked_out),
                Gauge("instance_slowness", labels, pool.slowness.read(at_s)),
                Gauge("instance_failure_share", labels, pool.failures.read(at_s)),
                Gauge("instance_lagging", labels, pool.lagging.is_backing_off(at_s)),
            ]
        return gauges

    def has_connection(self, account: str, primary_only: bool) -> bool:
        """Return whether an account has an idle connection or there is room for one.

        Args:
            account: The client account.
            primary_only: Whether only the primary's connections count.
        """
        pools = [
            pool
            for name, pool in self.pools.items()
            if not primary_only or self._is_primary(name)
        ]
        if not pools:
            # The request waits for a new primary, here as well as elsewhere.
            return True
        return any(pool.has_idle(account) or pool.has_room() for pool in pools)

    def find_lagging(self) -> list[str]:
        """Return the names of the instances in backoff because they lag."""
        at_s = now_s()
        return [
            name for name, p in self.pools.items() if p.lagging.is_backing_off(at_s)
        ]

    def maintain(self) -> None:
        """Close idle connections and open the minimum of each pool.

        This is to be called periodically. No connection is opened to an instance that
        is leaving.
        """
        for pool in self.pools.values():
            pool.close_idle()
            if not pool.entry.leaving:
                pool.open_minimum()
        if self._has_accounts:
            self._fair_order.forget_before(now_s() - FORGET_PLACE_S)

    def release_unused(self, instance: str) -> None:
        """Close unused connections to an instance so that another host can connect.

        Args:
            instance: The name of the instance.
        """
        pool = self.pools.get(instance)
        if pool is not None:
            pool.release_unused()

    async def acquire(self, request: ConnectionRequest) -> Checkout:
        """Check out a connection, waiting in the queue if none is free.

        Args:
            request: The instances, the priority and the times of the request.

        Raises:
            Overloaded: The request is not expected to be served in time, or no
                connection became free in time.
            NoTarget: No instance may serve the request.
        """
        checkout = self._try_check_out(request)
        if checkout is not None:
            return checkout
        if self._has_accounts:
            request.arrived_s = now_s()
            request.placed_s = self._fair_order.place(
                request.priority, request.account, request.arrived_s, self._checkout_s
            )
        self._admit(request)
        self._waiting.append(request)
        self._waiting.sort(key=lambda other: other.order)
        self.dispatch()
        try:
            async with asyncio.timeout(max(0.0, request.wait_until_s - now_s())):
                return await request.granted
        except TimeoutError:
            self._discard(request)
            raise self._timeout_error(request) from None
        except asyncio.CancelledError:
            self._discard(request)
            raise

    def dispatch(self) -> None:
        """Assign free connections to the queue, and open connections for the rest.

        This is to be called whenever a connection may have become free or the set
        of allowed instances may have changed.
        """
        if self._has_accounts:
            self._dispatch_by_account()
            if self._waiting:
                self._recheck_later()
            return
        for request in list(self._waiting):
            if self._is_settled(request):
                continue
            if request.account:
                self._open_for_account(request, 1, True)
            else:
                self._open_for(request)

    def _is_settled(self, request: ConnectionRequest) -> bool:
        """Return whether a waiting request has ended or has got a connection now."""
        if request.granted.done():
            self._waiting.remove(request)
            return True
        checkout = self._try_check_out(request)
        if checkout is None:
            return False
        self._waiting.remove(request)
        request.granted.set_result(checkout)
        return True

    def _dispatch_by_account(self) -> None:
        """Assign free connections where each of them belongs to an account.

        The requests of an account that resemble one which nothing can be done for are
        not examined: a hot account may have a hundred of them.
        """
        others_waiting = len({request.account for request in self._waiting}) > 1
        queued: Counter[str] = Counter()
        stuck: set[tuple] = set()
        for request in list(self._waiting):
            if not self._has_capacity():
                return
            key = (request.account, request.kind, frozenset(request.avoid))
            if key in stuck or self._is_settled(request):
                continue
            queued[request.account] += 1
            may_improve = self._open_for_account(
                request, queued[request.account], others_waiting
            )
            if not may_improve:
                stuck.add(key)

    def _recheck_later(self) -> None:
        """Examine the queue again soon.

        Waits become too long, shares grow, and statements of transactions end without
        a call of ``dispatch``.
        """
        if self._recheck is None and not self._closed:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(RECHECK_S, self._run_recheck)

    def _run_recheck(self) -> None:
        self._recheck = None
        self.dispatch()

    def _has_capacity(self) -> bool:
        return any(pool.has_capacity() for pool in self.pools.values())

    def _suitable_pools(self, request: ConnectionRequest) -> list[InstancePool]:
        names = request.find_allowed()
        allowed = [pool for name, pool in self.pools.items() if name in names]
        untried = [pool for pool in allowed if pool.name not in request.avoid]
        return self._locality.restrict(request, untried or allowed, self._queue_s)

    def _queue_s(self, pools: Collection[InstancePool]) -> float:
        """Return the expected wait of a new request for a connection of some pools."""
        if any(pool.running < pool.window.size for pool in pools):
            return 0.0
        connections = sum(pool.window.size for pool in pools)
        return (len(self._waiting) + 1) * self._checkout_s / max(1, connections)

    def _try_check_out(self, request: ConnectionRequest) -> Checkout | None:
        at_s, account = now_s(), request.account
        suitable = [
            pool for pool in self._suitable_pools(request) if pool.has_idle(account)
        ]
        responsive = [pool for pool in suitable if pool.silent_since_s is None]
        if suitable and not responsive and self._is_served_elsewhere(request):
            return None
        loads = [self._load(pool, at_s) for pool in responsive or suitable]
        best = placement.choose_instance(loads, self.service_times.read(request.kind))
        if best is None:
            return None
        pool = self.pools[best.name]
        return Checkout(pool, pool.check_out(account), at_s, self._record_checkout)

    def _is_served_elsewhere(self, request: ConnectionRequest) -> bool:
        """Return whether a responsive instance can be used on a new connection."""
        return self._has_accounts and any(
            pool.silent_since_s is None and pool.can_serve(request.account)
            for pool in self._suitable_pools(request)
        )

    def _load(self, pool: InstancePool, at_s: float) -> placement.Load:
        return placement.Load(
            name=pool.name,
            near=pool.entry.data_centre == self._data_centre,
            is_primary=self._is_primary(pool.name),
            running=pool.checked_out,
            slots=pool.entry.slots,
            slowness=pool.slowness.read(at_s),
            failure_share=pool.failures.read(at_s),
        )

    def _open_for(self, request: ConnectionRequest) -> None:
        for pool in self._suitable_pools(request):
            pool.open_up_to(pool.overflow_limit)

    def _open_for_account(
        self, request: ConnectionRequest, position: int, others_waiting: bool
    ) -> bool:
        """Open a connection for a waiting request if that is better than to wait.

        Args:
            request: The request; no connection of its account can be checked out.
            position: Its place among the account's waiting requests.
            others_waiting: Whether requests of other accounts wait.

        Returns:
            Whether the outcome may differ for a later request of the account.
        """
        account = request.account
        pools = _prefer_responsive(self._suitable_pools(request))
        demand = connection_use.Demand(
            position,
            sum(pool.count_used(account) for pool in pools),
            sum(pool.count_opening(account) for pool in pools),
            self._checkout_s,
            now_s() - request.arrived_s,
        )
        # At an instance that a hot account has for itself, others would begin to use
        # connections only if there were any left.
        others_active = others_waiting or any(
            pool.are_others_active(account) for pool in self.pools.values()
        )
        options: list[tuple[float, Use, InstancePool, str]] = []
        may_differ = False
        for pool in pools:
            if not pool.may_open:
                continue
            state = pool.describe_use(account, others_active)
            decision = connection_use.decide(demand, state)
            if decision.use in (Use.OPEN, Use.REPLACE):
                cost_s = self._opening_cost_s(request, pool, decision.use)
                options.append((cost_s, decision.use, pool, decision.reason))
            else:
                may_differ = (
                    may_differ or decision.reason in connection_use.PASSING_REASONS
                )
                self._record_wait(request, pool, decision)
        if options:
            _, use, pool, reason = min(options, key=lambda option: option[0])
            self._open_connection(request, pool, use, reason)
        return bool(options) or may_differ

    def _opening_cost_s(
        self, request: ConnectionRequest, pool: InstancePool, use: Use
    ) -> float:
        """Return what it is expected to cost to run a request on a new connection."""
        service_s = self.service_times.read(request.kind)
        load = self._load(pool, now_s())
        cost_s = placement.expected_response_s(load, service_s)
        if use is Use.REPLACE:
            cost_s += connection_use.replacement_loss_s(pool.longest_idle_s)
        return cost_s

    def _open_connection(
        self, request: ConnectionRequest, pool: InstancePool, use: Use, reason: str
    ) -> None:
        replaces, closed = use is Use.REPLACE, None
        if replaces:
            closed = pool.replace_for(request.account)
        else:
            pool.open_for(request.account)
        event = "connection replaced" if replaces else "connection opened for account"
        self._decisions.routine(
            event,
            account=request.account,
            closed_account=closed,
            group=pool.entry.group,
            instance=pool.name,
            open=pool.open,
            reason=reason,
        )

    def _record_wait(
        self,
        request: ConnectionRequest,
        pool: InstancePool,
        decision: connection_use.Decision,
    ) -> None:
        """Record that a request waits, once."""
        if request.waits or decision.reason not in connection_use.OWN_WAITS:
            return
        request.waits = True
        self._decisions.count("account_connection_waits", group=pool.entry.group)
        self._decisions.routine(
            "connection awaited",
            account=request.account,
            group=pool.entry.group,
            instance=pool.name,
            reason=decision.reason,
        )

    def _admit(self, request: ConnectionRequest) -> None:
        suitable = self._suitable_pools(request)
        if self._has_accounts:
            queues = self._describe_account_queues(request, suitable)
        else:
            ahead = sum(other.order < request.order for other in self._waiting)
            servers = sum(pool.open for pool in suitable)
            queues = [QueueState(ahead, servers, self._checkout_s)]
        at_s = now_s()
        budget = waiting.TimeBudget(
            wait_s=request.wait_until_s - at_s,
            left_s=request.deadline_s - at_s,
            run_s=self.service_times.read(request.kind),
        )
        for queue in queues:
            refusal = waiting.check_admission(queue, budget)
            if refusal is not None:
                raise Overloaded(refusal.reason)

    def _describe_account_queues(
        self, request: ConnectionRequest, suitable: list[InstancePool]
    ) -> list[QueueState]:
        """Return the queue of all accounts and, while others wait, its account's own.

        Connections that may still be opened count, since several are opened at once.
        """
        ahead = Counter(
            other.account for other in self._waiting if other.order < request.order
        )
        limits = [pool.allowed if pool.may_open else pool.open for pool in suitable]
        account_limit = sum(map(connection_use.max_held, limits))
        own, total = connection_use.count_ahead(request.account, ahead, account_limit)
        queues = [QueueState(total, sum(limits), self._checkout_s)]
        if len(ahead) > 1:
            queues.append(QueueState(own, account_limit, self._checkout_s))
        return queues

    def _record_checkout(self, seconds: float) -> None:
        self._checkout_s += CHECKOUT_EWMA_WEIGHT * (seconds - self._checkout_s)

    def _discard(self, request: ConnectionRequest) -> None:
        if request in self._waiting:
            self._waiting.remove(request)
        if request.granted.done() and not request.granted.cancelled():
            request.granted.result().release()

    def _timeout_error(self, request: ConnectionRequest) -> NoTarget | Overloaded:
        if not self._suitable_pools(request):
            return NoTarget("no instance may serve it before its time limit")
        return Overloaded("no connection became free before its time limit")

    def close(self) -> None:
        """Close all connections."""
        self._closed = True
        if self._recheck is not None:
            self._recheck.cancel()
        for pool in self.pools.values():
            pool.close()


def _prefer_responsive(pools: list[InstancePool]) -> list[InstancePool]:
    responsive = [pool for pool in pools if pool.silent_since_s is None]
    return responsive or pools
