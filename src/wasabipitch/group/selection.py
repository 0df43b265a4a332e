"""Checks out a connection that suits a statement, or refuses the statement."""

from collections.abc import Callable

from wasabipitch.clock import now_s
from wasabipitch.exceptions import NoTarget, Overloaded
from wasabipitch.group.exchange import MIN_SERVICE_S
from wasabipitch.group.peers import GroupPeers
from wasabipitch.group.request import NO_PRIMARY, Request, StatementFailed
from wasabipitch.group.state import GroupState
from wasabipitch.instances.dispatcher import Checkout, ConnectionRequest, Dispatcher
from wasabipitch.policy.read_leases import ReadDecision
from wasabipitch.policy.retries import (
    Outage,
    may_wait_for_primary,
    may_wait_for_registration,
)
from wasabipitch.policy.waiting import max_wait_s
from wasabipitch.wire.messages import Code

# Interval at which a request that waits for a primary checks if it may wait on.
PRIMARY_RECHECK_S = 0.1


class ConnectionSelector:
    """Chooses instances for a group's statements and checks out connections."""

    def __init__(
        self, state: GroupState, dispatcher: Dispatcher, peers: GroupPeers
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._peers = peers

    def may_use_primary(self, req: Request, instance: str, arrived_s: float) -> bool:
        """Return whether an instance is the primary and may be read now.

        The decision is made again just before sending: the request may have queued
        since the first one, and a group record that arrived in the meantime does not
        state when it was written.

        Args:
            req: The read, or the first statement of a transaction.
            instance: The name of the instance.
            arrived_s: The time at which the read, or the transaction's first
                statement, was received.
        """
        state = self._state
        decision = state.decide_read(req.route, arrived_s, req.session.floor)
        return decision.primary and state.is_primary(instance)

    def decide_or_refuse(self, req: Request, arrived_s: float) -> ReadDecision:
        """Return which instances a read may use now.

        Args:
            req: The read, or the first statement of a transaction.
            arrived_s: The time at which the read, or the transaction's first
                statement, was received.

        Raises:
            StatementFailed: No instance may serve the read, and neither a replacement
                that would bring a new primary nor the registration of this host is
                in progress.
        """
        decision = self._decide(req, arrived_s)
        if decision.primary or self._state.is_changing:
            return decision
        if may_wait_for_registration(self._describe_outage().registering_for_s):
            return decision
        raise StatementFailed(Code.BUSY, decision.reason)

    def _decide(self, req: Request, arrived_s: float) -> ReadDecision:
        decision = self._state.decide_read(req.route, arrived_s, req.session.floor)
        if decision.floor is None and req.route.max_age_s > 0:
            self._peers.request_position()
        return decision

    async def acquire_for_read(
        self, req: Request, arrived_s: float
    ) -> tuple[Checkout, ReadDecision]:
        """Check out a connection to an instance that may serve a read.

        While the primary is being replaced, a read that accepts older data is served
        by replicas; any other read waits for the new primary.

        Args:
            req: The read, or the first statement of a transaction.
            arrived_s: The time at which the read, or the transaction's first
                statement, was received.

        Returns:
            The connection and the decision, which gives the read's floor.

        Raises:
            StatementFailed: No connection is available in time.
        """

        def is_servable() -> bool:
            decision = self.decide_or_refuse(req, arrived_s)
            if self.find_readable(decision) - {self._state.primary}:
                return True
            return decision.primary and self._has_reachable_primary()

        def find_allowed() -> set[str]:
            # The decision is made each time, as a peer may report a position meanwhile.
            return self.find_readable(self._decide(req, arrived_s))

        await self._wait_until(req, is_servable)
        checkout = await self._check_out(req, find_allowed)
        return checkout, self._decide(req, arrived_s)

    async def wait_for_lease(self, req: Request, arrived_s: float) -> None:
        """Wait until this host may read the primary.

        Args:
            req: The first statement of a transaction that may write.
            arrived_s: The time at which it was received.

        Raises:
            StatementFailed: The host is not expected to get that right in time.
        """
        await self._wait_until(
            req, lambda: self.decide_or_refuse(req, arrived_s).primary
        )

    async def acquire_primary(self, req: Request) -> Checkout:
        """Check out a connection to the primary.

        Raises:
            StatementFailed: No connection is available in time.
        """
        await self._wait_until(req, self._has_reachable_primary)
        return await self._check_out(req, self._find_primary)

    def _find_primary(self) -> set[str]:
        primary = self._state.primary
        return set() if primary is None else {primary}

    def find_readable(self, decision: ReadDecision) -> set[str]:
        """Return the names of the instances that may serve a read.

        Only the primary may serve a read for which no floor is known. It also serves
        the other reads if no other instance may.
        """
        state, at_s = self._state, now_s()
        if decision.floor is None:
            return {state.primary} if state.primary else set()
        names = set()
        for name, pool in self._dispatcher.pools.items():
            if pool.entry.leaving or pool.lagging.is_backing_off(at_s):
                continue
            if name == state.primary and not decision.primary:
                continue
            if pool.entry.is_primary and name != state.primary:
                # A replaced primary that has not been told may hold commits that the
                # established primary lacks.
                continue
            names.add(name)
        return names or ({state.primary} if state.primary else set())

    async def _check_out(
        self, req: Request, find_allowed: Callable[[], set[str]]
    ) -> Checkout:
        need = ConnectionRequest(
            find_allowed,
            req.kind,
            req.route.priority,
            min(req.deadline_s, now_s() + max_wait_s(req.route.objective_s)),
            req.deadline_s,
            set(req.avoid),
            req.session.account,
            req.route.objective_s,
        )
        started_s = now_s()
        try:
            checkout = await self._dispatcher.acquire(need)
        except (NoTarget, Overloaded) as exc:
            raise StatementFailed(Code.BUSY, exc.message) from exc
        finally:
            req.in_line_s += now_s() - started_s
        req.instance = checkout.pool.name
        return checkout

    async def _wait_until(self, req: Request, is_servable: Callable[[], bool]) -> None:
        while not is_servable():
            left_s = req.left_s - MIN_SERVICE_S
            outage = self._describe_outage()
            if left_s <= 0 or not may_wait_for_primary(outage, left_s):
                raise StatementFailed(Code.BUSY, NO_PRIMARY)
            await self._state.wait_changed(min(left_s, PRIMARY_RECHECK_S))

    def _has_reachable_primary(self) -> bool:
        state = self._state
        pool = self._dispatcher.pools.get(state.primary or "")
        usable = pool is not None and bool(pool.open or pool.failing_since_s is None)
        state.update_primary_reachability(usable)
        return usable

    def _describe_outage(self) -> Outage:
        state, at_s = self._state, now_s()
        replacing_for_s = at_s - state.record_since_s if state.is_changing else None
        unreachable_for_s = None
        if state.primary_unreachable_since_s is not None:
            unreachable_for_s = at_s - state.primary_unreachable_since_s
        state.update_registration()
        registering_for_s = None
        if state.registering_since_s is not None:
            registering_for_s = at_s - state.registering_since_s
        return Outage(
            replacing_for_s,
            unreachable_for_s,
            state.record is not None,
            state.is_changing and state.is_relinquished(),
            registering_for_s,
            state.is_changing and state.is_blocked(),
        )
