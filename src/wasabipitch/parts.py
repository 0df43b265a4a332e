"""What the runners of one group's requests share."""

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
from wasabipitch.transactions import TransactionBook
from wasabipitch.view import GroupView
from wasabipitch.workload import Workload


@dataclass(frozen=True)
class Lease:
    """A slot and a connection on one instance, for one piece of work.

    Args:
        term: the established term when the slot was granted.
    """

    instance: str
    term: int
    conn: TargetConn


@dataclass(frozen=True)
class GroupParts:
    """The parts of one served group."""

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
    transactions: TransactionBook = field(default_factory=TransactionBook)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    rng: random.Random = field(default_factory=random.Random)

    @contextlib.asynccontextmanager
    async def lease(self, ticket: Ticket) -> AsyncIterator[Lease]:
        """Wait for a slot and a connection; give both back on leaving.

        Raises:
            Overloaded: no slot came free in time.
            NoTarget: the instance may no longer serve the request.
            TargetDown: the instance can't be reached.
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
                # As good as a missed probe: it keeps others from trying.
                self.view.record_miss(instance)
            raise

    async def _check_restart(
        self, ticket: Ticket, instance: str, conn: TargetConn
    ) -> None:
        """Judge the instance by a report that is no older than the connection.

        It may have restarted empty since the latest report, and would then
        serve reads below their floors.
        """
        opened_at_s = self.connections[instance].opened_at_s(conn)
        if self.view.instances[instance].report_asked_at_s >= opened_at_s:
            return
        await self.sampler.sample(instance)
        if not ticket.may_run_on(instance):
            raise NoTarget(f"{instance} may no longer serve the request")

    async def hold(self, exc: WasabipitchError, deadline_s: float) -> None:
        """Wait a little before a request queues again, or raise the error.

        A request that did not run because its primary is going or gone waits
        for the next one in the queue, as long as its deadline allows.
        """
        if not self.policy.hold_over_failover or not is_passing(exc):
            raise exc
        wait_s = backoff_s(1, self.rng)
        if time.monotonic() + wait_s >= deadline_s:
            raise exc
        await asyncio.sleep(wait_s)

    def is_long(self, mark: str, cls: RequestClass) -> bool:
        """Return whether a statement is declared or learnt to run long."""
        return cls.long or self.workload.is_long(mark)


def is_passing(exc: WasabipitchError) -> bool:
    """Return whether an error may pass with the change of primary."""
    if isinstance(exc, TargetError):
        return exc.code == ER_OPTION_PREVENTS_STATEMENT
    return isinstance(exc, TargetDown | NoTarget)


async def run_until(conn: TargetConn, statement: str, deadline_s: float) -> Answer:
    """Run a statement up to a monotonic deadline.

    Raises:
        TargetLost: the connection broke, or the deadline passed and it was
            closed; the statement may have run.
    """
    try:
        async with asyncio.timeout(deadline_s - time.monotonic()):
            return await conn.run(statement)
    except TimeoutError:
        conn.close()
        raise TargetLost("the deadline passed while the statement ran") from None
