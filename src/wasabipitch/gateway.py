"""The process that runs on each host: it serves callers and runs failovers.

The hosts need no control machines; they coordinate through the platform's store.
"""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable, Coroutine

import msgspec

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.agreement import RecordAgreement
from wasabipitch.coordination.checks import SharedChecks
from wasabipitch.coordination.directory import Directory
from wasabipitch.coordination.documents import (
    NAMED_KEY,
    Configuration,
    DocumentDecoder,
    HostRecord,
)
from wasabipitch.coordination.following import ChangeFollower
from wasabipitch.coordination.live_hosts import HOST_ROLE, LiveHosts
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.registration import HostRegistration
from wasabipitch.coordination.relay import RelayedStore, answer
from wasabipitch.coordination.store import CoordinationStore, Promoter
from wasabipitch.events import Clock
from wasabipitch.exceptions import LinkError, StoreError
from wasabipitch.front.budget import MemoryBudget
from wasabipitch.front.server import CallerServer
from wasabipitch.group.assembly import HostGroups
from wasabipitch.group.remote import StatementService
from wasabipitch.linkserver import Exchange, LinkServer
from wasabipitch.messages import Done, EndSession, Hello, Message
from wasabipitch.models import Address, Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.listeners import ListenerLog
from wasabipitch.operations.logwriter import LogWriter
from wasabipitch.operations.measures import Gauge, Measures
from wasabipitch.operations.statusserver import make_metrics_server, make_status_server
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import (
    AskAgreement,
    AskChanges,
    AskConnections,
    AskHead,
    AskPosition,
    AskRecord,
    AskStoreHead,
    RunStatement,
    StatementReply,
    StoreCall,
)
from wasabipitch.policy.memory_budget import (
    SMALL_BYTES,
    STATEMENT_COPIES,
    make_plan,
)
from wasabipitch.wire.codecs import CallerCodec, InstanceCodec

# With up to this many hosts, changes are rare and each host reads them at once.
MAX_WATCHING_HOSTS = 12
# Each watch is one call to the store, so with more hosts the changes of this time are
# read together.
WATCH_BATCH_S = 0.1
# The hosts of a large fleet start together, and each makes several changes then.
STARTING_S = 3.0
STARTING_WATCH_BATCH_S = 0.25
# A host is not ready for new callers once its records were not confirmed for this
# long: two checks have failed, and its read leases will soon expire.
MAX_READY_AGE_S = 1.6
HOUSEKEEPING_INTERVAL_S = 0.25
# The platform's entry stops sending callers after two failed health checks, which are
# one second apart.
OUT_OF_ROTATION_S = 2.4
DRAIN_POLL_S = 0.1
# Open transactions are aborted after this share of the grace period.
TRANSACTION_GRACE_SHARE = 0.5
# The entry may still send callers if few hosts are left. They are refused after this
# share of the grace period, so that the last statements can end.
ACCEPTING_GRACE_SHARE = 0.6
# The end of the grace period that is kept free for closing.
CLOSE_MARGIN_S = 0.8


class QuotaTolerance(msgspec.Struct, frozen=True):
    """How far the operations of a client account may exceed its limit.

    In any window, at most ``(rate * window_s + burst) * (1 + excess) + slack`` of an
    account's operations may reach instances.

    Args:
        window_s: The length of the window, in seconds.
        excess: The share by which the limit may be exceeded.
        slack: The number of operations by which it may be exceeded besides.
    """

    window_s: float = 5.0
    excess: float = 0.0
    slack: float = 0.0


class HostResources(msgspec.Struct, frozen=True):
    """What a host's machine allows its process.

    Args:
        cores: The processor time, in cores of normal speed.
        link_mbps: The bandwidth of the network link, in Mbit/s, or 0 if unknown.
        memory_bytes: The limit on the process's memory, or 0 if there is none.
        max_descriptors: The limit on its open descriptors, or 0 if there is none.
    """

    cores: float = 0.0
    link_mbps: float = 0.0
    memory_bytes: int = 0
    max_descriptors: int = 0


class GatewaySettings(msgspec.Struct, frozen=True):
    """The settings of one host.

    Args:
        host: The host's name.
        data_centre: The host's data centre.
        checks: The address on which it answers health checks.
        metrics: The address on which it serves metrics, or None.
        links: The address on which it accepts links from its peers.
        seeds: The link addresses of some peers, which may be down.
        store: The address of the platform's store.
        promoter: The address that takes orders to promote an instance.
        grace_s: The time from the order to stop until the process must have ended.
        revocation_s: The time within which a withdrawn key must be refused, on every
            host, or None if only hosts in touch with the store have to refuse it.
        quota: How far a client account may exceed its limit.
        resources: What the machine allows this process.
    """

    host: str
    data_centre: str
    checks: Address
    metrics: Address | None
    links: Address
    seeds: tuple[Address, ...]
    store: Address
    promoter: Address
    grace_s: float
    revocation_s: float | None = None
    quota: QuotaTolerance = QuotaTolerance()
    resources: HostResources = HostResources()


class Adapters(msgspec.Struct, frozen=True):
    """The adapters between the gateway and the platform's protocols.

    Args:
        callers: Decodes and encodes the protocol of callers.
        instances: Decodes and encodes the protocol of instances.
        documents: Decodes the documents in the store.
        store: The client of the store.
        promoter: Orders promotions of instances.
    """

    callers: CallerCodec
    instances: InstanceCodec
    documents: DocumentDecoder
    store: CoordinationStore
    promoter: Promoter


class Gateway:
    """Serves callers on one host and takes part in the failovers of its groups.

    Args:
        cfg: The host's settings.
        adapters: The adapters for the platform's protocols.
        writer: Writes the log in the background, or None.
    """

    def __init__(
        self, cfg: GatewaySettings, adapters: Adapters, writer: LogWriter | None
    ) -> None:
        self._cfg = cfg
        self._adapters = adapters
        self._writer = writer
        self.measures = Measures(self._read_gauges)
        self.decisions = DecisionLog(cfg.host, writer, self.measures)
        incarnation = f"{cfg.host}.{os.urandom(4).hex()}"
        record = HostRecord(
            cfg.host,
            cfg.data_centre,
            incarnation,
            str(cfg.links),
            cfg.resources.cores,
            cfg.resources.link_mbps,
        )
        clock = Clock()
        host = Host(cfg.host, HOST_ROLE, str(cfg.links), cfg.data_centre)
        self.links = PeerLinks(Hello(host, incarnation), clock)
        self._service = StatementService(
            lambda name: self.groups.find_local_runner(name)
        )
        self._link_server = LinkServer(
            self._answer_peer,
            clock,
            on_peer_lost=self._service.end_all,
            on_closed=self._record_closures_of("peers"),
        )
        self._build_coordination(host, record)
        self._build_service(host)
        self._loop_delay_s = 0.0
        self._started_at_s = now_s()
        self._stopping = False
        # Idle sessions are closed once for each time that the host is isolated.
        self._closed_while_isolated = False
        self._stack = contextlib.AsyncExitStack()

    def _build_coordination(self, host: Host, record: HostRecord) -> None:
        """Create the components that coordinate the hosts over store and links."""
        self._store = RelayedStore(
            self._adapters.store, self.links, self._list_peers, self.decisions
        )
        self._mirror = StoreMirror(self._store, self.decisions)
        self.registration = HostRegistration(self._store, self._mirror, record)
        self._live_hosts = LiveHosts(
            self._mirror, lambda: self.groups.rebalance_connections()
        )
        self._agreement = RecordAgreement(
            host,
            self.links,
            lambda: self._live_hosts.list_peers(self._cfg.host),
            lambda: self._mirror.head_revision,
            lambda: self._mirror.store_confirmed_at_s,
            self._live_hosts.count_names,
        )
        self._shared_checks = SharedChecks(
            host,
            self._store,
            self.links,
            lambda: self._live_hosts.list_peers(self._cfg.host),
        )
        self._mirror.read_head_shared = self._shared_checks.read
        self._mirror.read_pause_s = self._get_watch_delay_s
        self._mirror.confirm_among_hosts = self._agreement.confirm
        self._follower = ChangeFollower(
            host,
            self._store,
            self._mirror.history,
            self.links,
            self._live_hosts.find_data_centres,
            self._live_hosts.find_host,
            MAX_WATCHING_HOSTS,
            self.decisions,
        )
        self._mirror.follower = self._follower
        self._directory = Directory(
            self._mirror,
            self._adapters.documents,
            self.decisions,
            lambda configuration: self.groups.apply_configuration(configuration),
            lambda name: self.groups.update_group(name),
        )

    def _build_service(self, host: Host) -> None:
        """Create the components that serve callers, health checks and metrics."""
        self.groups = HostGroups(
            host,
            self._adapters.instances,
            self._store,
            self._adapters.promoter,
            self._mirror,
            self.registration,
            self._live_hosts,
            self.links,
            self.decisions,
            self._directory.list_instances,
        )
        resources = self._cfg.resources
        plan = make_plan(resources.memory_bytes, resources.max_descriptors)
        self._budget = MemoryBudget(plan, self.decisions, self.measures)
        self._caller_server = CallerServer(
            self._adapters.callers,
            self.decisions,
            lambda: self._directory.configuration,
            self.groups.find_runner,
            self.measures,
            self._budget,
        )
        self._status_server = make_status_server(
            self._is_ready, self._record_closures_of("checks")
        )
        self._metrics_server = make_metrics_server(
            self.measures.render, self._record_closures_of("metrics")
        )

    def _record_closures_of(self, listener: str) -> Callable[..., None]:
        return ListenerLog(listener, self.decisions, self.measures).record_closed

    async def start(self, callers: socket.socket) -> None:
        """Start serving; callers are answered once the store has been read.

        Args:
            callers: A listening socket for callers.
        """
        self.decisions.belief(
            "started",
            data_centre=self._cfg.data_centre,
            incarnation=self.registration.record.incarnation,
        )
        if self._writer is not None:
            self._run_task(self._writer.run)
        await self._status_server.start(self._cfg.checks)
        self._stack.push_async_callback(self._status_server.close)
        if self._cfg.metrics is not None:
            await self._metrics_server.start(self._cfg.metrics)
            self._stack.push_async_callback(self._metrics_server.close)
        await self._link_server.start(self._cfg.links)
        self._stack.push_async_callback(self._link_server.close)
        self._stack.push_async_callback(self.links.close)
        await self._caller_server.start(callers)
        self._stack.push_async_callback(self._caller_server.close)
        for start in (
            self._mirror.run,
            self._mirror.run_checks,
            self.registration.run,
            self._run_housekeeping,
            self._budget.run,
        ):
            self._run_task(start)

    async def stop(self) -> None:
        """Drain callers within the grace period, then close.

        New callers are still accepted at first, until the entry has stopped sending
        them.
        """
        started_s = now_s()
        self._stopping = True
        self.decisions.belief("stopping", busy=self._caller_server.busy)
        await self._drain(started_s)
        self._caller_server.stop_accepting()
        with contextlib.suppress(StoreError, TimeoutError):
            async with asyncio.timeout(0.3):
                await self.registration.leave()
        # Statements that were accepted in the meantime are answered, too.
        await self._drain(started_s)
        self.decisions.belief("stopped", busy=self._caller_server.busy)
        await self.close()

    async def close(self) -> None:
        """Close all connections and stop all tasks without draining."""
        self.groups.close()
        await self._stack.aclose()

    @property
    def configuration(self) -> Configuration | None:
        """The operator's configuration in force."""
        return self._directory.configuration

    async def _drain(self, started_s: float) -> None:
        grace_s = self._cfg.grace_s
        while True:
            elapsed_s = now_s() - started_s
            if elapsed_s > grace_s - CLOSE_MARGIN_S:
                return
            if elapsed_s > grace_s * TRANSACTION_GRACE_SHARE:
                self._caller_server.abort_transactions()
            if elapsed_s > grace_s * ACCEPTING_GRACE_SHARE:
                self._caller_server.stop_accepting()
            if elapsed_s > OUT_OF_ROTATION_S:
                self._caller_server.close_idle()
                if not self._caller_server.busy:
                    return
            await asyncio.sleep(DRAIN_POLL_S)

    def _run_task(self, start: Callable[[], Coroutine]) -> None:
        task = tasks.spawn_supervised(start, start.__qualname__)
        self._stack.push_async_callback(tasks.cancel, task)

    async def _run_housekeeping(self) -> None:
        while True:
            self._directory.drop_missing()
            self._live_hosts.announce_changes()
            self._close_idle_if_isolated()
            await self._prune_names()
            started_s = now_s()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._loop_delay_s = max(0.0, now_s() - started_s - HOUSEKEEPING_INTERVAL_S)

    def _close_idle_if_isolated(self) -> None:
        """Close idle sessions once, if this host is isolated from the store and peers.

        An isolated host can serve almost nothing, and a session can't move to another
        host while it is open. The sessions are closed only after the entry has taken
        the host out of rotation. Callers that connect afterwards are kept, because the
        entry has no other host for them.
        """
        confirmed_s = self._mirror.confirmed_at_s
        confirmed = now_s() - confirmed_s < MAX_READY_AGE_S + OUT_OF_ROTATION_S
        if confirmed or not confirmed_s or self._stopping:
            # The host can serve, has never read the store, or is draining already.
            self._closed_while_isolated = False
        elif not self._closed_while_isolated:
            self._closed_while_isolated = True
            self.decisions.belief(
                "callers sent away", sessions=len(self._caller_server.sessions)
            )
            self._caller_server.close_idle()

    async def _prune_names(self) -> None:
        keys = self._live_hosts.find_stale_names(self._cfg.host)
        if not keys:
            return
        try:
            await self._store.commit({}, {NAMED_KEY: b"null"}, keys)
        except StoreError as exc:
            self.decisions.routine("names not pruned", reason=str(exc))

    def _list_peers(self) -> list[Host]:
        peers = self._live_hosts.list_peers(self._cfg.host)
        if peers:
            return peers
        return [
            Host(str(seed), HOST_ROLE, str(seed), "")
            for seed in self._cfg.seeds
            if seed != self._cfg.links
        ]

    async def _answer_peer(self, exchange: Exchange) -> Message:
        match exchange.message:
            case AskConnections(group, instance):
                self.groups.close_unused_connections(group, instance)
                return Done()
            case RunStatement() as statement:
                return await self._run_for_peer(exchange.connection, statement)
            case EndSession(session):
                self._service.end(exchange.connection, session)
                return Done()
        return await self._answer_question(exchange.message)

    async def _run_for_peer(
        self, connection: object, statement: RunStatement
    ) -> StatementReply:
        """Run a peer's statement once there is memory for it."""
        size = statement.count_bytes()
        if size < SMALL_BYTES:
            return await self._service.run(connection, statement)
        cost = STATEMENT_COPIES * size
        if not await self._budget.admit(cost):
            reason = "no memory is left for the statement"
            return self._service.refuse(connection, statement, reason)
        try:
            return await self._service.run(connection, statement)
        finally:
            self._budget.release(cost)

    async def _answer_question(self, message: Message) -> Message:
        """Answer a peer's question about the store or a group."""
        match message:
            case StoreCall() as call:
                return await answer(
                    self._adapters.store, call, self._mirror.is_reachable
                )
            case AskHead():
                return self._agreement.answer_head()
            case AskAgreement() as ask:
                return await self._agreement.answer(ask)
            case AskStoreHead():
                return await self._shared_checks.answer()
            case AskChanges() as ask:
                return await self._follower.answer(ask)
            case AskPosition(group):
                return self.groups.report_position(group)
            case AskRecord(group):
                return self.groups.report_record(group)
        raise LinkError(f"unexpected message {type(message).__name__}")

    def _read_gauges(self) -> list[Gauge]:
        confirmed_s = now_s() - self._mirror.confirmed_at_s
        return [
            Gauge("sessions", (), len(self._caller_server.sessions)),
            Gauge("hosts", (), len(self._live_hosts.hosts)),
            Gauge("loop_delay_seconds", (), self._loop_delay_s),
            Gauge("store_epoch", (), self._mirror.epoch),
            Gauge("records_confirmed_age_seconds", (), confirmed_s),
            *self._budget.read_gauges(),
            *self.groups.read_gauges(),
        ]

    def _is_ready(self) -> bool:
        if self._stopping or self._directory.configuration is None:
            return False
        confirmed = now_s() - self._mirror.confirmed_at_s < MAX_READY_AGE_S
        return self.groups.have_records and confirmed

    def _get_watch_delay_s(self) -> float:
        hosts = max(len(self._live_hosts.hosts), self._live_hosts.count_names())
        if hosts <= MAX_WATCHING_HOSTS:
            return 0.0
        if now_s() - self._started_at_s < STARTING_S:
            return STARTING_WATCH_BATCH_S
        return 0.0 if self._follower.is_following else WATCH_BATCH_S
