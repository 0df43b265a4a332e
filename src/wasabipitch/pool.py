"""The pool process, which serves the database groups that it owns.

The live pools are ranked for each group; the pool of rank 0 is the group's first
owner.
"""

import asyncio
import contextlib
import logging
import random
import time
import uuid
from dataclasses import dataclass, replace

from wasabipitch.configuration import ConfigurationKeeper
from wasabipitch.control import ControlServer
from wasabipitch.deployment import Deployment, Group
from wasabipitch.events import Timeline
from wasabipitch.exceptions import NotOwner, Stopping, WasabipitchError
from wasabipitch.groups import GroupContext, GroupServer
from wasabipitch.hosts import Membership
from wasabipitch.links import Cuts
from wasabipitch.linkserver import Exchange, LinkConnection, LinkServer
from wasabipitch.messages import (
    AskOpinion,
    Done,
    EndSession,
    Execute,
    Opinion,
    ProcessState,
    Switchover,
)
from wasabipitch.metrics import StatsdMetrics
from wasabipitch.models import Address, Host
from wasabipitch.mysql_targets import MysqlConnector
from wasabipitch.settings import PoolSettings
from wasabipitch.store import PlatformStore, Store

OPINION_TIMEOUT_S = 0.3
MAX_PEERS_ASKED = 2
# Under the pooling policy "owner", only the first two owners serve a group; other
# pools refuse its requests with NotOwner.
SERVING_RANKS = 2
# The share of an instance's connections for the first owner; the second gets the
# rest. Two pools that both act as the first owner still can't exceed
# the instance's limit, since the instance enforces it.
FIRST_OWNER_SHARE = 0.75
RECONCILE_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


@dataclass
class RunningGroup:
    """The server of a group and the task that runs it."""

    server: GroupServer
    task: asyncio.Task


class Pool:
    """One pool process, from its start to its graceful stop.

    Args:
        cfg: The settings of the process.
    """

    def __init__(self, cfg: PoolSettings) -> None:
        self.cfg = cfg
        self.cuts = Cuts()
        self.timeline = Timeline(cfg.host)
        self.metrics = _make_metrics(cfg)
        self.incarnation = uuid.uuid4().hex[:12]
        self._stack = contextlib.AsyncExitStack()
        self._running_groups: dict[str, RunningGroup] = {}
        self._stopping = False
        self._started_s = time.monotonic()
        self._changed = asyncio.Event()
        self._rng = random.Random()

    async def start(self) -> Host:
        """Start serving.

        Returns:
            The host entry under which other processes know this one.
        """
        cfg = self.cfg
        self._links = LinkServer(
            self._handle,
            self.timeline.clock,
            on_peer_lost=self._handle_lost_peer,
            cuts=self.cuts,
        )
        address = await self._links.start(cfg.link_address)
        self._stack.push_async_callback(self._links.close)
        self.host = Host(cfg.host, "pool", str(address), cfg.data_centre)
        self._store = PlatformStore(Address.parse(cfg.platform), metrics=self.metrics)
        self._stack.push_async_callback(self._store.close)
        self._join_peers(self._store)
        self._start_task(self._reconcile())
        return self.host

    async def stop(self) -> None:
        """Refuse new work, wait for the work in progress, then close.

        The wait ends after the setting ``stop_timeout_s`` at the latest.
        """
        self._stopping = True
        self.timeline.record("process.stopping")
        await self._membership.leave()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.cfg.stop_timeout_s):
                await asyncio.gather(
                    *(s.server.drain() for s in self._running_groups.values())
                )
        for name in list(self._running_groups):
            await self._stop_group(name)
        await self._stack.aclose()

    def describe_ready(self) -> dict[str, str]:
        """Return the fields that the ready line has in addition to the common ones."""
        return {"data_centre": self.cfg.data_centre}

    def describe(self) -> ProcessState:
        """Return this process's state for ``ctl status``."""
        groups = []
        for name, running_group in self._running_groups.items():
            owners = self._membership.owners(name)
            owner = owners[0].name if owners else ""
            rank = self._membership.rank(name)
            groups.append(running_group.server.describe(owner, rank))
        return ProcessState(
            host=self.host,
            revision=self._keeper.revision,
            uptime_s=round(time.monotonic() - self._started_s, 3),
            stopping=self._stopping,
            groups=tuple(groups),
            counters=dict(self.metrics.counters),
        )

    def _join_peers(self, store: Store) -> None:
        self._membership = Membership(
            self.host,
            store,
            timeline=self.timeline,
            cuts=self.cuts,
            incarnation=self.incarnation,
            metrics=self.metrics,
        )
        self._keeper = ConfigurationKeeper(
            store,
            self.cfg.configuration_key,
            timeline=self.timeline,
            membership=self._membership,
            metrics=self.metrics,
        )
        self._control = ControlServer(
            self.timeline,
            describe=self.describe,
            keeper=self._keeper,
            membership=self._membership,
            cuts=self.cuts if self.cfg.fault_injection else None,
        )
        self._control.register(AskOpinion, self._answer_opinion_request)
        self._control.register(EndSession, self._end_session)
        self._control.register(Switchover, self._switch_over)
        self._keeper.subscribe(lambda *_: self._changed.set())
        self._membership.subscribe(lambda *_: self._changed.set())
        self._start_task(self._membership.run())
        self._start_task(self._keeper.run())

    def _start_task(self, work) -> None:
        task = asyncio.create_task(work)
        self._stack.push_async_callback(_cancel, task)

    async def _handle(self, exchange: Exchange):
        if isinstance(exchange.message, Execute):
            await self._execute(exchange, exchange.message)
            return None
        return await self._control.handle(exchange)

    async def _execute(self, exchange: Exchange, req: Execute) -> None:
        deployment = self._keeper.current
        if deployment is None:
            raise NotOwner(f"{self.host.name} has no configuration yet")
        group = deployment.group(req.group)
        cls = deployment.request_class(req.request_class)
        server = self._find_server(group, deployment, req)
        await server.execute(exchange, req, cls)

    def _find_server(
        self, group: Group, deployment: Deployment, req: Execute
    ) -> GroupServer:
        running_group = self._running_groups.get(group.name)
        if running_group is not None and self._has_open_transaction(
            running_group.server, req
        ):
            return running_group.server
        if self._stopping:
            raise Stopping(f"{self.host.name} is stopping")
        if running_group is None:
            if not self._serves(group.name, deployment):
                raise NotOwner(f"{self.host.name} does not serve group {group.name}")
            running_group = self._start_group(group, deployment)
        return running_group.server

    def _has_open_transaction(self, server: GroupServer, req: Execute) -> bool:
        """Return whether the request's session has an open transaction here."""
        return server.parts.transactions.find(req.session) is not None

    def _serves(self, name: str, deployment: Deployment) -> bool:
        if deployment.policy.pooling == "entry":
            return True
        return self._membership.rank(name) < SERVING_RANKS

    async def _reconcile(self) -> None:
        while True:
            self._changed.clear()
            deployment = self._keeper.current
            if deployment is not None and not self._stopping:
                try:
                    await self._apply(deployment)
                except Exception:
                    logger.exception(
                        "can't apply configuration revision %d", self._keeper.revision
                    )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RECONCILE_INTERVAL_S):
                    await self._changed.wait()

    async def _apply(self, deployment: Deployment) -> None:
        wanted = {
            group.name: group
            for group in deployment.groups
            if self._serves(group.name, deployment)
        }
        for name, running_group in list(self._running_groups.items()):
            group = wanted.get(name)
            changed = group is not None and _needs_restart(
                running_group.server, group, deployment
            )
            if group is None or changed or running_group.task.done():
                await self._drain_and_stop_group(name)
        for name, group in wanted.items():
            if name not in self._running_groups:
                self._start_group(group, deployment)
            server = self._running_groups[name].server
            server.set_leaving(self._find_leaving_instances(group))
            server.set_connection_share(
                self._compute_connection_share(name, deployment)
            )

    def _find_leaving_instances(self, group: Group) -> frozenset[str]:
        leaving = {h.name for h in self._membership.leaving("target")}
        declared = {i.name for i in group.instances if i.leaving}
        return frozenset(leaving | declared)

    def _start_group(self, group: Group, deployment: Deployment) -> RunningGroup:
        ctx = GroupContext(
            host=self.host,
            connector=MysqlConnector(
                self.cfg.target_user or self.cfg.host, self.cfg.target_password
            ),
            store=self._store,
            ask_opinions=self._ask_opinions,
            get_rank=self._membership.rank,
            connection_share=self._compute_connection_share(group.name, deployment),
            timeline=self.timeline,
            metrics=self.metrics,
            rng=self._rng,
        )
        server = GroupServer(group, deployment.policy, ctx)
        running_group = RunningGroup(server, asyncio.create_task(server.run()))
        self._running_groups[group.name] = running_group
        self.timeline.record("group.served", group=group.name)
        return running_group

    def _compute_connection_share(self, name: str, deployment: Deployment) -> float:
        if deployment.policy.pooling == "entry":
            return 1 / max(1, len(self._membership.live("pool")))
        rank = self._membership.rank(name)
        return FIRST_OWNER_SHARE if rank == 0 else 1 - FIRST_OWNER_SHARE

    async def _drain_and_stop_group(self, name: str) -> None:
        running_group = self._running_groups[name]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.cfg.stop_timeout_s):
                await running_group.server.drain()
        await self._stop_group(name)

    async def _stop_group(self, name: str) -> None:
        running_group = self._running_groups.pop(name)
        await _cancel(running_group.task)
        self.timeline.record("group.released", group=name)

    async def _handle_lost_peer(self, connection: LinkConnection) -> None:
        for running_group in self._running_groups.values():
            running_group.server.abort_peer_transactions(connection)

    async def _ask_opinions(self, group: str, instance: str) -> list[Opinion]:
        peers = [h for h in self._membership.owners(group) if h.name != self.host.name]
        # Peers in other data centres are asked first, since they reach the instance
        # over another part of the network.
        peers.sort(key=lambda h: h.data_centre == self.host.data_centre)
        questions = [
            self._ask_opinion(peer, group, instance) for peer in peers[:MAX_PEERS_ASKED]
        ]
        answers = await asyncio.gather(*questions)
        return [a for a in answers if a is not None]

    async def _ask_opinion(
        self, peer: Host, group: str, instance: str
    ) -> Opinion | None:
        link = self._membership.links.find(peer)
        try:
            return await link.call(AskOpinion(group, instance), OPINION_TIMEOUT_S)
        except WasabipitchError:
            return None

    async def _answer_opinion_request(self, exchange: Exchange) -> Opinion:
        question = exchange.message
        running_group = self._running_groups.get(question.group)
        if running_group is None:
            raise NotOwner(f"{self.host.name} does not serve group {question.group}")
        return await running_group.server.probe_instance(question.instance)

    async def _end_session(self, exchange: Exchange) -> Done:
        for running_group in self._running_groups.values():
            running_group.server.end_session(exchange.message.session)
        return Done()

    async def _switch_over(self, exchange: Exchange) -> Done:
        switchover = exchange.message
        running_group = self._running_groups.get(switchover.group)
        if running_group is None:
            raise NotOwner(f"{self.host.name} does not serve group {switchover.group}")
        return Done(await running_group.server.switch_over(switchover.to))


def _needs_restart(server: GroupServer, group: Group, deployment: Deployment) -> bool:
    """Return whether more has changed than which instances are leaving."""
    if server.policy != deployment.policy:
        return True
    return _without_leaving(server.group) != _without_leaving(group)


def _without_leaving(group: Group) -> Group:
    instances = tuple(replace(i, leaving=False) for i in group.instances)
    return replace(group, instances=instances)


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def _make_metrics(cfg: PoolSettings) -> StatsdMetrics:
    address = cfg.statsd.address
    return StatsdMetrics(Address.parse(address) if address else None, cfg.statsd.prefix)
