"""A host of the deployment without control machines: one process, all roles."""

import asyncio
import contextlib
import secrets
import socket
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.agreement import RecordAgreement
from wasabipitch.coordination.checks import SharedChecks
from wasabipitch.coordination.directory import Directory
from wasabipitch.coordination.documents import (
    Configuration,
    DocumentDecoder,
    HostRecord,
)
from wasabipitch.coordination.following import ChangeFollower
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.presence import Presence
from wasabipitch.coordination.relay import RelayedStore, answer
from wasabipitch.coordination.roster import HOST_ROLE, Roster
from wasabipitch.coordination.store import CoordinationStore, Promoter
from wasabipitch.events import Clock
from wasabipitch.exceptions import LinkError, StoreError
from wasabipitch.front.server import CallerServer
from wasabipitch.group.assembly import HostGroups
from wasabipitch.group.remote import StatementService
from wasabipitch.linkbook import LinkBook
from wasabipitch.linkserver import Exchange, LinkServer
from wasabipitch.messages import Done, EndSession, Hello, Message
from wasabipitch.models import Address, Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.logwriter import LogWriter
from wasabipitch.operations.measures import Gauge, Measures
from wasabipitch.operations.statusserver import make_metrics_server, make_status_server
from wasabipitch.peer_messages import (
    AskAgreement,
    AskChanges,
    AskConnections,
    AskHead,
    AskPosition,
    AskStoreHead,
    RunStatement,
    StoreCall,
)
from wasabipitch.wire.codecs import CallerCodec, InstanceCodec

# Up to so many hosts changes are rare, and each is taken at once.
FEW_HOSTS = 12
# Changes of a large fleet are gathered for this long, since each watch is a call.
WATCH_PAUSE_S = 0.1
# A host whose records were not confirmed for this long takes no new callers: two
# checks have failed, and soon it may not read primaries.
READY_CONFIRMED_S = 1.6
HOUSEKEEPING_S = 0.25
# The entry stops sending callers after two failed checks, one second apart.
OUT_OF_ROTATION_S = 2.4
STOP_STEP_S = 0.1
# Of the grace, open transactions may use this share.
TRANSACTION_SHARE = 0.5
# The entry may still send callers where few hosts are left; after this share of
# the grace they are turned away, so that the last statements can end.
ACCEPTING_SHARE = 0.6
# Left of the grace for closing, in seconds.
CLOSE_MARGIN_S = 0.8


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a host is told when it starts.

    Args:
        host: its name.
        checks: where it answers health checks.
        metrics: where it serves its metrics, or None.
        links: where it accepts links from its peers.
        seeds: where some peers accept links; they may be down.
        store: where the store listens.
        promoter: where promotions are ordered.
        grace_s: from the order to stop to the end.
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


@dataclass(frozen=True, slots=True)
class Adapters:
    """What translates for the gateway."""

    callers: CallerCodec
    instances: InstanceCodec
    documents: DocumentDecoder
    store: CoordinationStore
    promoter: Promoter


class Gateway:
    """Serves callers on one host."""

    def __init__(
        self, cfg: GatewaySettings, adapters: Adapters, writer: LogWriter | None
    ) -> None:
        self._cfg = cfg
        self._adapters = adapters
        self._writer = writer
        self.measures = Measures(self._read_gauges)
        self.decisions = DecisionLog(cfg.host, writer, self.measures)
        incarnation = f"{cfg.host}.{secrets.token_hex(4)}"
        record = HostRecord(cfg.host, cfg.data_centre, incarnation, str(cfg.links))
        clock = Clock()
        host = Host(cfg.host, HOST_ROLE, str(cfg.links), cfg.data_centre)
        self.links = LinkBook(Hello(host, incarnation), clock)
        self._service = StatementService(
            lambda name: self.groups.find_local_runner(name)
        )
        self._link_server = LinkServer(
            self._answer_peer, clock, on_peer_lost=self._service.end_all
        )
        self._build_coordination(host, record)
        self._build_service(host)
        self._loop_delay_s = 0.0
        self._stopping = False
        # Whether the sessions of before were closed since the host was cut off.
        self._sent_away = False
        self._stack = contextlib.AsyncExitStack()

    def _build_coordination(self, host: Host, record: HostRecord) -> None:
        """Make what is shared with the other hosts, by the store and by links."""
        self._store = RelayedStore(
            self._adapters.store, self.links, self._list_peers, self.decisions
        )
        self._mirror = StoreMirror(self._store, self.decisions)
        self.presence = Presence(self._store, self._mirror, record)
        self._roster = Roster(self._mirror, lambda: self.groups.resize())
        self._agreement = RecordAgreement(
            host,
            self.links,
            lambda: self._roster.list_peers(self._cfg.host),
            lambda: self._mirror.head_revision,
            lambda: self._mirror.store_confirmed_at_s,
        )
        self._checks_shared = SharedChecks(
            host,
            self._store,
            self.links,
            lambda: self._roster.list_peers(self._cfg.host),
        )
        self._mirror.read_head_shared = self._checks_shared.read
        self._mirror.read_pause_s = self._find_watch_pause_s
        self._mirror.confirm_among_hosts = self._agreement.confirm
        self._follower = ChangeFollower(
            host,
            self._store,
            self._mirror.history,
            self.links,
            self._roster.find_data_centres,
            self._roster.find_host,
            FEW_HOSTS,
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
        """Make what serves callers, and who asks after this host."""
        self.groups = HostGroups(
            host,
            self._adapters.instances,
            self._store,
            self._adapters.promoter,
            self._mirror,
            self.presence,
            self._roster,
            self.links,
            self.decisions,
            self._directory.instances_of,
        )
        self._server = CallerServer(
            self._adapters.callers,
            self.decisions,
            lambda: self._directory.configuration,
            self.groups.find_runner,
            self.measures,
        )
        self._checks = make_status_server(self._is_ready)
        self._metrics = make_metrics_server(self.measures.render)

    async def start(self, callers: socket.socket) -> None:
        """Start serving; callers are answered once the store has been read.

        Args:
            callers: listens for them already.
        """
        self.decisions.belief(
            "started",
            data_centre=self._cfg.data_centre,
            incarnation=self.presence.record.incarnation,
        )
        if self._writer is not None:
            self._run_task(self._writer.run)
        await self._checks.start(self._cfg.checks)
        self._stack.push_async_callback(self._checks.close)
        if self._cfg.metrics is not None:
            await self._metrics.start(self._cfg.metrics)
            self._stack.push_async_callback(self._metrics.close)
        await self._link_server.start(self._cfg.links)
        self._stack.push_async_callback(self._link_server.close)
        self._stack.push_async_callback(self.links.close)
        await self._server.start(callers)
        self._stack.push_async_callback(self._server.close)
        for start in (
            self._mirror.run,
            self._mirror.run_checks,
            self.presence.run,
            self._run_housekeeping,
        ):
            self._run_task(start)

    async def stop(self) -> None:
        """Take no new callers, finish what is in progress, then close."""
        started_s = now_s()
        self._stopping = True
        self.decisions.belief("stopping", busy=self._server.busy)
        await self._drain(started_s)
        with contextlib.suppress(StoreError, TimeoutError):
            async with asyncio.timeout(0.3):
                await self.presence.leave()
        self.decisions.belief("stopped", busy=self._server.busy)
        await self.close()

    async def close(self) -> None:
        """Close everything at once."""
        self.groups.close()
        await self._stack.aclose()

    @property
    def configuration(self) -> Configuration | None:
        """The operator's configuration in force."""
        return self._directory.configuration

    async def _drain(self, started_s: float) -> None:
        grace_s = self._cfg.grace_s
        while True:
            taken_s = now_s() - started_s
            if taken_s > grace_s - CLOSE_MARGIN_S:
                return
            if taken_s > grace_s * TRANSACTION_SHARE:
                self._server.abort_transactions()
            if taken_s > grace_s * ACCEPTING_SHARE:
                self._server.stop_accepting()
            if taken_s > OUT_OF_ROTATION_S:
                self._server.close_idle()
                if not self._server.busy:
                    return
            await asyncio.sleep(STOP_STEP_S)

    def _run_task(self, start: Callable[[], Coroutine]) -> None:
        task = tasks.spawn_supervised(start, start.__qualname__)
        self._stack.push_async_callback(tasks.cancel, task)

    async def _run_housekeeping(self) -> None:
        while True:
            self._directory.drop_missing()
            self._send_callers_away()
            await self._prune_names()
            started_s = now_s()
            await asyncio.sleep(HOUSEKEEPING_S)
            self._loop_delay_s = max(0.0, now_s() - started_s - HOUSEKEEPING_S)

    def _send_callers_away(self) -> None:
        """Close idle sessions of a host that is cut off, once others get its callers.

        It can serve next to nothing, and an open session stays with its host. Those
        that come all the same are kept: no other host takes them.
        """
        confirmed_s = self._mirror.confirmed_at_s
        heard = now_s() - confirmed_s < READY_CONFIRMED_S + OUT_OF_ROTATION_S
        if heard or not confirmed_s or self._stopping:
            # It can serve, has just started, or sends its callers away anyhow.
            self._sent_away = False
        elif not self._sent_away:
            self._sent_away = True
            self.decisions.belief(
                "callers sent away", sessions=len(self._server.sessions)
            )
            self._server.close_idle()

    async def _prune_names(self) -> None:
        keys = self._roster.find_gone_names()
        if not keys:
            return
        try:
            await self._store.commit({}, {}, keys)
        except StoreError as exc:
            self.decisions.routine("names not pruned", reason=str(exc))

    def _list_peers(self) -> list[Host]:
        peers = self._roster.list_peers(self._cfg.host)
        if peers:
            return peers
        return [
            Host(str(seed), HOST_ROLE, str(seed), "")
            for seed in self._cfg.seeds
            if seed != self._cfg.links
        ]

    async def _answer_peer(self, exchange: Exchange) -> Message:
        match exchange.message:
            case StoreCall() as call:
                return await answer(self._adapters.store, call)
            case AskHead():
                return self._agreement.answer_head()
            case AskAgreement() as ask:
                return await self._agreement.answer(ask)
            case AskStoreHead():
                return await self._checks_shared.answer()
            case AskChanges() as ask:
                return await self._follower.answer(ask)
            case AskPosition(group):
                return self.groups.report_position(group)
            case AskConnections(group, instance):
                self.groups.give_back_connections(group, instance)
                return Done()
            case RunStatement() as statement:
                return await self._service.run(exchange.connection, statement)
            case EndSession(session):
                self._service.end(exchange.connection, session)
                return Done()
        raise LinkError(f"unexpected message {type(exchange.message).__name__}")

    def _read_gauges(self) -> list[Gauge]:
        confirmed_s = now_s() - self._mirror.confirmed_at_s
        return [
            Gauge("sessions", (), len(self._server.sessions)),
            Gauge("hosts", (), len(self._roster.hosts)),
            Gauge("loop_delay_seconds", (), self._loop_delay_s),
            Gauge("records_confirmed_age_seconds", (), confirmed_s),
            *self.groups.read_gauges(),
        ]

    def _is_ready(self) -> bool:
        if self._stopping or self._directory.configuration is None:
            return False
        heard = now_s() - self._mirror.confirmed_at_s < READY_CONFIRMED_S
        return self.groups.are_settled and heard

    def _find_watch_pause_s(self) -> float:
        few = len(self._roster.hosts) <= FEW_HOSTS
        return 0.0 if few or self._follower.is_following else WATCH_PAUSE_S
