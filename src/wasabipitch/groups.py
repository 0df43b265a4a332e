"""Everything that a pool runs to serve one database group."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from wasabipitch.acks import Acknowledger
from wasabipitch.connections import (
    InstanceConnections,
    connection_limit,
    keep_open,
)
from wasabipitch.deployment import Group, Policy, RequestClass
from wasabipitch.events import Timeline
from wasabipitch.exceptions import WasabipitchError
from wasabipitch.failover import Failover
from wasabipitch.floors import FloorConfirmer
from wasabipitch.health import SUSPECT_MISSES, Monitor, age_s
from wasabipitch.limits import Scheduler
from wasabipitch.links import describe_failure
from wasabipitch.linkserver import Exchange
from wasabipitch.messages import Execute, GroupState, InstanceState, Kind, Opinion
from wasabipitch.metrics import Metrics
from wasabipitch.models import Host
from wasabipitch.parts import GroupParts
from wasabipitch.reads import ReadRunner
from wasabipitch.routing import Router
from wasabipitch.sampling import SAMPLE_ERRORS, Sampler
from wasabipitch.store import Store
from wasabipitch.switchover import switch_primary, watch_leaving
from wasabipitch.targets import Connector
from wasabipitch.terms import TermAllocator
from wasabipitch.transaction_runner import TransactionRunner
from wasabipitch.view import GroupView, InstanceView
from wasabipitch.writes import WriteRunner

DISPATCH_INTERVAL_S = 0.1
REAP_INTERVAL_S = 1.0
PURGE_INTERVAL_S = 600.0
PURGE_CLASS = RequestClass(name="purge", weight=1)
DRAIN_POLL_S = 0.02
# Connections opened ahead on each instance, beyond those that are checked out and
# one for each slot.
SPARE_CONNECTIONS = 1

AskOpinions = Callable[[str, str], Awaitable[list[Opinion]]]


@dataclass(frozen=True)
class GroupContext:
    """What a pool provides to the servers of its groups.

    Args:
        host: The pool's own host entry.
        connector: Opens connections to the instances.
        store: The platform's key-value store.
        ask_opinions: Asks other pools whether they reach an instance; takes the
            names of the group and of the instance.
        get_rank: Returns this pool's rank among the owners of the named group.
        connection_share: The share of each instance's connections that this pool may
            open, between 0 and 1.
        timeline: Records events.
        metrics: Receives counts and gauges.
        rng: Adds jitter to waits and breaks ties.
    """

    host: Host
    connector: Connector
    store: Store
    ask_opinions: AskOpinions
    get_rank: Callable[[str], int]
    connection_share: float
    timeline: Timeline
    metrics: Metrics
    rng: random.Random


class GroupServer:
    """Serves one group: its connections, queue, health and failover.

    Args:
        group: The group as declared.
        policy: Says which rules are enabled.
        ctx: What the pool provides.
    """

    def __init__(self, group: Group, policy: Policy, ctx: GroupContext) -> None:
        self.group = group
        self.policy = policy
        self._ctx = ctx
        self.view = _make_view(group, ctx.connector)
        self.parts = _make_parts(self.view, policy, ctx)
        self._reads = ReadRunner(self.parts)
        self._writes = WriteRunner(self.parts)
        self._transactions = TransactionRunner(self.parts, self._writes)
        rank = partial(ctx.get_rank, group.name)
        self._monitor = Monitor(self.view, ctx.timeline, ctx.metrics, rank)
        self._failover = Failover(
            self.view,
            terms=TermAllocator(ctx.store, group.name),
            ask_opinions=partial(ctx.ask_opinions, group.name),
            rank=rank,
            timeline=ctx.timeline,
            metrics=ctx.metrics,
            enabled=lambda: policy.failover,
            quiesce=self._quiesce,
            rng=ctx.rng,
        )
        self._running = 0

    async def run(self) -> None:
        """Serve until cancelled, then close all connections."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            async with asyncio.TaskGroup() as tasks:
                for work in self._make_background_work():
                    tasks.create_task(work)

    async def execute(
        self, exchange: Exchange, req: Execute, cls: RequestClass
    ) -> None:
        """Run a caller's statement and send the answer, or the failure.

        Args:
            exchange: Sends the answer to the peer.
            req: The statement and its context.
            cls: The request class of the statement.
        """
        deadline_s = time.monotonic() + req.deadline_ms / 1000
        self._running += 1
        try:
            await self._run_statement(exchange, req, cls, deadline_s)
        except WasabipitchError as exc:
            self._count_failure(exc)
            in_transaction = self.parts.transactions.find(req.session) is not None
            await exchange.send(describe_failure(exc, in_transaction))
        finally:
            self._running -= 1

    def end_session(self, session: str) -> None:
        """Roll back the open transaction of a session that has ended."""
        self.parts.transactions.abort_session(session)

    def abort_peer_transactions(self, peer: object) -> None:
        """Roll back the transactions that were opened over a link that has closed."""
        for session in self.parts.transactions.abort_peer(peer):
            self._record("transaction.aborted", session, "the link closed")

    def set_leaving(self, names: frozenset[str]) -> None:
        """Set which instances are leaving; these get no new work."""
        for name, view in self.view.instances.items():
            if view.leaving != (name in names):
                view.leaving = name in names
                self._record("target.leaving", "", f"{name}: {view.leaving}")
        self.view.notify()

    def set_connection_share(self, share: float) -> None:
        """Set this pool's share of each instance's connections, between 0 and 1."""
        limit = connection_limit(self.group.connections, share)
        for connections in self.parts.connections.values():
            connections.limit = limit

    async def switch_over(self, to: str = "") -> str:
        """Perform a switchover.

        Args:
            to: The name of the instance to promote; empty for the best candidate.

        Returns:
            The name of the new primary.

        Raises:
            NoTarget: No switchover took place, or another instance than ``to`` was
                promoted.
        """
        return await switch_primary(self.view, self._failover, to)

    async def drain(self) -> None:
        """Wait until no request runs and no transaction is open."""
        while self._running or len(self.parts.transactions):
            await asyncio.sleep(DRAIN_POLL_S)

    async def probe_instance(self, instance: str) -> Opinion:
        """Request an instance's status now and return whether it answered."""
        if instance not in self.view.instances:
            return Opinion(instance, reachable=False)
        try:
            status = await self.parts.sampler.sample(instance)
        except SAMPLE_ERRORS:
            return Opinion(instance, reachable=False)
        return Opinion(instance, reachable=True, term=status.term)

    def describe(self, owner: str, rank: int) -> GroupState:
        """Return the group's state for ``ctl status``."""
        scheduler = self.parts.scheduler
        return GroupState(
            name=self.group.name,
            primary=self.view.primary,
            term=self.view.term,
            owner=owner,
            rank=rank,
            queued=scheduler.queued,
            running=scheduler.running,
            slots=self.group.slots * len(self.group.instances),
            instances=tuple(map(self._describe_instance, self.view.instances.values())),
            activity=self.view.activity,
        )

    async def _run_statement(
        self, exchange: Exchange, req: Execute, cls: RequestClass, deadline_s: float
    ) -> None:
        in_transaction = self.parts.transactions.find(req.session) is not None
        transactional = req.in_transaction or in_transaction
        if transactional or req.kind in (Kind.BEGIN, Kind.COMMIT, Kind.ROLLBACK):
            work = self._transactions.run(exchange.connection, req, cls, deadline_s)
            await exchange.send(await work)
        elif req.kind is Kind.READ:
            await self._reads.run(exchange, req, cls, deadline_s)
        else:
            await exchange.send(await self._writes.run(req, cls, deadline_s))

    def _make_background_work(self):
        yield self._monitor.run()
        yield self._failover.run()
        yield self._dispatch_on_change()
        yield self._reap_idle_transactions()
        yield self._purge_requests()
        yield watch_leaving(self.view, self._failover)
        if self.policy.open_ahead:
            for name in self.view.instances:
                count_wanted = partial(self._count_wanted_connections, name)
                yield keep_open(self.parts.connections[name], count_wanted)

    async def _dispatch_on_change(self) -> None:
        """Dispatch queued requests at each change of the view and at an interval.

        After a failover it also closes the connections to a former primary that no
        longer answers.
        """
        primary = self.view.primary
        while True:
            await self.view.wait_changed(DISPATCH_INTERVAL_S)
            self.parts.scheduler.dispatch()
            if self.view.primary not in ("", primary):
                self._close_lost_primary(primary)
                primary = self.view.primary

    def _close_lost_primary(self, name: str) -> None:
        """Fail the requests that wait for a replaced primary that no longer answers."""
        view = self.view.instances.get(name)
        if view is not None and view.misses >= SUSPECT_MISSES:
            self.parts.connections[name].reset()

    async def _reap_idle_transactions(self) -> None:
        """Roll back idle transactions and report gauges, at an interval."""
        while True:
            await asyncio.sleep(REAP_INTERVAL_S)
            for session in self.parts.transactions.abort_idle(time.monotonic()):
                self._record("transaction.aborted", session, "idle too long")
            self._report_gauges()

    @contextlib.asynccontextmanager
    async def _quiesce(self) -> AsyncIterator[None]:
        """Hold new writes back inside the context.

        The context is entered once all running writes and transactions have ended.
        """
        self.parts.router.writes_paused = True
        try:
            while not self.parts.acks.idle or len(self.parts.transactions):
                await asyncio.sleep(DRAIN_POLL_S)
            yield
        finally:
            self.parts.router.writes_paused = False
            self.parts.scheduler.dispatch()

    def _report_gauges(self) -> None:
        if self._is_standby():
            return
        name = self.group.name
        metrics = self._ctx.metrics
        metrics.gauge(f"group.{name}.primaries", int(bool(self.view.primary)))
        metrics.gauge(f"group.{name}.queued", self.parts.scheduler.queued)
        for view in self.view.instances.values():
            metrics.gauge(
                f"group.{name}.behind.{view.name}", self._count_lag_entries(view)
            )

    def _is_standby(self) -> bool:
        """Return whether another pool is the first owner, which reports and purges."""
        return self._ctx.get_rank(self.group.name) > 0

    def _count_lag_entries(self, view: InstanceView) -> int:
        primary = self.view.primary_view
        if primary is None:
            return 0
        return max(0, primary.position.index - view.position.index)

    async def _purge_requests(self) -> None:
        """Delete request ids whose retention has passed, at an interval."""
        while True:
            await asyncio.sleep(PURGE_INTERVAL_S)
            if self._is_standby():
                continue
            try:
                await self._writes.purge(PURGE_CLASS, self.group.request_retention_s)
            except WasabipitchError as exc:
                self._record("requests.purge_failed", "", exc.message)

    def _count_wanted_connections(self, name: str) -> int:
        view = self.view.instances[name]
        if view.leaving or not view.reachable:
            return 0
        connections = self.parts.connections[name]
        return connections.checked_out + SPARE_CONNECTIONS + self.group.slots

    def _describe_instance(self, view: InstanceView) -> InstanceState:
        status = view.status
        age = age_s(self.view, view.name, time.monotonic())
        return InstanceState(
            name=view.name,
            address=view.instance.address,
            data_centre=view.instance.data_centre,
            role=status.role if status else "unknown",
            term=status.term if status else 0,
            fence=status.fence if status else 0,
            position=view.position,
            reachable=view.reachable,
            member=status.member if status else False,
            leaving=view.leaving,
            lag_entries=self._count_lag_entries(view),
            age_ms=-1 if age is None else round(age * 1000),
            running=self.parts.scheduler.running_on(view.name),
            connections=self.parts.connections[view.name].open,
        )

    def _count_failure(self, exc: WasabipitchError) -> None:
        self._ctx.metrics.count(f"pool.failures.{exc.verdict.name.lower()}")
        self._ctx.metrics.count(f"pool.errors.{type(exc).__name__}")

    def _record(self, kind: str, session: str, detail: str) -> None:
        self._ctx.timeline.record(
            kind,
            group=self.group.name,
            session=session,
            term=self.view.term,
            detail=detail,
        )

    async def _close(self) -> None:
        self.parts.transactions.abort_all()
        await self.parts.acks.close()
        await self.parts.sampler.close()
        for connections in self.parts.connections.values():
            connections.close()
        for view in self.view.instances.values():
            await view.channel.close()


def _make_view(group: Group, connector: Connector) -> GroupView:
    views = {
        instance.name: InstanceView(
            instance=instance,
            channel=connector.open_control(instance.name, instance.endpoint),
            leaving=instance.leaving,
        )
        for instance in group.instances
    }
    return GroupView(group, views)


def _make_parts(view: GroupView, policy: Policy, ctx: GroupContext) -> GroupParts:
    group = view.group
    sampler = Sampler(view)
    connections = {
        instance.name: InstanceConnections(
            ctx.connector,
            instance.endpoint,
            group.name,
            connection_limit(group.connections, ctx.connection_share),
        )
        for instance in group.instances
    }
    slots = dict.fromkeys(view.instances, group.slots)
    router = Router(
        view,
        policy,
        ctx.host.data_centre,
        # The scheduler needs the router, so it is created after it.
        count_running=lambda name: scheduler.running_on(name),
        rng=ctx.rng,
    )
    scheduler = Scheduler(slots, policy, router.sort_by_cost, router.is_primary)
    return GroupParts(
        view=view,
        policy=policy,
        sampler=sampler,
        acks=Acknowledger(view, sampler),
        floors=FloorConfirmer(view, sampler),
        router=router,
        scheduler=scheduler,
        connections=connections,
        timeline=ctx.timeline,
        metrics=ctx.metrics,
        rng=ctx.rng,
    )
