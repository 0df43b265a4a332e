"""The components that the request runners of one group share."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from wasabipitch.acks import Acknowledger
from wasabipitch.connections import InstanceConnections
from wasabipitch.deployment import Policy, RequestClass
from wasabipitch.events import Timeline
from wasabipitch.exceptions import (
    ER_CON_COUNT_ERROR,
    ER_OPTION_PREVENTS_STATEMENT,
    NoTarget,
    TargetDown,
    TargetError,
    TargetLost,
    WasabipitchError,
)
from wasabipitch.floors import FloorConfirmer
from wasabipitch.limits import Scheduler, Ticket
from wasabipitch.metrics import Metrics
from wasabipitch.retries import RetryBudget, backoff_s
from wasabipitch.routing import Router
from wasabipitch.sampling import Sampler
from wasabipitch.targets import Answer, TargetConn
from wasabipitch.transactions import TransactionRegistry
from wasabipitch.view import GroupView
from wasabipitch.workload import Workload


@dataclass(frozen=True)
class Lease:
    """A checkout: a slot and a connection on one instance.

    It lasts for one statement, or until a transaction has begun. It is unrelated to the
    leases in the store and to read leases.

    Args:
        instance: The instance's name.
        term: The term that was established when the slot was granted.
        conn: The connection.
    """

    instance: str
    term: int
    conn: TargetConn


@dataclass(frozen=True)
class GroupParts:
    """The components of one served group.

    Args:
        view: What is known of the group and its instances.
        policy: Says which rules are enabled.
        sampler: Requests status reports from instances.
        acks: Waits until a majority of instances holds a position.
        floors: Confirms the floor of a read, the lowest log position that it must
            see, where the request names none.
        router: Decides which instances may serve a request.
        scheduler: Grants slots.
        connections: The connection pool of each instance, by name.
        timeline: Records events.
        metrics: Counts requests by outcome.
        workload: Learns which statements run long.
        transactions: The open transactions.
        retry_budget: Limits the retries of reads.
        rng: Adds jitter to waits.
    """

    view: GroupView
    policy: Policy
    sampler: Sampler
    acks: Acknowledger
    floors: FloorConfirmer
    router: Router
    scheduler: Scheduler
    connections: dict[str, InstanceConnections]
    timeline: Timeline
    metrics: Metrics
    workload: Workload = field(default_factory=Workload)
    transactions: TransactionRegistry = field(default_factory=TransactionRegistry)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    rng: random.Random = field(default_factory=random.Random)

    @contextlib.asynccontextmanager
    async def lease(self, ticket: Ticket) -> AsyncIterator[Lease]:
        """Check out a slot and a connection, and return both on exit.

        Raises:
            Overloaded: No slot was granted in time.
            NoTarget: The group had no primary in time, or the instance may no longer
                serve the request.
            TargetDown: The instance can't be reached.
        """
        grant = await self.scheduler.acquire(ticket)
        with grant:
            term = self.view.term
            if not ticket.may_run_on(grant.instance):
                raise NoTarget(f"{grant.instance} may no longer serve the request")
            connections = self.connections[grant.instance]
            conn = await self._connect(connections, grant.instance)
            try:
                await self._check_restart(ticket, grant.instance, conn)
                yield Lease(grant.instance, term, conn)
            finally:
                connections.release(conn)

    async def _connect(
        self, connections: InstanceConnections, instance: str
    ) -> TargetConn:
        try:
            return await connections.acquire()
        except TargetDown as exc:
            if exc.code != ER_CON_COUNT_ERROR:
                # A failed connect counts as a missed probe, so that other requests
                # avoid the instance. One at its connection limit is still alive.
                self.view.record_miss(instance)
            raise

    async def _check_restart(
        self, ticket: Ticket, instance: str, conn: TargetConn
    ) -> None:
        """Check the instance by a report that is no older than the connection.

        It may have restarted with an empty log since its latest report, and would
        then serve reads below their floors.

        Raises:
            NoTarget: The instance may no longer serve the request.
        """
        opened_at_s = self.connections[instance].opened_at_s(conn)
        if self.view.instances[instance].report_asked_at_s >= opened_at_s:
            return
        await self.sampler.sample(instance)
        if not ticket.may_run_on(instance):
            raise NoTarget(f"{instance} may no longer serve the request")

    async def wait_or_raise(self, exc: WasabipitchError, deadline_s: float) -> None:
        """Back off before a request is queued again, or raise its error.

        During a failover or switchover, a request that did not run is queued for the
        next primary, as long as its deadline allows.

        Raises:
            WasabipitchError: ``exc``, if it is not transient, the policy forbids the
                wait, or too little time is left.
        """
        if not self.policy.hold_over_failover or not is_transient(exc):
            raise exc
        wait_s = backoff_s(1, self.rng)
        if time.monotonic() + wait_s >= deadline_s:
            raise exc
        await asyncio.sleep(wait_s)

    def is_long(self, fingerprint: str, cls: RequestClass) -> bool:
        """Return whether a statement is declared or was observed to run long."""
        return cls.long or self.workload.is_long(fingerprint)


def is_transient(exc: WasabipitchError) -> bool:
    """Return whether an error may disappear once a new primary is established."""
    if isinstance(exc, TargetError):
        return exc.code == ER_OPTION_PREVENTS_STATEMENT
    return isinstance(exc, TargetDown | NoTarget)


async def run_until(conn: TargetConn, statement: str, deadline_s: float) -> Answer:
    """Run a statement until a monotonic deadline.

    Raises:
        TargetLost: The connection broke, or was closed at the deadline; the statement
            may have run.
        TargetError: The target refused the statement.
    """
    try:
        async with asyncio.timeout(deadline_s - time.monotonic()):
            return await conn.run(statement)
    except TimeoutError:
        conn.close()
        raise TargetLost("the deadline passed while the statement ran") from None
