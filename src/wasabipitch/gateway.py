"""The process that runs on each host: it serves callers and runs failovers.

The hosts need no control machines; they coordinate through the platform's store.
"""

import asyncio
import contextlib
import os
import random
import socket
from collections.abc import Callable, Coroutine

import msgspec
from msgspec.structs import replace

from wasabipitch import tasks
from wasabipitch.accounts.authentication import Authentication
from wasabipitch.accounts.counting import TokenCounter
from wasabipitch.accounts.limits import AccountLimits
from wasabipitch.clock import now_s
from wasabipitch.coordination.agreement import RecordAgreement
from wasabipitch.coordination.checks import SharedChecks
from wasabipitch.coordination.currency import CopyCurrency
from wasabipitch.coordination.directory import Directory
from wasabipitch.coordination.distribution import ConfigurationDistribution
from wasabipitch.coordination.documents import (
    NAMED_KEY,
    OWN_PREFIX,
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
from wasabipitch.messages import Done, Hello, Message
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
    AskConfiguration,
    AskConnections,
    AskHead,
    AskPosition,
    AskRecord,
    AskStoreHead,
    AskTokens,
    EndTransaction,
    RunStatement,
    StatementReply,
    StoreCall,
)
from wasabipitch.policy.locality import DEFAULT_CROSSING_COST_S
from wasabipitch.policy.memory_budget import (
    SMALL_BYTES,
    STATEMENT_COPIES,
    make_plan,
)
from wasabipitch.policy.token_bucket import QuotaTolerance
from wasabipitch.wire.codecs import CallerCodec, InstanceCodec

# With up to this many hosts, changes are rare and each host reads them at once.
MAX_WATCHING_HOSTS = 12
# Each watch is one call to the store, so with more hosts the changes of this time are
# read together.
WATCH_BATCH_S = 0.1
# The hosts of a large fleet start together, and each makes several changes then.
STARTING_S = 3.0
# On a link of up to this bandwidth, a listing of more bytes than this is broken off and
# made without the configuration: it would take 0.2 s or more of the first second. The
# own records of 128 hosts and their instances have some 150 KB.
SLOW_LINK_MBPS = 20.0
MAX_LISTING_BYTES = 384 * 1024
# The peers besides the watchers that a host asks for a configuration at a time.
OTHER_SOURCES = 2
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
        crossing_cost_s: The response time that a caller gives up to save a crossing
            between data centres; see ``policy.locality``.
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
    crossing_cost_s: float = DEFAULT_CROSSING_COST_S


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
        self._currency = CopyCurrency(self._cfg.revocation_s is not None)
        self._mirror = StoreMirror(self._store, self.decisions, self._currency)
        self._mirror.configuration_key = self._adapters.documents.configuration_key
        self._mirror.other_prefixes = (
            self._adapters.documents.instances_prefix,
            OWN_PREFIX,
        )
        if 0 < self._cfg.resources.link_mbps <= SLOW_LINK_MBPS:
            self._mirror.max_listing_bytes = MAX_LISTING_BYTES
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
            self._currency,
            self._list_peers,
            self._live_hosts.find_strong_hosts,
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
            self._live_hosts.find_strong_hosts,
        )
        self._mirror.follower = self._follower
        self._build_limits()
        self._directory = Directory(
            self._mirror,
            self._adapters.documents,
            self.decisions,
            self._apply_configuration,
            lambda name: self.groups.update_group(name),
        )
        self._distribution = ConfigurationDistribution(
            self._mirror,
            self._adapters.documents,
            self._store,
            self.links,
            self._list_configuration_sources,
            lambda: self._is_in_small_fleet() or self._follower.is_watcher,
            self._directory.put_in_force,
            self._cfg.resources.link_mbps,
            self.decisions,
            self.measures,
        )
        self._directory.on_large_configuration = self._distribution.offer_value

    def _build_limits(self) -> None:
        """Create the components that count the operations of accounts."""
        counter = TokenCounter(
            self._cfg.host, self.registration, self._mirror.currency, self._cfg.quota
        )
        self._limits = AccountLimits(
            self._cfg.host,
            counter,
            self.links,
            self._live_hosts.find_host,
            lambda: self._directory.configuration,
            self.decisions,
            self.measures,
        )
        self._mirror.on_applied(
            lambda: self._limits.update_hosts(self._live_hosts.hosts)
        )
        self._mirror.on_confirmed(self._limits.observe_proof)
        self.registration.needs_settling = self._has_limits

    def _has_limits(self) -> bool:
        configuration = self._directory.configuration
        return configuration is not None and any(
            account.rate_per_s is not None
            for account in configuration.accounts.values()
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
            self._cfg.crossing_cost_s,
        )
        self._authentication = Authentication(
            lambda: self._directory.configuration,
            self._currency,
            self._cfg.revocation_s,
            self.decisions,
            self.measures,
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
            self._authentication,
            self._budget,
            self._limits,
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
            self._distribution.run,
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
            self._limits.drop_unused()
            self._close_idle_if_isolated()
            await self._prune_names()
            started_s = now_s()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._loop_delay_s = max(0.0, now_s() - started_s - HOUSEKEEPING_INTERVAL_S)

    def _close_idle_if_isolated(self) -> None:
        """Close idle sessions once, if this host is isolated from the store and peers.

        An isolated host can serve almost nothing, and a session can't move to another
        host while it is open. The same holds for a host that refuses all callers with
        keys. The sessions are closed only after the entry has taken the host out of
        rotation. Callers that connect afterwards are kept, because the entry has no
        other host for them.
        """
        confirmed_s = self._mirror.confirmed_at_s
        confirmed = now_s() - confirmed_s < MAX_READY_AGE_S + OUT_OF_ROTATION_S
        if self._authentication.is_refusing_longer_than(OUT_OF_ROTATION_S):
            confirmed = False
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

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._currency.hold_version(configuration.version)
        self._distribution.record(configuration)
        self.groups.apply_configuration(configuration)

    def _list_configuration_sources(self) -> list[Host]:
        """Return the hosts to ask for a configuration, the watchers first."""
        if self._is_in_small_fleet():
            return []
        watchers = self._follower.list_watchers()
        if self._follower.is_watcher:
            return watchers
        names = {watcher.name for watcher in watchers}
        others = [peer for peer in self._list_peers() if peer.name not in names]
        return watchers + random.sample(others, min(OTHER_SOURCES, len(others)))

    def _is_in_small_fleet(self) -> bool:
        return self._count_hosts() <= MAX_WATCHING_HOSTS

    def _count_hosts(self) -> int:
        return max(len(self._live_hosts.hosts), self._live_hosts.count_names())

    async def _answer_peer(self, exchange: Exchange) -> Message:
        match exchange.message:
            case AskConnections(group, instance):
                self.groups.close_unused_connections(group, instance)
                return Done()
            case RunStatement() as statement:
                return await self._run_for_peer(exchange.connection, statement)
            case EndTransaction(session, number):
                self._service.end(exchange.connection, session, number)
                return Done()
            case AskConfiguration() as ask:
                return await self._distribution.answer(exchange, ask)
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
                version = self._currency.known_version
                return replace(self._agreement.answer_head(), version=version)
            case AskAgreement() as ask:
                return await self._agreement.answer(ask)
            case AskStoreHead() as ask:
                return await self._shared_checks.answer(ask)
            case AskChanges() as ask:
                return await self._follower.answer(ask)
            case AskPosition(group):
                return self.groups.report_position(group)
            case AskRecord(group):
                return self.groups.report_record(group)
            case AskTokens() as ask:
                return await self._limits.answer(ask)
        raise LinkError(f"unexpected message {type(message).__name__}")

    def _read_gauges(self) -> list[Gauge]:
        confirmed_s = now_s() - self._mirror.confirmed_at_s
        configuration = self._directory.configuration or Configuration(0)
        is_awaited = self._mirror.configuration_awaited.is_set()
        return [
            Gauge("configuration_version", (), configuration.version),
            Gauge("configuration_routes", (), len(configuration.routes)),
            Gauge("configuration_awaited", (), is_awaited),
            Gauge("sessions", (), len(self._caller_server.sessions)),
            Gauge("hosts", (), len(self._live_hosts.hosts)),
            Gauge("loop_delay_seconds", (), self._loop_delay_s),
            Gauge("store_epoch", (), self._mirror.epoch),
            Gauge("records_confirmed_age_seconds", (), confirmed_s),
            Gauge("configuration_proof_age_seconds", (), self._currency.age_s),
            *self._budget.read_gauges(),
            *self.groups.read_gauges(),
            *self._limits.read_gauges(),
        ]

    def _is_ready(self) -> bool:
        if self._stopping or self._directory.configuration is None:
            return False
        if self._authentication.is_refusing:
            return False
        confirmed = now_s() - self._mirror.confirmed_at_s < MAX_READY_AGE_S
        return self.groups.have_records and confirmed

    def _get_watch_delay_s(self) -> float:
        if self._is_in_small_fleet():
            return 0.0
        if now_s() - self._started_at_s < STARTING_S:
            return STARTING_WATCH_BATCH_S
        return 0.0 if self._follower.is_following else WATCH_BATCH_S
